"""``demo``: generates a synthetic trace and its plan, replays it with faults and writes a report page."""

from __future__ import annotations

import argparse
import tempfile
from pathlib import Path

from umberusher.commands import tools
from umberusher.commands.trace_replay import print_result
from umberusher.replay import report
from umberusher.replay.faults import Fault, FaultKind
from umberusher.replay.options import ReplayOptions
from umberusher.replay.replay import run_replay
from umberusher.replay.site import CLASS_NAMES
from umberusher.traces.builder import Builder, BuildOptions
from umberusher.traces.layouts import TASK_EVENTS
from umberusher.traces.mapping import Mapping
from umberusher.traces.patterns import task_events
from umberusher.traces.reader import Reader

DURATION_S, RATE_PER_S, SEED = 40.0, 110.0, 7
MAPPING_SCRIPT = """
def keep(row):
    return True if row["event_type"] == "SUBMIT" else "not a SUBMIT"
def query_class(row):
    if row["priority"] >= 9:
        return "load"
    return "lookup" if row["scheduling_class"] == 2 else "report"
def work_ms(row):
    return {"lookup": 90.0, "report": 2500.0, "load": 1800.0}[query_class(row)] * (0.5 + row["task_index"] % 3 * 0.5)
def memory_mb(row):
    return 20.0 + 4000.0 * row["memory_request"]
def key(row):
    return str(row["job_id"]) if query_class(row) == "load" else None
def group(row):
    return row["job_id"] % 12
"""


def run(args: argparse.Namespace) -> int:
    """Run the demo, which takes under a minute on one core; return 1 if a rule was broken."""
    tools.configure_log(args.log_format)
    with tempfile.TemporaryDirectory(prefix="umberusher-demo-") as folder:
        trace, script = Path(folder) / "demo-task-events.csv", Path(folder) / "demo.star"
        trace.write_text(
            "".join(
                f"{line}\n" for line in task_events("flash-crowd", DURATION_S, RATE_PER_S, SEED)
            )
        )
        script.write_text(MAPPING_SCRIPT)
        builder = Builder(
            Mapping.load(str(script), CLASS_NAMES), Reader(TASK_EVENTS), BuildOptions(seed=SEED)
        )
        builder.read([str(trace)])
        plan = builder.plan([str(trace)], [])
    tools.out.print(
        f"A synthetic trace of {DURATION_S:g} s, {len(plan)} requests, at five times the rate for 2 s; 7 stand-in "
        "nodes, of which one stops responding and one crashes; 2 brokers, on the step clock."
    )
    options = ReplayOptions(
        seed=SEED,
        faults=[
            Fault(FaultKind.UNRESPONSIVE, "n-1", 8.0, until=14.0),
            Fault(FaultKind.CRASH, "n-4", 22.0, back=30.0),
        ],
    )
    with tools.progress("replaying") as bar:
        task = bar.add_task("", total=len(plan))
        result = run_replay(plan, options, lambda done: bar.update(task, completed=done))
    print_result(result)
    page = Path(args.report) / "replay.html"
    tools.write(page, report.page("demo", plan, result, options))
    tools.out.print(f"report: {page}", markup=False)
    return 1 if result["rules_broken"] else 0
