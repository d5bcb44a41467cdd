"""Command lines over the files in ``fixtures``, which commit 8ce8042 wrote, and the results that it gave for them.

``python -m tests.nets.commands CHECKOUT`` runs all of them on a checkout and writes ``fixtures/expected.json``. Use it
only with a checkout of 8ce8042: a change of the expected results is a change of behaviour.
"""

from __future__ import annotations

import json
import os
import re
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import Any

HERE = Path(__file__).parent
ROOT = HERE.parents[1]
FIXTURES = HERE / "fixtures"
EXPECTED = FIXTURES / "expected.json"
TIMEOUT_S = 120.0
LOG_LINE = re.compile(r"^\d{4}-\d\d-\d\dT\S+ \[.*\n", re.MULTILINE)  # a log line in text format
REPLAY_TIME = re.compile(
    r"(clock in )[0-9.]+( s )"
)  # the real time of a replay, which depends on the machine
MACHINE_FIELDS = frozenset(["took_s"])  # fields of a result that depend on the machine
LAST_COLUMN = re.compile(
    r"^(\|.*\| )[^|]*\|$", re.MULTILINE
)  # the last column names modules of the program


@dataclass(frozen=True, slots=True)
class Command:
    """One command line; it runs in a folder with all fixtures."""

    name: str
    line: str
    writes: tuple[str, ...] = ()  # files whose content is compared too
    configuration: str = "configuration.json"  # the value of LB_CONFIG

    def document(self) -> dict[str, Any]:
        """Return the command as an item of the input of ``batch.py``."""
        return {"arguments": self.line.split(), "environment": {"LB_CONFIG": self.configuration}}


@dataclass(frozen=True, slots=True)
class Edit:
    """An additional fixture: a copy of another one with a single fault."""

    name: str
    source: str
    old: bytes
    new: bytes


REPLAY = "trace replay small.plan --nodes 3 --brokers 2 --seed 4"
CAPACITY = "capacity show --plan size.star --measurements"

VALID_COMMANDS = (
    Command("configuration", "check-config"),
    Command("plan statistics", "trace stats small.plan --json out/stats.json", ("out/stats.json",)),
    Command(
        "plan written",
        "trace plan --layout google-2011-task-events --mapping mapping.star -o out/new.plan trace.csv",
        ("out/new.plan",),
    ),
    Command(
        "plan played with a contract",
        f"{REPLAY} --tight 0.2 --leave 0.1 --contract teams.star --json out/replay.json "
        "--deadline-log out/events.json",
        ("out/replay.json", "out/events.json"),
    ),
    Command(
        "plan compared",
        "trace compare small.plan --nodes 2 --brokers 1 --vary seed=1,2 --vary retries=0,1 --jobs 1 "
        "--json out/compare.json",
        ("out/compare.json",),
    ),
    Command(
        "plans of two teams through the budgets",
        "contract simulate teams.star --team parks=small.plan --team water=small.plan --json out/simulate.json",
        ("out/simulate.json",),
    ),
    Command("contract checked", "contract check teams.star"),
    Command("contract checked by classes", "contract check teams.star --classes lookup,report"),
    Command(
        "contract on a day",
        "contract show teams.star --day 2027-03-27 --json out/show.json",
        ("out/show.json",),
    ),
    Command(
        "contract beside another",
        "contract diff teams.star teams-changed.star --json out/diff.json",
        ("out/diff.json",),
    ),
    Command("contract beside itself", "contract diff teams.star teams.star"),
    Command(
        "statement",
        "contract statement teams.star serve-json-1.log serve-json-2.log --json out/statement.json",
        ("out/statement.json",),
    ),
    Command("statement of logs in text", "contract statement teams.star serve-text-2.log"),
    Command(
        "events of a replay",
        "deadlines report replay-events.json --json out/report.json",
        ("out/report.json",),
    ),
    Command(
        "events of a broker, JSON",
        "deadlines report serve-json-2.log --json out/report-json.json",
        ("out/report-json.json",),
    ),
    Command(
        "events of a broker, text",
        "deadlines report serve-text-2.log --json out/report-text.json",
        ("out/report-text.json",),
    ),
    Command("measurements and a scale result", f"{CAPACITY} measurements"),
    Command("one role", f"{CAPACITY} measurements --role broker"),
)

