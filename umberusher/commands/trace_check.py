"""``trace check``: read files and report their defects; with a mapping, also the rows on which it fails."""

from __future__ import annotations

import argparse
import time
from collections.abc import Callable
from pathlib import Path

from umberusher.commands import tools
from umberusher.errors import UsageError
from umberusher.traces.builder import Builder, BuildOptions
from umberusher.traces.defects import StrictError, Tally
from umberusher.traces.layouts import LAYOUTS
from umberusher.traces.mapping import Mapping
from umberusher.traces.reader import Reader


def _ignore_progress(_size_bytes: int) -> None:
    """Do not report progress."""


def create_reader(
    args: argparse.Namespace,
    layout: str,
    progress: Callable[[int], None] = _ignore_progress,
) -> Reader:
    """Return a reader with the options of the command line; raise UsageError if they are not valid."""
    if not 0 <= args.max_rejects <= 1:
        raise UsageError("--max-rejects: expected a share from 0 to 1")
    if not 0 <= args.reorder_s <= 86_400:
        raise UsageError("--reorder-s: expected seconds from 0 to 86400")
    return Reader(LAYOUTS[layout], reorder_s=args.reorder_s, strict=args.strict, progress=progress)


def print_tally(tally: Tally) -> None:
    """Print a tally's counts and the first locations of each defect."""
    tools.out.print(
        f"rows {tally.rows}  kept {tally.kept}  reordered {tally.reordered}  "
        f"rejected {sum(tally.rejected.values())}"
    )
    if tally.rejected:
        tools.table(
            "rejected",
            ["reason", "rows", "first"],
            [
                [
                    reason,
                    count,
                    "; ".join(
                        f"{example['file']}:{example['line']} ({example['what']})"
                        for example in tally.examples[reason][:2]
                    ),
                ]
                for reason, count in tally.rejected.most_common()
            ],
        )


def exit_code_for(tally: Tally, max_rejected_fraction: float) -> int:
    """Return 1 if too many rows were rejected or the counts do not add up, else 0."""
    if not tally.balanced:
        tools.out.print(
            "internal error: rows are not the sum of kept and rejected ones; the counts are not reliable"
        )
        return 1
    if tally.rejected_fraction > max_rejected_fraction:
        tools.out.print(
            f"{100 * tally.rejected_fraction:.2f}% rejected, over the {100 * max_rejected_fraction:g}% of --max-rejects"
        )
        return 1
    return 0


def run(args: argparse.Namespace) -> int:
    """Check files; return 1 for too many rejected rows, or for any defect with ``--strict``."""
    log = tools.configure_log(args.log_format)
    started_s = time.monotonic()
    total = sum(Path(path).stat().st_size for path in args.files if Path(path).exists())
    with tools.progress("checking") as bar:
        # The size of the files that are done, and the offset in the current file.
        task, progress_bytes = bar.add_task("", total=total), [0, 0]

        def report_position(position: int) -> None:
            if position < progress_bytes[1]:
                progress_bytes[0] += progress_bytes[1]
            progress_bytes[1] = position
            bar.update(task, completed=progress_bytes[0] + position)

        reader = create_reader(args, args.layout, report_position)
        try:
            if args.mapping:
                builder = Builder(Mapping.load(args.mapping, None), reader, BuildOptions())
                builder.stores_requests = False
                builder.read(args.files)
            else:
                for _ in reader.rows(args.files):
                    pass
        except StrictError as error:
            tools.write_json(args.json, reader.tally.document())
            tools.out.print(f"{error}", markup=False)
            return 1
    seconds = time.monotonic() - started_s
    log.info("checked", rows=reader.tally.rows, seconds=round(seconds, 2), files=len(args.files))
    tools.write_json(args.json, reader.tally.document())
    print_tally(reader.tally)
    return exit_code_for(reader.tally, args.max_rejects)
