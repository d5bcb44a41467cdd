"""The capacity page: what ``capacity show`` writes, and what ``capacity check`` rejects.

Guards against a page that states figures which the committed measurements and the plan don't give:
edited by hand, left behind by a changed measurement, or silent about an exceeded budget.
"""

from __future__ import annotations

import copy
import dataclasses
import json

import pytest

from tests.capacity.documents import PLAN, measurement_document
from umberusher import cli
from umberusher.capacity.budget_rows import Moment, Resource, Role, RowDefinition
from umberusher.capacity.line_fit import fit_line
from umberusher.capacity.measured_costs import EARLIER_VERSION, MeasurementSource
from umberusher.capacity.units import Quantity
from umberusher.commands import capacity

COST = MeasurementSource("made-up", "engines listed", "us", "core us/statement/broker")
TEST_ROLES = (
    Role(
        "one",
        "first role",
        (
            RowDefinition(
                Resource.PROCESSOR,
                Moment.ORDINARY,
                "a statement",
                "core us/statement/broker",
                lambda costs: costs.cost(COST, costs.plan.engines),
            ),
            RowDefinition(
                Resource.PROCESSOR,
                Moment.ORDINARY,
                "all statements",
                "core/broker",
                lambda costs: costs.cost(COST, costs.plan.engines)
                * (costs.plan.statements * Quantity.of(1, "broker") / costs.plan.brokers),
                "broker_cores",
                "one loop",
                "a second loop",
            ),
            RowDefinition(
                Resource.PROCESSOR,
                Moment.ORDINARY,
                "is not there",
                "core us/statement/broker",
                lambda costs: costs.cost(
                    MeasurementSource("other", "engines listed", "us", "core us/statement/broker"),
                    costs.plan.engines,
                ),
                mechanism="a thing",
            ),
        ),
    ),
)
PROSE = "# Page\n\nA change is in force within 14 s, a broker has 256 MB; 2,100 of them.\n\n"


@pytest.fixture
def page(tmp_path, monkeypatch):
    """Return a page of made-up measurements with an exceeded budget, and the commands to run on it."""
    monkeypatch.setattr(capacity, "ROLES", TEST_ROLES)
    (tmp_path / "measurements").mkdir()
    (tmp_path / "page.md").write_text(
        PROSE
        + "\n".join(
            f"<!-- capacity: {name} -->\n<!-- end -->\n"
            for name in ("one", "plan", "passed", "counts", "measurements")
        )
    )

    class PageUnderTest:
        path = tmp_path / "page.md"
        file = tmp_path / "measurements/made-up.json"

        def store(self, document):
            self.file.write_text(json.dumps(document))

        def show(self, *arguments):
            return cli.main(
                [
                    "capacity",
                    "show",
                    "--plan",
                    str(PLAN),
                    "--measurements",
                    str(self.file.parent),
                    *arguments,
                ]
            )

        def check(self):
            return cli.main(
                [
                    "capacity",
                    "check",
                    "--plan",
                    str(PLAN),
                    "--measurements",
                    str(self.file.parent),
                    "--page",
                    str(self.path),
                ]
            )

        def edit(self, old, new):
            text = self.path.read_text()
            assert old in text, text
            self.path.write_text(text.replace(old, new, 1))

    found = PageUnderTest()
    found.store(measurement_document())
    assert found.show("--write", str(found.path)) == 0
    return found


def test_check_accepts_a_written_page_and_prints_the_exceeded_budget(page, capsys):
    assert page.check() == 0
    out = capsys.readouterr().out.splitlines()
    assert out[0] == (
        "passed: first role, ordinary: all statements: 1.98 cores a broker, budget 1 core a broker; "
        "missing: a second loop"
    )
    assert out[-1] == "3 lines, 1 measurements; budgets: 0 held, 1 passed, 0 not measured; 0 faults"
    text = page.path.read_text()
    assert text.startswith(PROSE)
    assert "| 1.98 cores a broker | 1 core a broker | **passed** |" in text
    assert "| not measured | - | - | not measured | not measured | no `other` | a thing |" in text
    assert page.show("--write", str(page.path)) == 0
    assert page.path.read_text() == text


def refit(document):
    points = [(each["x"], each["values"][0]) for each in document["points"]]
    fit = fit_line(points)
    document["fit"] = {
        "base": fit.base,
        "slope": fit.slope,
        "residuals": fit.residuals,
        "linear_to": fit.linear_to,
    }


