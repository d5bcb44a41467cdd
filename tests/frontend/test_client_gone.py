"""Clients that leave while much of their input is unread.

Guards against requests that are sent on for a client that has closed its connection
(docs/incidents/2026-12-05-requests-of-clients-that-have-gone.md).
"""

from __future__ import annotations

import contextlib
import socket
import struct

from tests.client_calls import execute_call, interrupt, newest_client_connection

CHECK = struct.pack(">iIi5siB", 18, 0x80010001, 5, b"check", 1, 0)


def test_calls_of_a_client_that_has_closed_with_input_unread_are_not_begun(rig):
    """Frames were processed up to the end of the input, and their requests sent on."""
    rig = rig()
    client = rig.client()
    rig.until(lambda: rig.broker.frontend.clients)
    connection = newest_client_connection(rig).connection
    connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    data = b"".join(execute_call(number) for number in range(1, 2_001))
    with contextlib.suppress(BlockingIOError):
        while data:
            data = data[client.sock.send(data) :]
    client.sock.close()
    rig.until(lambda: not rig.broker.frontend.clients)
    rig.advance_ms(200)
    assert not rig.broker.registry.requests and not rig.broker.registry.attempts_sent


def test_end_is_noticed_before_an_attempt_although_more_input_is_unread(rig):
    """A request that waits reads its client's input, of which 16 reads saw the first part only."""
    rig = rig()
    rig.broker.balancer.choice.choose = lambda request, now_ms: None
    client = rig.client()
    rid = rig.send_request(client)
    request = rig.broker.registry.requests[rid]
    newest_client_connection(rig).connection.sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20
    )
    data = interrupt(999) * 30_000  # of no call, and without an answer
    with contextlib.suppress(BlockingIOError):
        while data:
            data = data[client.sock.send(data) :]
    client.sock.close()
    request.response_sink.read_pending()  # the loop has not polled since
    assert not request.is_open


def test_check_of_a_client_that_has_shut_down_its_side_is_answered(rig):
    rig = rig()
    client = rig.client()
    client.sock.send(CHECK)
    client.sock.shutdown(socket.SHUT_WR)
    rig.until(lambda: b"check" in client.read())
    rig.until(lambda: client.read() and client.ended)
    assert not rig.broker.frontend.clients
