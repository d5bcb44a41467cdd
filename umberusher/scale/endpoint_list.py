"""The endpoint list as the run's script publishes it: complete lists and single changes."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import replace

from umberusher.scale.broker_settings import ORDINARY_TYPE, zone_name, zone_number
from umberusher.scale.draws import draw
from umberusher.scale.plan import FleetSize
from umberusher.simulated_fleet.discovery_service import SimulatedDiscoveryService
from umberusher.simulated_fleet.engines import SimulatedEngines
from umberusher.simulated_fleet.update_history import EndpointEntry, EntryState, UpdateHistory
from umberusher.standin.clock import StepLoop

# The age of engines that have finished warming up.
WARM_ENGINE_AGE_MS = 86_400_000.0
# Probability that an ordinary change continues a replacement that has begun.
CONTINUE_PROBABILITY = 0.6
# Probability that it changes an engine's weight; else it begins to replace an engine.
WEIGHT_CHANGE_PROBABILITY = 0.7
WEIGHT_MIN = 4
WEIGHT_MAX_EXCLUSIVE = 13  # one above the largest weight


def draw_weight(random_source: random.Random) -> float:
    """Draw an engine's weight."""
    return float(random_source.randrange(WEIGHT_MIN, WEIGHT_MAX_EXCLUSIVE))


def deleted(entry: EndpointEntry) -> EndpointEntry:
    """Return the entry that deletes an engine."""
    return EndpointEntry(entry.engine, EntryState.DELETED, entry.zone, entry.machine_type)


class PublishedList:
    """The endpoint list, and the publication of its changes.

    Args:
        loop: The step loop of the worker.
        size: The fleet's size, with seed and propagation time.
        history: Numbers the updates.
        service: The control machines that receive the updates.
        engines: The engines, to which new ones are added.
    """

    def __init__(
        self,
        loop: StepLoop,
        size: FleetSize,
        history: UpdateHistory,
        service: SimulatedDiscoveryService,
        engines: SimulatedEngines,
    ) -> None:
        self._loop = loop
        self._size = size
        self._history = history
        self._service = service
        self._engines = engines
        self.entries: dict[str, EndpointEntry] = {}
        # The remaining steps of the replacements that have begun.
        self._pending_steps: deque[EndpointEntry] = deque()
        self._replacement_count = 0
        self._names: list[str] = []
        self._names_revision = -1

    @property
    def names(self) -> list[str]:
        """The listed engines; the list is rebuilt once for each revision."""
        if self._names_revision != self._history.revision:
            self._names = list(self.entries)
            self._names_revision = self._history.revision
        return self._names

    def serving(self, machine_type: str) -> list[EndpointEntry]:
        """Return the entries of a machine type that are serving."""
        return [
            entry
            for entry in self.entries.values()
            if entry.state == EntryState.SERVING and entry.machine_type == machine_type
        ]

    def entry(
        self,
        engine: str,
        zone: int,
        state: EntryState = EntryState.SERVING,
        machine_type: str = ORDINARY_TYPE,
        age_ms: float = WARM_ENGINE_AGE_MS,
    ) -> EndpointEntry:
        """Return an entry of an engine that started ``age_ms`` ago."""
        started_ms = max(round(self._loop.now * 1000.0 - age_ms), 1)
        return EndpointEntry(engine, state, zone_name(zone), machine_type, started_ms=started_ms)

    def publish(self, entries: Sequence[EndpointEntry], complete: bool = False) -> None:
        """Number an update now; each region's machines receive it after a propagation delay."""
        for entry in entries:
            self._engines.add(entry.engine, zone_number(entry.zone))
        if complete:
            self.entries.clear()
        for entry in entries:
            if entry.state == EntryState.DELETED:
                self.entries.pop(entry.engine, None)
            else:
                self.entries[entry.engine] = entry
        revision = self._history.add(entries, self._loop.now, complete)
        for region in range(self._size.regions):
            delay_s = self._size.propagation_max_s * draw(
                self._size.seed, f"spread/{revision}/{region}"
            )
            self._loop.call_later(1000 * delay_s, self._advance(region, revision))

    def _advance(self, region: int, revision: int) -> Callable[[], None]:
        return lambda: self._service.advance(region, revision)

    def publish_backlog(self, count: int, random_source: random.Random) -> None:
        """Publish many ordinary changes at one moment."""
        for _ in range(count):
            self.publish([self.ordinary_change(random_source)])

    def ordinary_change(self, random_source: random.Random) -> EndpointEntry:
        """Draw the entry of one ordinary change: a new weight, or a step of a replacement."""
        if self._pending_steps and random_source.random() < CONTINUE_PROBABILITY:
            return self._next_step()
        entry = self._draw_serving(random_source)
        if random_source.random() < WEIGHT_CHANGE_PROBABILITY:
            return replace(entry, weight=draw_weight(random_source))
        return self._begin_replacement(entry)

    def _draw_serving(self, random_source: random.Random) -> EndpointEntry:
        names = self.names
        while True:
            entry = self.entries.get(names[random_source.randrange(len(names))])
            if entry is None or entry.state != EntryState.SERVING:
                continue
            if entry.machine_type == ORDINARY_TYPE:
                return entry

    def _next_step(self) -> EndpointEntry:
        step = self._pending_steps.popleft()
        if step.state == EntryState.SERVING:
            return self.entry(step.engine, zone_number(step.zone), age_ms=0.0)
        return step

    def _begin_replacement(self, entry: EndpointEntry) -> EndpointEntry:
        """Drain an engine; its deletion and its successor's entry follow with later changes."""
        self._replacement_count += 1
        draining = EndpointEntry(
            entry.engine,
            EntryState.DRAINING,
            entry.zone,
            entry.machine_type,
            started_ms=entry.started_ms,
        )
        self._pending_steps.append(replace(draining, state=EntryState.DELETED))
        self._pending_steps.append(
            EndpointEntry(
                f"f{self._replacement_count}", EntryState.SERVING, entry.zone, entry.machine_type
            )
        )
        return draining
