"""``capacity show``: each role's needs at the planned size, its budgets and its mechanisms."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

from umberusher.capacity.page import PageError, render
from umberusher.capacity.units import SHOWN_VALUE_MAX_CHARS
from umberusher.commands import capacity, tools
from umberusher.commands.capacity import CapacityReport
from umberusher.errors import UsageError


def run(args: argparse.Namespace) -> int:
    """Print the tables, or rewrite those of a page; return 0.

    Files that are not valid measurements are reported on standard error.
    """
    report = capacity.make_report(args)
    tables = report.tables
    for fault in report.faults:
        print(f"umberusher: {fault}", file=sys.stderr)
    if args.role and args.role not in tables:
        known = ", ".join(sorted(tables))
        raise UsageError(
            f"--role: there is no {args.role[:SHOWN_VALUE_MAX_CHARS]!r}; there are {known}"
        )
    if args.write:
        _write_page(args.write, report)
        return 0
    for name in [args.role] if args.role else tables:
        print(f"{name}\n\n" + "\n".join(tables[name]) + "\n")
    return 0


def _write_page(path: str, report: CapacityReport) -> None:
    """Rewrite a page's tables.

    Raises:
        UsageError: A measurement cannot be read, or the page cannot be read or written.
    """
    if report.faults:
        raise UsageError(f"{path}: not written: a measurement can't be read")
    try:
        text = render(capacity.read_page(path), report.tables)
    except PageError as error:
        raise UsageError(f"{path}: {error}") from None
    tools.write(Path(path), text.encode())
