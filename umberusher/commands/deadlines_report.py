"""``deadlines report``: where the time of late, expired and abandoned requests went."""

from __future__ import annotations

import argparse
from pathlib import Path
from typing import Any

from umberusher.commands import tools
from umberusher.deadlines.account import PHASES
from umberusher.deadlines.report import LogSummary, summarize_log
from umberusher.errors import UsageError

EXIT_DEFECTS = 1
MAX_PRINTED_DEFECTS = 20


def run(args: argparse.Namespace) -> int:
    """Print the tables; return 1 if there were events that could not be used."""
    try:
        with Path(args.log).open(encoding="utf-8", errors="replace") as source:
            summary = summarize_log(args.log, source)
    except OSError as error:
        raise UsageError(f"{args.log}: {error.strerror}") from None
    document = summary.document()
    tools.write_json(args.json, document)
    _print_tables(summary, document)
    for defect in summary.defects[:MAX_PRINTED_DEFECTS]:
        tools.out.print(f"defect: {defect}", markup=False)
    if args.plot:
        _write_plot(args.plot, document)
        tools.out.print(f"plot: {args.plot}", markup=False)
    return EXIT_DEFECTS if summary.defect_count else 0


def _print_tables(summary: LogSummary, document: dict[str, Any]) -> None:
    tools.out.print(
        f"{summary.events} events in {summary.lines} lines, {summary.suppressed_events} left out "
        f"by the brokers, {summary.defect_count} not usable"
    )
    tools.table(
        "mean milliseconds",
        ["class, end", "requests", "budget", "p50 took", "p99 took", *PHASES, "places"],
        [
            [
                f"{group['class']} {group['end']}",
                group["requests"],
                group["mean_budget_ms"],
                group["took_ms"]["p50"],
                group["took_ms"]["p99"],
                *(group["mean_ms"][phase] for phase in PHASES),
                ", ".join(f"{place} {count}" for place, count in group["places"].items()),
            ]
            for group in document["groups"]
        ],
    )
    if summary.engines:
        tools.table(
            "engines",
            ["engine", "requests", "mean ms at the node"],
            [
                [name, engine["requests"], engine["mean_node_ms"]]
                for name, engine in document["engines"].items()
            ],
        )


def _write_plot(path: str, document: dict[str, Any]) -> None:
    # Imported here so that the plotting library is loaded only if a plot is requested.
    from umberusher.traces import plots

    group_bars = [
        (
            f"{group['class']} {group['end']} ({group['requests']})",
            group["mean_ms"],
            group["mean_budget_ms"],
        )
        for group in document["groups"]
    ]
    request_bars = [
        (
            f"{request['rid']} {request['end']}",
            {phase: request[f"{phase}_ms"] for phase in PHASES},
            request["budget_ms"],
        )
        for request in document["slowest"]
    ]
    plot = plots.waterfall("where budgets go (ms)", PHASES, group_bars + request_bars)
    tools.write(path, plot)
