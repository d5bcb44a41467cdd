"""Creates and connects the simulated components of one worker, on which scenes act."""

from __future__ import annotations

import random
from collections.abc import Sequence

from umberusher.replay import site
from umberusher.scale.broker_fleet import BrokerFleet, broker_position
from umberusher.scale.broker_settings import PRIMARY_CLASS
from umberusher.scale.endpoint_list import PublishedList
from umberusher.scale.plan import Plan
from umberusher.scale.recorder import Recorder
from umberusher.simulated_fleet.broker import SimulatedBroker
from umberusher.simulated_fleet.discovery_service import SimulatedDiscoveryService
from umberusher.simulated_fleet.engines import SimulatedEngines
from umberusher.simulated_fleet.rule_checker import RuleChecker
from umberusher.simulated_fleet.statement_counts import StatementCounts
from umberusher.simulated_fleet.update_history import UpdateHistory
from umberusher.standin.clock import StepLoop

# Long answers written at a time in a process. The limit bounds memory; on the step clock a write
# takes no time.
LONG_ANSWERS_MAX = 4


def primary_name(number: int) -> str:
    """Return the name of the primary engine with this number."""
    return f"primary-{number}"


class PrimaryTracker:
    """Tracks which engine is primary, and when it first served each broker after a change."""

    __slots__ = ("_loop", "first_served_s", "number")

    def __init__(self, loop: StepLoop) -> None:
        self._loop = loop
        self.number = 0
        self.first_served_s: dict[int, float] = {}

    def statement_served(self, broker: SimulatedBroker, class_name: str, engine: str) -> None:
        """Record the first statement that a new primary serves for a broker."""
        if class_name == PRIMARY_CLASS and self.number and engine == primary_name(self.number):
            self.first_served_s.setdefault(broker_position(broker.name), self._loop.now)


class CheckerNotifier:
    """Notifies the rule checker of the updates that control machines send."""

    __slots__ = ("_checker", "_loop")

    def __init__(self, loop: StepLoop, checker: RuleChecker) -> None:
        self._loop = loop
        self._checker = checker

    def polled(self, broker: str, revision: int) -> None:
        """Do nothing: the checker needs no polls."""

    def notified(self, broker: str, revision: int) -> None:
        """Notify the checker that a broker is being sent all updates up to ``revision``."""
        self._checker.notified(broker, revision, self._loop.now * 1000.0)


class FleetObserver:
    """Passes events of brokers on to the recorder and to the tracker of the primary."""

    __slots__ = ("list_updated", "statement_served")

    def __init__(self, recorder: Recorder, primary: PrimaryTracker) -> None:
        self.list_updated = recorder.list_updated
        self.statement_served = primary.statement_served


class Simulation:
    """All simulated components of one worker.

    Each worker plays the same script from the same seed, on a step clock of its own, and differs
    from the others only in which brokers it has. Brokers share nothing, so the counts of
    all workers add up to those of a single worker.

    Args:
        plan: The run's plan.
        positions: The brokers that this worker plays.
    """

    def __init__(self, plan: Plan, positions: Sequence[int]) -> None:
        size = plan.size
        self.plan = plan
        self.loop = StepLoop()
        history = UpdateHistory()
        checker = RuleChecker(history, site.DRAIN_GRACE_MS)
        statement_counts = StatementCounts()
        self.service = SimulatedDiscoveryService(
            self.loop,
            history,
            size.regions,
            size.control_machines,
            CheckerNotifier(self.loop, checker),
            LONG_ANSWERS_MAX,
        )
        self.engines = SimulatedEngines(
            1000 * plan.load.answer_s,
            plan.load.in_flight,
            {zone: zone % size.regions for zone in range(size.zones)},
        )
        self.published = PublishedList(self.loop, size, history, self.service, self.engines)
        self.primary = PrimaryTracker(self.loop)
        self.recorder = Recorder(
            self.loop, plan, history, self.service, self.engines, checker, statement_counts
        )
        self.fleet = BrokerFleet(
            self.loop,
            plan,
            positions,
            self.service,
            self.engines,
            checker,
            statement_counts,
            FleetObserver(self.recorder, self.primary),
        )
        self._next_lost_machine = 0

    def random_source(self, scene: str, purpose: str) -> random.Random:
        """Return the random source of a scene for one purpose."""
        return random.Random(f"{self.plan.size.seed}/{scene}/{purpose}")

    def next_machines(self, count: int) -> list[int]:
        """Return the numbers of the control machines that a scene may lose.

        The machines are chosen in rotation: one that was lost has no brokers afterwards.
        """
        machine_count = len(self.service.machines)
        numbers = [(self._next_lost_machine + offset) % machine_count for offset in range(count)]
        self._next_lost_machine = (self._next_lost_machine + count) % machine_count
        return numbers

    def close(self) -> None:
        """Stop the brokers and close all descriptors."""
        self.fleet.stop_all()
        self.service.close()
        self.loop.close()
