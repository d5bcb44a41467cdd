"""One connection to the discovery service, with at most one poll outstanding on it."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from umberusher.net import connection
from umberusher.net.connection import RawMessage, State
from umberusher.net.loop import Loop
from umberusher.net.ring import RingBuffer, RingMemory
from umberusher.protocol import discovery as codec
from umberusher.protocol.discovery import DiscoveryProtocolError, WatchEvent
from umberusher.protocol.discovery_poll import DiscoveryConnectionError, PollClient

if TYPE_CHECKING:  # Saves memory.
    from typing import Protocol

    class WatchOwner(Protocol):
        """Receives what happens on a watch."""

        def on_connected(self, watch: Watch) -> None:
            """Handle an established connection: nothing has been polled on it."""

        def on_answer(self, watch: Watch, answer: PollAnswer) -> None:
            """Handle a usable answer to the outstanding poll."""

        def on_unusable_answer(self, watch: Watch, error: DiscoveryProtocolError) -> None:
            """Handle an answer that can't be used; the watch is still open."""

        def on_failed(self, watch: Watch, reason: str) -> None:
            """Handle the end of the connection, unless the owner itself has closed the watch."""


log = logging.getLogger(__name__)

# Minimum rate at which a long answer must arrive: the longest list of 32,000 entries must be
# received within 7 s.
MIN_ANSWER_BYTES_PER_S = 1e6
# An answer without events counts as early if it arrives within this fraction of its linger time:
# the service has not waited as requested.
EARLY_ANSWER_FRACTION = 0.5
READ_BUFFER_BYTES = 1 << 14
# Memory for each byte of an answer: the bytes, their text, and the document that it is parsed to.
MEMORY_PER_ANSWER_BYTE = 4
MS_PER_S = 1000.0


class PollAnswer:
    """A usable answer.

    Attributes:
        events: The watch events newer than the known revision, in order.
        revision: The current revision of the service, if the answer names one.
    """

    __slots__ = ("events", "revision")

    def __init__(self, events: list[WatchEvent], revision: int | None) -> None:
        """Create the answer."""
        self.events = events
        self.revision = revision


class Watch:
    """One connection to the discovery service.

    Attributes:
        number: Identifies it in the log.
        connection: The connection.
        poll_client: The HTTP codec of the connection.
        has_answered: Whether the service has answered a poll on this connection.
        polled_at_s: When the last poll was sent, on the loop's clock; before the first one, when
            the connection was begun.
        polled_revision: The known revision of the last poll.
        linger_ms: How long the service may wait with the answer to it.
    """

    __slots__ = (
        "_answer_memory_bytes",
        "_known_revision",
        "_loop",
        "_memory",
        "_owner",
        "connection",
        "has_answered",
        "linger_ms",
        "number",
        "poll_client",
        "polled_at_s",
        "polled_revision",
    )

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        known_revision: Callable[[], int],
        max_answer_bytes: int,
        memory: RingMemory | None,
        owner: WatchOwner,
        number: int,
    ) -> None:
        """Begin to connect.

        Args:
            loop: The event loop.
            address: Host and port of the discovery service.
            known_revision: Returns the newest revision that has been applied.
            max_answer_bytes: Longest answer that is read.
            memory: Where buffers and answers are charged; None without an account.
            owner: Receives what happens on the watch.
            number: Identifies it in the log.

        Raises:
            ConnectError: The connection attempt failed immediately.
        """
        self._loop = loop
        self._known_revision = known_revision
        self._memory = memory
        self._owner = owner
        self._answer_memory_bytes = 0
        self.number = number
        self.has_answered = False
        self.polled_at_s = loop.clock()
        self.polled_revision = 0
        self.linger_ms = 0.0
        host, port = address
        self.poll_client = PollClient(f"{host}:{port}", max_answer_bytes)
        self.connection = connection.connect(
            loop, address, READ_BUFFER_BYTES, READ_BUFFER_BYTES, memory
        )
        self.connection.on_open = lambda: owner.on_connected(self)
        self.connection.on_data = self._on_data
        self.connection.on_closed = self._on_closed

    def serve(self) -> None:
        """Read and write from now on."""
        self._loop.spawn(self.connection.serve())

    def close(self) -> None:
        """Disconnect without notifying the owner."""
        self.connection.on_closed = _ignore_reason
        self.connection.close("dropped")
        self._release_answer()

    # -- Polling

    def poll(self, linger_ms: float) -> None:
        """Send a poll for events newer than the known revision.

        Args:
            linger_ms: How long the service may wait for a change before it answers.
        """
        if self.connection.state is not State.OPEN:
            return
        self.polled_at_s = self._loop.clock()
        self.polled_revision = self._known_revision()
        self.linger_ms = linger_ms
        self.connection.inbound.release()
        log.debug(
            "watch_polled watch=%d revision=%d linger_ms=%d",
            self.number,
            self.polled_revision,
            linger_ms,
        )
        poll = self.poll_client.poll(self.polled_revision, int(linger_ms))
        self.connection.send(RawMessage(poll))

    def elapsed_ms(self) -> float:
        """Return the time since the last poll was sent; news in its answer is at most this old."""
        return (self._loop.clock() - self.polled_at_s) * MS_PER_S

    def answer_due_s(self, delay_ms: float) -> float:
        """Return by when more of the answer must have arrived.

        Args:
            delay_ms: The time after the end of the linger time in which an answer must begin.
        """
        received_s = self.poll_client.answer_bytes / MIN_ANSWER_BYTES_PER_S
        return self.polled_at_s + (self.linger_ms + delay_ms) / MS_PER_S + received_s

    def answered_early(self) -> bool:
        """Return whether the service has not waited as requested."""
        return self.elapsed_ms() < self.linger_ms * EARLY_ANSWER_FRACTION

    # -- Callbacks of the connection

    def _on_data(self) -> None:
        try:
            answer = self._read_answer()
        except DiscoveryConnectionError as error:
            self.connection.close(error.reason)
            return
        except DiscoveryProtocolError as error:
            self._owner.on_unusable_answer(self, error)
            return
        if answer is not None:
            self._release_answer()
            log.debug(
                "watch_answered watch=%d revision=%s events=%d after_ms=%d",
                self.number,
                answer.revision,
                len(answer.events),
                self.elapsed_ms(),
            )
            self._owner.on_answer(self, answer)

    def _read_answer(self) -> PollAnswer | None:
        """Read what has arrived; return None while the answer is incomplete.

        The parsed document is released on return, before its events are applied, to bound the
        memory.
        """
        inbound = self.connection.inbound
        data = inbound.take(len(inbound))
        if self._memory is not None:
            added_bytes = len(data) * MEMORY_PER_ANSWER_BYTE
            self._answer_memory_bytes += added_bytes
            self._memory.charge(added_bytes)
        document = self.poll_client.feed(data)
        if document is None:
            if inbound.limit > inbound.allocated_bytes:
                # The answer is longer than one read, so later reads use a full-size buffer.
                self.connection.inbound = RingBuffer.preallocated(READ_BUFFER_BYTES)
            return None
        events = codec.watch_events(document, self._known_revision())
        return PollAnswer(events, codec.document_revision(document))

    def _release_answer(self) -> None:
        """Release the memory that was charged for an answer."""
        if self._memory is not None:
            self._memory.release(self._answer_memory_bytes)
        self._answer_memory_bytes = 0

    def _on_closed(self, reason: str) -> None:
        self._release_answer()
        self._owner.on_failed(self, reason)


def _ignore_reason(reason: str) -> None:
    """Ignore the end of a connection that its owner has closed."""
