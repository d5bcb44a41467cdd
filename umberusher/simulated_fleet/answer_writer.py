"""Writes answers to polls, a bounded number of long ones at a time.

A connection holds a long answer in memory until the broker has read it; with hundreds of brokers in
one process, all long answers at once would not fit into memory.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from umberusher.net.connection import Connection, RawMessage, State

# Bytes passed to a connection in one message; a longer body is a long answer.
PIECE_BYTES = 1 << 16


class _LastPiece(RawMessage):
    """The last piece of a long answer; notifies the writer once the kernel has it."""

    __slots__ = ("_on_written",)

    def __init__(self, data: bytes, on_written: Callable[[], None]) -> None:
        super().__init__(data)
        self._on_written = on_written

    def written(self) -> None:
        self._on_written()


class _LongAnswer(NamedTuple):
    connection: Connection
    head: bytes
    body: bytes


class AnswerWriter:
    """Writes short answers at once and queues long ones.

    Args:
        max_concurrent: The most long answers that are written at a time.
    """

    __slots__ = ("_max_concurrent", "_queue", "_writing")

    def __init__(self, max_concurrent: int) -> None:
        self._max_concurrent = max_concurrent
        self._queue: deque[_LongAnswer] = deque()
        self._writing: set[Connection] = set()

    def write(self, connection: Connection, head: bytes, body: bytes) -> None:
        """Write a short answer at once; queue a long one."""
        if len(body) <= PIECE_BYTES:
            connection.send(RawMessage(head + body))
            return
        self._queue.append(_LongAnswer(connection, head, body))
        self._write_queued()

    def finished(self, connection: Connection) -> None:
        """Start the next long answer after this connection's was written, or after it closed."""
        if connection in self._writing:
            self._writing.remove(connection)
            self._write_queued()

    def _write_queued(self) -> None:
        while self._queue and len(self._writing) < self._max_concurrent:
            answer = self._queue.popleft()
            if answer.connection.state is State.OPEN:
                self._write_long(answer)

    def _write_long(self, answer: _LongAnswer) -> None:
        connection = answer.connection
        body = answer.body
        self._writing.add(connection)
        connection.send(RawMessage(answer.head))
        last_start = (len(body) - 1) // PIECE_BYTES * PIECE_BYTES
        for start in range(0, last_start, PIECE_BYTES):
            connection.send(RawMessage(body[start : start + PIECE_BYTES]))
        connection.send(_LastPiece(body[last_start:], lambda: self.finished(connection)))
