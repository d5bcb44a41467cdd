"""Connections of clients that are closed while a call crosses the close."""

from __future__ import annotations

import pytest

from tests.client_calls import (
    client_with_small_buffer,
    execute_call,
    newest_client_connection,
    read_to_end,
)
from umberusher.frontend.thrift_frontend import MAX_EXTRA_CLOSING
from umberusher.net.connection import MAX_CLOSING_MS, RawMessage


@pytest.mark.parametrize("cause", ["drain", "evict", "idle"])
def test_client_connection_delivers_answer_when_call_crosses_close(rig, cause):
    """Closing with unread input resets the connection: its client lost answers not read yet."""
    rig = rig()
    client = client_with_small_buffer(rig)
    frontend = rig.broker.frontend
    newest_client_connection(rig).connection.send(RawMessage(b"x" * 200_000))
    rig.until(lambda: newest_client_connection(rig).connection.is_flushed)
    if cause == "drain":
        frontend.drain_idle_connections()
    elif cause == "evict":
        frontend._evict()
    else:
        rig.now += 60.0
        frontend.sweep()
    client.sock.send(execute_call(1))
    assert len(read_to_end(client, lambda: rig.step(0))) == 200_000
    client.sock.close()
    rig.until(lambda: not frontend.closing and not frontend.clients)


def test_client_connection_closes_in_time_when_client_never_closes(rig):
    rig = rig()
    client = client_with_small_buffer(rig)
    rig.broker.frontend.drain_idle_connections()
    rig.advance_ms(MAX_CLOSING_MS - 100)
    assert rig.broker.frontend.closing and not rig.broker.frontend.clients
    rig.advance_ms(200)
    assert not rig.broker.frontend.closing
    client.sock.close()


@pytest.mark.parametrize("cause", ["evict", "idle"])
def test_frontend_keeps_client_when_its_call_is_in_the_kernel(rig, cause):
    rig = rig()
    client = rig.client()
    rig.until(lambda: rig.broker.frontend.clients)
    client.sock.send(execute_call(1, "other"))
    rig.until(lambda: rig.read_answer(client))
    rig.now += 60.0
    client.sock.send(execute_call(2))
    if cause == "evict":
        assert not rig.broker.frontend._evict()
    else:
        rig.broker.frontend.sweep()
    rig.until(lambda: f"{2:016x}" in rig.broker.registry.requests)


def test_frontend_bounds_closing_connections_when_clients_flood_it(
    rig,
):
    rig = rig()
    rig.broker.frontend.max_clients = 2
    clients = [rig.client() for _ in range(60)]
    for _ in range(200):
        rig.step(0)
        assert (
            len(rig.broker.frontend.clients) <= 2
            and len(rig.broker.frontend.closing) <= MAX_EXTRA_CLOSING
        )
    del clients
