"""``contract statement``: work promised and used, and requests rejected, by team, from logs."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Any

from umberusher.commands import tools
from umberusher.errors import UsageError
from umberusher.teams.script import load_contract
from umberusher.teams.statement import StatementReader

EXIT_DEFECTS = 1
COLUMNS = (
    "team",
    "promised s",
    "used s",
    "borrowed s",
    "asked",
    "own",
    "borrowed",
    "refused",
    "served",
    "worth",
)


def run(args: argparse.Namespace) -> int:
    """Print a table; return 1 if there were lines that could not be used."""
    contract = load_contract(args.contract)
    reader = StatementReader()
    for path in args.logs:
        try:
            with Path(path).open(encoding="utf-8", errors="replace") as source:
                reader.read(path, source)
        except OSError as error:
            raise UsageError(f"{path}: {error.strerror}") from None
    statement = reader.document(contract)
    tools.write_json(args.json, statement)
    tools.table(
        f"statement over {statement['seconds']} s",
        list(COLUMNS),
        [_table_row(team) for team in statement["teams"]],
    )
    for defect in statement["defects"]:
        tools.out.print(f"defect: {defect}", markup=False)
    if args.plot:
        _write_plot(args.plot, statement["teams"])
    return EXIT_DEFECTS if reader.defects else 0


def _table_row(team: dict[str, Any]) -> list[Any]:
    rejected_text = ", ".join(f"{reason} {count}" for reason, count in team["refused"].items())
    return [
        team["team"],
        team["promised_work_s"],
        team["used_work_s"],
        team["borrowed_work_s"],
        team["asked"],
        sum(team["own"].values()),
        sum(team["borrowed"].values()),
        rejected_text or 0,
        sum(team["served"].values()),
        team["worth"],
    ]


def _write_plot(path: str, teams: list[dict[str, Any]]) -> None:
    # Imported here so that the plotting library is loaded only if a plot is requested.
    from umberusher.traces import plots

    bars = []
    for team in teams:
        borrowed_s = team["borrowed_work_s"]
        parts = {"own": team["used_work_s"] - borrowed_s, "borrowed": borrowed_s}
        bars.append((team["team"], parts, team["promised_work_s"]))
    plot = plots.waterfall(
        "work (s)", ("own", "borrowed"), bars, mark="promised", x_label="thread seconds"
    )
    tools.write(path, plot)
