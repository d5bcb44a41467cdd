"""Discovery client: keeps one long poll outstanding and delivers watch events.

The client has one connection at a time and moves through the states of :class:`DiscoveryState`. It
reconnects soon after a failed connection. After an unusable answer it polls again with a growing
backoff, and the known endpoint list stays in use. Each cause of failure is logged once until an
answer is usable again.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import Enum
from random import Random
from typing import NamedTuple

from umberusher.discovery.backoff import PollBackoff, max_unusable_backoff_ms
from umberusher.net import connection
from umberusher.net.connection import Connection, RawMessage, State
from umberusher.net.loop import Loop, Timer
from umberusher.net.ring import RingBuffer, RingMemory
from umberusher.protocol import discovery as codec
from umberusher.protocol.discovery import (
    DEFAULT_MAX_ANSWER_BYTES,
    DiscoveryProtocolError,
    WatchEvent,
)
from umberusher.protocol.discovery_poll import DiscoveryConnectionError, PollClient

log = logging.getLogger(__name__)

# How long the discovery service may hold a poll while it waits for a change. A change counts as
# announced after 7 s, so an unresponsive connection must be detected long before that.
POLL_LINGER_MS = 2_000
# The same for the first poll on a connection: the known list may be outdated, and the start of the
# broker waits for the answer.
FIRST_POLL_LINGER_MS = 20
# Time after the end of the linger time by which the answer must arrive. It doubles after each
# timeout, and follows the service's delay from then on. Also the timeout of a connection attempt,
# which stays: a connection that comes up late tells nothing of the answers.
ANSWER_TIMEOUT_MS = 700.0
# The longest such time. With the linger time it stays under 7 s, after which a change counts as
# announced: a connection that has become silent is detected by then.
MAX_ANSWER_TIMEOUT_MS = 4_000.0
# The timeout as a multiple of the delay of the last answer.
TIMEOUT_DELAY_MULTIPLE = 2.0
# Minimum rate at which a long answer must arrive: the longest list of 32,000 entries must be
# received within 7 s.
MIN_ANSWER_BYTES_PER_S = 1e6
# An answer without events counts as early if it arrives within this fraction of its linger time:
# the service has not waited as requested.
EARLY_ANSWER_FRACTION = 0.5
# Minimum fraction of a wait after jitter: brokers that lost their connections at the same time must
# not reconnect at the same time.
MIN_JITTER_FRACTION = 0.5
READ_BUFFER_BYTES = 1 << 14
# Memory for each byte of an answer: the bytes, their text, and the document that it is parsed to.
MEMORY_PER_ANSWER_BYTE = 4

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


class PollAnswer(NamedTuple):
    """A usable answer.

    Attributes:
        events: The watch events newer than the known revision, in order.
        revision: The current revision of the service, if the answer names one.
    """

    events: list[WatchEvent]
    revision: int | None


class DiscoveryClient:
    """The broker's client of the discovery service.

    Attributes:
        address: Host and port that are polled.
        state: The state of the client.
        has_answered: Whether the service has answered at least once, so that the list is as recent
            as possible.
        connection: The connection to the service, if there is one.
        poll_client: The HTTP codec of that connection.
        backoff: The waits before the service is contacted again.
        answer_timeout_ms: Time after the end of the linger time by which an answer must arrive.
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
        self._answer_memory_bytes = 0
        self.state = DiscoveryState.IDLE
        self.has_answered = False
        self.connection: Connection | None = None
        self.backoff = PollBackoff()
        self.answer_timeout_ms = ANSWER_TIMEOUT_MS
        self.poll_client = PollClient("", max_answer_bytes)
        self._polled_at_s = 0.0
        self._linger_ms = FIRST_POLL_LINGER_MS
        self._timer: Timer | None = None  # the timeout of an answer, or the next attempt
        self._logged_causes: set[str] = set()

    # -- Lifecycle

    def start(self) -> None:
        """Connect, and poll once connected."""
        if self.state is DiscoveryState.CLOSED:
            return
        try:
            opened = connection.connect(
                self.loop, self.address, READ_BUFFER_BYTES, READ_BUFFER_BYTES, self._memory
            )
        except connection.ConnectError as error:
            self._on_connection_failed(error.reason)
            return
        self.state = DiscoveryState.CONNECTING
        self.connection = opened
        host, port = self.address
        self.poll_client = PollClient(f"{host}:{port}", self.max_answer_bytes)
        opened.on_open = self._poll
        opened.on_data = self._on_data
        opened.on_closed = self._on_connection_failed
        self._timer = self.loop.call_later(ANSWER_TIMEOUT_MS, lambda: opened.close(SILENT))
        self.loop.spawn(opened.serve())

    def move(self, address: tuple[str, int]) -> None:
        """Poll another address from now on, starting after the newest known revision."""
        if address == self.address or self.state is DiscoveryState.CLOSED:
            return
        self.address = address
        self.backoff.reset()
        self.answer_timeout_ms = ANSWER_TIMEOUT_MS
        self._linger_ms = FIRST_POLL_LINGER_MS
        self._logged_causes.clear()
        self._disconnect()
        self.start()

    def close(self) -> None:
        """Disconnect and stop polling permanently."""
        self.state = DiscoveryState.CLOSED
        self._disconnect()

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

    def _disconnect(self) -> None:
        """Close the connection and cancel the timer."""
        self._cancel_timer()
        self._release_answer()
        dropped = self.connection
        self.connection = None
        if dropped is not None:
            dropped.on_closed = _ignore_reason
            dropped.close("dropped")

    def _on_connection_failed(self, reason: str) -> None:
        self._disconnect()
        if self.state is DiscoveryState.CLOSED:
            return
        self._warn_once(reason, "discovery_connection_failed reason=%r", reason)
        self._linger_ms = FIRST_POLL_LINGER_MS
        self._back_off(self.backoff.after_failed_connection(), self.start)

    # -- Polling

    def _poll(self) -> None:
        """Send a poll for events newer than the known revision."""
        conn = self.connection
        if conn is None or conn.state is not State.OPEN:
            return
        self._cancel_timer()
        self.state = DiscoveryState.POLLING
        self._polled_at_s = self.loop.clock()
        conn.inbound.release()
        log.debug(
            "watch_polled revision=%d linger_ms=%d answer_timeout_ms=%d",
            self.known_revision(),
            self._linger_ms,
            self.answer_timeout_ms,
        )
        conn.send(RawMessage(self.poll_client.poll(self.known_revision(), self._linger_ms)))
        self._await_answer()

    def _await_answer(self) -> None:
        """Set the time by which more of the answer must have arrived.

        This detects a service that is cut off, so that the connection stays open but receives
        nothing, and a service that sends only a few bytes at a time.
        """
        received_bytes = self.poll_client.answer_bytes
        allowed_s = (self._linger_ms + self.answer_timeout_ms) / 1000
        due_s = self._polled_at_s + allowed_s + received_bytes / MIN_ANSWER_BYTES_PER_S
        self._timer = self.loop.call_later(
            (due_s - self.loop.clock()) * 1000, lambda: self._on_answer_due(received_bytes)
        )

    def _on_answer_due(self, received_bytes: int) -> None:
        """Close the connection if no more of the answer has arrived since the timer was set."""
        if self.poll_client.answer_bytes > received_bytes:
            self._await_answer()
        elif self.connection is not None:
            # A service that is slower than the timeout would otherwise be polled again and again,
            # and none of its answers awaited.
            log.info(
                "watch_given_up known_revision=%d after_ms=%d answer_timeout_ms=%d",
                self.known_revision(),
                self._elapsed_ms(),
                self.answer_timeout_ms,
            )
            self.answer_timeout_ms = min(2 * self.answer_timeout_ms, MAX_ANSWER_TIMEOUT_MS)
            self.connection.close(SILENT)

    def _on_data(self) -> None:
        conn = self.connection
        if conn is None:
            return
        try:
            answer = self._read_answer(conn)
        except DiscoveryConnectionError as error:
            conn.close(error.reason)
            return
        except DiscoveryProtocolError as error:
            self._on_unusable_answer(error)
            return
        if answer is not None:
            self._release_answer()
            self._on_answer(answer)

    def _release_answer(self) -> None:
        """Release the memory that was charged for an answer."""
        if self._memory is not None:
            self._memory.release(self._answer_memory_bytes)
        self._answer_memory_bytes = 0

    def _read_answer(self, conn: Connection) -> PollAnswer | None:
        """Read what has arrived; return None while the answer is incomplete.

        The parsed document is released on return, before its events are applied, to bound the
        memory.
        """
        data = conn.inbound.take(len(conn.inbound))
        if self._memory is not None:
            added_bytes = len(data) * MEMORY_PER_ANSWER_BYTE
            self._answer_memory_bytes += added_bytes
            self._memory.charge(added_bytes)
        document = self.poll_client.feed(data)
        if document is None:
            if conn.inbound.limit > conn.inbound.allocated_bytes:
                # The answer is longer than one read, so later reads use a full-size buffer.
                conn.inbound = RingBuffer.preallocated(READ_BUFFER_BYTES)
            return None
        events = codec.watch_events(document, self.known_revision())
        return PollAnswer(events, codec.document_revision(document))

    # -- Answers

    def _on_unusable_answer(self, error: DiscoveryProtocolError) -> None:
        """Poll again after a wait: without it the same answer would arrive immediately."""
        costly = error.costly or self.poll_client.answer_is_long
        self._disconnect()
        self._warn_once(
            error.cause,
            "discovery_answer_unusable reason=%r known_revision=%d max_backoff_s=%g",
            error.reason,
            self.known_revision(),
            max_unusable_backoff_ms(costly) / 1000,
        )
        self._linger_ms = FIRST_POLL_LINGER_MS
        self._back_off(self.backoff.after_unusable_answer(costly), self.start)

    def _elapsed_ms(self) -> float:
        """Return the time since the last poll was sent; news in its answer is at most this old."""
        return (self.loop.clock() - self._polled_at_s) * 1000

    def _on_answer(self, answer: PollAnswer) -> None:
        log.debug(
            "watch_answered revision=%s known_revision=%d events=%d after_ms=%d",
            answer.revision,
            self.known_revision(),
            len(answer.events),
            self._elapsed_ms(),
        )
        if not answer.events:
            self._follow_delay()
        early = not answer.events and self._answered_early()
        regressed = not answer.events and self._is_older(answer.revision)
        self.has_answered = True
        self.backoff.answer_received()
        self._linger_ms = POLL_LINGER_MS
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
        self._poll_again(early, regressed)

    def _follow_delay(self) -> None:
        """Adapt a timeout that has grown to the delay of an answer without events.

        An answer with events tells no delay, since it may come at any time of the linger time.
        """
        delay_ms = (self.loop.clock() - self._polled_at_s) * 1000 - self._linger_ms
        timeout_ms = min(self.answer_timeout_ms, TIMEOUT_DELAY_MULTIPLE * delay_ms)
        self.answer_timeout_ms = max(timeout_ms, ANSWER_TIMEOUT_MS)

    def _answered_early(self) -> bool:
        elapsed_s = self.loop.clock() - self._polled_at_s
        return elapsed_s < self._linger_ms * EARLY_ANSWER_FRACTION / 1000

    def _is_older(self, revision: int | None) -> bool:
        return revision is not None and revision < self.known_revision()

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

    def _poll_again(self, early: bool, regressed: bool) -> None:
        """Send the next poll, after a pause if the last answer was early or a long old list.

        The pause limits the processor time that is spent on a service that doesn't wait for
        changes, or that sends an old list each time.
        """
        costly = regressed and self.poll_client.answer_is_long
        if not early:
            self.backoff.waited_for_change()
        needs_pause = early or costly
        pause_ms = self._pause_ms(regressed, costly) if needs_pause else 0.0
        if not self.poll_client.reusable:
            self._disconnect()
            self._back_off(pause_ms, self.start)
        elif needs_pause:
            self._back_off(pause_ms, self._poll)
        else:
            self._poll()

    def _pause_ms(self, regressed: bool, costly: bool) -> float:
        if regressed:
            return self.backoff.after_regressed_answer(costly)
        return self.backoff.after_early_answer()

    def _warn_once(self, cause: str, message: str, *fields: object) -> None:
        """Log a warning for a cause that has not been logged since the last usable answer."""
        if cause not in self._logged_causes:
            self._logged_causes.add(cause)
            log.warning(message, *fields)


def _ignore_reason(reason: str) -> None:
    """Ignore the end of a connection that the client itself has closed."""
