"""A broker's connection to a stand-in engine: commands are read at once, delayed, or slowly."""

from __future__ import annotations

import socket
from dataclasses import dataclass
from typing import Protocol

from umberusher.net.connection import Connection, State
from umberusher.net.loop import Loop
from umberusher.standin.engine_faults import EngineFaults
from umberusher.standin.engine_protocol import Command, MalformedCommand, next_command
from umberusher.standin.machine import Task

SLOW_READ_INTERVAL_MS = 100.0
SLOW_RECEIVE_BUFFER_BYTES = 2_304
"""The kernel's smallest receive buffer, so that unread data stays on the broker's side."""

STALE_AFTER_SLOW_READ_MS = 250.0
"""Time after slow reading in which a command that is read may have waited in the buffer."""


class CommandHandler(Protocol):
    """The interface of an engine for its connections."""

    loop: Loop
    faults: EngineFaults

    def now_ms(self) -> float:
        """Return the time of the engine's own clock."""

    def handle(self, connection: EngineConnection, command: Command, /) -> None:
        """Execute one command."""

    def on_connection_closed(self, connection: EngineConnection, /) -> None:
        """Abandon the attempts that are open on a closed connection."""


@dataclass(slots=True)
class EngineAttempt:
    """A request on an engine: its task, its connection, and whether a broker waits for it."""

    request_id: str
    statement: bytes
    connection: EngineConnection
    task: Task
    wanted: bool = True


class EngineConnection:
    """One connection with the attempts and the results that are open on it."""

    __slots__ = (
        "_engine",
        "_next_command_ms",
        "_reads_slowly",
        "_stale_until_ms",
        "attempts",
        "connection_id",
        "pages",
        "transport",
    )

    def __init__(self, engine: CommandHandler, transport: Connection, connection_id: int) -> None:
        self._engine = engine
        self.transport = transport
        self.connection_id = connection_id
        # By request identifier.
        self.attempts: dict[str, EngineAttempt] = {}
        self.pages: dict[str, list[bytes]] = {}
        # No command is executed before this time, so that delayed commands stay in order.
        self._next_command_ms = 0.0
        self._reads_slowly = False
        self._stale_until_ms = -1.0
        transport.on_data = self._on_data
        transport.on_closed = self._on_closed

    def may_read_late(self, now_ms: float) -> bool:
        """Return whether a command may have waited in the kernel's buffer before it was read."""
        return self._reads_slowly or now_ms < self._stale_until_ms

    def reset(self) -> None:
        """Close with a reset."""
        self.transport.abort("reset")

    def read_slowly(self) -> None:
        """Read a few bytes at a time, from a small receive buffer, until the fault ends."""
        if self._reads_slowly or not self._is_open:
            return
        self._reads_slowly = True
        self.transport.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_RECEIVE_BUFFER_BYTES
        )
        self.transport.set_reading_paused(True)
        self._read_slow_chunk()

    @property
    def _is_open(self) -> bool:
        return self.transport.state is State.OPEN

    def _on_data(self) -> None:
        if self._engine.faults.read_bytes_per_interval:
            # Data that arrived together with the end of the connection is dropped with it.
            self.read_slowly()
            return
        while self._is_open:
            command = next_command(self.transport.inbound)
            if command is None:
                return
            if isinstance(command, MalformedCommand):
                self.transport.close(command.reason)
                return
            self._handle_after_delay(command)

    def _handle_after_delay(self, command: Command) -> None:
        now_ms = self._engine.now_ms()
        delay_ms = self._engine.faults.network_delay_ms
        if not delay_ms and self._next_command_ms <= now_ms:
            self._engine.handle(self, command)
            return
        self._next_command_ms = max(now_ms + delay_ms, self._next_command_ms)
        self._engine.loop.call_later(
            self._next_command_ms - now_ms, lambda: self._handle_delayed(command)
        )

    def _handle_delayed(self, command: Command) -> None:
        if self._is_open:
            self._engine.handle(self, command)

    def _read_slow_chunk(self) -> None:
        if not self._is_open:
            return
        size = self._engine.faults.read_bytes_per_interval
        if not size:
            self._end_slow_reading()
            return
        try:
            received = self.transport.sock.recv(size)
        except BlockingIOError:
            received = b""
        except OSError:
            self.transport.close("gone")
            return
        self._engine.loop.call_later(SLOW_READ_INTERVAL_MS, self._read_slow_chunk)
        self.transport.inbound.write(received)
        while self._is_open:
            command = next_command(self.transport.inbound)
            if not isinstance(command, Command):
                return
            self._engine.handle(self, command)

    def _end_slow_reading(self) -> None:
        self._reads_slowly = False
        self._stale_until_ms = self._engine.now_ms() + STALE_AFTER_SLOW_READ_MS
        self.transport.set_reading_paused(False)
        self.transport.process_buffered()

    def _on_closed(self, _reason: str) -> None:
        self._engine.on_connection_closed(self)
