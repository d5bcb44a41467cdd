"""The counts of a scene in one worker, and how the counts of all workers are merged.

All results are integers or largest values, so that neither the order in which workers report nor
their number changes a result.
"""

from __future__ import annotations

from array import array
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from umberusher.simulated_fleet.control_machine import MachineTraffic

SUMMED_FIELDS = (
    "brokers",
    "not_ready",
    "behind",
    "list_differs",
    "attempts",
    "not_listed",
    "attempts_to_closed",
    "overdue",
    "not_switched_over",
    "cpu_s",
    "memory_mb",
)
COUNTER_FIELDS = ("brokers_applied", "outcomes", "attempt_outcomes", "violations")
LIST_FIELDS = ("ready_us", "control_bytes", "switchover_us", "descriptions")
ARRAY_FIELDS = ("statements", "connections", "known_to_brokers", "in_subset_of_brokers")


class MachineSecond(NamedTuple):
    """A control machine's number, and a second of the scene."""

    machine: int
    second: int


def _counts_by_engine() -> array[int]:
    return array("L")


@dataclass(slots=True)
class SceneCounts:
    """The counts of one scene.

    Attributes:
        duration_s: How long the scene was played.
        brokers: Brokers at its end.
        slowest_us: By revision: time until the change was in force at the last broker.
        brokers_applied: By revision: brokers where the change came into force.
        ready_us: Of each broker that started in the scene: time until its first list.
        not_ready: Brokers that started and have no list.
        behind: Brokers with an older revision at the end than their region's machines.
        list_differs: Brokers whose list at the end is not as long as the machines'.
        control_bytes: Bytes between each broker and discovery.
        machine_traffic: Traffic of each control machine in each second.
        outcomes: Statements by outcome.
        attempt_outcomes: Attempts by outcome.
        outcomes_by_second: Statements by outcome, for each second.
        attempts: Attempts that were sent.
        not_listed: Attempts that the endpoint list did not allow to be sent.
        attempts_to_closed: Attempts to engines known as draining or deleted.
        violations: Violations by rule.
        descriptions: Descriptions of the first violations.
        overdue: Statements that are open past their deadline.
        serving_engines: Numbers of the serving engines, the same in all workers.
        statements: Statements received, by engine number.
        connections: Connections, by engine number.
        known_to_brokers: Brokers whose load balancer knows the engine, by engine number.
        in_subset_of_brokers: Brokers with the engine in their subset, by engine number.
        largest_state_counts: By kind of state: the largest count at any broker.
        not_notified: Brokers that received no updates during a loss; None without a loss.
        switchover_us: By broker: time from the old primary's drain until the new one serves it.
        not_switched_over: Brokers that the new primary has not served.
        cpu_s: Processor time of the worker.
        memory_mb: Memory of the worker.
    """

    duration_s: float = 0.0
    brokers: int = 0
    slowest_us: dict[int, int] = field(default_factory=dict)
    brokers_applied: Counter[int] = field(default_factory=Counter)
    ready_us: list[int] = field(default_factory=list)
    not_ready: int = 0
    behind: int = 0
    list_differs: int = 0
    control_bytes: list[int] = field(default_factory=list)
    machine_traffic: dict[MachineSecond, MachineTraffic] = field(default_factory=dict)
    outcomes: Counter[str] = field(default_factory=Counter)
    attempt_outcomes: Counter[str] = field(default_factory=Counter)
    outcomes_by_second: list[Counter[str]] = field(default_factory=list)
    attempts: int = 0
    not_listed: int = 0
    attempts_to_closed: int = 0
    violations: Counter[str] = field(default_factory=Counter)
    descriptions: list[str] = field(default_factory=list)
    overdue: int = 0
    serving_engines: list[int] = field(default_factory=list)
    statements: array[int] = field(default_factory=_counts_by_engine)
    connections: array[int] = field(default_factory=_counts_by_engine)
    known_to_brokers: array[int] = field(default_factory=_counts_by_engine)
    in_subset_of_brokers: array[int] = field(default_factory=_counts_by_engine)
    largest_state_counts: dict[str, int] = field(default_factory=dict)
    not_notified: int | None = None
    switchover_us: list[int] = field(default_factory=list)
    not_switched_over: int = 0
    cpu_s: float = 0.0
    memory_mb: float = 0.0

    def add_change(self, revision: int, delay_us: int) -> None:
        """Count a change that came into force at one broker."""
        self.brokers_applied[revision] += 1
        if delay_us > self.slowest_us.get(revision, -1):
            self.slowest_us[revision] = delay_us


def merge(counts_by_worker: Sequence[SceneCounts]) -> SceneCounts:
    """Return the merged counts of all workers.

    Raises:
        ValueError: The workers have not played the same script.
    """
    first = counts_by_worker[0]
    total = SceneCounts(duration_s=first.duration_s, serving_engines=first.serving_engines)
    for worker_counts in counts_by_worker:
        if (
            worker_counts.serving_engines != first.serving_engines
            or worker_counts.duration_s != first.duration_s
        ):
            raise ValueError("workers have not played the same script")
        _merge_fields(total, worker_counts)
        _merge_mappings(total, worker_counts)
        _merge_seconds(total.outcomes_by_second, worker_counts.outcomes_by_second)
    return total


def _merge_fields(total: SceneCounts, worker_counts: SceneCounts) -> None:
    for name in SUMMED_FIELDS:
        setattr(total, name, getattr(total, name) + getattr(worker_counts, name))
    if worker_counts.not_notified is not None:
        total.not_notified = (total.not_notified or 0) + worker_counts.not_notified
    for name in COUNTER_FIELDS:
        getattr(total, name).update(getattr(worker_counts, name))
    for name in LIST_FIELDS:
        getattr(total, name).extend(getattr(worker_counts, name))
    for name in ARRAY_FIELDS:
        sums = getattr(total, name)
        counts = getattr(worker_counts, name)
        setattr(total, name, array("L", map(int.__add__, sums, counts)) if sums else counts[:])


def _merge_mappings(total: SceneCounts, worker_counts: SceneCounts) -> None:
    for revision, slowest_us in worker_counts.slowest_us.items():
        total.slowest_us[revision] = max(total.slowest_us.get(revision, 0), slowest_us)
    for key, traffic in worker_counts.machine_traffic.items():
        total.machine_traffic[key] = total.machine_traffic.get(key, MachineTraffic()) + traffic
    for kind, count in worker_counts.largest_state_counts.items():
        total.largest_state_counts[kind] = max(total.largest_state_counts.get(kind, 0), count)


def _merge_seconds(total: list[Counter[str]], worker_counts: list[Counter[str]]) -> None:
    for second, counts in enumerate(worker_counts):
        if second == len(total):
            total.append(Counter())
        total[second].update(counts)
