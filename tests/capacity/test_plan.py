"""The numbers to plan with.

Guards against a plan with a missing, misspelt or wrong field, such as one in another unit, from which
wrong budgets would follow.
"""

from __future__ import annotations

import pytest

from tests.capacity.documents import PLAN
from umberusher import cli
from umberusher.capacity.plan import FIELDS
from umberusher.commands import capacity


def test_load_plan_returns_all_fields_and_the_reasons_of_assumed_ones():
    found = capacity.load_plan(str(PLAN))
    assert found.engines.to("engine") == 32_000
    assert found.control_processor.to("% core/broker") == pytest.approx(1.3)
    assert set(found.values) == set(FIELDS)
    assert "rack" in found.assumed
    assert "engines" not in found.assumed
    with pytest.raises(AttributeError):
        _ = found.furlongs


@pytest.mark.parametrize(
    "old, new, message",
    [
        (
            'of(32000, "engine")',
            'of(32000, "broker")',
            "size.star:6: engines: expected 'engine', got 'broker'",
        ),
        ('of(14, "s")', 'of(14, "KB")', "size.star:14: in_force_within: expected 's', got 'B'"),
        ('of(14, "s")', 'of(14, "sec")', "size.star:14: in_force_within: 'sec' is no unit"),
        ('of(14, "s")', 'of("14", "s")', "size.star:14: in_force_within: '14' is no number"),
        ('of(14, "s")', 'of(0, "s")', "size.star:14: in_force_within: must be over 0, not 0"),
        (
            'of(14, "s")',
            "of(14, 1)",
            "size.star:14: in_force_within: its unit must be a text, not '1'",
        ),
        ('of(14, "s")', "14", "size.star:14: in_force_within: must be made by of(number, unit)"),
        (
            "    in_force_within",
            "    in_farce_within",
            "size.star:14: in_farce_within: there is no such field",
        ),
        ('    in_force_within = of(14, "s"),\n', "", "size.star: in_force_within: missing"),
        (
            'why = "racks are named, their size is not"',
            'why = " "',
            "size.star:28: rack: is assumed without a reason",
        ),
        ("size = plan(", "else = plan(", "size.star:4:"),
        ("size = plan(", "sizes = plan(", "size.star: size must be set"),
        (
            "size = plan(",
            "size = of(1, 's') if True else plan(",
            "size.star: size must be set by plan(...)",
        ),
    ],
)
def test_show_names_file_line_and_field_when_a_plan_is_invalid(tmp_path, old, new, message, capsys):
    text = PLAN.read_text()
    assert text.count(old) == 1
    (tmp_path / "size.star").write_text(text.replace(old, new))
    assert cli.main(["capacity", "show", "--plan", str(tmp_path / "size.star")]) == 2
    errors = capsys.readouterr().err.splitlines()
    assert any(message in each for each in errors), errors
    assert (
        len(errors) <= 2
    )  # a misspelt field causes one line, and the field that is then missing another
