"""Transfer of clients' connections from a predecessor to its successor, on sockets."""

from __future__ import annotations

import socket
import struct

import pytest

from tests.hot_restart.processes import broker_with_successor, with_client_handed_over
from tests.thrift_messages import execute
from umberusher.broker import readiness

ABORTED, TRYLATER = struct.pack(">bh", 12, 2), struct.pack(">bh", 12, 1)


def test_predecessor_answers_its_calls_after_their_connection_was_handed_over(rig, tmp_path):
    rig = rig(1, str(tmp_path / "s"))
    client, first, engine = rig.start_request()
    new = rig.successor()
    assert not new.readiness.is_ready() and new.frontend.paused and not rig.broker.frontend.paused
    rig.discovery_peer = rig.accept("board")
    body = b'{"rev":%d,"notices":[]}' % rig.rev
    rig.discovery_peer.sock.send(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    )
    rig.advance_ms(200)
    rig.until(lambda: new.readiness.is_ready() and rig.broker.frontend.paused)
    rig.broker.request_shutdown()
    rig.broker.loop.running = True
    rig.advance_ms(300)
    assert (
        rig.broker.registry.in_flight == 1
        and not rig.broker.frontend.clients
        and len(new.frontend.clients) == 1
    )
    client.sock.send(
        execute(7, {"method": "lookup", "rid": "7" * 16, "budget": "2000"}, b"select 1")
    )
    second = rig.accept("s-0")
    rig.expect(second, b"REQ 7777777777777777 ")  # the successor continues reading
    engine.sock.send(f"{first} HIT count=1 6\r\na\t1\t2\n\r\n".encode())
    assert b"a\t1\t2\n" in rig.read_answer(
        client
    )  # the predecessor's answer, through the successor
    second.sock.send(b"7777777777777777 HIT count=1 6\r\nb\t1\t2\n\r\n")
    assert b"b\t1\t2\n" in rig.read_answer(client)
    rig.advance_ms(200)
    assert not client.ended and not rig.broker.loop.running and new.hot_restart.listener.is_open


def test_interrupt_stops_call_in_the_process_that_admitted_it(rig, tmp_path):
    made, new, client, rid = with_client_handed_over(rig, tmp_path)
    call = struct.pack(">Ii9siBhiB", 0x80010004, 9, b"interrupt", 2, 8, 1, made.seqid, 0)
    client.sock.send(struct.pack(">i", len(call)) + call)
    made.expect(made.engine, f"STOP {rid}\r\n".encode())
    assert not made.broker.registry.in_flight and not client.read()


def test_disconnect_at_successor_stops_call_of_predecessor(rig, tmp_path):
    made, new, client, rid = with_client_handed_over(rig, tmp_path)
    client.sock.close()
    made.expect(made.engine, f"STOP {rid}\r\n".encode())


def test_handed_over_calls_fail_when_predecessor_dies(rig, tmp_path):
    made, new, client, rid = with_client_handed_over(rig, tmp_path)
    made.broker.hot_restart.peers[0].link.close("died")
    assert ABORTED in made.read_answer(client)
    assert not client.ended


def test_handed_over_calls_are_stopped_when_successor_dies(rig, tmp_path):
    """Their connections end with it: the predecessor continued their calls, and retried them."""
    made, new, client, rid = with_client_handed_over(rig, tmp_path)
    made.broker.loop.running = True
    made.brokers.remove(new)
    new.hot_restart.close()  # killed: it can't report that its clients disconnect
    new.close()
    made.expect(made.engine, f"STOP {rid}\r\n".encode())
    assert not made.broker.registry.in_flight and not made.broker.balancer.requests
    made.advance_ms(200)
    assert not made.broker.loop.running


@pytest.mark.parametrize("packet", [b"{]", b"[]", b'{"client":1}', b'{"client":1,"open":["x"]}'])
def test_connection_with_malformed_packet_is_closed(rig, tmp_path, packet):
    made, new = broker_with_successor(rig, tmp_path)
    ours, theirs = socket.socketpair()
    socket.send_fds(
        made.broker.hot_restart.peers[0].transfer.channel._sock, [packet], [theirs.fileno()]
    )
    theirs.close()
    made.advance_ms(100)
    assert not new.frontend.clients and ours.recv(1) == b"" and new.readiness.is_ready()
    ours.close()


def test_predecessor_keeps_reading_and_closes_idle_clients_without_a_channel(rig, tmp_path):
    made = rig(1, str(tmp_path / "s"))
    client, first, engine = made.start_request()
    made.successor()
    made.advance_ms(1000 * readiness.MAX_DISCOVERY_WAIT_S + 300)
    made.until(lambda: made.broker.frontend.paused)
    made.read_answer(client)  # its deadline passes
    second = made.send_request(client, "load", obj="k", budget="25000")
    made.expect(engine, second.encode())
    made.broker.hot_restart.peers[0].transfer.close_channel()
    made.broker.request_shutdown()
    made.broker.loop.running = True
    made.advance_ms(1500)
    assert made.broker.registry.in_flight == 1 and len(made.broker.frontend.clients) == 1
    engine.sock.send(f"{second} HIT count=1 6\r\na\t1\t2\n\r\n".encode())
    assert b"a\t1\t2\n" in made.read_answer(client)
    made.advance_ms(100)
    assert client.read() == b"" and client.ended
    client.sock.close()
    made.advance_ms(100)
    assert not made.broker.loop.running
