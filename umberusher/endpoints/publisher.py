"""Publishes changes of the subset to the decisions, with the effective states of the engines."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from umberusher.decisions.events import EndpointListUpdate, EndpointState, EndpointUpdate, Event
from umberusher.endpoints.directory import STATES, EndpointDirectory
from umberusher.endpoints.manual_drains import DrainEnd
from umberusher.endpoints.subset import EndpointSubset, SubsetChange


class SubsetPublisher:
    """Turns subset changes into updates of the decisions' endpoint list.

    Attributes:
        post: Receives each :class:`EndpointListUpdate`.
        drain_ends: By engine, when its manual drain ended. The engine may have restarted unnoticed
            during the drain, so the end of the drain counts as its start time unless a later start
            is announced.
    """

    def __init__(
        self, post: Callable[[Event], None], directory: EndpointDirectory, subset: EndpointSubset
    ) -> None:
        self.post = post
        self.drain_ends: dict[str, DrainEnd] = {}
        self._directory = directory
        self._subset = subset

    def publish_change(self, change: SubsetChange) -> None:
        """Publish a change of the subset, unless it is empty."""
        entries = self._entries(change.removed, change.updated)
        if entries:
            self.post(EndpointListUpdate(entries))

    def publish_list(self, change: SubsetChange) -> None:
        """Publish a complete list: the decisions remove the engines that it doesn't name."""
        self.post(EndpointListUpdate(self._entries((), change.updated), complete=True))

    def _entries(
        self, removed: Iterable[str], updated: Iterable[str]
    ) -> tuple[EndpointUpdate, ...]:
        slots = self._directory.slots
        entries = [EndpointUpdate(engine, EndpointState.REMOVED) for engine in removed]
        entries += [self._entry(engine, slots[engine]) for engine in updated]
        return tuple(entries)

    def _entry(self, engine: str, slot: int) -> EndpointUpdate:
        """Return an engine in its effective state; its start time is on the broker's timeline."""
        directory = self._directory
        profile = directory.profiles[slot]
        return EndpointUpdate(
            engine,
            STATES[directory.states[slot]],
            profile.kind,
            profile.zone,
            profile.cell,
            profile.weight,
            self._started_ms(engine, slot),
            self._subset.broker_count(slot),
        )

    def _started_ms(self, engine: str, slot: int) -> float | None:
        announced_unix_ms = self._directory.started_unix_ms[slot]
        drain_end = self.drain_ends.get(engine)
        if drain_end is not None and drain_end.unix_ms > announced_unix_ms:
            return drain_end.timeline_ms
        return self._directory.started_ms[slot] if announced_unix_ms else None
