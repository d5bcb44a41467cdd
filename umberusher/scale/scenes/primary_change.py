"""The scene in which the one primary engine is replaced while statements need it."""

from __future__ import annotations

from collections.abc import Callable

from umberusher.scale.broker_settings import PRIMARY_CLASS, PRIMARY_TYPE
from umberusher.scale.draws import draw
from umberusher.scale.plan import ScenePlan
from umberusher.scale.scenes.base import SCENE_LEAD_S, Scene
from umberusher.scale.stage import Simulation, primary_name
from umberusher.simulated_fleet.broker import SimulatedBroker
from umberusher.simulated_fleet.update_history import EntryState

# The latest start of the drain, and the time at the scene's end without new statements.
DRAIN_MAX_S = 10.0
# How long before the scene's end the brokers that the new primary has served are counted.
COUNT_BEFORE_END_S = 0.5
MICROSECONDS = 1e6  # in a second


class PrimaryChange(Scene):
    """The primary drains and is deleted, and another takes its place."""

    def __init__(self, simulation: Simulation, plan: ScenePlan) -> None:
        super().__init__(simulation, plan)
        self._start_s = simulation.loop.now
        self._drain_s = min(DRAIN_MAX_S, self.duration_s / 3)
        # On the loop's clock.
        self._submit_until_s = self._start_s + max(
            self.duration_s - DRAIN_MAX_S, self.duration_s / 2
        )
        self._old_number = simulation.primary.number
        self._old_zone = self._old_number % simulation.plan.size.zones

    def schedule(self) -> None:
        """Schedule the statements, the change and the count at the end."""
        for position, broker in self.simulation.fleet.running.items():
            phase = draw(self.simulation.plan.size.seed, f"keyed/{position}")
            self.at(SCENE_LEAD_S + phase / self.fields["rate"], self._submit(broker, 0))
        self.at(self._drain_s, lambda: self._publish_old(EntryState.DRAINING))
        self.at(
            self._drain_s + self.fields["gone_after"],
            lambda: self._publish_old(EntryState.DELETED),
        )
        self.at(self._drain_s + self.fields["entry_after"], self._publish_new)
        self.at(self.duration_s - COUNT_BEFORE_END_S, self._count)

    def _submit(self, broker: SimulatedBroker, number: int) -> Callable[[], None]:
        """Return a callback that submits a statement and schedules the next one."""

        def submit() -> None:
            loop = self.simulation.loop
            if broker.closed or loop.now > self._submit_until_s:
                return
            key = f"p{number % self.plan.count('keys')}"
            work_ms = 1000 * self.simulation.plan.load.answer_s
            broker.statements.submit(PRIMARY_CLASS, work_ms, key)
            loop.call_later(1000 / self.fields["rate"], self._submit(broker, number + 1))

        return submit

    def _publish_old(self, state: EntryState) -> None:
        published = self.simulation.published
        name = primary_name(self._old_number)
        published.publish([published.entry(name, self._old_zone, state, PRIMARY_TYPE)])

    def _publish_new(self) -> None:
        published = self.simulation.published
        number = self._old_number + 1
        self.simulation.primary.number = number
        zone = (self._old_zone + 1) % self.simulation.plan.size.zones
        published.publish([published.entry(primary_name(number), zone, machine_type=PRIMARY_TYPE)])

    def _count(self) -> None:
        counts = self.simulation.recorder.counts
        first_served_s = self.simulation.primary.first_served_s
        for position in self.simulation.fleet.running:
            if position in first_served_s:
                delay_s = first_served_s[position] - self._start_s - self._drain_s
                counts.switchover_us.append(round(delay_s * MICROSECONDS))
            else:
                counts.not_switched_over += 1
