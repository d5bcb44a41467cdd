"""Records a scene: delays of changes as they occur, and all other counts at its end."""

from __future__ import annotations

from array import array
from collections import Counter
from collections.abc import Collection
from dataclasses import replace

from umberusher.scale.broker_settings import ORDINARY_TYPE
from umberusher.scale.endpoint_list import PublishedList
from umberusher.scale.plan import Plan
from umberusher.scale.scene_counts import MachineSecond, SceneCounts
from umberusher.simulated_fleet.broker import SimulatedBroker
from umberusher.simulated_fleet.discovery_service import SimulatedDiscoveryService
from umberusher.simulated_fleet.engines import SimulatedEngines
from umberusher.simulated_fleet.rule_checker import RuleChecker
from umberusher.simulated_fleet.statement_counts import StatementCounts
from umberusher.simulated_fleet.update_history import UpdateHistory
from umberusher.standin.clock import StepLoop

# An idle connection is closed one second before the keepalive time of 15 s has passed.
IDLE_CONNECTION_MS = 14_000.0
MICROSECONDS = 1e6  # in a second
# A change newer than twice the propagation time plus this may still be in transit.
IN_TRANSIT_S = 2.0


class Recorder:
    """The counts of the scene that is played.

    Args:
        loop: The step loop of the worker.
        plan: The run's plan.
        history: The published updates.
        service: The discovery service.
        engines: The engines.
        checker: The rule checker.
        statement_counts: The outcomes of statements.
    """

    def __init__(
        self,
        loop: StepLoop,
        plan: Plan,
        history: UpdateHistory,
        service: SimulatedDiscoveryService,
        engines: SimulatedEngines,
        checker: RuleChecker,
        statement_counts: StatementCounts,
    ) -> None:
        self._loop = loop
        self._plan = plan
        self._history = history
        self._service = service
        self._engines = engines
        self._checker = checker
        self._statement_counts = statement_counts
        self.counts = SceneCounts()
        self._scene_start_s = loop.now
        # By region: when it last reconnected. The delay of an older change counts from then.
        self.reconnected_at_s = [0.0] * plan.size.regions

    def begin(self, duration_s: float) -> None:
        """Count from zero for a scene that starts now."""
        self.counts = SceneCounts(duration_s=duration_s)
        self._scene_start_s = self._loop.now
        self._engines.reset_counts()
        self._statement_counts.reset()
        self._checker.reset_counts()
        self._service.reset_counts()

    def list_updated(self, broker: SimulatedBroker, before: int, after: int) -> None:
        """Record the delay of each change that has come into force at a broker."""
        now_s = self._loop.now
        reconnected_at_s = self.reconnected_at_s[broker.region]
        for revision in range(before + 1, after + 1):
            changed_at_s = self._history.updates[revision - 1].changed_at_s
            # A broker that started later received the change with its first list.
            if changed_at_s >= broker.started_at_s:
                delay_s = now_s - max(changed_at_s, reconnected_at_s)
                self.counts.add_change(revision, round(delay_s * MICROSECONDS))

    def start_sampling(self) -> None:
        """Count the outcomes of statements in each second of the scene."""
        self._sample(self.counts, Counter())

    def _sample(self, counts: SceneCounts, before: Counter[str]) -> None:
        # The timer of a scene's last second may fire in the next scene.
        if counts is not self.counts:
            return
        outcomes = Counter(self._statement_counts.outcomes)
        if self._loop.now > self._scene_start_s:
            counts.outcomes_by_second.append(outcomes - before)
        if len(counts.outcomes_by_second) + 1 < counts.duration_s:
            self._loop.call_later(1000.0, lambda: self._sample(counts, outcomes))

    def count_not_notified(self, brokers: Collection[SimulatedBroker]) -> None:
        """Count brokers that received no updates during a loss.

        They are counted when the loss ends, since only a part of its duration is played.
        """
        in_transit_s = 2 * self._plan.size.propagation_max_s + IN_TRANSIT_S
        limit_s = self._loop.now - in_transit_s
        due_revision = sum(update.changed_at_s < limit_s for update in self._history.updates)
        self.counts.not_notified = sum(
            broker.endpoints.revision < due_revision for broker in brokers
        )

    def finish(self, brokers: Collection[SimulatedBroker], published: PublishedList) -> SceneCounts:
        """Count the state at the scene's end, and return all counts."""
        counts = self.counts
        numbers = self._engines.numbers
        counts.brokers = len(brokers)
        counts.serving_engines = sorted(
            numbers[entry.engine] for entry in published.serving(ORDINARY_TYPE)
        )
        empty = bytes(array("L").itemsize * len(numbers))
        counts.connections = array("L", empty)
        counts.known_to_brokers = array("L", empty)
        counts.in_subset_of_brokers = array("L", empty)
        for broker in brokers:
            broker.close_idle_connections(IDLE_CONNECTION_MS)
            self._count_broker(broker)
            self._count_engines(broker)
        self._count_machines()
        self._copy_counts()
        counts.overdue = self._overdue(brokers)
        return counts

    def _count_broker(self, broker: SimulatedBroker) -> None:
        counts = self.counts
        view = self._service.views[broker.region]
        counts.behind += broker.endpoints.revision < view.revision
        counts.list_differs += len(broker.endpoints.directory) != len(view.entries)
        counts.control_bytes.append(self._service.broker_bytes.get(broker.name, 0))
        if broker.started_at_s >= self._scene_start_s:
            if broker.ready_at_s is None:
                counts.not_ready += 1
            else:
                ready_s = broker.ready_at_s - broker.started_at_s
                counts.ready_us.append(round(ready_s * MICROSECONDS))
        for kind, count in broker.state_counts().items():
            counts.largest_state_counts[kind] = max(counts.largest_state_counts.get(kind, 0), count)

    def _count_engines(self, broker: SimulatedBroker) -> None:
        counts = self.counts
        numbers = self._engines.numbers
        for name in broker.connections:
            counts.connections[numbers[name]] += 1
        for name, engine in broker.balancer.engines.items():
            counts.known_to_brokers[numbers[name]] += 1
            counts.in_subset_of_brokers[numbers[name]] += engine.in_subset

    def _count_machines(self) -> None:
        first_second = int(self._scene_start_s)
        for machine in self._service.machines:
            for second, traffic in machine.traffic.items():
                key = MachineSecond(machine.number, second - first_second)
                self.counts.machine_traffic[key] = replace(traffic)

    def _copy_counts(self) -> None:
        counts = self.counts
        statement_counts = self._statement_counts
        checker = self._checker
        counts.outcomes = Counter(statement_counts.outcomes)
        counts.attempt_outcomes = Counter(statement_counts.attempt_outcomes)
        counts.attempts = statement_counts.attempts
        counts.not_listed = statement_counts.not_listed
        counts.statements = self._engines.statements[:]
        counts.attempts_to_closed = checker.attempts_to_closed
        counts.violations = Counter(checker.violations)
        counts.descriptions = checker.descriptions.copy()

    def _overdue(self, brokers: Collection[SimulatedBroker]) -> int:
        """Return the number of open statements past their deadline: none of them will ever end."""
        now_s = self._loop.now
        return sum(
            statement.deadline_timer.due_s < now_s
            for broker in brokers
            for statement in broker.statements.open.values()
        )
