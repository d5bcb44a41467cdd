"""The endpoint registry: which engines are listed, and which of them may get new requests."""

from __future__ import annotations

import logging
from collections.abc import Callable

from umberusher.decisions.events import EndpointState, EndpointUpdate, Event
from umberusher.decisions.settings import DeduplicationScope, Settings
from umberusher.endpoints.directory import (
    STATE_DRAINING,
    STATE_UP,
    Endpoint,
    EndpointDirectory,
)
from umberusher.endpoints.manual_drains import DrainEnd, ManualDrains, RemovedIds
from umberusher.endpoints.publisher import SubsetPublisher
from umberusher.endpoints.subset import EndpointSubset
from umberusher.endpoints.subset_ring import SubsetRing
from umberusher.protocol.discovery import Address, WatchEvent

log = logging.getLogger(__name__)

EndpointCallback = Callable[[Endpoint], None]
WatchEventCallback = Callable[[WatchEvent, int], None]
ManualDrainCallback = Callable[[str, float | None], None]


class _AppliedChanges:
    """The changes that a watch event has made.

    Attributes:
        touched: Engines that the event names, in order.
        closed: Engines that accept no new requests now; a removed one as it was last listed.
        removed: Engines that were in the subset and are no longer listed.
    """

    __slots__ = ("closed", "removed", "touched")

    def __init__(self) -> None:
        self.touched: dict[str, None] = {}
        self.closed: list[Endpoint] = []
        self.removed: list[str] = []


