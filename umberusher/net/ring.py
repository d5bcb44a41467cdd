"""A bounded ring buffer of bytes, one for each direction of a connection."""

from __future__ import annotations

import socket
from typing import Protocol

# Capacity of a ring in use; an empty ring that has grown beyond it shrinks to it again.
INITIAL_CAPACITY_BYTES = 4096
# Capacity of a ring before its first use and after ``release``.
IDLE_CAPACITY_BYTES = 64


class RingMemory(Protocol):
    """The memory of a ring's owner, to which the ring's capacity is charged."""

    def try_charge(self, size_bytes: int) -> bool:
        """Charge memory that is about to be allocated, if the limit allows it."""

    def charge(self, size_bytes: int) -> None:
        """Charge memory that is needed in any case."""

    def release(self, size_bytes: int) -> None:
        """Release memory that was charged."""


class RingBuffer:
    """Bytes in order, at most ``limit`` of them.

    The capacity doubles as needed, so appending is O(1) amortised for each byte. Invariants: the
    content is the ``size`` bytes from ``_head`` on, modulo the capacity; ``size`` is at most the
    capacity, and that at most ``limit``; an empty ring begins at 0. The capacity above
    ``IDLE_CAPACITY_BYTES`` is charged to the owner's memory, if the ring has any.

    Attributes:
        limit: The maximum number of bytes that the ring holds.
        size: The number of bytes held, also ``len()`` of the ring.
    """

    __slots__ = ("_data", "_head", "_initial_capacity", "_memory", "limit", "size")

    def __init__(
        self,
        limit: int,
        initial_capacity: int = INITIAL_CAPACITY_BYTES,
        memory: RingMemory | None = None,
    ) -> None:
        """Create an empty ring.

        Args:
            limit: The maximum number of bytes that it holds.
            initial_capacity: Its capacity once it is used.
            memory: Where its capacity is charged; None if its limit is all that bounds it.
        """
        self.limit = limit
        self._memory = memory
        self._initial_capacity = min(initial_capacity, limit)
        self._data = bytearray(min(IDLE_CAPACITY_BYTES, limit))
        self._head = 0
        self.size = 0

    @classmethod
    def preallocated(cls, limit: int) -> RingBuffer:
        """Return a ring that has its full capacity from the start.

        For streams whose input is read as it arrives: a ring that is always emptied never grows,
        and each read would return at most ``IDLE_CAPACITY_BYTES``.
        """
        ring = cls(limit, limit)
        ring._data = bytearray(limit)
        return ring

    def __len__(self) -> int:
        """Return the number of bytes held."""
        return self.size

    @property
    def free_bytes(self) -> int:
        """How many more bytes may be appended."""
        return self.limit - self.size

    @property
    def allocated_bytes(self) -> int:
        """The capacity that is allocated now."""
        return len(self._data)

    def _reserve(self, size: int) -> None:
        """Grow the capacity to at least ``size`` bytes; O(content) when it grows."""
        capacity = len(self._data)
        if size <= capacity:
            return
        grown_capacity = self._grown_capacity(size)
        if self._memory is not None:
            self._memory.charge(_charged_bytes(grown_capacity) - _charged_bytes(capacity))
        self._grow(grown_capacity)

    def _grown_capacity(self, size: int) -> int:
        capacity = len(self._data)
        while capacity < size:
            capacity *= 2
        return min(capacity, self.limit)

    def _grow(self, capacity: int) -> None:
        grown = bytearray(capacity)
        grown[: self.size] = self.peek(self.size)
        self._data = grown
        self._head = 0

    def _replace_empty(self, capacity: int) -> None:
        """Replace the memory of an empty ring by less."""
        if self._memory is not None:
            self._memory.release(_charged_bytes(len(self._data)) - _charged_bytes(capacity))
        self._data = bytearray(capacity)
        self._head = 0

    def _try_grow(self) -> bool:
        """Make room for at least one more byte; return False if the owner's memory has none.

        The initial capacity is granted in any case, so that small messages are read whatever others
        hold.
        """
        capacity = self._grown_capacity(max(self.size + 1, self._initial_capacity))
        if self._memory is not None:
            added_bytes = _charged_bytes(capacity) - _charged_bytes(len(self._data))
            if capacity <= self._initial_capacity:
                self._memory.charge(added_bytes)
            elif not self._memory.try_charge(added_bytes):
                return False
        self._grow(capacity)
        return True

    def charge_to(self, memory: RingMemory) -> None:
        """Charge the capacity to its owner's memory from now on; the ring must be unused."""
        self._memory = memory

    def _spans(self, start: int, size: int) -> list[tuple[int, int]]:
        """Return the spans of ``size`` bytes from ``start`` on: one, or two if the bytes wrap."""
        capacity = len(self._data)
        start %= capacity
        end = start + size
        if end <= capacity:
            return [(start, end)] if size else []
        return [(start, capacity), (0, end - capacity)]

    def write(self, data: bytes) -> bool:
        """Append all of ``data``; return False, with nothing appended, if it does not fit."""
        size = len(data)
        if size > self.limit - self.size:
            return False
        self._reserve(self.size + size)
        offset = 0
        for low, high in self._spans(self._head + self.size, size):
            self._data[low:high] = data[offset : offset + high - low]
            offset += high - low
        self.size += size
        return True

    def write_through(self, sock: socket.socket, data: bytes) -> int:
        """Send ``data`` to a socket once, append what is not sent, and return the count sent.

        The ring must be empty and ``data`` within its limit. Bytes that the kernel
        accepts at once are not copied, which holds for nearly all answers and requests.

        Raises:
            BlockingIOError: The kernel accepts nothing; all of ``data`` is appended.
            OSError: The socket failed.
        """
        try:
            count = sock.send(data)
        except (BlockingIOError, InterruptedError):
            self.write(data)
            raise
        if count < len(data):
            self.write(data[count:])
        return count

    def writable_span(self) -> memoryview | None:
        """Return free capacity to receive into, at least one byte; ``commit`` what was received.

        There must be free bytes. Returns None if the owner's memory has no room for more capacity.
        """
        if self.size == len(self._data) and not self._try_grow():
            return None
        # An empty ring begins at 0: all of it is one span.
        low, high = 0, len(self._data)
        if self.size:
            low, high = self._spans(self._head + self.size, high - self.size)[0]
        return memoryview(self._data)[low:high]

    def commit(self, count: int) -> None:
        """Append the ``count`` bytes that were received into the writable span."""
        self.size += count

    def receive_from(self, sock: socket.socket) -> int | None:
        """Read from a socket once and return the count; 0 at the end of input.

        There must be free bytes. Returns None if the owner's memory has no room for input.
        """
        span = self.writable_span()
        if span is None:
            return None
        count = sock.recv_into(span)
        self.size += count
        return count

    def send_to(self, sock: socket.socket) -> int:
        """Send the first span to a socket once; drop what was sent and return its count."""
        low, high = self._spans(self._head, self.size)[0]
        with memoryview(self._data) as view:
            count = sock.send(view[low:high])
        self.discard(count)
        return count

    def peek(self, size: int, start: int = 0) -> bytes:
        """Return a copy of ``size`` bytes from ``start`` on, left in place."""
        low = self._head + start
        if low + size <= len(self._data):
            # This is the usual case, since a ring that has become empty begins at 0 again.
            return bytes(self._data[low : low + size])
        return b"".join(self._data[low:high] for low, high in self._spans(low, size))

    def discard(self, size: int) -> None:
        """Drop the first ``size`` bytes; O(1)."""
        self._head = (self._head + size) % len(self._data)
        self.size -= size
        if not self.size:
            self._head = 0
            if len(self._data) > self._initial_capacity:
                self._replace_empty(self._initial_capacity)

    def release(self) -> None:
        """Release the memory of an empty ring."""
        if not self.size and len(self._data) > IDLE_CAPACITY_BYTES:
            self._replace_empty(min(IDLE_CAPACITY_BYTES, self.limit))

    def drop(self) -> None:
        """Drop the content and release its memory: the connection has closed."""
        self.size = 0
        self._head = 0
        self.release()

    def take(self, size: int) -> bytes:
        """Return the first ``size`` bytes, and drop them."""
        data = self.peek(size)
        self.discard(size)
        return data

    def find(self, pattern: bytes, limit: int) -> int:
        """Return where ``pattern`` first begins in the first ``limit`` bytes, or -1; O(limit)."""
        size = min(self.size, limit)
        if self._head + size <= len(self._data):
            position = self._data.find(pattern, self._head, self._head + size)
            return position - self._head if position >= 0 else -1
        return self.peek(size).find(pattern)


def _charged_bytes(capacity: int) -> int:
    """Return how much of a capacity is charged: that of an idle ring is part of its connection."""
    return capacity if capacity > IDLE_CAPACITY_BYTES else 0
