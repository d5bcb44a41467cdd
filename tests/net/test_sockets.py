"""Listeners and connections: failed accepts, lack of descriptors, small writes and closing."""

from __future__ import annotations

import errno
import socket

import pytest

from tests.client_calls import newest_client_connection
from tests.rig import Peer
from umberusher.net import connection
from umberusher.net.connection import State
from umberusher.net.listener import Listener
from umberusher.net.loop import Loop


def test_broker_sends_small_writes_at_once_when_any_socket_is_open(rig):
    rig = rig()
    client, rid, engine = rig.start_request()
    rig.broker.admin.listen(("127.0.0.1", 0))
    admin_client = rig.register_peer(
        Peer(socket.create_connection(rig.broker.admin.listener.sock.getsockname()))
    )
    rig.until(lambda: rig.broker.admin.sessions)
    conns = [
        newest_client_connection(rig).connection,
        rig.broker.discovery.watches[0].connection,
        next(iter(rig.broker.admin.sessions)).connection,
        *(
            link.transport
            for links in rig.broker.upstream.pool.by_engine.values()
            for link in links
        ),
    ]
    assert len(conns) == 4
    assert all(each.sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY) for each in conns)
    admin_client.sock.close()


class SocketWithFailingAccept(socket.socket):
    """A listening socket whose first calls of ``accept`` fail."""

    def __init__(self, error_number: int, failures: int) -> None:
        super().__init__()
        self.error_number = error_number
        self.remaining_failures = failures
        self.bind(("127.0.0.1", 0))
        self.listen()

    def accept(self):
        if self.remaining_failures:
            self.remaining_failures -= 1
            raise OSError(self.error_number, "for a moment")
        return super().accept()


def test_listener_continues_when_one_connection_setup_fails():
    """An exception of ``on_accepted`` ended the accepting coroutine: no client was accepted later."""
    loop, sock, accepted_sockets = Loop(), socket.create_server(("127.0.0.1", 0)), []

    def on_accepted(accepted: socket.socket) -> None:
        accepted_sockets.append(accepted)
        if len(accepted_sockets) == 1:
            raise OSError("already closed")

    listener = Listener(loop, sock, 4, on_accepted, lambda: None)
    listener.set_paused(False)
    peers = []
    for count in (1, 2):
        peers.append(socket.create_connection(sock.getsockname()))
        for _ in range(100):
            loop.step(10)
            if len(accepted_sockets) == count:
                break
        assert len(accepted_sockets) == count
    listener.close()
    for each in [*peers, *accepted_sockets]:
        each.close()
    loop.close()


def test_listener_pauses_and_resumes_when_descriptors_are_exhausted():
    now = [0.0]
    loop, accepted_sockets, shortage_times = Loop(lambda: now[0]), [], []

    sock = SocketWithFailingAccept(errno.EMFILE, failures=2)
    listener = Listener(
        loop, sock, 4, accepted_sockets.append, lambda: shortage_times.append(now[0])
    )
    listener.set_paused(False)
    peer = socket.create_connection(sock.getsockname())
    for _ in range(100):  # no time passes: the shortage is reported once
        loop.step(0)
    assert shortage_times == [0.0] and not accepted_sockets
    for _ in range(10):
        now[0] += 0.021
        loop.step(0)
        loop.step(0)
    assert len(shortage_times) == 2 and len(accepted_sockets) == 1
    for each in (listener, peer, *accepted_sockets, loop):
        each.close()


def test_connection_notifies_owner_once_when_it_closes():
    loop = Loop()
    own_end, peer_end = socket.socketpair()
    own_end.setblocking(False)
    conn = connection.Connection(loop, own_end, State.OPEN, 100, 100)
    notifications = []
    conn.on_closed, conn.on_released = (
        notifications.append,
        lambda: notifications.append("released"),
    )
    loop.spawn(conn.serve())
    conn.close_gracefully("asked")
    conn.close_gracefully("again")
    assert notifications == ["asked", "released"]  # the second call closes at once
    conn.close("once more")
    assert notifications == ["asked", "released"] and conn.state is State.CLOSED
    peer_end.close()
    loop.close()


def test_listener_tells_since_when_connections_may_have_been_pending():
    """Calls on a connection that waited in the backlog may have arrived long before it is accepted."""
    now = [100.0]
    loop, bounds = Loop(lambda: now[0]), []
    sock = socket.create_server(("127.0.0.1", 0))

    def on_accepted(accepted: socket.socket) -> None:
        bounds.append(listener.backlog_since_s)
        accepted.close()

    listener = Listener(loop, sock, 2, on_accepted, lambda: None)
    listener.set_paused(False)
    loop.step(0)
    for now[0] in (101.0, 102.0):
        loop.step(0)
    peers = [socket.create_connection(sock.getsockname()) for _ in range(3)]
    for now[0] in (103.0, 104.0):  # a batch of two, and the third, which was pending as long
        loop.step(0)
    assert bounds == [102.0, 102.0, 102.0]
    for now[0] in (105.0, 106.0):
        loop.step(0)
    listener.set_paused(True)
    peers.append(socket.create_connection(sock.getsockname()))
    now[0] = 110.0
    listener.set_paused(False)
    loop.step(0)
    assert bounds[3:] == [105.0]
    for each in (listener, *peers, loop):
        each.close()


@pytest.mark.parametrize(
    "error_number",
    [
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ECONNABORTED,
        errno.EPROTO,
        errno.ENETUNREACH,
        errno.EHOSTUNREACH,
        errno.ENETDOWN,
        errno.EPERM,
        errno.EINTR,
    ],
)
def test_listener_reports_no_lack_of_descriptors_when_accept_fails_for_a_moment(error_number):
    """Each failure but three had a client evicted, whose first request then went unanswered."""
    now = [0.0]
    loop, accepted_sockets, reports = Loop(lambda: now[0]), [], []

    sock = SocketWithFailingAccept(error_number, failures=3)
    listener = Listener(loop, sock, 4, accepted_sockets.append, lambda: reports.append(now[0]))
    listener.set_paused(False)
    peers = [socket.create_connection(sock.getsockname()) for _ in range(3)]
    for _ in range(10):
        now[0] += 0.021
        loop.step(0)
        loop.step(0)
    assert not reports and len(accepted_sockets) == len(peers)
    for each in (listener, *peers, *accepted_sockets, loop):
        each.close()


@pytest.mark.parametrize("error_number", [errno.ECONNABORTED, errno.ENFILE, errno.EMFILE])
def test_listener_that_closes_accepts_what_is_pending_when_accept_fails_for_a_moment(error_number):
    """What is still pending when a listener closes is reset, with the requests on it."""
    loop, accepted_sockets = Loop(), []

    sock = SocketWithFailingAccept(error_number, failures=5)
    listener = Listener(loop, sock, 2, accepted_sockets.append, lambda: None)
    listener.set_paused(False)
    peers = [socket.create_connection(sock.getsockname()) for _ in range(5)]
    listener.accept_pending_and_close()
    assert len(accepted_sockets) == len(peers)
    for each in (*peers, *accepted_sockets, loop):
        each.close()
