"""A broker's endpoint registry connected to its decisions, for tests of the subset."""

from __future__ import annotations

from collections import Counter

from umberusher.decisions.balancer import LoadBalancer
from umberusher.decisions.events import EndpointListUpdate, EndpointState, EndpointUpdate, Event
from umberusher.decisions.settings import (
    EngineKind,
    Idempotency,
    Limits,
    QueryClass,
    Settings,
)
from umberusher.endpoints.registry import EndpointRegistry
from umberusher.endpoints.subset_ring import SLICES, SubsetRing
from umberusher.protocol.discovery import WatchEvent

LOOKUP = QueryClass("lookup", 500, 2500, 1, Idempotency.IDEMPOTENT)


ZONES, KINDS = [f"z{n}" for n in range(8)], ["std-8", "std-16"]


def endpoint_update(number: int, state=EndpointState.UP, **overrides) -> EndpointUpdate:
    return EndpointUpdate(
        f"e{number:05d}",
        state,
        overrides.pop("kind", KINDS[number % 2]),
        overrides.pop("zone", ZONES[number % 8]),
        overrides.pop("cell", number // 10),
        **overrides,
    )


def watch_event(revision: int, entries, complete=False) -> WatchEvent:
    entries = tuple(entries)
    return WatchEvent(
        revision,
        complete,
        entries,
        {each.engine: (f"10.{n >> 8 & 255}.{n & 255}.1", 5050) for n, each in enumerate(entries)},
    )


def fleet_settings(brokers: int, position: int | None = 0, *classes: QueryClass) -> Settings:
    return Settings(
        classes=classes or (LOOKUP,),
        engine_kinds=tuple(EngineKind(kind, 8) for kind in KINDS),
        broker_count=brokers,
        broker_index=position,
        limits=Limits(max_attempts=4),
    )


class EndpointHarness:
    """One broker's endpoint registry, connected to its decisions.

    Attributes:
        events: The endpoint list updates that the decisions have received.
        closed: Engines that accept no new requests, in the order of their notifications.
    """

    def __init__(self, settings: Settings, name: str = "b") -> None:
        self.balancer = LoadBalancer(settings, 1)
        self.now = 1_000_000.0
        self.revision = 0
        self.events: list[EndpointListUpdate] = []
        self.registry = EndpointRegistry(self._post, lambda: self.now, settings=settings, name=name)
        self.closed: list[str] = []
        self.registry.subscribe(on_closed=lambda member: self.closed.append(member.engine))

    def _post(self, event: Event) -> None:
        self.events.append(event)
        self.balancer.handle(self.now, event)

    def apply(self, entries, complete=False) -> None:
        self.revision += 1
        self.registry.apply(watch_event(self.revision, entries, complete))

    def known_engines(self) -> set[str]:
        return set(self.balancer.engines)

    def check_decisions_match_subset(self) -> None:
        """Check that the decisions know exactly the subset, in the effective states."""
        directory = self.registry.directory
        in_subset = self.registry.subset.in_subset
        inside = {engine for engine, slot in directory.slots.items() if in_subset[slot]}
        assert self.known_engines() == inside
        assert {e.id for e in self.balancer.up} == {
            engine for engine in inside if directory[engine].state is EndpointState.UP
        }


def brokers_by_engine(brokers: int, engines: int, width: int | None = None) -> Counter[str]:
    """Return the number of brokers of a fleet that use each engine."""
    counts: Counter[str] = Counter({f"e{n:05d}": 0 for n in range(engines)})
    for position in range(brokers):
        ring = SubsetRing(brokers, position, "")
        used_slices = width or ring.width(engines, SLICES)
        counts.update(engine for engine in counts if ring.distance(engine) < used_slices)
    return counts
