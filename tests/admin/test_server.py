"""The admin server on loopback sockets: its calls, and clients that misbehave."""

from __future__ import annotations

import pytest

from tests.admin.calls import call, open_admin, send_call
from umberusher.admin import server as admin


@pytest.mark.parametrize(
    "method, path, more, status",
    [
        ("GET", "/ops/readiness", "", 200),
        ("POST", "/ops/readiness", "", 405),
        ("HEAD", "/ops/stats", "", 405),
        ("GET", "/ops/nothing", "", 404),
        ("GET", "/", "", 404),
        ("PUT", "/ops/engines/down/", "", 404),
        ("GET", "/ops/engines/down/s-0", "", 405),
        ("PUT", "/ops/engines/down/never", "", 404),
        ("PUT", "/ops/engines/up/never", "", 404),
        ("PUT", "/ops/engines/down/%ff", "", 400),
        ("PUT", "/ops/engines/up/%73-0", "", 200),
        ("PUT", "/ops/engines/down/s-0", "Content-Length: 9999\r\n", None),
        ("GET", "/ops/stats", "X: " + "y" * 9000 + "\r\n", 431),
        ("G\0T", "/ops/stats", "", 400),
    ],
)
def test_server_answers_only_its_own_calls(rig, method, path, more, status):
    rig = rig()
    open_admin(rig)
    if status is None:
        caller = send_call(
            rig, f"{method} {path} HTTP/1.1\r\nHost: x\r\n{more}\r\n".encode() + b"z" * 5000
        )
        rig.expect(caller, b"HTTP/1.1 413 ")
    else:
        assert call(rig, method, path, more)[0] == status
    assert not rig.broker.endpoints.manual_drains


def test_readiness_is_503_without_endpoints_and_after_shutdown_request(rig):
    rig = rig(0)
    open_admin(rig)
    assert call(rig, "GET", "/ops/readiness")[0] == 503
    rig.publish_endpoints(("s-9", "board", "SERVING"))
    assert call(rig, "GET", "/ops/readiness")[0] == 200
    rig.broker.request_shutdown()
    assert call(rig, "GET", "/ops/readiness")[0] == 503


def test_silent_and_partial_calls_never_displace_a_complete_call(rig):
    rig = rig()
    open_admin(rig)
    for number in range(3 * admin.MAX_CLIENTS):
        send_call(rig, b"GET /ops/st" if number % 2 else b"")
    slow = send_call(rig, b"GET /ops/readiness HTTP/1.1\r\n")
    rig.until(lambda: any(each.has_received_data for each in rig.broker.admin.sessions))
    assert call(rig, "GET", "/ops/readiness")[0] == 200
    slow.sock.send(b"Host: x\r\n\r\n")
    rig.expect(slow, b"HTTP/1.1 200 ")
    assert len(rig.broker.admin.sessions) <= admin.MAX_CLIENTS
    rig.advance_ms(admin.CALL_TIMEOUT_MS + 200)
    assert not rig.broker.admin.sessions


def test_input_after_the_answer_is_dropped(rig):
    rig = rig()
    open_admin(rig)
    caller = send_call(rig, b"GET /ops/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
    rig.expect(caller, b"ready")
    (kept,) = rig.broker.admin.sessions
    kept.protocol = None  # would raise if any more input were passed to it
    caller.sock.send(b"x" * 4096)
    rig.advance_ms(100)
    assert kept in rig.broker.admin.sessions and not len(kept.connection.inbound)
