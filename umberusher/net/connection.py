"""A TCP connection as a small machine of states, with a ring buffer for each direction.

CONNECTING -> OPEN -> CLOSED. Messages wait in ``outbox`` and go into the outbound ring one at a time, so that
one which has not begun can still be withdrawn. No exception of the socket leaves this module.
"""

from __future__ import annotations

import errno
import fcntl
import logging
import socket
import struct
import termios
from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from umberusher.net.loop import READ, WRITE, Coroutine, Loop, Wait
from umberusher.net.ring import Ring

log = logging.getLogger(__name__)


UNSENT_MOST = 16_384  # bytes that the kernel may hold unsent: what waits here can still be decided on
STUCK_MS = 250.0  # without a byte taken, after which a connection is stuck
NOTSENT_LOWAT = getattr(socket, "TCP_NOTSENT_LOWAT", 25)


class State(Enum):
    """Where a connection stands."""

    CONNECTING = "connecting"
    OPEN = "open"
    CLOSED = "closed"


class Message(Protocol):
    """Something to write: made into bytes only when its turn has come."""

    def encode(self) -> bytes:
        """The bytes; empty to skip it."""

    def written(self) -> None:
        """The last byte is with the kernel."""


class Raw:
    """Bytes as a message."""

    __slots__ = ("data",)

    def __init__(self, data: bytes) -> None:
        self.data = data

    def encode(self) -> bytes:
        """The bytes."""
        return self.data

    def written(self) -> None:
        """Nobody asks."""


