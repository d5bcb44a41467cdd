"""Calls and signals that arrive while the broker shuts down."""

from __future__ import annotations

import pytest

from tests.client_calls import (
    execute_call,
    read_to_end,
)


def test_shutdown_answers_call_when_its_connection_is_in_the_listener_backlog(rig):
    """Guards against a lost call: the listener was closed after the last accept, with a connection in its backlog."""
    rig = rig()
    rig.broker.loop.running = True
    rig.broker.request_shutdown()
    rig.now += 1.2
    client = rig.client()
    client.sock.send(execute_call(1))
    rig.broker.sweep()
    for _ in range(40):
        rig.advance_ms(20)
        if client.read() and client.ended:
            client.sock.close()
        if not rig.broker.loop.running:
            rig.broker.frontend.close()  # as the program does
            break
    assert b"backoff" in client.received and not rig.broker.loop.running


def test_shutdown_drops_call_when_it_crosses_the_close_of_an_idle_connection(rig):
    rig = rig()
    client, rid, engine = rig.start_request()
    engine.sock.send(f"{rid} HIT count=1 6\r\na\t1\t2\n\r\n".encode())
    rig.until(lambda: rig.broker.registry.outcome_counts["served"])
    rig.broker.loop.running = True
    rig.broker.request_shutdown()
    rig.now += 1.2
    rig.broker.sweep()
    client.sock.send(execute_call(9))
    for _ in range(5):
        rig.step(0)
    assert f"{9:016x}" not in rig.broker.registry.requests and b"9" * 3 not in engine.read()
    assert b"a\t1\t2\n" in read_to_end(client, lambda: rig.step(0))
    client.sock.close()
    rig.advance_ms(200)
    assert not rig.broker.loop.running


def test_shutdown_rejects_call_when_grace_period_is_over(rig):
    """Guards against a lost call: one admitted 0.7 s after SIGTERM may still be open at SIGKILL, since sweeps ran up to
    0.1 s late."""
    rig = rig()
    client = rig.client()
    rig.until(lambda: rig.broker.frontend.clients)
    rig.broker.request_shutdown()
    rig.now += 0.6
    client.sock.send(execute_call(1))
    rig.until(lambda: f"{1:016x}" in rig.broker.registry.requests)
    rig.now += 0.09
    client.sock.send(execute_call(2))
    assert b"backoff" in rig.read_answer(client) and f"{2:016x}" not in rig.broker.registry.requests


@pytest.mark.parametrize("second", ["request_shutdown", "request_reload"])
def test_shutdown_continues_when_a_second_signal_arrives(rig, second):
    rig = rig()
    rig.broker.loop.running = True
    rig.broker.request_shutdown()
    rig.advance_ms(900)
    getattr(rig.broker, second)()
    rig.advance_ms(300)
    assert not rig.broker.loop.running
