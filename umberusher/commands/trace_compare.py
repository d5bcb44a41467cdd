"""``trace compare``: replay a plan with several settings or seeds, in parallel processes."""

from __future__ import annotations

import argparse
import os

from umberusher.commands import tools
from umberusher.commands.trace_replay import replay_options
from umberusher.errors import UsageError
from umberusher.replay import compare
from umberusher.traces.plan import Plan


def run(args: argparse.Namespace) -> int:
    """Run all replays; return 1 if a rule is broken in any of them."""
    log = tools.configure_log(args.log_format)
    # A file that is not a plan fails here once, instead of in every process.
    Plan.load(args.plan)
    variants = compare.variations(replay_options(args), compare.parse(args.vary))
    if args.clock == "wall" and args.jobs != 1:
        raise UsageError("--clock wall: replays side by side would slow each other; give --jobs 1")
    jobs = min(args.jobs or os.cpu_count() or 1, len(variants))
    with tools.progress("comparing") as bar:
        task = bar.add_task("", total=len(variants))
        results = compare.run_all(args.plan, variants, jobs, lambda: bar.advance(task))
    rows = compare.summary([each.settings for each in variants], results)
    log.info("compared", replays=len(variants), jobs=jobs)
    tools.write_json(
        args.json,
        {
            "rows": rows,
            "runs": [
                {"settings": each.settings} | result
                for each, result in zip(variants, results, strict=True)
            ],
        },
    )
    names = list(rows[0]["by_class"])
    tools.table(
        "service, seeds put together",
        [
            "settings",
            "runs",
            "service",
            "dev",
            "lowest",
            "highest",
            "difference",
            "worst 10 s",
            *names,
            "attempts",
            "broken",
        ],
        [
            [
                ", ".join(f"{key}={value}" for key, value in row["settings"].items()) or "as given",
                row["runs"],
                *(
                    "-" if row[key] is None else f"{row[key]:.2f}"
                    for key in ("service", "deviation", "lowest", "highest")
                ),
                f"{row['difference']:+.2f} ({row['error']:.2f})" if "difference" in row else "-",
                f"{row['worst_10s']:.1f}",
                *(f"{row['by_class'][name]:.1f}" for name in names),
                f"{row['attempts']:.3f}",
                row["broken"],
            ]
            for row in rows
        ],
    )
    return 1 if any(row["broken"] for row in rows) else 0
