"""Bounds of the time at which input has arrived, with the kernel's timestamps and without."""

from __future__ import annotations

import socket
import time

import pytest

from umberusher.net.loop import Loop
from umberusher.net.receive_timestamps import (
    MAX_CLOCK_ERROR_S,
    MAX_CLOCK_STEP_S,
    SO_TIMESTAMPNS,
    ReceiveTimestamps,
)
from umberusher.net.timed_connection import TimedConnection


class Ends:
    """A loop with connections over loopback, and the bounds of all that they have received."""

    def __init__(self, clock=time.monotonic, unix_clock=time.time) -> None:
        self.loop = Loop(clock)
        self.timestamps = ReceiveTimestamps(clock, unix_clock)
        self.server = socket.create_server(("127.0.0.1", 0))
        self.peers: list[socket.socket] = []
        self.connections: list[TimedConnection] = []
        self.received: list[tuple[bytes, float, float, bool]] = []

    def connect(self) -> socket.socket:
        peer = socket.create_connection(self.server.getsockname())
        peer.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock, _ = self.server.accept()
        conn = TimedConnection(
            self.loop, sock, 1 << 16, 1 << 16, self.timestamps, self.loop.previous_poll_s
        )
        conn.on_data = lambda: self.received.append(
            (
                conn.inbound.take(len(conn.inbound)),
                conn.received_after_s,
                conn.received_by_s,
                conn.last_byte_is_timed,
            )
        )
        self.loop.spawn(conn.serve())
        self.connections.append(conn)
        self.peers.append(peer)
        return peer

    def step_until(self, count: int) -> None:
        deadline_s = time.monotonic() + 3.0
        while len(self.received) < count and time.monotonic() < deadline_s:
            self.loop.step(5)
        assert len(self.received) >= count

    def close(self) -> None:
        for each in self.connections:
            each.close("done")
        for sock in [*self.peers, self.server]:
            sock.close()
        self.loop.close()


def await_stamping(timestamps: ReceiveTimestamps) -> None:
    """Wait until the kernel stamps segments, which begins a while after the first socket asks for it.

    A segment that arrives before then has no timestamp.
    """
    deadline_s = time.monotonic() + 3.0
    with (
        socket.create_server(("127.0.0.1", 0)) as server,
        socket.create_connection(server.getsockname()) as peer,
        server.accept()[0] as sock,
    ):
        timestamps.enable(sock)
        span = memoryview(bytearray(1))
        while time.monotonic() < deadline_s:
            peer.send(b"a")
            if timestamps.receive(sock, span, 0.0).arrived_by_s is not None:
                return
    raise AssertionError("the kernel stamps no segments")


@pytest.fixture
def ends():
    made = Ends()
    if not made.timestamps.enable(made.server):
        pytest.skip("sockets have no receive timestamps here")
    await_stamping(made.timestamps)
    yield made
    made.close()


@pytest.fixture
def ends_without_timestamps(monkeypatch):
    monkeypatch.setattr(ReceiveTimestamps, "enable", lambda self, sock: False)
    made = Ends()
    yield made
    made.close()


def test_timestamp_is_exact_for_the_last_byte_of_all_that_has_arrived(ends):
    first, second = ends.connect(), ends.connect()
    ends.loop.step(0)
    ends.loop.step(0)
    before_s = time.monotonic()
    first.send(b"a")
    sent_s = time.monotonic()
    time.sleep(0.05)
    second.send(b"b")
    time.sleep(0.05)
    ends.step_until(2)
    data, after_s, by_s, is_timed = next(each for each in ends.received if each[0] == b"a")
    assert is_timed and after_s <= sent_s
    assert before_s - MAX_CLOCK_ERROR_S <= by_s <= sent_s + MAX_CLOCK_ERROR_S


def test_timestamp_bounds_merged_segments_by_the_newest_one(ends):
    """Segments that wait unread are merged: the time of the earlier one is lost."""
    first, second = ends.connect(), ends.connect()
    ends.loop.step(0)
    ends.loop.step(0)
    first.send(b"a")
    sent_s = time.monotonic()
    second.send(b"b")
    time.sleep(0.06)
    newest_s = time.monotonic()
    first.send(b"c")
    ends.step_until(2)
    _, after_s, by_s, _ = next(each for each in ends.received if each[0] == b"ac")
    assert after_s <= sent_s and by_s >= newest_s - MAX_CLOCK_ERROR_S


