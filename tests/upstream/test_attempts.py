"""Attempts, and events that arrive between two of their steps; see docs/crossings.md.

Guards against requests that are sent for clients that have disconnected or to engines that accept
no new ones, requests that are sent twice, and replies that are matched to the wrong attempt.
"""

from __future__ import annotations

import socket
import struct

import pytest

from tests.client_calls import interrupt
from tests.rig import Peer
from umberusher.decisions.actions import StartAttempt
from umberusher.decisions.events import AttemptOutcome, TimerFired
from umberusher.net import connection


@pytest.fixture
def delayed_connects(monkeypatch):
    """Delay connections to engines; return the waiting ones and a function that connects them."""
    waiting, real = [], connection.Connection._check_connected
    monkeypatch.setattr(
        connection.Connection, "_check_connected", lambda self: waiting.append(self)
    )

    def connect_all() -> None:
        monkeypatch.setattr(connection.Connection, "_check_connected", real)
        for conn in waiting:
            conn._check_connected()

    yield waiting, connect_all


@pytest.mark.parametrize("departure", ["closed", "interrupt"])
def test_attempt_is_not_started_when_client_has_disconnected(rig, departure):
    """The disconnect is still in the kernel's buffer during one long iteration of the event loop.

    The next attempt used to be started nevertheless.
    """
    rig = rig(2)
    client = rig.client()
    rid = rig.send_request(client)
    first = rig.broker.registry.requests[rid].attempt
    rig.until(lambda: first.progress >= 3)
    rig.now += 0.3
    if departure == "closed":
        client.sock.close()
    else:
        client.sock.send(interrupt(rig.seqid))
    # In this iteration of the loop no event has been read from the client yet.
    rig.broker.registry.end_attempt(first, AttemptOutcome.OVERLOADED)
    assert rid not in rig.broker.balancer.requests
    assert (
        rig.broker.registry.outcome_counts["attempt moot"] == 1 and not rig.broker.registry.requests
    )


def test_attempts_are_not_started_when_many_clients_disconnect_at_once(rig):
    """More clients disconnect than the 64 events of one loop iteration.

    Capacity that becomes free in the first iteration must go to clients that are still connected.
    """
    rig = rig()
    clients = [rig.client() for _ in range(100)]
    choose = rig.broker.balancer.choice.choose
    rig.broker.balancer.choice.choose = lambda request, now_ms: None  # all requests are held
    rids = [rig.send_request(client) for client in clients]
    rig.now += 0.3
    for number, client in enumerate(clients[:-1]):
        if number % 2:
            client.sock.close()
        else:
            client.sock.send(interrupt(number + 1))
    rig.broker.balancer.choice.choose = choose
    # For the decisions no time has passed: an earlier time counts as that of the previous event.
    for action in rig.broker.balancer.handle(0.0, TimerFired("tick")):
        if isinstance(action, StartAttempt):
            rig.broker.action_handlers[StartAttempt](action)
    rig.advance_ms(100)
    engine = rig.accept("s-0")
    rig.expect(engine, rids[-1].encode())
    assert engine.received.count(b"REQ") == 1


def test_engine_connection_sends_nothing_when_client_disconnects_while_it_connects(rig):
    rig = rig()
    client = rig.client()
    rig.until(lambda: rig.broker.frontend.clients)
    connecting = []
    real = connection.Connection._check_connected
    # The connection is not established yet.
    connection.Connection._check_connected = lambda self: connecting.append(self)
    try:
        rid = rig.send_request(client)
        rig.until(lambda: connecting)
    finally:
        connection.Connection._check_connected = real
    rig.now += 0.2
    client.sock.close()
    connecting[0]._check_connected()
    assert rid not in rig.broker.registry.requests
    engine = rig.accept("s-0")
    rig.advance_ms(100)
    assert b"REQ" not in engine.read()


