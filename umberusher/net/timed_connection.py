"""A connection that knows between which times its input has arrived."""

from __future__ import annotations

import math
import select
import socket

from umberusher.net.connection import (
    HOLD_READING,
    MAX_PENDING_READS,
    Connection,
    State,
    prepare_socket,
)
from umberusher.net.loop import HUNG_UP, READ, READ_CLOSED, Loop
from umberusher.net.receive_timestamps import ReceiveTimestamps

# One object for all idle connections, which are the majority.
LONG_AGO_S = -math.inf
# Messages that an owner may process in one turn; a long one counts more.
UNITS_PER_TURN = 32


class TimedConnection(Connection):
    """A connection that reads until the kernel holds no more, and bounds the times of arrival.

    A peer that has shut down its side has gone: what it has sent before is not read any more, since
    nobody waits for it.

    The bounds come from the loop's polls. Where inputs of several connections may be out of order
    and the socket has timestamps, these make them narrower.

    Attributes:
        received_after_s: The bytes of the last read have arrived after this time of the loop.
        received_by_s: They have arrived by this time of the loop.
        last_byte_is_timed: Whether the last byte read arrived exactly at ``received_by_s``.
        turn_units: What the owner may still process in this turn; further input waits for others.
        buffered_since_s: The owner has left complete messages in ``inbound`` that have arrived
            after this time; None if it has left none.
    """

    READ_EVENTS = READ | READ_CLOSED
    CLOSING_EVENTS = HUNG_UP

    __slots__ = (
        "_timestamps",
        "_unread_at_poll",
        "_unread_since_s",
        "buffered_since_s",
        "last_byte_is_timed",
        "received_after_s",
        "received_by_s",
        "turn_units",
    )

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        max_inbound_bytes: int,
        max_outbound_bytes: int,
        timestamps: ReceiveTimestamps,
        established_after_s: float,
    ) -> None:
        """Adopt a socket that was accepted, here or in another process.

        Args:
            loop: The event loop.
            sock: The socket, owned from now on.
            max_inbound_bytes: Limit of the inbound ring.
            max_outbound_bytes: Limit of the outbound ring, and so of one message.
            timestamps: Reads the kernel's timestamps, if the socket has them.
            established_after_s: The loop's time after which the input that the kernel holds already
                has arrived.
        """
        prepare_socket(sock)
        super().__init__(loop, sock, State.OPEN, max_inbound_bytes, max_outbound_bytes)
        self._timestamps = timestamps if timestamps.enable(sock) else None
        # The kernel may have held input since then, when the loop made this poll; 0 for none.
        self._unread_since_s = established_after_s
        self._unread_at_poll = loop.poll_count
        self.received_after_s = established_after_s
        self.received_by_s = established_after_s
        self.last_byte_is_timed = False
        self.turn_units = UNITS_PER_TURN
        self.buffered_since_s: float | None = None

    def process_buffered(self) -> None:
        """Give the owner a turn to process input that it has left in the inbound ring."""
        self.turn_units = UNITS_PER_TURN
        super().process_buffered()

    def release_buffers(self) -> None:
        """Release the memory of empty buffers, and of times that the next read sets anew."""
        super().release_buffers()
        if self.buffered_since_s is None and self.loop.poll_count > self._unread_at_poll + 1:
            self._unread_since_s = LONG_AGO_S
            self._unread_at_poll = 0
            self.received_after_s = LONG_AGO_S
            self.received_by_s = LONG_AGO_S

    def _read(self) -> bool:
        """Read until the kernel holds no more, a bounded number of times."""
        self.turn_units = UNITS_PER_TURN
        if not super()._read():
            return False
        for _ in range(MAX_PENDING_READS - 1):
            holds_more = self._unread_at_poll == self.loop.poll_count
            if not holds_more or self.state is not State.OPEN:
                break
            if not self._can_read() or not super()._read():
                break
        return True

    def read_pending(self) -> None:
        """Read what the kernel holds now, and notice the end even if there is more to read."""
        super().read_pending()
        may_hold_more = self.holds & HOLD_READING or self._unread_at_poll == self.loop.poll_count
        if may_hold_more and self.state is State.OPEN and not self._in_hook:
            poll = select.poll()
            poll.register(self.fd, select.POLLRDHUP)
            if poll.poll(0):
                self._on_hung_up()

    def _on_hung_up(self) -> None:
        """Process one turn of input and close; the rest is dropped, so that nothing is reset.

        Calls that an engine would have to serve are withdrawn by the close before they are begun.
        """
        if self._can_read():
            self._read()
        if self.state is not State.OPEN:
            return
        if self.has_unread_input():
            self.close_gracefully("ended by the other side with unread input")
        else:
            self.close("ended by the other side")

    def _receive(self) -> int | None:
        loop = self.loop
        after_s = loop.previous_poll_s
        # A later poll would have reported input that the kernel held then.
        if loop.poll_count <= self._unread_at_poll + 1:
            after_s = min(after_s, self._unread_since_s)
        if self.buffered_since_s is not None:
            after_s = min(after_s, self.buffered_since_s)
        arrived_by_s = None
        span = self.inbound.writable_span()
        if span is None:
            return None
        if self._timestamps is not None and loop.inputs_may_be_unordered:
            count, arrived_by_s = self._timestamps.receive(self.sock, span, after_s)
        else:
            count = self.sock.recv_into(span)
        self.inbound.commit(count)
        holds_more = count == len(span)
        self._unread_since_s = after_s
        self._unread_at_poll = loop.poll_count if holds_more else 0
        self.received_after_s = after_s
        self.received_by_s = loop.clock() if arrived_by_s is None else arrived_by_s
        self.last_byte_is_timed = arrived_by_s is not None and not holds_more
        return count
