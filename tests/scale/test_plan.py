"""Tests that plans are read with their units, and that an invalid plan is rejected in one line."""

from __future__ import annotations

from pathlib import Path

import pytest

from umberusher import cli
from umberusher.scale import plan
from umberusher.scale.plan_fields import SCENE_FIELDS

ROOT = Path(__file__).parents[2]
PLANS = ROOT / "deploy" / "scale"
VALID_PLAN = """
run = size(brokers = 6, engines = 48)
statements = traffic(stretch = ms(4))
scenes = [scene("start"), scene("ordinary", lasts = s(20))]
"""


@pytest.mark.parametrize(
    ("before", "after", "message"),
    [
        (
            "ms(4)",
            "per_s(4)",
            "run.star: statements.stretch must be a time, as s(5) or ms(20), not per_s(4)",
        ),
        ("ms(4)", "4", "run.star: statements.stretch must be a time, as s(5) or ms(20), not 4"),
        (
            "lasts = s(20)",
            "lasts = gb(20)",
            "run.star: scenes[1] (ordinary).lasts must be a time, as s(5) or ms(20), not gb(20)",
        ),
        (
            "lasts = s(20)",
            "last = s(20)",
            "run.star: scenes[1] (ordinary).last is not known; fields are lasts, changes",
        ),
        (
            "lasts = s(20)",
            "lasts = hours(2)",
            "run.star: scenes[1] (ordinary).lasts must be from 1 to 1800 s, not 7200",
        ),
        (
            "lasts = s(20)",
            "changes = s(1)",
            "run.star: scenes[1] (ordinary).changes must be a rate, as per_s(0.57), not s(1)",
        ),
        ("brokers = 6", "brokers = 6.5", "run.star: run.brokers must be a whole number, not 6.5"),
        ("brokers = 6", "brokers = 0", "run.star: run.brokers must be from 1 to 4096, not 0"),
        ("brokers = 6, ", "", "run.star: run.brokers is missing"),
        ("brokers = 6", "brokers = True", "run.star: run.brokers must be a whole number, not True"),
        ("engines = 48", "engines = 4", "run.star: run.zones must have an engine each"),
        (
            "engines = 48",
            "engines = 48, memory_most = gb(64)",
            "run.star: run.memory_most must be from 64 to 12000 MB, not 64000",
        ),
        (
            '"ordinary"',
            '"ordinery"',
            "run.star: scenes[1].kind 'ordinery' is not known; kinds are start, ordinary, ",
        ),
        ('"ordinary"', '"start"', "run.star: scenes[1].name 'start' is there twice"),
        (
            '"ordinary"',
            '"zone_lost", zone = 8',
            "run.star: scenes[1] (zone_lost).zone must be below 8, not 8",
        ),
        (
            '"ordinary"',
            '"control_lost"',
            "run.star: scenes[1] (control_lost).played must be below lasts, 20 s",
        ),
        (
            'scene("start"), ',
            "",
            "run.star: scenes[0].kind must be 'start': the fleet starts there",
        ),
        ("[scene", "[1, scene", "run.star: scenes[0] must be scene(...), not 1"),
        ("traffic(", "size(", "run.star: statements must be traffic(...), not {"),
        ("traffic(", "trafic(", "run.star:3:14: Variable `trafic` not found"),
    ],
)
def test_load_reports_file_and_field_in_one_line_when_a_plan_is_invalid(
    tmp_path, capsys, before, after, message
):
    path = tmp_path / "run.star"
    assert before in VALID_PLAN
    path.write_text(VALID_PLAN.replace(before, after))
    assert cli.main(["scale", "run", str(path)]) == 2
    error = capsys.readouterr().err
    assert error.startswith(f"umberusher: {message}")
    assert error.count("\n") == 1


def test_load_converts_values_to_seconds_and_rates_per_second(tmp_path):
    path = tmp_path / "run.star"
    path.write_text(
        VALID_PLAN.replace("lasts = s(20)", "lasts = minutes(0.5), changes = per_day(86400)")
    )
    loaded_plan = plan.load(str(path))
    assert loaded_plan.scenes[1].fields == {"lasts": 30.0, "changes": pytest.approx(1.0)}
    assert loaded_plan.load.burst_s == 0.004
    assert loaded_plan.real is None


@pytest.mark.parametrize("names", [["small"], ["fleet", "fleet-inputs"]])
def test_load_reads_the_deployed_plans_which_contain_every_scene(names):
    plans = [plan.load(str(PLANS / f"{name}.star")) for name in names]
    assert {scene.kind for each in plans for scene in each.scenes} == set(SCENE_FIELDS)
    assert plans[0].real


def test_load_reads_the_deployed_plan_of_real_brokers():
    assert plan.load(str(PLANS / "real.star")).real.engines == 32_000


def test_to_fields_returns_the_names_and_values_of_the_plan(tmp_path):
    path = tmp_path / "run.star"
    path.write_text(VALID_PLAN)
    loaded_plan = plan.load(str(path))
    size = plan.to_fields(loaded_plan.size, plan.SIZE_FIELDS)
    assert list(size) == list(plan.SIZE_FIELDS)
    assert size["brokers"] == 6
    assert size["memory_most"] == 12_000.0
    assert plan.to_fields(loaded_plan.load, plan.LOAD_FIELDS)["stretch"] == 0.004
