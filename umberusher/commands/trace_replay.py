"""``trace replay``: replay a plan through real brokers and score it."""

from __future__ import annotations

import argparse
import json
import signal
from pathlib import Path
from typing import Any

from umberusher.commands import tools
from umberusher.errors import UsageError
from umberusher.replay.faults import load_faults
from umberusher.replay.options import ClockKind, ReplayOptions
from umberusher.replay.plans import merge
from umberusher.replay.replay import run_replay
from umberusher.traces.plan import Plan

EXIT_NOT_SCORED, EXIT_RULE_BROKEN = 3, 1
# File descriptors of this process itself, and of each broker with its discovery service and its first
# clients.
RESERVED_DESCRIPTORS, DESCRIPTORS_PER_BROKER = 64, 24


def replay_options(args: argparse.Namespace) -> ReplayOptions:
    """Return the options of a replay; raise UsageError if they are not valid."""
    tools.check_instance_count("--nodes", args.nodes)
    tools.check_instance_count("--brokers", args.brokers)
    if not 0 <= args.leave <= 1 or not 0 <= args.tight <= 1:
        raise UsageError("--leave, --tight: expected a share from 0 to 1")
    return ReplayOptions(
        clock=ClockKind(args.clock),
        seed=args.seed,
        engine_count=args.nodes,
        broker_count=args.brokers,
        max_client_retries=args.retries,
        disconnect_fraction=args.leave,
        tight_deadline_fraction=args.tight,
        cancellation=args.cancel,
        terms=args.terms,
        clock_skew_ms=args.skew,
        receipts=args.receipts,
        faults=load_faults(args.faults) if args.faults else [],
    )


def print_result(result: dict[str, Any]) -> None:
    """Print a result as tables."""
    scored = "not scored" if result["service"] is None else f"service {result['service']}"
    tools.out.print(
        f"{scored}  played {result['played']}/{result['planned']} requests on the {result['clock']} clock in "
        f"{result['took_s']} s  attempts {result['attempts']}  digest {result['digest']}"
    )
    if result["partial"]:
        tools.out.print("PARTIAL: stopped before the end of the plan")
    if not result["kept_pace"]:
        tools.out.print(
            f"NOT SCORED: the clients could not keep pace: {result['client_lag_ms']} ms late"
        )
    tools.table(
        "classes",
        [
            "class",
            "requests",
            "service",
            "served",
            "late",
            "refused",
            "failed",
            "expired",
            "p50 ms",
            "p99 ms",
        ],
        [
            [
                name,
                each["requests"],
                "-" if each["service"] is None else each["service"],
                *(
                    each["ends"].get(end, 0)
                    for end in ("served", "late", "refused", "failed", "expired")
                ),
                each["latency_ms"].get("p50", "-"),
                each["latency_ms"].get("p99", "-"),
            ]
            for name, each in result["by_class"].items()
        ],
    )
    if result["teams"]:
        tools.table(
            "teams",
            ["team", "requests", "service", "whole", "worst 10 s"],
            [
                [name, each["requests"], each["service"], each["whole"], each["worst_10s"]]
                for name, each in result["teams"].items()
            ],
        )
    if result["breaches"] or result["rules_broken"]:
        tools.table(
            "RULES BROKEN", ["rule", "times"], [[rule, n] for rule, n in result["breaches"].items()]
        )
        for each in result["rules_broken"][:10]:
            tools.out.print(f"  {each['at_ms']} ms  {each['rule']}: {each['what']}", markup=False)
    else:
        tools.out.print("rules: all kept, by what crossed the sockets")


def run(args: argparse.Namespace) -> int:
    """Run the replay; return 0 if it was scored, 1 if a rule was broken, 3 if it was not scored."""
    log = tools.configure_log(args.log_format)
    options, plan = replay_options(args), Plan.load(args.plan)
    tools.ensure_descriptor_limit(
        RESERVED_DESCRIPTORS + options.engine_count + options.broker_count * DESCRIPTORS_PER_BROKER
    )
    options.keep_event_log = bool(args.wire_log)
    options.keep_request_events = bool(args.deadline_log)
    if args.team:
        plans = {args.first: plan} | {
            name: Plan.load(path) for name, _, path in (each.partition("=") for each in args.team)
        }
        merged = merge(plans)
        plan = merged.plan
        options.request_teams = merged.request_teams
    options.contract_path = args.contract
    # During the replay SIGTERM raises KeyboardInterrupt, as Ctrl-C does.
    previous_handler = signal.signal(signal.SIGTERM, signal.default_int_handler)
    with tools.progress("replaying") as bar:
        task = bar.add_task("", total=len(plan))
        result = run_replay(plan, options, lambda done: bar.update(task, completed=done))
    signal.signal(signal.SIGTERM, previous_handler)
    lines = result.pop("log", None)
    if args.wire_log:
        tools.write(args.wire_log, "\n".join(lines).encode() + b"\n")
    request_events = result.pop("stories", None)
    if args.deadline_log:
        tools.write(
            args.deadline_log,
            "".join(json.dumps(each) + "\n" for each in request_events or ()).encode(),
        )
    log.info(
        "replayed",
        service=result["service"],
        took_s=result["took_s"],
        rules_broken=len(result["rules_broken"]),
        digest=result["digest"],
    )
    tools.write_json(args.json, result)
    print_result(result)
    if args.report:
        from umberusher.replay import report

        tools.write(
            Path(args.report) / "replay.html",
            report.page(Path(args.plan).name, plan, result, options),
        )
        tools.write_json(str(Path(args.report) / "replay.json"), result)
        tools.out.print(f"report: {Path(args.report) / 'replay.html'}", markup=False)
    if result["rules_broken"]:
        return EXIT_RULE_BROKEN
    return EXIT_NOT_SCORED if result["service"] is None else 0
