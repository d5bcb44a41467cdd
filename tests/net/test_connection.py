"""Random steps on a connection over a real socket, checked against a model of its states."""

from __future__ import annotations

import socket
from collections import deque

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from umberusher.net import connection
from umberusher.net.connection import RawMessage, State
from umberusher.net.loop import Loop

LIMIT = 6000


class Machine(RuleBasedStateMachine):
    """The model: what was queued and not withdrawn comes out once, in order; what is not read stays bounded."""

    @initialize()
    def begin(self):
        self.loop = Loop()
        ours, self.peer = socket.socketpair()
        ours.setblocking(False)
        ours.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4608)
        self.peer.setblocking(False)
        self.conn = connection.Connection(self.loop, ours, State.OPEN, LIMIT, LIMIT)
        self.waiting: deque[RawMessage] = deque()
        self.expected, self.got = bytearray(), bytearray()
        self.fed, self.taken = bytearray(), bytearray()
        self.closed: list[str] = []
        self.conn.on_closed = self.closed.append
        self.eof = False
        self.loop.spawn(self.conn.serve())

    def _settle(self):
        """Messages that have begun belong to the stream from now on."""
        left = set(map(id, self.conn.outbox))
        while self.waiting and id(self.waiting[0]) not in left:
            self.expected += self.waiting.popleft().data

    @rule(size=st.integers(1, LIMIT), byte=st.integers(0, 255))
    def queue(self, size, byte):
        message = RawMessage(bytes([byte]) * size)
        if self.conn.state is State.OPEN:
            self.waiting.append(message)
        self.conn.send(message)
        self._settle()

    @precondition(lambda self: self.waiting)
    @rule(number=st.integers(0, 100))
    def withdraw(self, number):
        message = self.waiting[number % len(self.waiting)]
        assert self.conn.withdraw(message)
        self.waiting.remove(message)
        assert not self.conn.withdraw(message)

    @rule()
    def peer_reads(self):
        try:
            self.got += self.peer.recv(1 << 16)
        except OSError:
            return

    @precondition(lambda self: not self.eof)
    @rule(data=st.binary(min_size=1, max_size=2 * LIMIT))
    def peer_writes(self, data):
        try:
            self.fed += data[: self.peer.send(data)]
        except OSError:
            return

    @rule(paused=st.booleans())
    def pause(self, paused):
        self.conn.set_reading_paused(paused)

    @rule(size=st.integers(0, LIMIT))
    def take(self, size):
        self.taken += self.conn.inbound.take(min(size, len(self.conn.inbound)))
        self.conn._update_watch()

    @rule()
    def step(self):
        self.loop.step(0)
        self._settle()

    @rule()
    def peer_ends(self):
        if not self.eof:
            self.eof = True
            self.peer.shutdown(socket.SHUT_WR)

    @rule()
    def close(self):
        self.conn.close("asked")

    @invariant()
    def holds(self):
        if not hasattr(self, "conn"):
            return
        assert self.expected.startswith(self.got)
        assert self.fed.startswith(self.taken + self.conn.inbound.peek(len(self.conn.inbound)))
        assert max(len(self.conn.inbound), len(self.conn.outbound)) <= LIMIT
        assert len(self.closed) == (self.conn.state is State.CLOSED)
        assert not (self.conn.is_flushed and self.waiting and self.conn.state is State.OPEN)

    def teardown(self):
        if hasattr(self, "conn"):
            self.conn.close("end")
            self.peer.close()
            self.loop.close()


TestConnection = Machine.TestCase
TestConnection.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True, database=None
)


def test_connection_closes_and_loop_continues_when_its_hook_raises():
    loop = Loop()
    ours, peer = socket.socketpair()
    ours.setblocking(False)
    peer.settimeout(5)
    conn = connection.Connection(loop, ours, State.OPEN, 100, 100)
    reasons = []
    conn.on_data, conn.on_closed = lambda: 1 / 0, reasons.append
    loop.spawn(conn.serve())
    peer.send(b"x")
    loop.step(1000)
    assert reasons == ["fault"] and conn.state is State.CLOSED
    assert peer.recv(1) == b""
    loop.close()
    peer.close()
