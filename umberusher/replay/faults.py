"""Fault scripts: which engine has which fault when, in Starlark, as a list of values.

faults = [
    silent("n-1", at=10, until=20),        # reads everything, answers nothing
    reset("n-2", at=15),                   # resets its connections, keeps running
    cut("n-2", at=16, after=40),           # cuts its next result after 40 bytes, by a reset
    late_reports("n-0", at=5, until=25, by_ms=2000),
    die("n-3", at=30, back=45),            # its process ends; a new one starts at ``back``
    drain("n-4", at=20, back=40),          # the discovery service lists it as draining
    sick("n-0", at=3, until=9),            # answers health checks with SICK
    delay("n-1", at=0, until=60, by_ms=25),    # delays each direction by this much
    slow("n-2", at=5, until=9, rate=10),   # reads at most this many bytes a second
    stall("all", at=12, until=12.5),  # step clock: time passes, nothing runs; wall: brokers stop
]
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from umberusher.traces.scripts import Script, ScriptError

MAX_FAULTS = 1_000
MAX_SHOWN_CHARS = 40  # of a wrong value, in an error's text


class FaultKind(StrEnum):
    """The kinds of faults, by their words in scripts."""

    UNRESPONSIVE = "silent"
    RESET = "reset"
    CUT_RESULT = "cut"
    DELAYED_REPORTS = "late_reports"
    CRASH = "die"
    DRAIN = "drain"
    SICK = "sick"
    NETWORK_DELAY = "delay"
    SLOW_READER = "slow"
    STALL = "stall"


ARGUMENTS: dict[FaultKind, tuple[str, ...]] = {
    FaultKind.UNRESPONSIVE: ("until",),
    FaultKind.RESET: (),
    FaultKind.CUT_RESULT: ("after",),
    FaultKind.DELAYED_REPORTS: ("until", "by_ms"),
    FaultKind.CRASH: ("back",),
    FaultKind.DRAIN: ("back",),
    FaultKind.SICK: ("until",),
    FaultKind.NETWORK_DELAY: ("until", "by_ms"),
    FaultKind.SLOW_READER: ("until", "rate"),
    FaultKind.STALL: ("until",),
}
"""The arguments of each kind, besides ``node`` and ``at``."""

OPTIONAL_ARGUMENTS = {"back"}
END_ARGUMENTS = ("until", "back")


@dataclass(slots=True)
class Fault:
    """One fault; the fields are the arguments of scripts. Times are s since the replay's start.

    Attributes:
        node: The engine's name.
        back: When a crashed or draining engine serves again; None for never.
        after: Bytes of a result that are written.
        by_ms: Delay of load reports, or of each network direction.
        rate: Bytes a second that are read.
    """

    kind: FaultKind
    node: str
    at: float
    until: float = 0.0
    back: float | None = None
    after: int = 0
    by_ms: float = 0.0
    rate: float = 0.0


def load_faults(path: str) -> list[Fault]:
    """Return the faults of a script, by time.

    Raises:
        ScriptError: Names the file, the fault and the field that are wrong.
    """
    script = Script.load(path, prelude=_prelude(), values=("faults",))
    items = script.get("faults")
    if not isinstance(items, list) or len(items) > MAX_FAULTS:
        raise ScriptError(f"{script.name}: faults must be a list of at most {MAX_FAULTS}")
    faults = [_parse_fault(script.name, number, item) for number, item in enumerate(items)]
    return sorted(faults, key=lambda fault: fault.at)


def _prelude() -> str:
    """Return the script functions that make a fault of each kind."""
    functions = []
    for kind, names in ARGUMENTS.items():
        arguments = "".join(
            f", {name} = None" if name in OPTIONAL_ARGUMENTS else f", {name}" for name in names
        )
        values = "".join(f', "{name}": {name}' for name in names)
        functions.append(
            f"def {kind}(node, at{arguments}):\n"
            f'    return {{"kind": "{kind}", "node": node, "at": at{values}}}'
        )
    return "\n".join(functions)


def _parse_fault(script_name: str, number: int, item: Any) -> Fault:
    kinds = list(FaultKind)
    if not isinstance(item, dict) or item.get("kind") not in kinds:
        raise ScriptError(f"{script_name}: faults[{number}] is none of {', '.join(kinds)}")
    kind = FaultKind(item["kind"])
    place = f"{script_name}: faults[{number}] ({kind})"
    for name in ("at", *ARGUMENTS[kind]):
        if item.get(name) is None and name in OPTIONAL_ARGUMENTS:
            continue
        _check_number(place, name, item.get(name))
    if not isinstance(item["node"], str):
        raise ScriptError(f"{place}: node must be a text")
    for name in END_ARGUMENTS:
        if item.get(name) is not None and item[name] <= item["at"]:
            raise ScriptError(f"{place}: {name} must be later than at")
    return Fault(**(item | {"kind": kind}))


def _check_number(place: str, name: str, value: object) -> None:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or value < 0:  # type: ignore[operator,arg-type]
        shown = str(value)[:MAX_SHOWN_CHARS]
        raise ScriptError(f"{place}: {name} must be a number of at least 0, not {shown!r}")