@pytest.mark.parametrize(
    "event", ["drains", "gone", "moved", "by hand", "leaves", "cancels", "late", "elsewhere"]
)
@pytest.mark.parametrize("method", ["lookup", "load"])
def test_attempt_is_withdrawn_when_event_precedes_first_byte(rig, delayed_connects, event, method):
    waiting, connect_all = delayed_connects
    rig = rig()
    broker, client = rig.broker, rig.client()
    rid = rig.send_request(client, method, **({"obj": "k"} if method == "load" else {}))
    attempt = broker.registry.requests[rid].attempt
    rig.until(lambda: waiting)
    rig.now += 0.1
    if event == "drains":
        broker.endpoints.apply(rig.notice(("s-0", "s-0", "DRAINING")))
    elif event == "gone":
        broker.endpoints.apply(rig.notice(("s-0", "s-0", "DELETED")))
    elif event == "moved":
        rig.listeners["s-9"] = rig._listen()
        broker.endpoints.apply(rig.notice(("s-0", "s-9", "SERVING")))
    elif event == "by hand":
        broker.endpoints.start_manual_drain("s-0")
    elif event == "leaves":
        client.sock.close()
    elif event == "cancels":
        client.sock.send(interrupt(rig.seqid))
    elif event == "late":
        rig.now += 2.0
    else:  # the connect timeout closes the connection, and the request is sent on another
        rig.now += 0.2
    for _ in range(3):
        rig.step(0)
    connect_all()
    for _ in range(10):
        rig.step(0)
    assert attempt.ended and attempt.progress <= 1
    if event in ("leaves", "cancels"):
        assert rid not in broker.registry.requests and not client.read()
    if event == "late":
        assert b"backoff" in rig.read_answer(client) and not broker.registry.requests
    rig.advance_ms(100)
    first = rig.accept("s-0")
    assert b"REQ" not in first.read()
    if event in ("moved", "elsewhere"):
        rig.expect(rig.accept("s-9" if event == "moved" else "s-0"), f"REQ {rid}".encode())


def test_request_gets_one_answer_in_time_when_all_connections_are_established_late(
    rig, delayed_connects
):
    waiting, connect_all = delayed_connects
    rig = rig(3)
    client = rig.client()
    rid = rig.send_request(client)
    for _ in range(130):  # until its deadline has passed
        rig.advance_ms(20)
        assert (
            sum(
                len(each.attempts)
                for connections in rig.broker.upstream.pool.by_engine.values()
                for each in connections
            )
            <= 1
        )
        if rid not in rig.broker.registry.requests:
            break
    assert b"backoff" in rig.read_answer(client) and not client.received
    connect_all()
    rig.advance_ms(100)
    for name in ("s-0", "s-1", "s-2"):
        while True:
            try:
                engine = rig.register_peer(Peer(rig.listeners[name].accept()[0]))
            except BlockingIOError:
                break
            assert b"REQ" not in engine.read()


@pytest.mark.parametrize("moment", ["at once", "long after", "pages"])
@pytest.mark.parametrize("shutting_down", [False, True])
def test_non_idempotent_attempt_fails_once_when_its_connection_resets(rig, moment, shutting_down):
    rig = rig(2)
    client = rig.client()
    rid = rig.send_request(client, "load", obj="k", budget="20000")
    engine = rig.accept(rig.broker.registry.requests[rid].attempt.engine)
    rig.expect(engine, b"park_1.sites\r\n")
    if shutting_down:
        rig.broker.loop.running = True
        rig.broker.request_shutdown()
    if moment == "pages":
        engine.sock.send(f"{rid} HIT count=2 6\r\na\t1\t2\n\r\n".encode())
        rig.expect(engine, b"FETCH")
    elif moment == "long after":
        rig.advance_ms(1500 if shutting_down else 3000)
    engine.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    engine.sock.close()
    assert struct.pack(">bh", 12, 2) in rig.read_answer(client)  # Aborted
    rig.advance_ms(1000)
    assert (
        not client.received
        and rig.broker.registry.outcome_counts["failed"] == 1
        and not rig.broker.registry.requests
    )
    for name in ("s-0", "s-1"):
        try:
            assert b"REQ" not in rig.register_peer(Peer(rig.listeners[name].accept()[0])).read()
        except BlockingIOError:
            pass


def test_engine_connection_ignores_late_reply_when_next_attempt_is_out(rig):
    """An engine rejects a request, gets it again, then replies a second time to the first attempt.

    That late reply used to end the new attempt.
    """
    rig = rig()
    client, rid, engine = rig.start_request()
    engine.sock.send(f"{rid} SHED - 0\r\n\r\n".encode())
    rig.until(lambda: rig.broker.registry.outcome_counts["attempt full"])
    rig.advance_ms(400)
    rig.until(
        lambda: (each := rig.broker.registry.requests[rid].attempt)
        and each.number == 1
        and each.progress >= 3
    )
    engine.sock.send(f"{rid} FAULT - 0\r\n\r\n".encode())
    rig.advance_ms(100)
    attempt = rig.broker.registry.requests[rid].attempt
    assert attempt and attempt.number == 1
    other = rig.accept("s-0")
    rig.expect(other, f"REQ {rid}".encode())
    other.sock.send(f"{rid} HIT count=1 6\r\na\t1\t2\n\r\n".encode())
    assert b"a\t1\t2\n" in rig.read_answer(client)