def test_bounds_are_those_of_polls_when_socket_has_no_timestamps(ends_without_timestamps):
    ends = ends_without_timestamps
    first, second = ends.connect(), ends.connect()
    ends.loop.step(0)
    polled_s = time.monotonic()
    ends.loop.step(0)
    first.send(b"a")
    second.send(b"b")
    time.sleep(0.02)
    read_s = time.monotonic()
    ends.step_until(2)
    for _, after_s, by_s, is_timed in ends.received:
        assert after_s >= polled_s and by_s >= read_s and not is_timed


def test_lower_bound_reaches_back_to_the_connection_if_input_came_before_the_first_poll(ends):
    ends.loop.step(0)
    established_s = ends.loop.previous_poll_s
    peer = ends.connect()
    peer.send(b"a")
    ends.step_until(1)
    assert ends.received[0][1] == established_s


def test_lower_bound_of_idle_connection_is_the_previous_poll(ends):
    peer = ends.connect()
    for _ in range(5):
        ends.loop.step(1)
    idle_s = time.monotonic()
    ends.loop.step(0)
    ends.loop.step(0)
    peer.send(b"a")
    ends.step_until(1)
    assert ends.received[0][1] >= idle_s


def test_connection_reads_until_the_kernel_holds_no_more(ends):
    peer = ends.connect()
    ends.loop.step(0)
    conn = ends.connections[0]
    conn.on_data = lambda: None  # a message that is incomplete stays in the buffer
    peer.send(b"x" * 40_000)
    polls = ends.loop.poll_count
    ends.loop.step(0)
    assert len(conn.inbound) == 40_000 and ends.loop.poll_count == polls + 1


def test_lower_bound_stays_while_the_owner_leaves_messages_in_the_buffer(ends):
    peer = ends.connect()
    ends.loop.step(0)
    conn = ends.connections[0]
    conn.buffered_since_s = 1.0
    peer.send(b"a")
    ends.step_until(1)
    assert ends.received[0][1] == 1.0
    conn.buffered_since_s = None
    peer.send(b"b")
    ends.step_until(2)
    assert ends.received[1][1] > 1.0


def timespec(time_s: float) -> bytes:
    return int(time_s).to_bytes(8, "little") + int(time_s % 1 * 1e9).to_bytes(8, "little")


class SocketWithTimestamp:
    """A socket that has received one byte at a given Unix time."""

    def __init__(self, time_s: float) -> None:
        self.data = timespec(time_s)

    def recvmsg_into(self, buffers, ancillary_bytes):
        return 1, [(socket.SOL_SOCKET, SO_TIMESTAMPNS, self.data)], 0, None


@pytest.mark.parametrize(
    ("unix_s", "step_s", "expected_s"),
    [
        (1_000_000_009.5, 0.0, 9.5),
        (1_000_000_011.0, 0.0, None),  # in the future
        (1_000_000_007.0, 0.0, None),  # before the time after which it arrived
        (1_000_000_009.5, 2 * MAX_CLOCK_STEP_S, None),  # the Unix clock was set
    ],
)
def test_timestamp_is_dropped_when_it_can_not_be_right(unix_s, step_s, expected_s):
    """A clock that is set, or one that differs from the kernel's, must not order any input."""
    step = [0.0]
    timestamps = ReceiveTimestamps(lambda: 10.0, lambda: 1_000_000_010.0 + step[0])
    step[0] = step_s
    found = timestamps.receive(SocketWithTimestamp(unix_s), memoryview(bytearray(1)), 8.0)
    assert found.byte_count == 1
    assert found.arrived_by_s == (None if expected_s is None else pytest.approx(expected_s))


def test_socket_without_the_option_has_no_timestamps():
    class SocketWithoutOptions:
        def setsockopt(self, *_):
            raise OSError(92, "protocol not available")

    assert not ReceiveTimestamps(lambda: 0.0, lambda: 0.0).enable(SocketWithoutOptions())