class Connection:
    """One socket; its owner sets the hooks ``on_open``, ``on_data`` and ``on_closed``."""

    def __init__(self, loop: Loop, sock: socket.socket, state: State, inbound: int, outbound: int) -> None:
        self.loop, self.sock, self.state = loop, sock, state
        self.fd = sock.fileno()
        self.inbound, self.outbound = Ring(inbound), Ring(outbound)
        self.outbox: deque[Message] = deque()
        self.writing: Message | None = None  # the message that is in the outbound ring
        self.paused = False  # the owner takes no more for now
        self.closing = False  # close once all is written
        self.sent = 0  # bytes that the kernel has taken
        self.waits_since: float | None = None  # the loop's time since which the kernel takes nothing
        self._reading = False
        self.on_open: Callable[[], None] = lambda: None
        self.on_data: Callable[[], None] = lambda: None
        self.on_closed: Callable[[str], None] = lambda why: None

    # -- For the owner

    def send(self, message: Message) -> None:
        """Queue a message and write as much as the kernel takes."""
        if self.state is State.CLOSED:
            return
        self.outbox.append(message)
        if self.state is State.OPEN:
            self._flush()
            self._watch()

    def ended(self) -> bool:
        """Whether the other side has closed, with nothing left to read; no event may have told of it yet."""
        if self.state is not State.OPEN:
            return self.state is State.CLOSED
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True

    def quiet(self) -> bool:
        """Whether nothing is under way in either direction, not even in the kernel."""
        if len(self.inbound) or not self.idle:
            return False
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except OSError:
            return True

    def detach(self) -> None:
        """Let go of the socket without a word to its owner: another process has it now."""
        self.state = State.CLOSED
        self.loop.forget(self.fd)
        self.sock.close()

    def unacked(self) -> int:
        """Bytes that the kernel has taken and the other machine has not acknowledged."""
        try:
            return struct.unpack("i", fcntl.ioctl(self.fd, termios.TIOCOUTQ, b"\0\0\0\0"))[0]
        except OSError:
            return 0

    def stuck(self) -> bool:
        """Whether nothing of what waits has been taken for a while."""
        return self.waits_since is not None and self.loop.clock() - self.waits_since > STUCK_MS / 1000.0

    def abort(self, why: str) -> None:
        """Close with a reset: what the other machine has not taken yet it never gets."""
        if self.state is State.OPEN:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close(why)

    def withdraw(self, message: Message) -> bool:
        """Take a message back that has not begun."""
        if message in self.outbox:
            self.outbox.remove(message)
            return True
        return False

    def pause(self, paused: bool) -> None:
        """Stop or go on reading."""
        if self.paused != paused:
            self.paused = paused
            self._watch()

    @property
    def idle(self) -> bool:
        """Nothing is left to write."""
        return not self.outbox and self.writing is None

    def finish(self) -> None:
        """Close as soon as all is written."""
        self.closing = True
        if self.idle:
            self.close("finished")

    def close(self, why: str) -> None:
        """Close now and tell the owner, once."""
        if self.state is State.CLOSED:
            return
        self.state = State.CLOSED
        self.loop.forget(self.fd)
        self.sock.close()
        self.on_closed(why)

    # -- The coroutine

    def serve(self) -> Coroutine:
        """Move bytes until the connection closes."""
        if self.state is State.CONNECTING:
            while self.state is State.CONNECTING:
                yield Wait(self.fd, WRITE)
                self._check_up()
            if self.state is State.OPEN:
                self._guard(self.on_open)
                self._flush()
        while self.state is State.OPEN:
            events = yield Wait(self.fd, self._mask())
            if self.state is State.OPEN and events & WRITE:
                self._flush()
            if self.state is State.OPEN and events & ~WRITE:
                self._read()

    def _check_up(self) -> None:
        """See whether the connection has come up, has failed, or is still to be waited for.

        Guards against an event of a descriptor that was closed and given out again in the same turn of the loop.
        """
        if self.state is not State.CONNECTING:
            return
        failed = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if failed:
            self.close(f"connect: {errno.errorcode.get(failed, failed)}")
            return
        try:
            self.sock.getpeername()
        except OSError:
            return
        self.state = State.OPEN

    def _mask(self) -> int:
        read = READ if not self.paused and self.inbound.room > 0 else 0
        return read | (0 if self.idle else WRITE)

    def _watch(self) -> None:
        if self.state is State.OPEN and not self._reading:
            self.loop.watch(self.fd, self._mask())

    def _read(self) -> None:
        if self.inbound.room <= 0:  # an error or hang-up while nothing may be read
            self.close("hung up")
            return
        try:
            count = self.inbound.fill(self.sock)
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.close(f"read: {errno.errorcode.get(error.errno, error.errno)}")
            return
        if not count:
            self.close("ended by the other side")
            return
        self._guard(self.on_data)

    def process(self) -> None:
        """Offer the owner again what it has left in the inbound ring."""
        if self.state is State.OPEN:
            self._guard(self.on_data)
            self._watch()

    def _guard(self, call: Callable[[], None]) -> None:
        """Exceptions of an owner's hook stop here: this connection closes, the broker goes on."""
        self._reading = True
        try:
            call()
        except Exception:
            log.exception("connection %s failed", self.fd)
            self.close("fault")
        finally:
            self._reading = False

    def _flush(self) -> None:
        try:
            while self.state is State.OPEN:
                if not len(self.outbound):
                    if self.writing is not None:
                        done, self.writing = self.writing, None
                        done.written()
                        continue
                    if not self.outbox:
                        break
                    message = self.outbox.popleft()
                    data = message.encode()
                    if not data:
                        continue
                    if not self.outbound.write(data):
                        self.close("a message is larger than the buffer")
                        return
                    self.writing = message
                self.sent += self.outbound.flush(self.sock)
                self.waits_since = None
        except (BlockingIOError, InterruptedError):
            if self.waits_since is None:
                self.waits_since = self.loop.clock()
            return
        except OSError as error:
            self.close(f"write: {errno.errorcode.get(error.errno, error.errno)}")
            return
        if self.closing and self.idle:
            self.close("finished")


def connect(loop: Loop, address: tuple[str, int], inbound: int, outbound: int) -> Connection | str:
    """Begin a connection; a text that tells why where it can't even begin."""
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        return f"socket: {errno.errorcode.get(error.errno, error.errno)}"
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, NOTSENT_LOWAT, UNSENT_MOST)
    failed = sock.connect_ex(address)
    if failed not in (0, errno.EINPROGRESS):
        sock.close()
        return f"connect: {errno.errorcode.get(failed, failed)}"
    return Connection(loop, sock, State.CONNECTING, inbound, outbound)


def accepted(loop: Loop, sock: socket.socket, inbound: int, outbound: int) -> Connection:
    """A connection that a listener has accepted."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return Connection(loop, sock, State.OPEN, inbound, outbound)
