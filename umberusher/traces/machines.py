"""Converts the machine events of a trace to changes of the fleet in a replay."""

from __future__ import annotations

from typing import Any

from umberusher.traces.defects import DefectReason
from umberusher.traces.layouts import MACHINE_EVENT_NAMES, MACHINE_EVENTS
from umberusher.traces.ordering import Row
from umberusher.traces.plan import MachineEvent
from umberusher.traces.reader import Reader
from umberusher.traces.scripts import Script, ScriptError

DEFAULT_KIND = "std-8"
MACHINE_FUNCTION = "machine"


def read_machines(paths: list[str], reader: Reader, script: Script | None) -> list[MachineEvent]:
    """Return the events of the machines that are part of the fleet.

    Args:
        paths: Files of machine events.
        reader: Reads the files and counts the rows on which the script fails.
        script: May define ``machine(row)``; without that function all machines are of the default
            kind, which is the small one.
    """
    events = []
    active: set[str] = set()
    for row in reader.rows(paths):
        values = _named_values(row)
        try:
            kind = _kind(values, script)
        except ScriptError as error:
            reader.tally.kept -= 1
            reader.tally.reject(DefectReason.MAPPING_FAILED, row.file, row.line, str(error))
            continue
        name = f"m-{values['machine_id']}"
        event = values["event_type"]
        if event == "ADD" and kind is not None:
            active.add(name)
        elif name not in active:
            continue  # The mapping leaves the machine out, or the event precedes its ADD.
        elif event == "REMOVE":
            active.discard(name)
        events.append(MachineEvent(row.time_us, name, event, kind))
    return events


def _named_values(row: Row) -> dict[str, Any]:
    names = MACHINE_EVENTS.tables[0].column_names
    values = dict(zip(names, row.values, strict=True)) | {"time_us": row.time_us}
    values["event_type"] = MACHINE_EVENT_NAMES[values["event_type"]]
    return values


def _kind(values: dict[str, Any], script: Script | None) -> str | None:
    if script is None or not script.has(MACHINE_FUNCTION):
        return DEFAULT_KIND
    kind: str | None = script.call(MACHINE_FUNCTION, values)
    return kind


def rebase_machine_events(
    events: list[MachineEvent], start_us: int, scale: float, limit_us: float
) -> list[MachineEvent]:
    """Return the events from a plan's start on; machines added earlier get an ADD event at time 0.

    Args:
        events: The events, in the time of the trace.
        start_us: The plan's start, in the time of the trace.
        scale: Factor from the trace's time to the plan's.
        limit_us: The plan's end, in the plan's time.
    """
    active: dict[str, MachineEvent] = {}
    later = []
    for event in events:
        at_us = round((event.at_us - start_us) * scale)
        if at_us <= 0:
            if event.event == "REMOVE":
                active.pop(event.machine, None)
            else:
                kind = event.kind or DEFAULT_KIND
                active[event.machine] = MachineEvent(0, event.machine, "ADD", kind)
        elif at_us < limit_us:
            later.append(MachineEvent(at_us, event.machine, event.event, event.kind))
    return [*active.values(), *later]
