"""A TCP proxy on loopback that delays, breaks or silences the connections that pass through it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Callable

HOST = "127.0.0.1"
CHUNK_BYTES = 1 << 16


class ProxiedConnection:
    """One connection through the proxy.

    Attributes:
        is_silent: Nothing passes any more in either direction, and the connection stays open.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self.is_silent = False
        self._writer = writer

    def reset(self) -> None:
        """Reset the connection to the broker."""
        sock = self._writer.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._writer.transport.abort()


class FaultProxy:
    """A proxy before one server.

    Attributes:
        port: Where the broker connects.
        delay_s: How late the server's bytes are passed on.
        connections: The open connections.
    """

    def __init__(self, target_port: Callable[[], int]) -> None:
        """Create a proxy.

        Args:
            target_port: Returns the port of the server.
        """
        self.port = 0
        self.delay_s = 0.0
        self.connections: set[ProxiedConnection] = set()
        self._target_port = target_port
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def silence(self) -> None:
        """Silence the open connections; new ones are served."""
        for connection in self.connections:
            if not connection.is_silent:
                connection.is_silent = True
                self.silenced(connection)

    def reset(self) -> None:
        """Reset the open connections."""
        for connection in list(self.connections):
            self.broken(connection)
            connection.reset()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = ProxiedConnection(writer)
        self.connections.add(connection)
        tasks: list[asyncio.Task[None]] = []
        server_writer = None
        try:
            server_reader, server_writer = await asyncio.open_connection(HOST, self._target_port())
            tasks = [
                asyncio.create_task(self._pass_requests(connection, reader, server_writer)),
                asyncio.create_task(self._pass_answers(connection, server_reader, writer)),
            ]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for task in tasks:
                task.cancel()
            self.connections.discard(connection)
            for each in (server_writer, writer):
                if each is not None:
                    with contextlib.suppress(OSError):
                        each.close()

    async def _pass_requests(
        self,
        connection: ProxiedConnection,
        source: asyncio.StreamReader,
        target: asyncio.StreamWriter,
    ) -> None:
        async for data in _chunks(source):
            self.requested(connection, data)
            if not connection.is_silent:
                target.write(data)
        self.closed(connection)

    async def _pass_answers(
        self,
        connection: ProxiedConnection,
        source: asyncio.StreamReader,
        target: asyncio.StreamWriter,
    ) -> None:
        async for data in _chunks(source):
            if self.delay_s:
                await asyncio.sleep(self.delay_s)
            if not connection.is_silent:
                self.answered(connection, data)
                target.write(data)
        if connection.is_silent:
            # The broker must not notice the end.
            await asyncio.Event().wait()

    # -- Hooks of subclasses

    def requested(self, connection: ProxiedConnection, data: bytes) -> None:
        """Handle bytes of the broker."""

    def answered(self, connection: ProxiedConnection, data: bytes) -> None:
        """Handle bytes of the server that are about to be passed on."""

    def silenced(self, connection: ProxiedConnection) -> None:
        """Handle a connection that has become silent."""

    def broken(self, connection: ProxiedConnection) -> None:
        """Handle a connection that is about to be reset."""

    def closed(self, connection: ProxiedConnection) -> None:
        """Handle a connection that the broker has closed."""


async def _chunks(source: asyncio.StreamReader) -> AsyncIterator[bytes]:
    """Yield what arrives until the connection ends or fails."""
    with contextlib.suppress(OSError):
        while data := await source.read(CHUNK_BYTES):
            yield data
