"""After the process was suspended, pending news is read before any work goes out."""

from __future__ import annotations

import json
import select
import threading

import pytest

from tests.thrift_messages import execute
from umberusher.decisions.events import RequestArrived

ANSWER_WITHIN_S = 5.0
STATEMENT = b"select * from park_1.sites"


def drain_answer(rig, *engines: str) -> bytes:
    """Return the answer that drains engines."""
    answer = rig.discovery_answer(*[(engine, engine, "DRAINING") for engine in engines])
    body = json.dumps(answer).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def open_connections(rig) -> dict:
    """Return the connections to both engines, after one request at each."""
    peers = {}
    for engine in ("s-0", "s-1"):
        rig.prefer_engine(engine)
        client = rig.client()
        request_id = rig.send_request(client)
        peers[engine] = rig.accept(engine)
        rig.expect(peers[engine], b"REQ " + request_id.encode())
        peers[engine].sock.send(f"{request_id} HIT count=1 6\r\na\tb\tc\n\r\n".encode())
        rig.read_answer(client)
        peers[engine].received = b""
    rig.prefer_engine("s-0")
    return peers


def send_call(rig, client, request_id: str) -> None:
    """Send a request without a step of the broker."""
    rig.seqid += 1
    fields = {"method": "lookup", "rid": request_id, "budget": "2400"}
    client.sock.send(execute(rig.seqid, fields, STATEMENT))


@pytest.mark.parametrize("stall_s", [0.1, 0.6, 1.5])
def test_broker_reads_a_drain_before_requests_that_arrived_in_the_same_stall(rig, stall_s):
    """The request, read first, went to an engine whose drain was in the next socket."""
    rig = rig(2)
    peers = open_connections(rig)
    client = rig.client()
    rig.step(0)
    send_call(rig, client, "00000000000000aa")
    rig.discovery_peer.sock.send(drain_answer(rig, "s-0"))
    rig.now += stall_s
    rig.expect(peers["s-1"], b"REQ 00000000000000aa")
    assert b"REQ" not in peers["s-0"].read()


def test_broker_reads_a_drain_when_it_is_suspended_between_decision_and_send(rig, monkeypatch):
    rig = rig(2)
    peers = open_connections(rig)
    client = rig.client()
    rig.step(0)
    handle = rig.broker.balancer.handle

    def suspend_after_decision(now_ms, event):
        actions = handle(now_ms, event)
        if isinstance(event, RequestArrived):
            rig.discovery_peer.sock.send(drain_answer(rig, "s-0"))
            rig.now += 0.5
        return actions

    monkeypatch.setattr(rig.broker.balancer, "handle", suspend_after_decision)
    send_call(rig, client, "00000000000000aa")
    rig.expect(peers["s-1"], b"REQ 00000000000000aa")
    assert b"REQ" not in peers["s-0"].read()


def test_broker_reads_a_drain_before_timers_when_the_wait_itself_was_suspended(rig):
    """A wait that ends late may report nothing: the kernel looked before the process stopped."""
    rig = rig(2)
    rig.step(0)
    loop = rig.broker.loop
    drained_at_timer = []
    poll_all = loop._poll_all

    def suspended_poll(timeout_s):
        loop._poll_all = poll_all
        rig.discovery_peer.sock.send(drain_answer(rig, "s-0"))
        rig.now += 1.0
        return []

    loop._poll_all = suspended_poll
    loop.call_later(
        500.0, lambda: drained_at_timer.append(rig.broker.endpoints.find("s-0") is None)
    )
    rig.until(lambda: drained_at_timer)
    assert drained_at_timer == [True]


def test_broker_polls_anew_before_it_sends_when_it_was_suspended_for_long(rig):
    """News that no answer tells of yet counts as announced some time after its change."""
    rig = rig(2)
    peers = open_connections(rig)
    client = rig.client()
    rig.expect(rig.discovery_peer, b"GET")
    rig.discovery_peer.received = b""
    send_call(rig, client, "00000000000000aa")
    rig.discovery_peer.sock.send(drain_answer(rig, "s-1"))
    second_answer = drain_answer(rig, "s-0")
    discovery_sock = rig.discovery_peer.sock

    def answer_next_poll() -> None:
        readable, _, _ = select.select([discovery_sock], [], [], ANSWER_WITHIN_S)
        if readable:
            discovery_sock.send(second_answer)

    answering = threading.Thread(target=answer_next_poll)
    answering.start()
    rig.now += 1.5
    rig.until(lambda: rig.step(0) or not rig.broker.balancer.up)
    answering.join()
    rig.step(0)
    assert b"REQ" not in peers["s-0"].read() + peers["s-1"].read()
