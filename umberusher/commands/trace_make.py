"""``trace make``: write a synthetic trace in the layout of Google's task events."""

from __future__ import annotations

import argparse
from pathlib import Path

from umberusher.commands import tools
from umberusher.errors import UsageError
from umberusher.traces.patterns import machine_events, task_events


def run(args: argparse.Namespace) -> int:
    """Write the trace line by line; return 0."""
    if args.seconds <= 0 or args.rate <= 0:
        raise UsageError("--seconds and --rate must be over 0")
    count = 0
    try:
        with Path(args.output).open("w", encoding="ascii") as target:
            for line in task_events(args.pattern, args.seconds, args.rate, args.seed, args.rows):
                target.write(line + "\n")
                count += 1
    except OSError as error:
        raise UsageError(f"{args.output}: {error.strerror}") from None
    if args.machines:
        tools.write(
            args.machines,
            "".join(
                f"{line}\n" for line in machine_events(args.pattern, args.seconds, args.seed)
            ).encode(),
        )
    tools.out.print(f"{args.output}: {count} rows")
    return 0