EDITS = (
    Edit("bad-class.json", "configuration.json", b'"effect": "safe"', b'"effect": "sage"'),
    Edit("bad-listen.json", "configuration.json", b"127.0.0.1:5150", b"127.0.0.1"),
    Edit("bad-memory.json", "configuration.json", b'"memory_mb": 192', b'"memory_mb": "many"'),
    Edit("bad-known.json", "configuration.json", b'"notices": [', b'"notice": ['),
    Edit("bad-json.json", "configuration.json", b'"limits": {', b'"limits": ['),
    Edit("bad-magic.plan", "small.plan", b"UMBPLAN1", b"UMBPLAN0"),
    Edit("bad-byte.plan", "small.plan", b'"lookup"', b'"lookup '),
    Edit("bad-field.star", "teams.star", b"share = 0.45", b"shard = 0.45"),
    Edit("bad-share.star", "teams.star", b"share = 0.45", b"share = 4.5"),
    Edit("bad-window.star", "teams.star", b'"2027-03-26"', b'"2027-13-26"'),
    Edit("bad-syntax.star", "teams.star", b"capacity = fleet(", b"capacity = fleet(("),
    Edit("bad-event.json", "replay-events.json", b'"took_ms": 1', b'"took_ms": "x", "was": 1'),
    Edit("bad-end.log", "serve-text-2.log", b"end=expired", b"end=expried"),
    Edit("bad-team.log", "serve-json-2.log", b'"served": {', b'"severed": {'),
    Edit("bad-unit.star", "size.star", b'of(14, "s")', b'of(14, "sec")'),
    Edit("bad-scene.star", "small_fleet.star", b'scene("hail"', b'scene("hale"'),
    Edit("bad-time.star", "small_fleet.star", b"stretch = ms(50)", b"stretch = mb(50)"),
    Edit(
        "digest/scale-fleet.json", "measurements/scale-fleet.json", b'"digest": "', b'"digest": "0'
    ),
    Edit(
        "points/idle-connection.json", "measurements/idle-connection.json", b'"points"', b'"pints"'
    ),
)

INVALID_COMMANDS = (
    Command("no configuration", "check-config", configuration="missing.json"),
    Command("configuration: class", "check-config", configuration="bad-class.json"),
    Command("configuration: address", "check-config", configuration="bad-listen.json"),
    Command("configuration: memory", "serve", configuration="bad-memory.json"),
    Command("configuration: list", "check-config", configuration="bad-known.json"),
    Command("configuration: no JSON", "serve", configuration="bad-json.json"),
    Command("plan: magic", "trace stats bad-magic.plan"),
    Command("plan: a byte", "trace replay bad-byte.plan"),
    Command("plan: missing", "trace compare missing.plan --vary seed=1,2"),
    Command("contract: field", "contract check bad-field.star"),
    Command("contract: share", "contract show bad-share.star"),
    Command("contract: window", "contract diff teams.star bad-window.star"),
    Command("contract: syntax", "serve --contract bad-syntax.star"),
    Command("contract: classes", "contract statement bad-field.star serve-json-1.log"),
    Command("contract: no such team", "contract simulate teams.star --team nobody=small.plan"),
    Command("contract: no date", "contract show teams.star --day 2027-02-30"),
    Command("event: number", "deadlines report bad-event.json"),
    Command("event: end", "deadlines report bad-end.log"),
    Command("event: no file", "deadlines report missing.log"),
    Command("statement: figure", "contract statement teams.star bad-team.log"),
    Command("capacity: unit", "capacity show --plan bad-unit.star --measurements measurements"),
    Command("capacity: digest", f"{CAPACITY} digest --role engine"),
    Command("capacity: points", f"{CAPACITY} points --role engine"),
    Command("capacity: role", f"{CAPACITY} measurements --role nobody"),
    Command("scale: scene", "scale run bad-scene.star"),
    Command("scale: unit", "scale run bad-time.star"),
    Command("scale: workers", "scale run small_fleet.star --workers 99"),
    Command("replay: nodes", "trace replay small.plan --nodes 0"),
    Command("replay: share", "trace replay small.plan --leave 2"),
    Command("compare: setting", "trace compare small.plan --vary colour=red"),
    Command("trace: no column", "trace check --layout azure-functions-2019 trace.csv"),
)