class EndpointRegistry:
    """The endpoint list as the discovery service announced it, overridden by manual drains.

    The directory holds all listed engines; the decisions are notified of those in the subset.

    Attributes:
        directory: All listed engines.
        subset: The engines that this broker uses.
        manual_drains: Engines drained by operators.
        removed_ids: Ids that are no longer listed.
        publisher: Notifies the decisions.
        revision: Number of the newest watch event applied.
    """

    def __init__(
        self,
        post: Callable[[Event], None],
        unix_ms: Callable[[], float],
        to_timeline_ms: Callable[[float], float] = lambda unix_ms: unix_ms,
        settings: Settings | None = None,
        name: str = "",
    ) -> None:
        """Create an empty registry.

        Args:
            post: Receives the decisions' endpoint list updates.
            unix_ms: Returns the Unix time in ms.
            to_timeline_ms: Converts Unix time to the broker's timeline.
            settings: The fleet's size and the query classes; without them all engines are used.
            name: The broker's name, from which its position in the fleet is derived if the settings
                give none.
        """
        broker_count = (settings.broker_count or 1) if settings else 1
        position = settings.broker_index if settings else 0
        self.directory = EndpointDirectory()
        self.subset = EndpointSubset(
            self.directory,
            SubsetRing(broker_count, position, name),
            settings.classes if settings else (),
        )
        self.manual_drains = ManualDrains(self.directory)
        self.removed_ids = RemovedIds()
        self.publisher = SubsetPublisher(post, self.directory, self.subset)
        self.revision = 0
        self._unix_ms = unix_ms
        self._to_timeline_ms = to_timeline_ms
        self._on_closed: EndpointCallback = _ignore_endpoint
        self._on_moved: EndpointCallback = _ignore_endpoint
        self._on_watch_event: WatchEventCallback = _ignore_watch_event
        self._on_manual_drain: ManualDrainCallback = _ignore_manual_drain

    def subscribe(
        self,
        *,
        on_closed: EndpointCallback | None = None,
        on_moved: EndpointCallback | None = None,
        on_watch_event: WatchEventCallback | None = None,
        on_manual_drain: ManualDrainCallback | None = None,
    ) -> None:
        """Set the callbacks for changes; each kind has one, and those not given stay as they are.

        Args:
            on_closed: Called when an engine accepts no new requests from now on.
            on_moved: Called when an engine has moved or may have restarted, so that its connections
                are outdated.
            on_watch_event: Called with each applied watch event and the revision before it.
            on_manual_drain: Called when a manual drain began, with its Unix time in ms, or has
                ended, with None.
        """
        self._on_closed = on_closed or self._on_closed
        self._on_moved = on_moved or self._on_moved
        self._on_watch_event = on_watch_event or self._on_watch_event
        self._on_manual_drain = on_manual_drain or self._on_manual_drain

    # -- Queries

    def find(self, engine: str) -> Endpoint | None:
        """Return the engine if new requests may be sent to it."""
        return self.directory[engine] if self.is_available(engine) else None

    def is_available(self, engine: str) -> bool:
        """Whether new requests may be sent to an engine."""
        slot = self.directory.slots.get(engine)
        return slot is not None and self.directory.states[slot] == STATE_UP

    # -- Watch events

    def apply(self, event: WatchEvent) -> None:
        """Apply a watch event that is newer than the list.

        Engines that it removes or drains get no new requests afterwards.
        """
        if event.revision <= self.revision:
            return
        previous_revision = self.revision
        self.revision = event.revision
        if event.skipped:
            log.warning(
                "watch_event_entries_skipped revision=%d skipped=%d", event.revision, event.skipped
            )
        changes = _AppliedChanges()
        if event.complete:
            self._remove_unnamed(event, changes)
        for entry in event.entries:
            changes.touched[entry.engine] = None
            self._apply_entry(entry, event.addresses[entry.engine], changes)
        # The decisions are notified before requests are withdrawn from closed engines: otherwise
        # they would retry on the same engines.
        self._publish(changes, event.complete)
        log.debug(
            "list_applied revision=%d previous_revision=%d complete=%s closed=%d",
            event.revision,
            previous_revision,
            event.complete,
            len(changes.closed),
        )
        for endpoint in changes.closed:
            self._on_closed(endpoint)
        self._on_watch_event(event, previous_revision)

    def _remove_unnamed(self, event: WatchEvent, changes: _AppliedChanges) -> None:
        """Remove the engines that a complete list doesn't name."""
        named = {entry.engine for entry in event.entries}
        for engine in [each for each in self.directory if each not in named]:
            self._remove(engine, changes)

    def _apply_entry(
        self, entry: EndpointUpdate, address: Address, changes: _AppliedChanges
    ) -> None:
        if entry.state is EndpointState.REMOVED:
            self.remember_removed(entry.engine)
            self._remove(entry.engine, changes)
            return
        is_other_process = self._is_other_process(entry)
        self.removed_ids.discard(entry.engine)
        started_ms = self._to_timeline_ms(entry.started_ms) if entry.started_ms else 0.0
        address_changed = self.directory.put(entry, address, started_ms)
        slot = self.directory.slots[entry.engine]
        self._update_state(slot)
        if address_changed or is_other_process:
            self._on_moved(self.directory[entry.engine])
        if self.directory.states[slot] != STATE_UP:
            changes.closed.append(self.directory[entry.engine])

    def _is_other_process(self, entry: EndpointUpdate) -> bool:
        """Return whether an entry is of another process than the one last known by its id.

        An engine that was removed and comes again is another one, at whatever address.
        """
        slot = self.directory.slots.get(entry.engine)
        if slot is None:
            return entry.engine in self.removed_ids
        return bool(entry.started_ms) and entry.started_ms != self.directory.started_unix_ms[slot]

    def _remove(self, engine: str, changes: _AppliedChanges) -> None:
        if engine not in self.directory:
            return
        endpoint = self.directory[engine]
        endpoint.state = EndpointState.REMOVED
        changes.closed.append(endpoint)
        slot = self.directory.remove(engine)
        if slot is not None and self.subset.remove(engine, slot):
            changes.removed.append(engine)
        self.publisher.drain_ends.pop(engine, None)
        self.remember_removed(engine)

    def _update_state(self, slot: int) -> None:
        """Set an engine's effective state: as announced, or draining during a manual drain."""
        directory = self.directory
        state = directory.announced_states[slot]
        if state == STATE_UP and directory.ids[slot] in self.manual_drains:
            state = STATE_DRAINING
        directory.set_state(slot, state)

    def _publish(self, changes: _AppliedChanges, complete: bool) -> None:
        change = self.subset.update(changes.touched, self._now_ms())
        if complete:
            self.publisher.publish_list(change)
        else:
            change.removed = [*dict.fromkeys(changes.removed), *change.removed]
            self.publisher.publish_change(change)

    def _publish_engine(self, engine: str) -> None:
        """Notify the decisions of one engine that has changed."""
        self.publisher.publish_change(self.subset.update((engine,), self._now_ms()))

    def _now_ms(self) -> float:
        return self._to_timeline_ms(self._unix_ms())

    # -- Retries that are bound to a zone or cell

    def include_companions(
        self, engine: str, scope: DeduplicationScope, duration_ms: float
    ) -> None:
        """Add engines of the same zone or cell to the subset for a time, if too few are in it.

        Args:
            engine: The engine on which a request may have run.
            scope: Whether the request's retries are bound to the engine's zone or its cell.
            duration_ms: How long the added engines stay in the subset.
        """
        if not self.subset.covers_all:
            until_ms = self._now_ms() + duration_ms
            self.publisher.publish_change(self.subset.add_companions(engine, scope, until_ms))

    # -- Manual drains

    def remember_removed(self, engine: str) -> None:
        """Store an id that is not listed, so that an operator can drain it."""
        if engine not in self.directory:
            self.removed_ids.add(engine)

    def start_manual_drain(self, engine: str, since_unix_ms: float | None = None) -> bool:
        """Drain an engine until the drain is ended, whatever the discovery service announces.

        Args:
            engine: The engine, which may have been removed from the list.
            since_unix_ms: When another process began the drain; None means now.

        Returns:
            Whether the engine is or was listed.
        """
        if not self._is_known(engine):
            return False
        if engine in self.manual_drains:
            return True
        since_unix_ms = self._unix_ms() if since_unix_ms is None else since_unix_ms
        self.manual_drains.start(engine, since_unix_ms)
        slot = self.directory.slots.get(engine)
        if slot is not None:
            self._update_state(slot)
            self._publish_engine(engine)
            self._on_closed(self.directory[engine])
        self._on_manual_drain(engine, since_unix_ms)
        return True

    def end_manual_drain(self, engine: str) -> bool:
        """End a manual drain: the engine's announced state applies again.

        Returns:
            Whether the engine is or was listed.
        """
        since_unix_ms = self.manual_drains.end(engine)
        if since_unix_ms is None:
            return self._is_known(engine)
        slot = self.directory.slots.get(engine)
        if slot is not None:
            self._record_drain_end(engine, self._started_since(slot, since_unix_ms))
            self._on_moved(self.directory[engine])
            self._update_state(slot)
            self._publish_engine(engine)
        self._on_manual_drain(engine, None)
        return True

    def drain_end_times(self) -> dict[str, float]:
        """Return when manual drains ended, by engine, as Unix time in ms."""
        return {
            engine: drain_end.unix_ms for engine, drain_end in self.publisher.drain_ends.items()
        }

    def restore_drain_end(self, engine: str, unix_ms: float) -> None:
        """Restore the end of a manual drain that another process has handed over."""
        known = self.publisher.drain_ends.get(engine)
        is_newer = unix_ms > (known.unix_ms if known else 0.0)
        if is_newer and engine in self.directory:
            self._record_drain_end(engine, unix_ms)
            self._publish_engine(engine)

    def _record_drain_end(self, engine: str, unix_ms: float) -> None:
        self.publisher.drain_ends[engine] = DrainEnd(unix_ms, self._to_timeline_ms(unix_ms))

    def _started_since(self, slot: int, since_unix_ms: float) -> float:
        """Return the announced start time if it is later than a given time, else the current time.

        Protects engines that are warming up: an engine may have restarted unnoticed, without an
        announcement of its start.
        """
        started_unix_ms = self.directory.started_unix_ms[slot]
        return started_unix_ms if started_unix_ms > since_unix_ms else self._unix_ms()

    def _is_known(self, engine: str) -> bool:
        return engine in self.directory or engine in self.removed_ids


def _ignore_endpoint(endpoint: Endpoint) -> None:
    """Do nothing: there is no subscriber."""


def _ignore_watch_event(event: WatchEvent, previous_revision: int) -> None:
    """Do nothing: there is no subscriber."""


def _ignore_manual_drain(engine: str, since_unix_ms: float | None) -> None:
    """Do nothing: there is no subscriber."""
