"""The engines that a load balancer knows, and the subset of them that its traffic keeps in use."""

from __future__ import annotations

import random

from umberusher.decisions.arrival_rate import ArrivalRate
from umberusher.decisions.control_sets import ControlSets
from umberusher.decisions.engine import Engine
from umberusher.decisions.events import EndpointListUpdate, EndpointState, EndpointUpdate
from umberusher.decisions.settings import Settings

# Requests to each engine of the subset within the keepalive time, so that no connection is closed
# as idle.
REQUESTS_PER_KEEPALIVE = 8.0
MIN_SUBSET_SIZE = 4
DEFAULT_CORES = 1.0


class EnginePool:
    """All known engines, those that are up, and those of them in this broker's subset.

    Attributes:
        engines: Every engine that is listed or still has attempts, by id.
        up: The engines that may be selected.
        subset: Those of them that this broker keeps in use.
        own_cores: This broker's share of the cores of the engines that are up.
        changed: Whether the pool has changed since the last survey of its load.
    """

    def __init__(
        self,
        settings: Settings,
        broker_count: int,
        control_sets: ControlSets,
        arrivals: ArrivalRate,
        rng: random.Random,
    ) -> None:
        self.engines: dict[str, Engine] = {}
        self.up: list[Engine] = []
        self.subset: list[Engine] = []
        self.own_cores = 0.0
        self.changed = True
        self._keepalive_ms = settings.keepalive_ms
        self._cores_by_kind = {kind.name: kind.cores for kind in settings.engine_kinds}
        self._broker_count = broker_count
        self._control_sets = control_sets
        self._arrivals = arrivals
        self._rng = rng

    def subset_size(self) -> int:
        """Return the number of engines that this broker's traffic keeps in use."""
        requests = self._keepalive_ms / self._arrivals.mean_gap_ms
        return max(int(requests / REQUESTS_PER_KEEPALIVE), MIN_SUBSET_SIZE)

    def apply(self, event: EndpointListUpdate, now_ms: float) -> None:
        """Apply an update of the endpoint list."""
        named = {entry.engine for entry in event.entries}
        known = named if event.complete else named.union(self.engines)
        engine_count = max(len(known), 1)
        subset_size = self.subset_size()
        probability = self._control_sets.initial_probability(min(subset_size, engine_count))
        self._control_sets.resize(engine_count)
        if event.complete:
            for engine in self.engines.values():
                if engine.id not in named:
                    engine.up = False
                    engine.listed = False
        for entry in event.entries:
            known_engine = self.engines.get(entry.engine)
            if known_engine is None:
                engine = self._add(entry, now_ms)
                if self._rng.random() * engine_count < subset_size:
                    engine.in_subset = True
                    engine.selection_probability = probability
            else:
                engine = known_engine
                self._restart_if_new(engine, entry, probability, now_ms)
            cores = self._cores_by_kind.get(entry.kind or "", DEFAULT_CORES)
            engine.update(entry, cores, entry.broker_count or self._broker_count)
        self.forget_removed()
        self.up = [engine for engine in self.engines.values() if engine.up]
        self.subset = [engine for engine in self.up if engine.in_subset]
        self.own_cores = sum(engine.cores / engine.broker_count for engine in self.up)
        self.extend_subset()

    def _add(self, entry: EndpointUpdate, now_ms: float) -> Engine:
        engine = Engine(entry, self._control_sets.min_probability, now_ms)
        self.engines[entry.engine] = engine
        return engine

    def _restart_if_new(
        self, engine: Engine, entry: EndpointUpdate, probability: float, now_ms: float
    ) -> None:
        """Reset the state of an engine if the list has a new incarnation of it.

        One that was removed, and is known only for its attempts in flight, is another one.
        """
        has_restarted = entry.started_ms and entry.started_ms != engine.started_ms
        is_listed_again = not engine.listed and entry.state is not EndpointState.REMOVED
        if has_restarted or is_listed_again:
            if not engine.in_subset:
                probability = self._control_sets.min_probability
            engine.restart(entry.started_ms, probability, now_ms)

    def extend_subset(self) -> None:
        """Add random engines to the subset until its size fits this broker's traffic.

        In large fleets of small brokers, a larger subset would let connections be closed as idle
        and load reports become stale before they are used.
        """
        subset = self.subset
        subset_size = min(self.subset_size(), len(self.up))
        if len(subset) >= subset_size:
            return
        for engine in subset:
            self._control_sets.dilute(engine, len(subset), subset_size)
        outside = [engine for engine in self.up if not engine.in_subset]
        for engine in self._rng.sample(outside, subset_size - len(subset)):
            engine.in_subset = True
            engine.selection_probability = self._control_sets.initial_probability(subset_size)
        self.subset = [engine for engine in self.up if engine.in_subset]

    def forget_removed(self) -> None:
        """Remove the engines that are not listed and have no attempt in flight."""
        removed = [
            engine
            for engine in self.engines.values()
            if not engine.listed and not engine.attempts_in_flight
        ]
        for engine in removed:
            del self.engines[engine.id]
