"""Starts and stops the simulated brokers of one worker."""

from __future__ import annotations

from collections.abc import Sequence

from umberusher.scale.broker_settings import broker_settings
from umberusher.scale.draws import hash_label
from umberusher.scale.plan import Plan
from umberusher.scale.statement_bursts import StatementBursts
from umberusher.simulated_fleet.broker import BrokerIdentity, BrokerObserver, SimulatedBroker
from umberusher.simulated_fleet.discovery_service import SimulatedDiscoveryService
from umberusher.simulated_fleet.engines import SimulatedEngines
from umberusher.simulated_fleet.rule_checker import RuleChecker
from umberusher.simulated_fleet.statement_counts import StatementCounts, StatementOutcome
from umberusher.standin.clock import StepLoop


def broker_name(position: int) -> str:
    """Return the name of the broker at a position of the fleet."""
    return f"b{position}"


def broker_position(name: str) -> int:
    """Return the position for which ``broker_name`` gave this name."""
    return int(name[1:])


class BrokerFleet:
    """The brokers at some positions of the fleet.

    Args:
        loop: The step loop of the worker.
        plan: The run's plan.
        positions: The positions that this worker plays.
        service: The discovery service that brokers follow.
        engines: The engines that they send to.
        checker: Checks the brokers' behaviour against the rules.
        counts: Counts the outcomes of statements.
        observer: Is notified of list updates and served statements.
    """

    def __init__(
        self,
        loop: StepLoop,
        plan: Plan,
        positions: Sequence[int],
        service: SimulatedDiscoveryService,
        engines: SimulatedEngines,
        checker: RuleChecker,
        counts: StatementCounts,
        observer: BrokerObserver,
    ) -> None:
        self._loop = loop
        self._size = plan.size
        self.positions = positions
        self._service = service
        self._engines = engines
        self._checker = checker
        self._counts = counts
        self._observer = observer
        self._bursts = StatementBursts(loop, plan.load, plan.size.seed)
        self.running: dict[int, SimulatedBroker] = {}
        self._addresses: dict[int, tuple[str, int]] = {}
        # Counts restarts; it is part of a broker's seed, so a restarted broker has another seed.
        self.incarnation = 0

    def region_of(self, position: int) -> int:
        """Return the region of the broker at a position."""
        return position % self._size.zones % self._size.regions

    def start(self, position: int) -> None:
        """Start the broker at a position, and its clients."""
        region = self.region_of(position)
        name = broker_name(position)
        if position not in self._addresses:
            self._addresses[position] = self._service.listen(name, region)
        seed = hash_label(self._size.seed, f"{position}/{self.incarnation}")
        broker = SimulatedBroker(
            self._loop,
            self._loop.unix,
            BrokerIdentity(name, region, seed),
            broker_settings(self._size, position),
            self._engines,
            self._checker,
            self._counts,
            self._observer,
        )
        self.running[position] = broker
        broker.start(self._addresses[position])
        self._bursts.start(broker, position)

    def stop(self, position: int) -> None:
        """Stop the broker at a position, which ends the statements that are open."""
        broker = self.running.pop(position)
        broker.close()
        self._counts.outcomes[StatementOutcome.BROKER_STOPPED] += len(broker.statements.open)
        self._checker.broker_stopped(broker.name)

    def stop_all(self) -> None:
        """Stop every broker that runs."""
        for position in list(self.running):
            self.stop(position)
