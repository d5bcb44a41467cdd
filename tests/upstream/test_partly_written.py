"""A request that is given up while it is partly written, on a connection that carries others.

Guards against a withdrawn load whose rest is written seconds later, after a cut
(docs/incidents/2026-12-05-withdrawn-load-is-written-on.md).
"""

from __future__ import annotations

import re
import socket

import pytest

from tests.client_calls import execute_call, interrupt
from tests.rig import Rig
from tests.thrift_messages import execute

LARGE_BYTES = 700_000


def large_load(number: int) -> bytes:
    fields = {"method": "load", "rid": f"{number:016x}", "budget": "20000", "obj": f"k{number}"}
    return execute(number, fields, b"insert into sales_1.t values (1) -- ".ljust(LARGE_BYTES, b"x"))


def send_all(rig: Rig, client, data: bytes) -> None:
    while data:
        try:
            data = data[client.sock.send(data) :]
        except BlockingIOError:
            pass
        rig.step(0)


@pytest.fixture
def partly_written(rig):
    """Return a rig, a client, and an engine that reads nothing and runs the client's first load."""
    rig = rig()
    rig.listeners["s-0"].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 14)
    client = rig.client()
    client.sock.send(execute_call(1, "load", budget="20000", obj="k1"))
    engine = rig.accept("s-0")
    rig.expect(engine, b"REQ")
    send_all(rig, client, large_load(2))
    (connection,) = rig.broker.upstream.pool.by_engine["s-0"]
    rig.until(lambda: connection.transport.writing is not None and len(connection.attempts) == 2)
    client.sock.send(interrupt(2))
    rig.until(lambda: f"{2:016x}" not in connection.attempts)
    return rig, client, engine


def read_on(rig: Rig, engine) -> None:
    for _ in range(300):
        engine.read()
        rig.step(0)


def test_withdrawn_request_never_arrives_whole(partly_written):
    """The connection carried another load, so its rest was written with a STOP after it."""
    rig, client, engine = partly_written
    rig.advance_ms(600)
    client.sock.send(execute_call(3, "load", budget="20000", obj="k2"))
    other = rig.accept("s-0")
    rig.until(lambda: b"REQ %016x" % 3 in other.read())
    read_on(rig, engine)
    match = re.search(rb"REQ %016x \S+ (\d+)\r\n" % 2, engine.received)
    assert match is None or len(engine.received) - match.end() < int(match[1])
    assert b"STOP" not in engine.received


def test_other_load_on_the_connection_is_served_and_the_connection_closed(partly_written):
    rig, client, engine = partly_written
    engine.sock.send(f"{1:016x} HIT count=1 6\r\na\tb\tc\n\r\n".encode())
    assert b"a\tb\tc\n" in rig.read_answer(client)
    rig.advance_ms(300)
    assert "s-0" not in rig.broker.upstream.pool.by_engine


def test_result_that_needs_a_further_page_fails_with_its_connection(partly_written):
    rig, client, engine = partly_written
    engine.sock.send(f"{1:016x} HIT count=2 6\r\na\tb\tc\n\r\n".encode())
    answer = rig.read_answer(client)
    assert b"reason" in answer and b"backoff" not in answer
    assert "s-0" not in rig.broker.upstream.pool.by_engine