def prepare(folder: Path) -> None:
    """Write the fixtures into a folder, and their copies with a fault."""
    shutil.copytree(FIXTURES, folder, dirs_exist_ok=True)
    shutil.copy(HERE / "small_fleet.star", folder)
    for edit in EDITS:
        text = (folder / edit.source).read_bytes()
        if edit.old not in text:
            raise ValueError(f"{edit.source} holds no {edit.old!r}")
        (folder / edit.name).parent.mkdir(exist_ok=True)
        (folder / edit.name).write_bytes(text.replace(edit.old, edit.new, 1))


def environment(checkout: Path) -> dict[str, str]:
    """Return an environment in which a checkout's program is found and prints no colours."""
    variables = {
        name: value for name, value in os.environ.items() if not name.startswith(("LB_", "PY"))
    }
    for name in ("FORCE_COLOR", "NO_COLOR", "COLUMNS"):
        variables.pop(name, None)
    return variables | {
        "PYTHONPATH": str(checkout),
        "TERM": "dumb",
        "LANG": "C.UTF-8",
        "LC_ALL": "C.UTF-8",
    }


def run(checkout: Path, folder: Path) -> dict[str, dict[str, Any]]:
    """Run all commands in a folder; return their results by name."""
    prepare(folder)
    commands = [*VALID_COMMANDS, *INVALID_COMMANDS]
    results_file = folder / "batch.json"
    subprocess.run(
        [sys.executable, str(HERE / "batch.py"), str(results_file)],
        input=json.dumps([each.document() for each in commands]),
        text=True,
        cwd=folder,
        env=environment(checkout),
        timeout=TIMEOUT_S,
        check=True,
    )
    results = json.loads(results_file.read_text())
    return {
        command.name: _comparable_result(command, each, folder)
        for command, each in zip(commands, results, strict=True)
    }


def _comparable_result(command: Command, result: dict[str, Any], folder: Path) -> dict[str, Any]:
    """Return the parts of a result that are compared: output as lines, and files, without machine-dependent values."""
    output = REPLAY_TIME.sub(r"\1-\2", result["stdout"])
    if command.line.startswith("capacity"):
        output = LAST_COLUMN.sub(r"\1...|", output)
    comparable = {
        "exit": result["exit"],
        "stdout": output.splitlines(),
        "stderr": LOG_LINE.sub("", result["stderr"]).splitlines(),
    }
    for name in command.writes:
        comparable[name] = _read_result_file(folder / name)
    return comparable


def _read_result_file(path: Path) -> Any:
    """Return the content of a file: JSON as a value, events as a list, a plan as hexadecimal digits."""
    if not path.exists():
        return None
    if path.suffix == ".plan":
        return path.read_bytes().hex()
    text = path.read_text()
    if path.name == "events.json":
        return [json.loads(line) for line in text.splitlines()]
    value = json.loads(text)
    for each in [value, *value.get("runs", [])] if isinstance(value, dict) else []:
        for name in MACHINE_FIELDS & each.keys():
            each[name] = None
    return value


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as temporary_folder:
        results = run(Path(sys.argv[1]).resolve(), Path(temporary_folder))
    EXPECTED.write_text(json.dumps(results, indent=1, sort_keys=True, ensure_ascii=False) + "\n")
