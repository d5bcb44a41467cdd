"""A small plan and a list of faults for the tests of replays."""

from __future__ import annotations

from umberusher.replay import site
from umberusher.replay.faults import Fault, FaultKind
from umberusher.traces.plan import Plan


def plan_of(seconds: float = 6.0, rate: float = 60.0, keys: int = 40) -> Plan:
    plan = Plan(site.CLASS_NAMES)
    plan.keys = ["", *(f"k{number}" for number in range(keys))]
    for number in range(int(seconds * rate)):
        query_class = 2 if number % 11 == 0 else 1 if number % 7 == 0 else 0
        row = (
            int(number * 1e6 / rate),
            query_class,
            (60.0, 900.0, 500.0)[query_class] * (0.5 + number % 5 / 4),
            40.0,
            number % 12,
            1 + number // 11 % keys if query_class == 2 else 0,
            number,
        )
        for column, value in zip(plan.columns.values(), row, strict=True):
            column.append(value)
    return plan


FAULTS = [
    Fault(FaultKind.UNRESPONSIVE, "n-1", 1.0, until=3.0),
    Fault(FaultKind.RESET, "n-0", 1.5),
    Fault(FaultKind.CRASH, "n-3", 2.0, back=4.0),
    Fault(FaultKind.DRAIN, "n-2", 2.5, back=4.0),
    Fault(FaultKind.CUT_RESULT, "n-0", 3.0, after=30),
    Fault(FaultKind.DELAYED_REPORTS, "n-4", 0.5, until=5.0, by_ms=900.0),
    Fault(FaultKind.SICK, "n-4", 1.0, until=1.5),
]
