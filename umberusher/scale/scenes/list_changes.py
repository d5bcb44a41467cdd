"""Scenes in which only the endpoint list changes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from umberusher.scale.broker_settings import ORDINARY_TYPE, PRIMARY_TYPE
from umberusher.scale.draws import draw
from umberusher.scale.endpoint_list import deleted, draw_weight
from umberusher.scale.plan import ScenePlan
from umberusher.scale.scenes.base import SCENE_LEAD_S, SETTLE_S, Scene
from umberusher.scale.stage import Simulation, primary_name
from umberusher.simulated_fleet.update_history import EndpointEntry, EntryState

# All brokers start within this time.
START_SPREAD_S = 2.0
# Minimum period of bursts, so that a scene shorter than SETTLE_S has at least one.
BURST_PERIOD_MIN_S = 0.1
# Time between the two updates that name engines twice.
REPEAT_INTERVAL_S = 2.0


class Start(Scene):
    """The complete list is published; then all brokers start within two seconds."""

    def schedule(self) -> None:
        """Publish the list and schedule the starts."""
        published = self.simulation.published
        size = self.simulation.plan.size
        entries = [
            published.entry(f"e{number}", number % size.zones) for number in range(size.engines)
        ]
        entries.append(published.entry(primary_name(0), 0, machine_type=PRIMARY_TYPE))
        published.publish(entries, complete=True)
        for position in self.simulation.fleet.positions:
            delay_s = START_SPREAD_S * draw(size.seed, f"start/{position}")
            self.at(SCENE_LEAD_S + delay_s, self._start(position))

    def _start(self, position: int) -> Callable[[], None]:
        return lambda: self.simulation.fleet.start(position)


class OrdinaryChanges(Scene):
    """Changes of one entry at a given rate."""

    def schedule(self) -> None:
        """Schedule the changes."""
        self.schedule_changes(self.fields["changes"], SCENE_LEAD_S, self.changes_end_s)


class UpdateBursts(Scene):
    """Updates that each change the weight of thousands of engines, at a fixed interval."""

    def __init__(self, simulation: Simulation, plan: ScenePlan) -> None:
        super().__init__(simulation, plan)
        self._random = self.random_source("lumps")

    def schedule(self) -> None:
        """Schedule the bursts."""
        second = SCENE_LEAD_S
        while second < max(self.duration_s - SETTLE_S, SCENE_LEAD_S + BURST_PERIOD_MIN_S):
            self.at(second, self._burst)
            second += self.fields["every"]

    def _burst(self) -> None:
        published = self.simulation.published
        count = min(self.plan.count("entries"), len(published.names))
        chosen = self._random.sample(published.names, count)
        published.publish(
            [replace(published.entries[name], weight=draw_weight(self._random)) for name in chosen]
        )


class EngineChurn(Scene):
    """Thousands of engines are added, and deleted when the next ones are added."""

    def __init__(self, simulation: Simulation, plan: ScenePlan) -> None:
        super().__init__(simulation, plan)
        self._listed: list[EndpointEntry] = []

    def schedule(self) -> None:
        """Schedule the replacements, and the deletion of the last engines."""
        second = SCENE_LEAD_S
        number = 0
        while second < self.changes_end_s:
            self.at(second, self._replace(number))
            second += self.fields["every"]
            number += 1
        self.at(self.changes_end_s, lambda: self._publish([]))

    def _replace(self, number: int) -> Callable[[], None]:
        return lambda: self._publish(self._new_entries(number))

    def _new_entries(self, number: int) -> list[EndpointEntry]:
        zones = self.simulation.plan.size.zones
        return [
            self.simulation.published.entry(f"{self.plan.name}{number}-{index}", index % zones)
            for index in range(self.plan.count("entries"))
        ]

    def _publish(self, entries: list[EndpointEntry]) -> None:
        removed = [deleted(entry) for entry in self._listed]
        self._listed = entries
        self.simulation.published.publish(removed + entries)


class RepeatedEntries(Scene):
    """An update names each of its engines twice, in different states; the last one counts."""

    def __init__(self, simulation: Simulation, plan: ScenePlan) -> None:
        super().__init__(simulation, plan)
        self._random = self.random_source("twice")

    def schedule(self) -> None:
        """Schedule two such updates."""
        self.at(SCENE_LEAD_S, lambda: self._publish(EntryState.DRAINING))
        self.at(SCENE_LEAD_S + REPEAT_INTERVAL_S, lambda: self._publish(EntryState.DELETED))

    def _publish(self, first_state: EntryState) -> None:
        published = self.simulation.published
        names = [
            name
            for name in published.names
            if published.entries[name].machine_type == ORDINARY_TYPE
        ]
        chosen = self._random.sample(names, min(self.plan.count("entries"), len(names)))
        published.publish(
            [
                _restated(published.entries[name], state)
                for state in (first_state, EntryState.SERVING)
                for name in chosen
            ]
        )


def _restated(entry: EndpointEntry, state: EntryState) -> EndpointEntry:
    """Return an entry of the same engine with another state and the default weight."""
    return EndpointEntry(
        entry.engine, state, entry.zone, entry.machine_type, started_ms=entry.started_ms
    )


class EmptyList(Scene):
    """A complete list names no engine; later all are listed again."""

    def __init__(self, simulation: Simulation, plan: ScenePlan) -> None:
        super().__init__(simulation, plan)
        self._before: list[EndpointEntry] = []

    def schedule(self) -> None:
        """Schedule both lists."""
        self.at(SCENE_LEAD_S, self._empty)
        self.at(SCENE_LEAD_S + self.fields["empty_for"], self._restore)

    def _empty(self) -> None:
        published = self.simulation.published
        self._before = list(published.entries.values())
        published.publish([], complete=True)

    def _restore(self) -> None:
        self.simulation.published.publish(self._before, complete=True)
