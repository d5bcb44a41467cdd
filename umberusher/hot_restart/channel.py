"""The two Unix sockets between the processes of one broker, for messages and for descriptors."""

from __future__ import annotations

import logging
import os
import socket
from collections.abc import Callable, Iterable

from umberusher.net.connection import Connection, RawMessage, State
from umberusher.net.loop import READ, Coroutine, Loop, Wait
from umberusher.net.ring import RingBuffer

log = logging.getLogger(__name__)

READ_BUFFER_BYTES = 1 << 17
"""Bytes that are read from the link at once."""

MAX_QUEUED_MESSAGES = 1_024
"""A slow peer with more pending messages is sent the whole endpoint list instead of changes."""

MAX_PACKET_BYTES = 4_096
"""Longest packet that accompanies a descriptor."""


class MessageLink:
    """Newline-terminated messages over a stream socket, with a bound on each message.

    Attributes:
        connection: The socket with its buffers.
        max_message_bytes: The longest message; a peer that sends a longer one is disconnected.
    """

    __slots__ = ("_on_closed", "_on_line", "_partial_line", "connection", "max_message_bytes")

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        max_message_bytes: int,
        on_line: Callable[[bytearray], None],
        on_closed: Callable[[str], None],
    ) -> None:
        sock.setblocking(False)
        self.max_message_bytes = max_message_bytes
        self.connection = Connection(loop, sock, State.OPEN, READ_BUFFER_BYTES, max_message_bytes)
        self.connection.inbound = RingBuffer.preallocated(READ_BUFFER_BYTES)
        self.connection.on_data = self._read
        self.connection.on_closed = on_closed
        self._on_line = on_line
        self._on_closed = on_closed
        self._partial_line = bytearray()
        loop.prioritize(self.connection.fd)

    @property
    def is_flushed(self) -> bool:
        """Whether the kernel has accepted all messages that were sent."""
        return self.connection.is_flushed

    @property
    def is_congested(self) -> bool:
        """Whether so many messages are pending that the peer should be sent the whole list."""
        return len(self.connection.outbox) > MAX_QUEUED_MESSAGES

    def send(self, line: bytes) -> None:
        """Send one message."""
        self.connection.send(RawMessage(line))

    def send_in_pieces(self, line: Iterable[bytes]) -> None:
        """Send one long message."""
        for piece in line:
            self.connection.send(RawMessage(piece))

    def receive(self, data: bytes) -> None:
        """Process each complete line; keep an incomplete one until its end arrives."""
        begin = 0
        while self.connection.state is State.OPEN:
            end = data.find(b"\n", begin)
            if end < 0:
                break
            self._partial_line += data[begin:end]
            line = self._partial_line
            self._partial_line = bytearray()
            begin = end + 1
            self._on_line(line)
        self._partial_line += data[begin:]
        if len(self._partial_line) > self.max_message_bytes:
            self.connection.close("a message exceeds the size limit")

    def _read(self) -> None:
        inbound = self.connection.inbound
        self.receive(inbound.take(len(inbound)))

    def close(self, reason: str) -> None:
        """Close the link and notify its owner."""
        self.connection.close(reason)

    def close_silently(self, reason: str) -> None:
        """Close the link without notifying its owner, which closes the link itself."""
        self.connection.on_closed = _ignore
        self.connection.close(reason)


def _ignore(_reason: str) -> None:
    """Do nothing."""


class DescriptorChannel:
    """A sequenced-packet socket; each packet carries one descriptor."""

    __slots__ = ("_loop", "_on_packet", "_sock")

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_packet: Callable[[bytes, socket.socket], None] | None = None,
    ) -> None:
        """Create the channel.

        Args:
            loop: The event loop.
            sock: This process's end.
            on_packet: Called with each packet and its socket; raises ValueError, KeyError or
                TypeError if the packet is malformed, and OSError if the socket is unusable. None
                at the end that only sends.
        """
        sock.setblocking(False)
        self._loop = loop
        self._sock: socket.socket | None = sock
        self._on_packet = on_packet
        if on_packet is not None:
            loop.spawn(self._receive(sock))

    @property
    def is_open(self) -> bool:
        """Whether descriptors can be sent."""
        return self._sock is not None

    def send(self, packet: bytes, descriptor: int) -> bool:
        """Send a descriptor; return False if that can't be done now."""
        if self._sock is None:
            return False
        try:
            socket.send_fds(self._sock, [packet], [descriptor])
        except OSError:
            return False
        return True

    def _receive(self, sock: socket.socket) -> Coroutine:
        while self._sock is sock:
            yield Wait(sock.fileno(), READ)
            self.receive_pending()

    def receive_pending(self) -> None:
        """Dispatch all packets that have arrived."""
        while self._sock is not None:
            try:
                packet, descriptors, _, _ = socket.recv_fds(self._sock, MAX_PACKET_BYTES, 1)
            except (BlockingIOError, InterruptedError):
                return
            except OSError as error:
                _log_dropped(error)
                continue
            if not packet:
                self.close()
                return
            self._dispatch_packet(packet, descriptors)

    def _dispatch_packet(self, packet: bytes, descriptors: list[int]) -> None:
        """Pass one packet to the owner; an unusable one loses only its own connection."""
        if not descriptors:
            _log_dropped(ValueError("the packet carries no descriptor"))
            return
        try:
            sock = socket.socket(fileno=descriptors[0])
        except OSError as error:
            os.close(descriptors[0])
            _log_dropped(error)
            return
        try:
            if self._on_packet is not None:
                self._on_packet(packet, sock)
        except (OSError, ValueError, KeyError, TypeError, IndexError) as error:
            sock.close()
            _log_dropped(error)

    def close(self) -> None:
        """Close the socket."""
        if self._sock is None:
            return
        sock = self._sock
        self._sock = None
        self._loop.unregister(sock.fileno())
        sock.close()


def _log_dropped(error: Exception) -> None:
    log.warning("hot_restart_connection_dropped error=%s reason=%s", type(error).__name__, error)
