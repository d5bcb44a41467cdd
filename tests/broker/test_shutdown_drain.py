"""The phase of a graceful shutdown in which connections are drained."""

from __future__ import annotations

from tests.thrift_messages import execute


def test_shutdown_waits_for_call_that_is_in_the_socket_buffer(rig):
    made = rig(1)
    client, rid, engine = made.start_request()
    engine.sock.send(f"{rid} HIT count=1 6\r\na\t1\t2\n\r\n".encode())
    made.read_answer(client)
    made.broker.loop.running = True
    made.broker.request_shutdown()
    made.advance_ms(900)
    call = execute(9, {"method": "lookup", "rid": "9" * 16, "budget": "900"}, b"select 1")
    client.sock.send(call[:3])  # the event loop has not read it yet
    made.broker.frontend.drain_idle_connections()
    made.advance_ms(300)
    assert client.read() == b"" and not client.ended and made.broker.loop.running
    client.sock.send(call[3:])
    assert b"backoff" in made.read_answer(client)
    made.advance_ms(100)
    assert client.read() == b"" and client.ended
    client.sock.close()
    made.advance_ms(100)
    assert not made.broker.loop.running