@pytest.mark.parametrize(
    "old, new, message",
    [
        ("| 1.98 cores a broker |", "| 0.98 cores a broker |", "block 'one' has"),
        ("**passed**", "held", "block 'one' has"),
        (
            "| first role | ordinary | all statements |",
            "| first role | ordinary | all |",
            "does not tell that a budget",
        ),
        ("missing: a second loop", "one loop", "expected"),
        ("<!-- capacity: passed -->", "<!-- capacity: past -->", "there is no table 'past'"),
        (
            "<!-- capacity: passed -->",
            "<!-- capacity: past -->",
            "does not tell that a budget is passed: first role",
        ),
        ("<!-- capacity: one -->\n", "", "<!-- end --> without a block"),
        ("<!-- capacity: plan -->", "<!-- capacity: one -->", "block 'one' is there twice"),
        (
            "<!-- end -->\n\n<!-- capacity: plan -->",
            "<!-- capacity: plan -->",
            "block 'plan' begins inside of 'one'",
        ),
        ("of them.", "of them at 41 us each.", "'41 us' stands outside of the tables"),
        ("14 s", "16 s", "line 3: '16 s' stands outside of the tables"),
        ("| 32,000 engines |", "| 32,001 engines |", "block 'plan' has"),
        (
            "`made-up` |",
            "`made-down` |",
            "the page quotes 'made-down', and there is no such measurement",
        ),
    ],
)
def test_check_fails_when_a_page_is_edited_by_hand(page, capsys, old, new, message):
    page.edit(old, new)
    assert page.check() == 1
    assert message in capsys.readouterr().out


def change_point(document):
    document["points"][2]["values"] = [330.0]


def change_figure(document):
    change_point(document)
    refit(document)


@pytest.mark.parametrize(
    "change, message",
    [
        (change_figure, "block 'one' has"),
        (change_point, "fit."),
        (lambda document: document["fit"].update(slope=0.011), "fit.slope: is 0.011"),
        (lambda document: document["fit"].update(residuals=[0.0, 0.0, 0.2]), "fit.residuals"),
        (lambda document: document["fit"].update(linear_to=8_000), "fit.linear_to"),
        (lambda document: document.pop("fit"), "fit"),
        (lambda document: document.pop("commit"), "commit: missing"),
        (
            lambda document: document.update(name="another"),
            "name: is 'another', and the file has another",
        ),
        (lambda document: document.update(dirty=True), "block 'one' has"),
        (lambda document: document.update(commit="9" * 40), "block 'one' has"),
    ],
)
def test_check_fails_when_a_measurement_is_changed(page, capsys, change, message):
    document = copy.deepcopy(json.loads(page.file.read_text()))
    change(document)
    page.store(document)
    assert page.check() == 1
    assert message in capsys.readouterr().out


def test_check_fails_when_a_measurement_is_missing_or_unreadable(page, capsys):
    page.file.rename(page.file.with_name("made-up.gone"))
    assert page.check() == 1
    assert "the page quotes 'made-up', and there is no such measurement" in capsys.readouterr().out
    page.file.write_text("{")
    assert page.check() == 1
    assert f"wrong: {page.file}: " in capsys.readouterr().out
    assert page.show("--write", str(page.path)) == 2


def test_check_exits_with_2_when_a_measurement_has_a_wrong_unit(page, capsys):
    page.store(measurement_document(unit="ms"))
    assert page.check() == 2
    assert (
        "first role, ordinary: a statement: made-up: unit: is 'ms', 'us' is read here"
        in capsys.readouterr().err
    )


def test_check_fails_when_an_exceeded_budget_names_no_missing_mechanism(page, monkeypatch, capsys):
    definition = TEST_ROLES[0].rows[1]
    monkeypatch.setattr(
        capacity,
        "ROLES",
        (
            Role(
                "one",
                "first role",
                (dataclasses.replace(definition, missing_mechanism=""),),
            ),
        ),
    )
    assert page.show("--write", str(page.path)) == 0
    assert page.check() == 1
    assert "wrong: " in (out := capsys.readouterr().out)
    assert "no missing mechanism is told: first role, ordinary: all statements" in out


def test_show_prints_one_table_or_lists_the_known_names(page, capsys):
    assert page.show("--role", "one") == 0
    assert capsys.readouterr().out.startswith("one\n\n| part | moment | what |")
    assert page.show("--role", "two") == 2
    assert (
        "there is no 'two'; there are counts, measurements, one, passed, plan"
        in capsys.readouterr().err
    )


def test_show_writes_figures_of_the_earlier_version_beside_current_ones(page):
    old = measurement_document(
        points=((1_000, 20.0), (8_000, 160.0), (32_000, 640.0)), commit="70bc7e5" + "0" * 33
    )
    (page.file.parent / f"made-up{EARLIER_VERSION}.json").write_text(json.dumps(old))
    assert page.show("--write", str(page.path)) == 0
    assert page.check() == 0
    assert "| 3.96 cores a broker, **passed** | `made-up` @ 01234567 |" in page.path.read_text()
