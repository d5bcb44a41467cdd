"""Tests that replays of synthetic traces give the results of commit 8ce8042, field by field.

They guard against unintended changes of decisions. Everything is run by commands: a trace is made,
compiled to a plan, and replayed on the step clock. To write the expected results from a checkout of
a version:

    python -m tests.nets.test_replay_results DIRECTORY
"""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
RECORDED = Path(__file__).parent / "recorded"
TIMEOUT_S = 120
# Fields of a result that depend on the machine: the real time of the replay.
MACHINE_FIELDS = ("took_s",)


@dataclass(frozen=True)
class Trace:
    """A synthetic trace, described by the options of ``trace make``."""

    pattern: str
    seconds: int
    rate: int
    seed: int


FLASH_CROWD = Trace("flash-crowd", seconds=8, rate=80, seed=11)
STEADY = Trace("steady", seconds=6, rate=80, seed=12)
TRACES = {"flash-crowd": FLASH_CROWD, "steady": STEADY}
# The options of each replay, after the plan. A name in braces is the path of that file or plan.
REPLAYS = {
    "faults": (
        "--seed 5 --faults {faults} --leave 0.05 --tight 0.05 --receipts --skew 3",
        "flash-crowd",
    ),
    "tenants": (
        "--seed 6 --nodes 4 --brokers 3 --terms answers --cancel --leave 0.02",
        "flash-crowd",
    ),
    "teams": (
        "--seed 6 --contract {teams} --first parks --team water={steady}",
        "flash-crowd",
    ),
}


def run_command(program: Path, *arguments: str) -> None:
    """Run a command of a version; if it fails, show its output."""
    process = subprocess.run(
        [sys.executable, "-m", "umberusher", *arguments],
        cwd=program,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert (
        process.returncode == 0
    ), f"{arguments}: {process.returncode}\n{process.stdout}\n{process.stderr}"
    assert "Traceback" not in process.stderr, process.stderr


def make_plans(program: Path, folder: Path) -> dict[str, str]:
    """Make and compile all traces; return the paths of the plans by name."""
    plans = {}
    for name, trace in TRACES.items():
        trace_file, plan_file = str(folder / f"{name}.csv"), str(folder / f"{name}.plan")
        trace_options = f"--pattern {trace.pattern} --seconds {trace.seconds} --rate {trace.rate}"
        run_command(
            program,
            "trace",
            "make",
            *trace_options.split(),
            "--seed",
            str(trace.seed),
            "-o",
            trace_file,
        )
        layout = ("--layout", "google-2011-task-events")
        mapping = ("--mapping", str(RECORDED / "mapping.star"))
        run_command(
            program, "trace", "plan", *layout, *mapping, "--seed", "3", "-o", plan_file, trace_file
        )
        plans[name] = plan_file
    return plans


def run_replay(program: Path, folder: Path, plans: dict[str, str], name: str) -> dict:
    """Return the result of a replay without the fields that depend on the machine."""
    options, plan = REPLAYS[name]
    paths = plans | {each: str(RECORDED / f"{each}.star") for each in ("faults", "teams")}
    result_file = folder / f"{name}.json"
    arguments = [word.format(**paths) for word in options.split()]
    step_options = ("--clock", "step", "--json", str(result_file))
    run_command(program, "trace", "replay", plans[plan], *step_options, *arguments)
    result = json.loads(result_file.read_text())
    return {field: value for field, value in result.items() if field not in MACHINE_FIELDS}


def differences(expected: object, found: object, path: str = "") -> list[str]:
    """Return a line for each field in which two results differ."""
    if isinstance(expected, dict) and isinstance(found, dict):
        names = sorted({*expected, *found})
        return [
            line
            for name in names
            for line in differences(expected.get(name), found.get(name), f"{path}.{name}")
        ]
    same = type(expected) is type(found) and expected == found
    return [] if same else [f"{path}: expected {expected!r}, found {found!r}"]


@pytest.fixture(scope="module")
def plans(tmp_path_factory) -> dict[str, str]:
    return make_plans(ROOT, tmp_path_factory.mktemp("plans"))


@pytest.mark.parametrize("name", sorted(REPLAYS))
def test_replay_gives_the_recorded_result(name, plans, tmp_path):
    expected = json.loads((RECORDED / f"replay-{name}.json").read_text())
    found = run_replay(ROOT, tmp_path, plans, name)
    assert found.keys() == expected.keys()
    assert not differences(expected, found)


def main() -> None:
    """Write the expected results from a checkout of a version."""
    program = Path(sys.argv[1]).resolve()
    with tempfile.TemporaryDirectory() as name:
        plans = make_plans(program, Path(name))
        for each in REPLAYS:
            found = run_replay(program, Path(name), plans, each)
            text = json.dumps(found, indent=1, sort_keys=True)
            (RECORDED / f"replay-{each}.json").write_text(text + "\n")


if __name__ == "__main__":
    main()
