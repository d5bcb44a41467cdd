"""``scale run``: simulates scenes with brokers on the step clock, then runs real brokers."""

from __future__ import annotations

import argparse
import signal
from collections.abc import Mapping
from enum import IntEnum
from pathlib import Path
from typing import Any

from umberusher.commands import tools
from umberusher.errors import UsageError
from umberusher.scale import plan as plans
from umberusher.scale.figures import Metric
from umberusher.scale.plan import Plan
from umberusher.scale.plan_fields import LOAD_FIELDS, SIZE_FIELDS
from umberusher.scale.record import HeadlineMetric, record
from umberusher.scale.run import RunResult, play
from umberusher.scale.scene_counts import SceneCounts

Figures = Mapping[str, Metric]

# The figure for the slowest change: its name in a scene, and the suffix of its names in the phases with
# real brokers.
SLOWEST_CHANGE = "change in force at the last broker, largest"
REAL_SLOWEST_SUFFIX = "in force, largest"
# The figures that are printed; the JSON holds all figures.
SHOWN_FIGURES = (
    SLOWEST_CHANGE,
    "control bytes of a broker, mean",
    "a control machine at its worst second, bytes",
    "connections an engine, largest over mean",
    "brokers with it in scope an engine, largest over mean",
    "statements served",
    "statements refused",
    "statements failed",
    "statements expired",
    "attempts to what was told as gone",
    "rules broken",
)
TABLE_HEADERS = ["figure", "value", "unit"]
MAX_DESCRIPTIONS = 20  # of broken rules, in the JSON


class Exit(IntEnum):
    """The exit codes of the command."""

    ALL_PLAYED = 0
    RULE_BROKEN = 1
    PARTLY_PLAYED = 3


def run(args: argparse.Namespace) -> int:
    """Run a plan and write its results; return the exit code."""
    log = tools.configure_log(args.log_format)
    plan = _read_plan(args)
    # During the run SIGTERM raises KeyboardInterrupt as Ctrl-C does, so that the workers end too.
    previous_handler = signal.signal(signal.SIGTERM, signal.default_int_handler)

    def on_scene(name: str, counts: SceneCounts) -> None:
        log.info(
            "scene played",
            scene=name,
            brokers=counts.brokers,
            cpu_s=round(counts.cpu_s, 1),
            memory_mb=round(counts.memory_mb),
            rules_broken=counts.violations.total(),
        )

    result = play(plan, on_scene) if args.only != "real" else RunResult()
    real_figures: Figures = {}
    if plan.real and args.only != "hollow":
        from umberusher.scale.real_brokers import play_real

        real_figures = play_real(plan, plan.real)
    signal.signal(signal.SIGTERM, previous_handler)
    print_result(result, real_figures)
    tools.write_json(args.json, _document(args, plan, result, real_figures))
    if args.plot:
        from umberusher.scale import plot

        tools.write(args.plot, plot.plot_scenes(result.counts))
    if any(counts.violations for counts in result.counts.values()):
        return Exit.RULE_BROKEN
    return Exit.PARTLY_PLAYED if result.not_run else Exit.ALL_PLAYED


def _read_plan(args: argparse.Namespace) -> Plan:
    """Return the plan, with the seed and the workers of the command line if given."""
    plan = plans.load(args.plan)
    if args.seed is not None:
        plan.size.seed = args.seed
    if args.workers is not None:
        max_workers = SIZE_FIELDS["workers"].max_value
        if not 1 <= args.workers <= max_workers:
            raise UsageError(f"--workers: expected 1 to {max_workers}, got {args.workers}")
        plan.size.workers = args.workers
    if args.only == "real" and not plan.real:
        raise UsageError(f"{plan.name}: real is not set: there are no real brokers to play")
    return plan


def _command(args: argparse.Namespace, plan: Plan) -> str:
    """Return the command that repeats the run."""
    command = f"umberusher scale run {args.plan} --seed {plan.size.seed:g}"
    command += f" --workers {plan.size.workers:g}"
    return f"{command} --only {args.only}" if args.only else command


def _headline(plan: Plan, scenes: Mapping[str, Figures], real: Figures) -> HeadlineMetric:
    """Return the slowest change of all scenes, or of the real brokers if there are no scenes."""
    delays_s = [
        figures[SLOWEST_CHANGE]["value"] for figures in scenes.values() if SLOWEST_CHANGE in figures
    ]
    if not delays_s:
        delays_s = [
            each["value"] for name, each in real.items() if name.endswith(REAL_SLOWEST_SUFFIX)
        ]
    return HeadlineMetric(
        plan.size.brokers,
        max(delays_s, default=0.0),
        "s",
        "time until a change is in force at the last broker, largest of all scenes",
    )


def _document(
    args: argparse.Namespace, plan: Plan, result: RunResult, real: Figures
) -> dict[str, Any]:
    """Return the JSON of the run."""
    by_scene = result.scenes | ({"real": dict(real)} if real else {})
    figures = {
        f"{scene}: {name}": each
        for scene, scene_figures in by_scene.items()
        for name, each in scene_figures.items()
    }
    descriptions = [
        description for counts in result.counts.values() for description in counts.descriptions
    ]
    details = {
        "size": plans.to_fields(plan.size, SIZE_FIELDS),
        "statements": plans.to_fields(plan.load, LOAD_FIELDS),
        "digest": result.digest,
        "not_run": result.not_run,
        "why_not_run": result.stop_reason,
        "run": result.resources,
        "clocks": {"scenes": "step", "real": "wall"},
        "statements_by_second": {
            scene: [dict(sorted(outcomes.items())) for outcomes in counts.outcomes_by_second]
            for scene, counts in result.counts.items()
        },
        "breaches": descriptions[:MAX_DESCRIPTIONS],
    }
    return record(
        f"scale-{args.name or Path(args.plan).stem}",
        plan,
        _command(args, plan),
        figures,
        _headline(plan, result.scenes, real),
        details,
    )


def print_result(result: RunResult, real: Figures) -> None:
    """Print the main figures as tables."""
    resources = result.resources
    if resources:
        tools.out.print(
            f"step clock, digest {result.digest}; the run took {resources['wall']['value']} s and "
            f"{resources['memory, largest']['value']} MB on {result.workers} workers",
            markup=False,
        )
    for scene in result.not_run:
        tools.out.print(f"NOT RUN: {scene}", markup=False)
    if result.stop_reason:
        tools.out.print(f"stopped: {result.stop_reason}", markup=False)
    for scene, figures in result.scenes.items():
        shown = {name: figures[name] for name in SHOWN_FIGURES if name in figures}
        tools.table(scene, TABLE_HEADERS, _rows(shown))
    if real:
        tools.table("real brokers, wall clock", TABLE_HEADERS, _rows(real))


def _rows(figures: Figures) -> list[list[Any]]:
    return [[name, each["value"], each["unit"]] for name, each in figures.items()]
