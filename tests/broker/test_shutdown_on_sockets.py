"""Graceful shutdown with clients on sockets."""

from __future__ import annotations

import struct

from tests.thrift_messages import execute


def test_broker_is_not_ready_but_serves_after_shutdown_request_and_then_ends(rig):
    rig = rig()
    check = struct.pack(">Ii5siBhBB", 0x80010001, 5, b"check", 1, 2, 1, 0, 0)
    client = rig.client()
    client.sock.send(struct.pack(">i", len(check)) + check)
    assert rig.read_answer(client).endswith(b"\x02\0\x03\x01\0\0")
    rig.broker.loop.running = True
    rig.broker.request_shutdown()
    rig.advance_ms(600)
    other = rig.client()
    rid = rig.send_request(other)
    client.sock.send(struct.pack(">i", len(check)) + check)
    assert rig.read_answer(client).endswith(b"\x02\0\x03\0\0\0")
    engine = rig.accept("s-0")
    rig.expect(engine, b"REQ")
    rig.advance_ms(800)
    assert rig.broker.loop.running
    other.sock.send(execute(9, {"method": "lookup", "rid": "9" * 16, "budget": "900"}, b"select 1"))
    assert b"backoff" in rig.read_answer(other)  # rejected after the grace period
    engine.sock.send(f"{rid} HIT count=1 6\r\na\t1\t2\n\r\n".encode())
    assert b"a\t1\t2\n" in rig.read_answer(other)
    rig.advance_ms(100)
    for each in (client, other):
        assert each.read() is not None and each.ended
        each.sock.close()
    rig.advance_ms(100)
    assert not rig.broker.loop.running
