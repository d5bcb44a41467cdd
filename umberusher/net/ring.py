"""A bounded ring buffer of bytes, one for each direction of a connection."""

from __future__ import annotations

import socket

# Capacity of a ring in use; an empty ring that has grown beyond it shrinks to it again.
INITIAL_CAPACITY_BYTES = 4096
# Capacity of a ring before its first use and after ``release``.
IDLE_CAPACITY_BYTES = 64


class RingBuffer:
    """Bytes in order, at most ``limit`` of them.

    The capacity doubles as needed, so appending is O(1) amortised for each byte. Invariants: the
    content is the ``_size`` bytes from ``_head`` on, modulo the capacity; ``_size`` is at most the
    capacity, and that at most ``limit``; an empty ring begins at 0.

    Attributes:
        limit: The maximum number of bytes that the ring holds.
    """

    __slots__ = ("_data", "_head", "_initial_capacity", "_size", "limit")

    def __init__(self, limit: int, initial_capacity: int = INITIAL_CAPACITY_BYTES) -> None:
        """Create an empty ring.

        Args:
            limit: The maximum number of bytes that it holds.
            initial_capacity: Its capacity once it is used.
        """
        self.limit = limit
        self._initial_capacity = min(initial_capacity, limit)
        self._data = bytearray(min(IDLE_CAPACITY_BYTES, limit))
        self._head = 0
        self._size = 0

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
        return self._size

    @property
    def free_bytes(self) -> int:
        """How many more bytes may be appended."""
        return self.limit - self._size

    @property
    def allocated_bytes(self) -> int:
        """The capacity that is allocated now."""
        return len(self._data)

    def _reserve(self, size: int) -> None:
        """Grow the capacity to at least ``size`` bytes; O(content) when it grows."""
        capacity = len(self._data)
        if size <= capacity:
            return
        while capacity < size:
            capacity *= 2
        grown = bytearray(min(capacity, self.limit))
        grown[: self._size] = self.peek(self._size)
        self._data = grown
        self._head = 0

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
        if size > self.limit - self._size:
            return False
        self._reserve(self._size + size)
        offset = 0
        for low, high in self._spans(self._head + self._size, size):
            self._data[low:high] = data[offset : offset + high - low]
            offset += high - low
        self._size += size
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

    def writable_span(self) -> memoryview:
        """Return free capacity to receive into, at least one byte; ``commit`` what was received.

        There must be free bytes.
        """
        if self._size == len(self._data):
            self._reserve(max(self._size + 1, self._initial_capacity))
        # An empty ring begins at 0: all of it is one span.
        low, high = 0, len(self._data)
        if self._size:
            low, high = self._spans(self._head + self._size, high - self._size)[0]
        return memoryview(self._data)[low:high]

    def commit(self, count: int) -> None:
        """Append the ``count`` bytes that were received into the writable span."""
        self._size += count

    def receive_from(self, sock: socket.socket) -> int:
        """Read from a socket once and return the count; 0 at the end of input.

        There must be free bytes.
        """
        count = sock.recv_into(self.writable_span())
        self._size += count
        return count

    def send_to(self, sock: socket.socket) -> int:
        """Send the first span to a socket once; drop what was sent and return its count."""
        low, high = self._spans(self._head, self._size)[0]
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
        self._size -= size
        if not self._size:
            self._head = 0
            if len(self._data) > self._initial_capacity:
                self._data = bytearray(self._initial_capacity)

    def release(self) -> None:
        """Release the memory of an empty ring."""
        if not self._size and len(self._data) > IDLE_CAPACITY_BYTES:
            self._data = bytearray(min(IDLE_CAPACITY_BYTES, self.limit))
            self._head = 0

    def take(self, size: int) -> bytes:
        """Return the first ``size`` bytes, and drop them."""
        data = self.peek(size)
        self.discard(size)
        return data

    def find(self, pattern: bytes, limit: int) -> int:
        """Return where ``pattern`` first begins in the first ``limit`` bytes, or -1; O(limit)."""
        size = min(self._size, limit)
        if self._head + size <= len(self._data):
            position = self._data.find(pattern, self._head, self._head + size)
            return position - self._head if position >= 0 else -1
        return self.peek(size).find(pattern)
