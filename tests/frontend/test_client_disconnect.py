"""Clients that cancel or disconnect, also while they read no answers."""

from __future__ import annotations

import socket

import pytest

from tests.client_calls import (
    client_with_small_buffer,
    execute_call,
    interrupt,
    newest_client_connection,
)
from umberusher.frontend.client_connection import MAX_UNWRITTEN_ANSWERS
from umberusher.frontend.deferred_calls import MAX_DEFERRED_CALLS
from umberusher.net.connection import RawMessage


def client_that_reads_nothing(rig, engines: int = 1):
    """Return a client that reads no answers, with one open call that is queued in the broker."""
    rig = rig(engines)
    client = client_with_small_buffer(rig)
    client_connection = newest_client_connection(rig)
    client_connection.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4608)
    rig.broker.balancer.choice.choose = lambda request, now_ms: None  # admitted calls stay queued
    client.sock.send(execute_call(1))
    rig.until(lambda: client_connection.open_calls)
    client_connection.connection.send(RawMessage(b"x" * 500_000))
    for _ in range(MAX_UNWRITTEN_ANSWERS + 1):
        client_connection.write_answer(b"y")
    assert client_connection.write_blocked
    return rig, client, client_connection


def test_frontend_processes_cancel_when_client_reads_nothing(rig):
    """Reading paused while answers were unread: the cancellation stayed in the kernel, unnoticed."""
    rig, client, client_connection = client_that_reads_nothing(rig)
    client.sock.send(interrupt(1))
    rig.until(lambda: not rig.broker.registry.requests)
    assert not client_connection.open_calls and not rig.broker.balancer.requests


@pytest.mark.parametrize("full", [False, True])
def test_frontend_notices_disconnect_when_client_reads_nothing(rig, full):
    rig, client, client_connection = client_that_reads_nothing(rig)
    if full:
        for number in range(2, 2 + MAX_DEFERRED_CALLS):
            client.sock.send(execute_call(number, "other"))
        rig.until(lambda: len(client_connection.deferred_calls or ()) == MAX_DEFERRED_CALLS)
    client.sock.shutdown(socket.SHUT_WR)
    rig.until(lambda: not rig.broker.frontend.clients)
    assert not rig.broker.balancer.requests


def test_frontend_drops_call_when_cancelled_before_it_is_read(rig):
    rig, client, client_connection = client_that_reads_nothing(rig)
    client.sock.send(execute_call(2) + execute_call(3) + interrupt(2))
    rig.until(lambda: [each.seqid for _, each in client_connection.deferred_calls or ()] == [3])
    assert f"{2:016x}" not in rig.broker.registry.requests


def test_frontend_ends_open_requests_when_client_input_can_not_be_read(rig):
    rig, client, client_connection = client_that_reads_nothing(rig)
    for number in range(2, 2 + MAX_DEFERRED_CALLS):
        client.sock.send(execute_call(number, "other"))
    rig.until(
        lambda: len(client_connection.deferred_calls or ()) == MAX_DEFERRED_CALLS
        and not client_connection.open_calls
    )
    assert not rig.broker.balancer.requests and rig.broker.registry.outcome_counts["refused"] == 1
    answers = 1 + MAX_DEFERRED_CALLS  # the rejection, and an exception for each deferred call
    received = b""
    for _ in range(4000):
        rig.step(0)
        client.received = b""
        received += client.read()
        if received.count(b"\x80\x01\x00\x03") == MAX_DEFERRED_CALLS and b"backoff" in received:
            break
    assert received.count(b"\x80\x01") == answers
