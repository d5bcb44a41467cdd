"""``trace plan``: compile files and a mapping into a plan."""

from __future__ import annotations

import argparse

from umberusher.commands import tools
from umberusher.commands.trace_check import create_reader, exit_code_for, print_tally
from umberusher.errors import UsageError
from umberusher.replay.site import CLASS_NAMES
from umberusher.traces.builder import Builder, BuildOptions, parse_window
from umberusher.traces.defects import StrictError
from umberusher.traces.machines import read_machines
from umberusher.traces.mapping import Mapping
from umberusher.traces.scripts import Script


def run(args: argparse.Namespace) -> int:
    """Compile a plan; return 1 if a defect is not accepted or too many rows are rejected."""
    log = tools.configure_log(args.log_format)
    for name, low, high in (
        ("rate", 0.001, 1e6),
        ("thin", 0.0001, 1.0),
        ("stretch", 0.001, 1000.0),
    ):
        value = getattr(args, name)
        if value is not None and not low <= value <= high:
            raise UsageError(f"--{name}: expected {low:g} to {high:g}, got {value:g}")
    options = BuildOptions(
        args.seed,
        parse_window(args.window) if args.window else None,
        args.rate,
        args.thin,
        args.stretch,
    )
    reader = create_reader(args, args.layout)
    builder = Builder(Mapping.load(args.mapping, CLASS_NAMES), reader, options)
    machine_reader = create_reader(args, "google-2011-machine-events")
    try:
        builder.read(args.files)
        script = Script.load(args.machine_mapping) if args.machine_mapping else None
        machines = read_machines(args.machines, machine_reader, script) if args.machines else []
    except StrictError as error:
        tools.out.print(f"{error}", markup=False)
        return 1
    plan = builder.plan(args.files, machines)
    size = plan.save(args.output)
    log.info(
        "plan written",
        requests=len(plan),
        seconds=round(plan.seconds, 1),
        bytes=size,
        digest=plan.digest,
    )
    for tally in (reader.tally, *([machine_reader.tally] if args.machines else [])):
        print_tally(tally)
    for reason, count in builder.skipped_counts.most_common():
        tools.out.print(f"left out: {reason}: {count}", markup=False)
    return max(
        exit_code_for(reader.tally, args.max_rejects),
        exit_code_for(machine_reader.tally, args.max_rejects),
    )
