"""Discovery client: keeps a long poll outstanding and delivers watch events.

Usually there is one watch, which is polled again after each answer. An answer that is overdue may
be late, or the watch may have stopped while its connection stays open. The client can't tell the
two apart, so it does both: it goes on waiting for the answer, and polls on another connection (a
hedged request). The time after which it does so is constant: it doesn't depend on earlier answers,
so neither traffic nor faults can raise it. A watch whose answer arrives after a later poll of
another, proven watch is closed.

The client reconnects soon after a failed connection. After an unusable answer it polls again with
a growing backoff, and the known endpoint list stays in use. Each cause of failure is logged once
until an answer is usable again.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import Enum
from random import Random

from umberusher.discovery.backoff import PollBackoff, max_unusable_backoff_ms
from umberusher.discovery.watch import PollAnswer, Watch
from umberusher.net.connection import ConnectError
from umberusher.net.loop import Loop, Timer
from umberusher.net.ring import RingMemory
from umberusher.protocol.discovery import (
    DEFAULT_MAX_ANSWER_BYTES,
    DiscoveryProtocolError,
    WatchEvent,
)

log = logging.getLogger(__name__)

# How long the discovery service may hold a poll while it waits for a change.
POLL_LINGER_MS = 2_000
# The same for the first poll on a connection: the known list may be outdated, and the start of the
# broker waits for the answer.
FIRST_POLL_LINGER_MS = 20
# Time after the end of the linger time after which an answer is overdue, and another watch is
# opened. The news of a watch that has stopped counts as announced after 2 s.
OVERDUE_AFTER_MS = 700.0
# The same while no watch has answered since: a service that is down must not be flooded.
MAX_OVERDUE_AFTER_MS = 1_400.0
# Time after the end of the linger time until which an answer is awaited. A service that is 4 s late
# is still heard.
ANSWER_TIMEOUT_MS = 4_500.0
# Bounds descriptors and memory while no watch answers.
MAX_WATCHES = 4
# After a longer stall, changes may count as announced of which no answer tells yet. They are polled
# for before other work, for at most this time.
MIN_REFRESHED_STALL_S = 1.0
MAX_REFRESH_MS = 50.0
# Minimum fraction of a wait after jitter: brokers that lost their connections at the same time must
# not reconnect at the same time.
MIN_JITTER_FRACTION = 0.5
MS_PER_S = 1000.0

# Causes that are logged once, in addition to those of protocol errors and of closed connections.
REVISION_REGRESSED = "revision regressed"
SILENT = "silent"


class DiscoveryState(Enum):
    """State of the client."""

    IDLE = "idle"  # not started
    CONNECTING = "connecting"
    POLLING = "polling"  # a poll is outstanding
    BACKING_OFF = "backing off"  # a timer delays the next poll or connection
    CLOSED = "closed"


class DiscoveryClient:
    """The broker's client of the discovery service.

    Invariant: once started and until it is closed, a timer is pending that opens a watch or polls
    on one, so that no fault of a connection ends the polling.

    Attributes:
        address: Host and port that are polled.
        state: The state of the client.
        has_answered: Whether the service has answered at least once, so that the list is as recent
            as possible.
        watches: The open watches, in the order in which they were opened.
        backoff: The waits before the service is contacted again.
    """

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        known_revision: Callable[[], int],
        on_watch_event: Callable[[WatchEvent], None],
        max_answer_bytes: int = DEFAULT_MAX_ANSWER_BYTES,
        random: Random | None = None,
        memory: RingMemory | None = None,
    ) -> None:
        """Create a client; :meth:`start` connects it.

        Args:
            loop: The event loop.
            address: Host and port of the discovery service.
            known_revision: Returns the newest revision that has been applied.
            on_watch_event: Called with each watch event that is newer than the known revision.
            max_answer_bytes: Longest answer that is read.
            random: Source of the jitter of waits.
            memory: Where buffers and answers are charged; None without an account.
        """
        self.loop = loop
        self.address = address
        self.known_revision = known_revision
        self.on_watch_event = on_watch_event
        self.max_answer_bytes = max_answer_bytes
        self.random = random or Random(0)
        self._memory = memory
        self.state = DiscoveryState.IDLE
        self.has_answered = False
        self.watches: list[Watch] = []
        self.backoff = PollBackoff()
        self._opened_count = 0
        # Whether a watch was opened for an overdue answer, and none has answered since.
        self._is_hedging = False
        self._answer_count = 0
        self._is_refreshing = False  # the next poll has to be answered soon
        self._timer: Timer | None = None  # opens the next watch, or polls after a pause
        self._logged_causes: set[str] = set()

    # -- Lifecycle

    def start(self) -> None:
        """Open a watch, which polls once it is connected."""
        if self.state is DiscoveryState.CLOSED:
            return
        if len(self.watches) >= MAX_WATCHES:
            self._close(min(self.watches, key=lambda watch: watch.polled_at_s))
        self._opened_count += 1
        try:
            watch = Watch(
                self.loop,
                self.address,
                self.known_revision,
                self.max_answer_bytes,
                self._memory,
                self,
                self._opened_count,
            )
        except ConnectError as error:
            self._retry_connection(error.reason)
            return
        self.state = DiscoveryState.CONNECTING
        self.watches.append(watch)
        # News must not wait behind the input of clients, which may have to be sent elsewhere by it.
        self.loop.prioritize(watch.connection.fd)
        self._await_answer()
        watch.serve()

    def move(self, address: tuple[str, int]) -> None:
        """Poll another address from now on, starting after the newest known revision."""
        if address == self.address or self.state is DiscoveryState.CLOSED:
            return
        self.address = address
        self.backoff.reset()
        self._is_hedging = False
        self._logged_causes.clear()
        self._disconnect()
        self.start()

    def close(self) -> None:
        """Disconnect and stop polling permanently."""
        self.state = DiscoveryState.CLOSED
        self._disconnect()

    def _disconnect(self) -> None:
        """Close all watches and cancel the timer."""
        self._cancel_timer()
        for watch in list(self.watches):
            self._close(watch)

    def _close(self, watch: Watch) -> None:
        if watch in self.watches:
            self.watches.remove(watch)
        watch.close()

    # -- Waiting

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()

    def _back_off(self, max_wait_ms: float, action: Callable[[], None]) -> None:
        """Call an action after a wait with random jitter."""
        self._cancel_timer()
        if self.state is DiscoveryState.CLOSED:  # the callback of a watch event may close it
            return
        self.state = DiscoveryState.BACKING_OFF
        wait_ms = max_wait_ms * self.random.uniform(MIN_JITTER_FRACTION, 1.0)
        self._timer = self.loop.call_later(wait_ms, action)

    def _await_answer(self) -> None:
        """Set the time at which the answer to the newest poll is overdue.

        This detects a service that is cut off, so that the connection stays open but receives
        nothing, and a service that sends only a few bytes at a time.
        """
        self._cancel_timer()
        due_s = self._newest_watch().answer_due_s(self._overdue_after_ms())
        wait_ms = (due_s - self.loop.clock()) * MS_PER_S
        self._timer = self.loop.call_later(wait_ms, self._on_overdue)

    def _overdue_after_ms(self) -> float:
        return MAX_OVERDUE_AFTER_MS if self._is_hedging else OVERDUE_AFTER_MS

    def _newest_watch(self) -> Watch:
        """Return the watch with the newest poll or connection attempt."""
        return max(self.watches, key=lambda watch: watch.polled_at_s)

    def _on_overdue(self) -> None:
        """Open another watch if no more of the newest poll's answer has arrived in time."""
        self._close_timed_out()
        if not self.watches:
            self._retry_connection(SILENT)
            return
        newest = self._newest_watch()
        if newest.answer_due_s(self._overdue_after_ms()) > self.loop.clock():
            self._await_answer()
            return
        log.info(
            "watch_overdue watch=%d known_revision=%d after_ms=%d",
            newest.number,
            self.known_revision(),
            newest.elapsed_ms(),
        )
        if newest.poll_client.answer_is_long:
            # Bounds memory: no two long answers are held at a time.
            self._close(newest)
            self._retry_connection(SILENT)
            return
        self._is_hedging = True
        self.start()

    def _close_timed_out(self, answered: Watch | None = None) -> None:
        """Close the watches whose answers are awaited no longer.

        Args:
            answered: A watch without an outstanding poll, which stays open.
        """
        now_s = self.loop.clock()
        for watch in list(self.watches):
            if watch is answered or watch.answer_due_s(ANSWER_TIMEOUT_MS) > now_s:
                continue
            log.info(
                "watch_given_up watch=%d known_revision=%d after_ms=%d",
                watch.number,
                self.known_revision(),
                watch.elapsed_ms(),
            )
            if answered is None:
                self._warn_once(SILENT, "discovery_connection_failed reason=%r", SILENT)
            self._close(watch)

    # -- Callbacks of the watches

    def on_connected(self, watch: Watch) -> None:
        """Poll on a new watch."""
        self._poll(watch)

    def on_failed(self, watch: Watch, reason: str) -> None:
        """Connect again, unless a later poll of a proven watch is outstanding."""
        self.watches.remove(watch)
        if not self._is_superseded(watch):
            self._retry_connection(reason)

    def on_unusable_answer(self, watch: Watch, error: DiscoveryProtocolError) -> None:
        """Poll again after a wait: without it the same answer would arrive immediately."""
        costly = error.costly or watch.poll_client.answer_is_long
        self._close(watch)
        self._warn_once(
            error.cause,
            "discovery_answer_unusable reason=%r known_revision=%d max_backoff_s=%g",
            error.reason,
            self.known_revision(),
            max_unusable_backoff_ms(costly) / MS_PER_S,
        )
        if not self._is_superseded(watch):
            self._back_off(self.backoff.after_unusable_answer(costly), self.start)

    def on_answer(self, watch: Watch, answer: PollAnswer) -> None:
        """Deliver the events of an answer, then poll again."""
        early = not answer.events and watch.answered_early()
        # A poll may be answered after a later one of another watch, so its answer may be older than
        # what is known now.
        regressed = (
            not answer.events
            and answer.revision is not None
            and answer.revision < watch.polled_revision
        )
        superseded = self._is_superseded(watch)
        self.has_answered = True
        self._answer_count += 1
        self._is_hedging = False
        watch.has_answered = True
        self.backoff.answer_received()
        if regressed:
            self._warn_once(
                REVISION_REGRESSED,
                "discovery_revision_regressed revision=%s known_revision=%d",
                answer.revision,
                self.known_revision(),
            )
        else:
            self._on_usable_answer()
        for event in answer.events:
            self._publish(event)
        if watch not in self.watches:  # the callback of a watch event may move or close the client
            return
        self._close_timed_out(answered=watch)
        if superseded:
            self._close(watch)
        else:
            self._poll_again(watch, early, regressed)

    def _is_superseded(self, watch: Watch) -> bool:
        """Return whether a later poll is outstanding on another watch that has answered before."""
        return any(
            other is not watch and other.has_answered and other.polled_at_s > watch.polled_at_s
            for other in self.watches
        )

    def _retry_connection(self, reason: str) -> None:
        if self.state is DiscoveryState.CLOSED:
            return
        self._warn_once(reason, "discovery_connection_failed reason=%r", reason)
        self._back_off(self.backoff.after_failed_connection(), self.start)

    # -- Stalls

    def catch_up(self, stalled_s: float, may_wait: bool) -> None:
        """Apply the news that arrived while the process was suspended.

        Args:
            stalled_s: How long it may have been suspended.
            may_wait: Whether the loop may wait for the answer to a new poll.
        """
        answers_before = self._answer_count
        self._is_refreshing = may_wait and stalled_s >= MIN_REFRESHED_STALL_S
        try:
            for watch in list(self.watches):
                watch.connection.read_pending()
            if self._is_refreshing:
                self._refresh(answered=self._answer_count > answers_before)
        finally:
            self._is_refreshing = False

    def _refresh(self, answered: bool) -> None:
        """Wait for the answer to a poll that was sent after a stall, for a bounded time.

        Args:
            answered: Whether a watch was answered during the stall and polled again after it.
        """
        if self.state in (DiscoveryState.IDLE, DiscoveryState.CLOSED):
            return
        if not answered:
            if self._awaits_answer_in_time():
                return
            self.start()
        answer_count = self._answer_count
        self.loop.run_prioritized(lambda: self._answer_count > answer_count, MAX_REFRESH_MS)

    def _awaits_answer_in_time(self) -> bool:
        """Return whether a poll is outstanding whose answer is not overdue."""
        now_s = self.loop.clock()
        return any(
            watch.has_answered and watch.answer_due_s(OVERDUE_AFTER_MS) > now_s
            for watch in self.watches
        )

    # -- Polling

    def _poll(self, watch: Watch) -> None:
        """Send a poll for events newer than the known revision."""
        self.state = DiscoveryState.POLLING
        may_linger = watch.has_answered and not self._is_refreshing
        watch.poll(POLL_LINGER_MS if may_linger else FIRST_POLL_LINGER_MS)
        if watch in self.watches:  # the write may have failed, so that a retry is scheduled
            self._await_answer()

    def _on_usable_answer(self) -> None:
        """Reset the backoff after unusable answers and the causes that have been logged."""
        self.backoff.answer_used()
        if self._logged_causes:
            self._logged_causes.clear()
            log.info("discovery_recovered")

    def _publish(self, event: WatchEvent) -> None:
        if event.repeated:
            log.warning(
                "watch_event_repeats_entries revision=%d superseded=%d",
                event.revision,
                event.repeated,
            )
        if event.complete and not event.entries:
            log.warning("watch_event_empties_list revision=%d", event.revision)
        self.on_watch_event(event)

    def _poll_again(self, watch: Watch, early: bool, regressed: bool) -> None:
        """Send the next poll, after a pause if the last answer was early or a long old list.

        The pause limits the processor time that is spent on a service that doesn't wait for
        changes, or that sends an old list each time.
        """
        costly = regressed and watch.poll_client.answer_is_long
        if not early:
            self.backoff.waited_for_change()
        needs_pause = early or costly
        pause_ms = self._pause_ms(regressed, costly) if needs_pause else 0.0
        if not watch.poll_client.reusable:
            self._close(watch)
            self._back_off(pause_ms, self.start)
        elif needs_pause:
            self._back_off(pause_ms, lambda: self._poll(watch))
        else:
            self._poll(watch)

    def _pause_ms(self, regressed: bool, costly: bool) -> float:
        if regressed:
            return self.backoff.after_regressed_answer(costly)
        return self.backoff.after_early_answer()

    def _warn_once(self, cause: str, message: str, *fields: object) -> None:
        """Log a warning for a cause that has not been logged since the last usable answer."""
        if cause not in self._logged_causes:
            self._logged_causes.add(cause)
            log.warning(message, *fields)
