"""``trace stats``: rates, burstiness and class mix of a plan, with plots."""

from __future__ import annotations

import argparse
from pathlib import Path

from umberusher.commands import tools
from umberusher.traces.plan import Plan
from umberusher.traces.stats import arrival_counts, plan_statistics, work_by_class


def run(args: argparse.Namespace) -> int:
    """Print the statistics; write JSON and plots if requested; return 0."""
    plan = Plan.load(args.plan)
    statistics = plan_statistics(plan)
    tools.write_json(args.json, statistics)
    tools.table(
        Path(args.plan).name,
        ["figure", "value"],
        [[name, value] for name, value in statistics.items() if not isinstance(value, dict)]
        + [[f"dispersion {width}", value] for width, value in statistics["dispersion"].items()],
    )
    tools.table(
        "classes",
        ["class", "requests", "share", "mean work ms", "p50", "p99", "most"],
        [
            [
                name,
                each["requests"],
                f"{100 * each['share']:.1f}%",
                each["mean_work_ms"],
                *(each["work_ms"].get(point, "-") for point in ("p50", "p99", "p100")),
            ]
            for name, each in statistics["by_class"].items()
        ],
    )
    if args.plots:
        from umberusher.traces import plots

        rate = arrival_counts(plan, 1.0)
        work = work_by_class(plan)
        tools.write(
            Path(args.plots) / "rate.svg",
            plots.series("arrivals", range(len(rate)), {"a second": rate}, y_label="requests"),
        )
        tools.write(
            Path(args.plots) / "work.svg",
            plots.cumulative_distribution("work", work, x_label="ms of one thread"),
        )
    return 0
