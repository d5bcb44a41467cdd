"""A non-blocking TCP connection as a state machine, with a ring buffer for each direction.

The states are CONNECTING -> OPEN -> CLOSING -> CLOSED; each may also change to CLOSED directly.
Messages wait in ``outbox`` and are encoded into the outbound ring one at a time, so a message whose
writing has not begun can still be withdrawn. Closing a socket with unread input resets the
connection, and the peer loses data that it has not read yet. A connection without open work
therefore passes through CLOSING: it writes the queued messages, shuts down the write side, and
reads and drops further input for a bounded time. Socket errors are handled in this module;
only ConnectError is raised to callers.
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

from umberusher.net.loop import HUNG_UP, READ, READ_CLOSED, WRITE, Coroutine, Loop, Timer, Wait
from umberusher.net.ring import RingBuffer, RingMemory

log = logging.getLogger(__name__)

# Limit of unsent bytes in the kernel. Messages that wait in the outbox can still be withdrawn.
MAX_UNSENT_BYTES = 16_384
# Writing counts as stalled once the kernel has accepted no byte for this long.
WRITE_STALLED_AFTER_MS = 250.0
# Time for the peer to read the remaining output and close too: ten times the delay by which a call
# may cross a close.
MAX_CLOSING_MS = 500.0
# Bytes that are read and dropped at once while closing.
DISCARD_CHUNK_BYTES = 1 << 16
# Limit of reads in one ``read_pending``; further input of a flooding peer waits for the loop.
MAX_PENDING_READS = 16
TCP_NOTSENT_LOWAT = getattr(socket, "TCP_NOTSENT_LOWAT", 25)
MS_PER_S = 1000.0


class State(Enum):
    """The state of a connection."""

    CONNECTING = "connecting"
    OPEN = "open"
    CLOSING = "closing"
    CLOSED = "closed"


# The members as module globals: a look-up through the class costs five times as much, and each
# event needs a dozen of them.
CONNECTING, OPEN, CLOSING, CLOSED = State
# Its owner reads no input for now, nor wants to know of the end.
HOLD_BY_OWNER = 1
# It is not read, but its end is noticed: the owner's memory has no room, or the owner has left
# input to be processed in a later turn.
HOLD_FOR_MEMORY = 2
HOLD_FOR_TURN = 4
HOLD_READING = HOLD_FOR_MEMORY | HOLD_FOR_TURN
# Nothing more is written, not even the rest of a message: it is only read and closed.
HOLD_OUTPUT = 8
# The outbox of a connection that has nothing to write.
EMPTY_OUTBOX: tuple[()] = ()


class ConnectError(Exception):
    """A connection attempt failed immediately.

    Attributes:
        reason: The failed call and the error's symbolic name.
    """

    def __init__(self, call: str, error_number: int | None) -> None:
        """Create the error of ``call`` with its errno."""
        self.reason = _describe(call, error_number)
        super().__init__(self.reason)


class Message(Protocol):
    """A message to write, encoded only when it is the next one to be written."""

    def encode(self) -> bytes:
        """Return the bytes; empty to skip the message."""

    def written(self) -> None:
        """Called once the kernel has accepted the last byte of the message."""


class RawMessage:
    """A message whose bytes are encoded already."""

    __slots__ = ("data",)

    def __init__(self, data: bytes) -> None:
        """Create the message."""
        self.data = data

    def encode(self) -> bytes:
        """Return the bytes."""
        return self.data

    def written(self) -> None:
        """Do nothing: no caller needs the notification."""


def _ignore(*_: object) -> None:
    """Do nothing: the default of each hook.

    All connections share this function, so that the idle clients' connections, which are the
    majority, hold no functions of their own.
    """


class Connection:
    """One socket with its state, buffers and queued messages.

    The owner sets the hooks it needs. Each is called at most once per transition, and an exception
    that a hook raises closes this connection only. In CONNECTING and OPEN an idle connection holds
    no queue: ``outbox`` is created with the first message and released by ``release_buffers``.

    Attributes:
        state: The state of the connection.
        inbound: Received bytes that the owner has not read yet.
        outbound: Bytes of the message in ``writing`` that the kernel has not accepted yet.
        outbox: Messages whose writing has not begun, in the order in which they are written.
        writing: The message that is being written; None between messages.
        sent_bytes: Total bytes that the kernel has accepted.
        write_blocked_since_s: The loop's time since which the kernel accepts no bytes; None while
            it accepts all.
        holds: Why it is not read or not written now, a sum of ``HOLD_`` bits; 0 usually.
        on_connected: The peer has accepted the connection; nothing is written before this returns.
        on_open: The connection is open; queued messages are written next.
        on_data: More bytes are in ``inbound``.
        on_closed: No more input is processed and no more messages are queued; called with the
            reason. The state is CLOSING or CLOSED.
        on_released: A connection that was CLOSING has closed its descriptor.
    """

    # The events for which a connection is polled while it can be read.
    READ_EVENTS = READ
    # The events that end a connection, whatever input the kernel still holds.
    CLOSING_EVENTS = 0

    __slots__ = (
        "_closing_timer",
        "_in_hook",
        "fd",
        "holds",
        "inbound",
        "loop",
        "on_closed",
        "on_connected",
        "on_data",
        "on_open",
        "on_released",
        "outbound",
        "outbox",
        "sent_bytes",
        "sock",
        "state",
        "write_blocked_since_s",
        "writing",
    )

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        state: State,
        max_inbound_bytes: int,
        max_outbound_bytes: int,
    ) -> None:
        """Adopt a non-blocking socket; nothing is read or written before ``serve`` is spawned.

        Args:
            loop: The event loop.
            sock: The socket, owned from now on.
            state: CONNECTING or OPEN.
            max_inbound_bytes: Limit of the inbound ring.
            max_outbound_bytes: Limit of the outbound ring, and so of one message.
        """
        self.loop = loop
        self.sock = sock
        self.state = state
        self.fd = sock.fileno()
        self.inbound = RingBuffer(max_inbound_bytes)
        self.outbound = RingBuffer(max_outbound_bytes)
        self.outbox: deque[Message] | tuple[()] = EMPTY_OUTBOX
        self.writing: Message | None = None
        self.holds = 0
        self.sent_bytes = 0
        self.write_blocked_since_s: float | None = None
        self._closing_timer: Timer | None = None
        # Whether a hook of the owner is running: hooks are not called from within hooks.
        self._in_hook = False
        self.on_connected: Callable[[], None] = _ignore
        self.on_open: Callable[[], None] = _ignore
        self.on_data: Callable[[], None] = _ignore
        self.on_closed: Callable[[str], None] = _ignore
        self.on_released: Callable[[], None] = _ignore

    # -- Writing

    @property
    def is_flushed(self) -> bool:
        """Whether nothing is left to write."""
        return not self.outbox and self.writing is None

    def send(self, message: Message) -> None:
        """Queue a message and write as much as the kernel accepts; drop it once closing."""
        if self.state not in (CONNECTING, OPEN):
            return
        if isinstance(self.outbox, tuple):
            self.outbox = deque()
        self.outbox.append(message)
        if self.state is OPEN:
            self._flush()
            self._update_watch()

    def hold_output(self) -> None:
        """Write nothing more, not even the rest of a message, until the connection closes."""
        self.holds |= HOLD_OUTPUT
        self._update_watch()

    @property
    def output_held(self) -> bool:
        """Whether nothing more is written."""
        return self.holds & HOLD_OUTPUT != 0

    def withdraw(self, message: Message) -> bool:
        """Remove a message whose writing has not begun; return whether it was removed.

        O(n) in the length of the outbox.
        """
        if isinstance(self.outbox, deque) and message in self.outbox:
            self.outbox.remove(message)
            return True
        return False

    def is_write_stalled(self) -> bool:
        """Return whether the kernel has accepted no pending byte for longer than the limit."""
        if self.write_blocked_since_s is None:
            return False
        blocked_s = self.loop.clock() - self.write_blocked_since_s
        return blocked_s > WRITE_STALLED_AFTER_MS / MS_PER_S

    def unacknowledged_bytes(self) -> int:
        """Return how many bytes the kernel holds that the peer's kernel has not acknowledged."""
        try:
            answer = fcntl.ioctl(self.fd, termios.TIOCOUTQ, b"\0\0\0\0")
        except OSError:
            return 0
        count: int = struct.unpack("i", answer)[0]
        return count

    # -- Reading

    def has_unread_input(self) -> bool:
        """Return whether the kernel holds unread bytes; the loop may not have reported them yet."""
        try:
            return bool(self.sock.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def peer_closed(self) -> bool:
        """Return whether the peer has closed and nothing is left to read.

        The loop may not have reported it yet.
        """
        if self.state is not OPEN:
            return self.state is CLOSED
        try:
            return not self.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True

    def has_nothing_in_flight(self) -> bool:
        """Return whether neither direction holds a byte, not even in the kernel's receive queue."""
        return not len(self.inbound) and self.is_flushed and not self.has_unread_input()

    def set_reading_paused(self, paused: bool) -> None:
        """Stop or resume reading."""
        if paused:
            self.holds |= HOLD_BY_OWNER
        else:
            self.holds &= ~HOLD_BY_OWNER
        self._update_watch()

    def read_pending(self) -> None:
        """Read and process input that the kernel holds now, before the loop reports it."""
        for _ in range(MAX_PENDING_READS):
            if self.state is not OPEN or self._in_hook or self.holds & HOLD_BY_OWNER:
                break
            if not self._can_read() or not self._read():
                break
        self._update_watch()

    def process_buffered(self) -> None:
        """Call ``on_data`` again for input that the owner has left in the inbound ring."""
        if self.state is OPEN:
            self._call_hook(self.on_data)
            self._update_watch()

    def charge_to(self, memory: RingMemory) -> None:
        """Charge the buffers to the owner's memory; call it before ``serve`` is spawned."""
        self.inbound.charge_to(memory)
        self.outbound.charge_to(memory)

    def memory_available(self) -> None:
        """Read again after a wait for memory."""
        if self.holds & HOLD_FOR_MEMORY:
            self.holds &= ~HOLD_FOR_MEMORY
            self._update_watch()

    def release_buffers(self) -> None:
        """Release the memory of empty buffers: hundreds of connections may stay open and idle."""
        self.inbound.release()
        self.outbound.release()
        if not self.outbox:
            self.outbox = EMPTY_OUTBOX

    # -- Closing

    def close_gracefully(self, reason: str, within_ms: float = MAX_CLOSING_MS) -> None:
        """Stop processing input, notify the owner, and close without a reset in a bounded time.

        Input that crosses the close would otherwise reset the connection, and the peer would lose
        answers that it has not read yet.

        Args:
            reason: Passed to ``on_closed``.
            within_ms: The time for the peer to read the remaining output and close too.
        """
        if self.state is not OPEN:
            self.close(reason)
            return
        self.state = CLOSING
        self._closing_timer = self.loop.call_later(
            within_ms, lambda: self.close("the peer did not close in time")
        )
        self.inbound.discard(len(self.inbound))
        self.on_closed(reason)
        self._flush()
        self._update_watch()

    def close(self, reason: str) -> None:
        """Close now and notify the owner, once."""
        if self.state is CLOSED:
            return
        was_closing = self.state is CLOSING
        self.state = CLOSED
        self.loop.unregister(self.fd)
        self.sock.close()
        self.inbound.drop()
        self.outbound.drop()
        if not was_closing:
            self.on_closed(reason)
            return
        if self._closing_timer is not None:
            self._closing_timer.cancel()
        self.on_released()

    def abort(self, reason: str) -> None:
        """Close with a reset: the peer never receives data that it has not read yet."""
        if self.state is OPEN:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.close(reason)

    def detach(self) -> None:
        """Close the socket here without notifying the owner: another process has it now."""
        self.state = CLOSED
        self.loop.unregister(self.fd)
        self.sock.close()
        self.inbound.drop()
        self.outbound.drop()

    # -- The coroutine

    def serve(self) -> Coroutine:
        """Read and write until the connection closes."""
        yield from self._serve_connecting()
        while self.state is OPEN:
            events = yield Wait(self.fd, self._wanted_events())
            if self.state is OPEN and events & WRITE:
                self._flush()
            if self.state is OPEN and events & ~WRITE:
                # The buffer may have been filled since the poll that has reported input.
                if events & self.CLOSING_EVENTS or self.holds & HOLD_READING:
                    self._on_unread_input(events)
                elif self.inbound.free_bytes > 0:
                    self._read()
                else:
                    self._on_unread_input(events)
        while self.state is CLOSING:
            events = yield Wait(self.fd, self._wanted_events())
            if self.state is CLOSING and events & WRITE:
                self._flush()
            if self.state is CLOSING and events & ~WRITE:
                self._discard_input()

    def _serve_connecting(self) -> Coroutine:
        while self.state is CONNECTING:
            yield Wait(self.fd, WRITE)
            self._check_connected()
            if self.state is OPEN:
                self._call_hook(self.on_open)
                self._flush()

    def _check_connected(self) -> None:
        """Check whether the connection is established, has failed, or is still pending.

        It may still be pending because the reported event can belong to an earlier socket, whose
        descriptor was closed and reused within the same step of the loop.
        """
        if self.state is not CONNECTING:
            return
        failed = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if failed:
            self.close(_describe("connect", failed))
            return
        try:
            self.sock.getpeername()
        except OSError:
            return
        self._call_hook(self.on_connected)
        if self.state is CONNECTING:
            self.state = OPEN

    def _wanted_events(self) -> int:
        if self.state is CLOSING:
            events = READ
        elif self.holds & HOLD_BY_OWNER:
            events = 0
        elif self.holds & HOLD_READING:
            events = READ_CLOSED
        elif self.inbound.free_bytes > 0:
            events = self.READ_EVENTS
        else:
            # A full ring can't be read into, so the end of input is detected by EPOLLRDHUP instead.
            events = READ_CLOSED
        if self.holds & HOLD_OUTPUT or (self.writing is None and not self.outbox):
            return events
        return events | WRITE

    def _update_watch(self) -> None:
        if self.state in (OPEN, CLOSING) and not self._in_hook:
            self.loop.watch(self.fd, self._wanted_events())

    def _on_unread_input(self, events: int) -> None:
        """Close if the peer is gone, since input can't or need not be read."""
        if events & HUNG_UP:
            self._on_hung_up()

    def _on_hung_up(self) -> None:
        """Close: the peer has gone, and its input can't be read."""
        self.close("failed or closed by the peer while its input could not be read")

    def _can_read(self) -> bool:
        """Return whether input may be read and fits."""
        return not self.holds & HOLD_READING and self.inbound.free_bytes > 0

    def _read(self) -> bool:
        """Read once and let the owner process it; return whether any bytes arrived."""
        try:
            count = self._receive()
        except (BlockingIOError, InterruptedError):
            return False
        except OSError as error:
            self.close(_describe("read", error.errno))
            return False
        if count is None:
            self.holds |= HOLD_FOR_MEMORY
            return False
        if not count:
            self.close("ended by the other side")
            return False
        self._call_hook(self.on_data)
        return True

    def _receive(self) -> int | None:
        """Read from the socket once and return the count; 0 at the end of input.

        Returns None if the owner's memory has no room for input.
        """
        return self.inbound.receive_from(self.sock)

    def _discard_input(self) -> None:
        """Drop input while closing: it gets no answer, and unread it would cause a reset."""
        try:
            if not self.sock.recv(DISCARD_CHUNK_BYTES):
                self.close("closed by both sides")
        except (BlockingIOError, InterruptedError):
            return
        except OSError as error:
            self.close(_describe("read", error.errno))

    def _call_hook(self, hook: Callable[[], None]) -> None:
        """Call an owner's hook; an exception closes this connection only."""
        self._in_hook = True
        try:
            hook()
        except Exception:
            log.exception("connection_hook_failed fd=%s", self.fd)
            self.close("fault")
        finally:
            self._in_hook = False

    def _flush(self) -> None:
        """Write until nothing is left or the kernel accepts no more; if closing, end the output.

        A message is encoded only when the outbound ring is empty, so the ring holds bytes of one
        message at a time.
        """
        try:
            while self.state in (OPEN, CLOSING) and not self.holds & HOLD_OUTPUT:
                if self.outbound.size:
                    count = self.outbound.send_to(self.sock)
                elif self.writing is not None:
                    written = self.writing
                    self.writing = None
                    written.written()
                    continue
                elif self.outbox:
                    message = self.outbox.popleft()
                    data = message.encode()
                    if not data:
                        continue
                    if len(data) > self.outbound.limit:
                        self.close("a message is larger than the buffer")
                        return
                    self.writing = message
                    count = self.outbound.write_through(self.sock, data)
                else:
                    break
                self.sent_bytes += count
                self.write_blocked_since_s = None
        except (BlockingIOError, InterruptedError):
            self._note_write_blocked()
            return
        except OSError as error:
            self.close(_describe("write", error.errno))
            return
        if self.state is CLOSING and self.is_flushed:
            self._shut_down_write_side()

    def _note_write_blocked(self) -> None:
        if self.write_blocked_since_s is None:
            self.write_blocked_since_s = self.loop.clock()

    def _shut_down_write_side(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            self.close("shutdown of the write side failed")


def _describe(call: str, error_number: int | None) -> str:
    """Return a failed system call with its error's symbolic name."""
    if error_number is None:
        return f"{call}: None"
    return f"{call}: {errno.errorcode.get(error_number, error_number)}"


def connect(
    loop: Loop,
    address: tuple[str, int],
    max_inbound_bytes: int,
    max_outbound_bytes: int,
    memory: RingMemory | None = None,
) -> Connection:
    """Begin a connection; return it in state CONNECTING.

    Args:
        loop: The event loop.
        address: Host and port of the peer.
        max_inbound_bytes: Limit of the inbound ring.
        max_outbound_bytes: Limit of the outbound ring, and so of one message.
        memory: Where the buffers are charged; None if their limits are all that bounds them.

    Raises:
        ConnectError: The connection attempt failed immediately.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as error:
        raise ConnectError("socket", error.errno) from error
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, TCP_NOTSENT_LOWAT, MAX_UNSENT_BYTES)
    failed = sock.connect_ex(address)
    if failed not in (0, errno.EINPROGRESS):
        sock.close()
        raise ConnectError("connect", failed)
    connection = Connection(loop, sock, CONNECTING, max_inbound_bytes, max_outbound_bytes)
    if memory is not None:
        connection.charge_to(memory)
    return connection


def prepare_socket(sock: socket.socket) -> None:
    """Set the options of a socket that was accepted."""
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def adopt_socket(
    loop: Loop, sock: socket.socket, max_inbound_bytes: int, max_outbound_bytes: int
) -> Connection:
    """Return an OPEN connection for a socket that was accepted, here or in another process."""
    prepare_socket(sock)
    return Connection(loop, sock, OPEN, max_inbound_bytes, max_outbound_bytes)
