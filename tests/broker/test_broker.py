"""Tests of the broker on loopback sockets with a simulated clock: the course of a request, and its failures."""

from __future__ import annotations

import socket
import struct

import pytest

from tests.thrift_messages import execute
from umberusher.frontend.deferred_calls import MAX_DEFERRED_CALLS
from umberusher.pipeline.request import SendProgress
from umberusher.upstream.engine_connection import EngineConnection


def test_pages_out_of_order_are_served_in_order_and_then_ended(rig):
    rig = rig()
    client = rig.client()
    rid = rig.send_request(client)
    engine = rig.accept("s-0")
    rig.expect(
        engine, b"REQ %b lane=lookup,ttl=1949 26\r\nselect * from park_1.sites\r\n" % rid.encode()
    )
    engine.sock.send(
        f"{rid} INFO why=done,reading=0.5 0\r\n\r\n{rid} HIT count=3 6\r\na\t1\t2\n\r\n".encode()
    )
    rig.expect(engine, f"FETCH {rid} 1\r\nFETCH {rid} 2\r\n".encode())
    engine.sock.send(
        f"{rid} PART pos=2 6\r\nc\t1\t2\n\r\n{rid} PART pos=1 6\r\nb\t1\t2\n\r\n".encode()
    )
    assert b"a\t1\t2\nb\t1\t2\nc\t1\t2\n" in rig.read_answer(client)
    rig.expect(engine, f"END {rid}\r\n".encode())
    assert not rig.broker.registry.requests and not rig.broker.balancer.in_flight.attempts


@pytest.mark.parametrize("word", ["reset", "FAULT", "page"])
def test_load_that_may_have_run_fails_and_is_not_retried(rig, word):
    rig = rig(2)
    client = rig.client()
    rid = rig.send_request(client, "load", obj="k")
    name = rig.broker.registry.requests[rid].attempt.engine
    engine = rig.accept(name)
    rig.expect(engine, b"park_1.sites\r\n")
    if word == "page":
        engine.sock.send(f"{rid} HIT count=2 6\r\na\t1\t2\n\r\n".encode())
        rig.expect(engine, b"FETCH")
    if word == "FAULT":
        engine.sock.send(f"{rid} FAULT - 0\r\n\r\n".encode())
    else:
        engine.sock.close()
    assert struct.pack(">bh", 12, 2) in rig.read_answer(client)  # Aborted
    rig.advance_ms(600)
    assert (
        rig.broker.registry.outcome_counts["attempt reset"]
        + rig.broker.registry.outcome_counts["attempt error"]
        == 1
    )


def test_late_reply_rejects_the_request_at_once_and_ejects_no_engine(rig):
    rig = rig(2)
    client = rig.client()
    rid = rig.send_request(client)
    engine = rig.accept(rig.broker.registry.requests[rid].attempt.engine)
    rig.expect(engine, b"REQ")
    engine.sock.send(f"{rid} LATE - 0\r\n\r\n".encode())
    assert b"backoff" in rig.read_answer(client)
    assert (
        not rig.broker.balancer.ejected_endpoints(rig.now * 1000)
        and rig.broker.registry.outcome_counts["attempt moot"] == 1
    )


def test_sweeps_continue_after_an_exception(rig, monkeypatch):
    rig = rig()
    monkeypatch.setattr(type(rig.broker.upstream), "sweep", lambda self: 1 / 0)
    rig.advance_ms(300)
    monkeypatch.undo()
    rig.broker.request_shutdown()
    rig.broker.loop.running = True
    rig.advance_ms(1300)
    assert not rig.broker.loop.running


@pytest.mark.parametrize("word", ["SHED"])
def test_request_that_never_ran_is_retried_on_another_engine(rig, word):
    rig = rig(2)
    rid = rig.send_request(rig.client(), "load", obj="k")
    first = rig.broker.registry.requests[rid].attempt.engine
    engine = rig.accept(first)
    rig.expect(engine, b"REQ")
    engine.sock.send(f"{rid} {word} - 0\r\n\r\n".encode())
    rig.until(lambda: (a := rig.broker.registry.requests[rid].attempt) and a.number == 1)
    other = rig.accept("s-1" if first == "s-0" else "s-0")
    rig.expect(other, f"REQ {rid} lane=load".encode())


def test_refused_connection_proves_that_the_request_did_not_run(rig):
    rig = rig(2)
    port = rig.listeners["s-0"].getsockname()[1]
    rig.listeners["s-0"].close()
    rig.broker.balancer.engines["s-0"].selection_probability = 1.0
    rid = rig.send_request(rig.client(), "load", obj="k")
    rig.expect(rig.accept("s-1"), f"REQ {rid} ".encode())
    assert rig.broker.registry.outcome_counts["attempt reset"] == 0
    rig.listeners["s-0"] = socket.create_server(("127.0.0.1", port))


def test_interrupt_stops_the_attempt_and_gets_no_answer(rig):
    rig = rig()
    client, rid, engine = rig.start_request()
    call = struct.pack(">Ii9siBhiB", 0x80010004, 9, b"interrupt", 2, 8, 1, 1, 0)
    client.sock.send(struct.pack(">i", len(call)) + call)
    rig.expect(engine, f"STOP {rid}\r\n".encode())
    engine.sock.send(f"{rid} HIT count=1 6\r\na\t1\t2\n\r\n".encode())  # late: the request ended
    rig.advance_ms(3000)
    assert (
        client.read() == b""
        and not rig.broker.registry.requests
        and not rig.broker.balancer.requests
    )


def test_silent_engine_causes_one_rejection_before_the_deadline_and_a_stop(rig):
    rig = rig()
    client, rid, engine = rig.start_request()
    rig.advance_ms(1980)
    assert b"backoff" in rig.read_answer(client)
    rig.advance_ms(100)
    rig.expect(engine, f"STOP {rid}\r\n".encode())
    assert (
        rig.broker.registry.outcome_counts["attempt timeout"] == 1
        and not rig.broker.balancer.in_flight.attempts
    )


@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
def test_unwritten_request_is_not_sent_after_its_engine_drains_or_is_removed(rig, state):
    rig = rig()
    rid = rig.send_request(rig.client())
    attempt = rig.broker.registry.requests[rid].attempt
    if attempt.progress < 2:  # still connecting; else the kernel was faster and writing began
        rig.broker.endpoints.apply(rig.notice(("s-0", "s-0", state)))
        assert attempt.ended and attempt.carrier.transport.state.value == "closed"
        assert rig.broker.registry.outcome_counts["attempt no connection"] == 1
    rig.broker.upstream.attempts.start(rig.broker.registry.requests[rid], "s-0", None)
    assert rig.broker.registry.requests[rid].attempt is None or attempt.progress >= 2


def test_new_engine_at_an_old_address_gets_its_own_connection(rig):
    rig = rig()
    first = rig.send_request(rig.client())
    old = rig.accept("s-0")
    rig.expect(old, first.encode())
    rig.publish_endpoints(("s-0", "s-0", "DELETED"), ("s-9", "s-0", "SERVING"))
    second = rig.send_request(rig.client())
    new = rig.accept("s-0")
    rig.expect(new, second.encode())
    assert second.encode() not in old.read()


def test_connection_near_its_idle_timeout_is_not_reused(rig):
    rig = rig()
    client, rid, engine = rig.start_request()
    engine.sock.send(f"{rid} HIT count=1 6\r\na\t1\t2\n\r\n".encode())
    rig.read_answer(client)
    for probe in engine.read().split(b"STAT ")[1:]:
        engine.sock.send(probe.split()[0] + b" PONG - 0\r\n\r\n")
    rig.advance_ms(14_500, 40)
    assert engine.read() is not None and engine.ended


def test_silent_discovery_service_is_polled_again_over_a_new_connection(rig):
    rig = rig()
    rig.expect(rig.discovery_peer, b"GET /board/poll?watch=1&linger=")
    rig.advance_ms(3000)
    rig.expect(rig.accept("board"), b"GET /board/poll?watch=1&linger=")


def test_discovery_service_that_truncates_its_answer_is_polled_again_at_once(rig):
    rig = rig()
    rig.expect(rig.discovery_peer, b"GET")
    rig.discovery_peer.sock.send(b'HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{"rev":2,')
    rig.broker.loop.step(5)
    rig.discovery_peer.sock.close()
    rig.expect(rig.accept("board"), b"GET /board/poll?watch=1&linger=")  # no time has passed


@pytest.mark.parametrize(
    "line",
    [
        b"HIT count=1\r\n",
        b"HIT - 6\r\na\t1\t2\n\r\n",
        b"HIT count=99 6\r\na\t1\t2\n\r\n",
        b"HIT count=1 4\r\na\t1\n\r\n",
        b"HIT count=1 5\r\na\t1\t2\r\n",
        b"HIT count=1 6\r\na\t\0\t2\n\r\n",
        b"HIT count=1 6\r\n\xff\t1\t2\n\r\n",
        b"HIT count=2 6\r\na\t1\t2\n\r\n%b PART pos=2 6\r\na\t1\t2\n\r\n",
        b"HIT count=1 6001\r\na\t1",
        b"YES count=1 0\r\n\r\n",
    ],
)
def test_malformed_response_is_never_served_and_closes_its_connection(rig, line):
    rig = rig()
    client = rig.client()
    rid = rig.send_request(client, "load", obj="k").encode()
    engine = rig.accept("s-0")
    rig.expect(engine, b"park_1.sites\r\n")
    engine.sock.send(rid + b" " + line.replace(b"%b", rid))
    assert struct.pack(">bh", 12, 2) in rig.read_answer(client)  # Aborted: it may have run
    rig.until(lambda: engine.read() is not None and engine.ended)
    assert rig.broker.registry.outcome_counts["served"] == 0


def test_duplicate_and_unknown_responses_are_dropped_and_the_connection_stays_open(rig):
    rig = rig()
    client, rid, engine = rig.start_request()
    once = f"{rid} HIT count=1 6\r\na\t1\t2\n\r\n".encode()
    engine.sock.send(b"f" * 16 + once[16:] + once + once)
    assert b"a\t1\t2\n" in rig.read_answer(client)
    rig.advance_ms(100)
    assert (
        not engine.ended and rig.broker.registry.outcome_counts["served"] == 1 and not client.read()
    )


@pytest.mark.parametrize(
    "more, body",
    [
        ({"rid": "zz"}, b""),
        ({"budget": "soon"}, b""),
        ({"budget": "nan"}, b""),
        ({"method": "other"}, b""),
        ({"est": "-1"}, b""),
        ({}, b"select '"),
        ({"budget": "9e9"}, b""),
        ({"budget": "1_000"}, b""),
        ({"est": "1e13"}, b""),
        ({"ram": "inf"}, b""),
        ({"method": "load"}, b""),
        ({"ram": "9e9"}, b""),
        ({"method": "load", "obj": ""}, b""),
        ({"est": "\u0661"}, b""),
    ],
)
def test_invalid_field_or_statement_is_an_application_exception(rig, more, body):
    rig = rig()
    client = rig.client()
    client.sock.send(
        execute(1, {"method": "lookup", "rid": "0" * 16, "budget": "900"} | more, body)
    )
    assert rig.read_answer(client).startswith(struct.pack(">I", 0x80010003))
    assert (
        not rig.broker.balancer.retry_budget.requests and not rig.broker.balancer.requests
    )  # the load balancer did not receive it
    assert rig.send_request(client) in rig.broker.registry.requests  # the connection stays usable


def test_request_with_the_id_of_an_open_request_fails(rig):
    rig = rig()
    client = rig.client()
    rid = rig.send_request(client)
    rig.seqid += 1
    client.sock.send(
        execute(rig.seqid, {"method": "lookup", "rid": rid, "budget": "900"}, b"select 1")
    )
    assert struct.pack(">bh", 12, 2) in rig.read_answer(client)
    assert list(rig.broker.registry.requests) == [rid]


def test_oversized_frame_closes_only_its_own_connection(rig):
    rig = rig()
    client, other = rig.client(), rig.client()
    client.sock.send(b"\x7f\xff\xff\xff")
    rig.until(lambda: client.read() is not None and client.ended)
    assert rig.send_request(other) in rig.broker.registry.requests


def test_idle_client_is_evicted_when_the_client_limit_is_reached(rig):
    rig = rig()
    rig.broker.frontend.max_clients = 2
    busy, quiet = rig.client(), rig.client()
    rig.send_request(busy)
    new = rig.client()
    rig.send_request(new)
    rig.until(lambda: quiet.read() is not None and quiet.ended)
    assert not busy.ended and len(rig.broker.frontend.clients) == 2


def test_client_that_floods_without_reading_answers_is_paused_and_resumed(rig):
    rig = rig()
    client = rig.client()
    rig.until(lambda: rig.broker.frontend.clients)
    next(iter(rig.broker.frontend.clients)).connection.sock.setsockopt(
        socket.SOL_SOCKET, socket.SO_SNDBUF, 4608
    )
    calls = [
        execute(n, {"method": "other", "rid": f"{n:016x}", "budget": "900"}, b"x")
        for n in range(1, 9001)
    ]
    sent, data = 0, b"".join(calls)
    for _ in range(400):
        try:
            sent += client.sock.send(data[sent : sent + (1 << 16)])
        except BlockingIOError:
            pass
        rig.broker.loop.step(0)
    (client_connection,) = rig.broker.frontend.clients
    assert (
        client_connection.write_blocked
        and len(client_connection.connection.outbox) <= 65
        and len(client_connection.deferred_calls) == MAX_DEFERRED_CALLS
    )
    while sent < len(data):
        before = sent
        try:
            sent += client.sock.send(data[sent:])
        except BlockingIOError:
            pass
        client.read()
        rig.broker.loop.step(0)
        assert sent > before or client_connection.connection.state.value == "open"
    rig.until(lambda: client.read().count(b"\x80\x01\x00\x03") == 9000, 3000)


def test_discovery_service_that_answers_at_once_is_not_polled_in_a_busy_loop(rig):
    rig = rig()
    for _ in range(50):
        poll_count = rig.discovery_peer.read().count(b"GET")
        rig.discovery_peer.sock.send(
            b"HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n" + b'{"rev":1,"notices":[]}'
        )
        rig.broker.loop.step(0)
    assert rig.discovery_peer.read().count(b"GET") == poll_count <= 2


def test_empty_first_answer_is_followed_by_an_immediate_poll(rig):
    """Guards against requests to removed engines: after the loss of a zone with its brokers, five that restarted got
    such an answer, waited 400 ms, and sent to engines that had been removed before their start."""
    rig = rig()
    rig.until(lambda: b"GET" in rig.discovery_peer.read())
    poll_count = rig.discovery_peer.read().count(b"GET")
    rig.discovery_peer.sock.send(
        b"HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n" + b'{"rev":1,"notices":[]}'
    )
    for _ in range(40):
        rig.now += 0.001
        rig.broker.loop.step(0)
    assert rig.discovery_peer.read().count(b"GET") == poll_count + 1


def test_load_balancer_handles_a_drain_before_the_attempts_that_it_withdraws(rig):
    rig = rig(2)
    rid = rig.send_request(rig.client())
    attempt = rig.broker.registry.requests[rid].attempt
    attempt.carrier.transport.outbox.clear()
    attempt.progress = SendProgress.NOT_WRITTEN
    attempt.carrier.transport.outbox.append(attempt.carrier.messages[rid])
    rig.broker.endpoints.apply(rig.notice((attempt.engine, attempt.engine, "DRAINING")))
    again = rig.broker.registry.requests[rid].attempt
    assert attempt.ended and again.number == 1 and again.engine != attempt.engine


def test_client_without_a_complete_call_is_closed_and_one_that_made_a_call_is_kept(rig):
    rig = rig()
    active, silent, partial = rig.client(), rig.client(), rig.client()
    active.sock.send(execute(1, {}, b"x"))  # rejected, but it was a complete call
    partial.sock.send(b"\0\0\1\0abc")
    rig.until(lambda: len(rig.broker.frontend.clients) == 3)
    rig.advance_ms(1800)
    partial.sock.send(b"d")  # one more byte does not complete the call
    rig.advance_ms(300)
    rig.until(lambda: silent.read() is not None and silent.ended)
    assert not partial.read() and not partial.ended
    rig.advance_ms(
        800
    )  # slow partial calls are limited too, within the 3 s that such a client must get
    rig.until(lambda: partial.read() is not None and partial.ended)
    rig.advance_ms(4000)
    assert active.read() and not active.ended
    active.sock.send(b"\0\0\1")
    rig.advance_ms(2500)
    assert active.read() and active.ended


def test_client_waiting_for_its_answer_is_not_closed_for_a_partial_call(rig):
    rig = rig()
    client = rig.client()
    rid = rig.send_request(client, "load", obj="k", budget="20000")
    client.sock.send(b"\0\0\1")
    rig.advance_ms(12_000, 100)
    assert rid in rig.broker.registry.requests and not client.read() and not client.ended


def test_calls_above_the_limit_of_a_client_are_rejected_at_once(rig):
    rig = rig()
    client = rig.client()
    calls = [
        execute(n, {"method": "lookup", "rid": f"{n:016x}", "budget": "900"}, b"select 1")
        for n in range(1, 41)
    ]
    client.sock.send(b"".join(calls))
    rig.until(lambda: client.read().count(b"backoff") == 8)
    assert len(rig.broker.registry.requests) == 32


def test_request_withdrawn_before_it_was_written_counts_against_no_engine(rig):
    rig = rig()
    rig.send_request(rig.client())
    (request,) = rig.broker.registry.requests.values()
    attempt = request.attempt
    attempt.carrier.transport.outbox.clear()
    attempt.carrier.transport.outbox.append(attempt.carrier.messages[request.request_id])
    rig.broker.admission.disconnect(request)
    assert attempt.ended and rig.broker.registry.outcome_counts == {"attempt moot": 1}
    assert (
        rig.broker.balancer.engines["s-0"].ejected_until < 0
        and not rig.broker.balancer.in_flight.attempts
    )


def test_lack_of_descriptors_counts_against_no_engine(rig):
    rig = rig()
    rig.broker.upstream.pool.max_connections = 0
    rig.send_request(rig.client())
    assert (
        rig.broker.registry.outcome_counts["attempt full"]
        and not rig.broker.registry.outcome_counts["attempt no connection"]
    )


@pytest.mark.parametrize(
    "response", [b"HIT count=1 6\r\na\t", b"HI", b"HIT count=2 6\r\na\t1\t2\n\r\n"]
)
def test_truncated_response_closes_its_connection_for_all_requests_on_it(rig, response):
    rig = rig()
    client = rig.client()
    first, second = (
        rig.send_request(client, "load", obj="k"),
        rig.send_request(client, "load", obj="l"),
    )
    engine = rig.accept("s-0")
    rig.expect(engine, second.encode())
    engine.sock.send(first.encode() + b" " + response)
    rig.advance_ms(1900)
    for _ in range(2):
        assert struct.pack(">bh", 12, 2) in rig.read_answer(client)
    rig.until(lambda: engine.read() is not None and engine.ended)


def test_connection_closed_by_the_engine_is_not_written_to(rig):
    rig = rig()
    client, rid, engine = rig.start_request()
    engine.sock.send(f"{rid} HIT count=1 6\r\na\t1\t2\n\r\n".encode())
    rig.read_answer(client)
    (connection,) = rig.broker.upstream.pool.by_engine["s-0"]
    connection.health_checks.clear()
    engine.sock.close()  # the event loop has not read the close when the next request arrives
    client.sock.send(
        execute(9, {"method": "load", "rid": "9" * 16, "budget": "900", "obj": "k"}, b"select 1")
    )
    next(iter(rig.broker.frontend.clients)).connection._read()
    rig.broker.frontend.call_queue.run()
    assert (
        connection.transport.state.value == "closed"
        and rig.broker.registry.requests["9" * 16].attempt.number == 0
    )
    rig.expect(rig.accept("s-0"), b"REQ " + b"9" * 16)


def test_client_that_never_made_a_call_is_evicted_before_one_that_did(rig):
    rig = rig()
    rig.broker.frontend.max_clients = 2
    active, silent = rig.client(), rig.client()
    active.sock.send(execute(1, {}, b"x"))
    rig.until(lambda: active.read())
    rig.advance_ms(100)
    silent.sock.send(b"\0")
    rig.send_request(rig.client())
    rig.until(lambda: silent.read() is not None and silent.ended)
    assert not active.read() or not active.ended


def test_complete_result_is_served_even_if_its_connection_fails_at_the_end(rig, monkeypatch):
    rig = rig()
    client, rid, engine = rig.start_request()
    (connection,) = rig.broker.upstream.pool.by_engine["s-0"]
    monkeypatch.setattr(
        EngineConnection, "write", lambda self, command: connection.transport.close("write: EPIPE")
    )
    engine.sock.send(f"{rid} HIT count=1 6\r\na\t1\t2\n\r\n".encode())
    assert b"a\t1\t2\n" in rig.read_answer(client)
    assert rig.broker.registry.outcome_counts["attempt served"] == 1


def test_silent_connection_is_closed_once_its_engine_responds_on_another(rig):
    rig = rig()
    client = rig.client()
    rid = rig.send_request(client, "load", obj="k", budget="20000")
    engine = rig.accept("s-0")
    rig.expect(engine, b"REQ")
    rig.broker.upstream.health_checks.start("s-0")
    rig.advance_ms(800)
    (connection,) = rig.broker.upstream.pool.by_engine["s-0"]
    assert connection.unresponsive and rid in rig.broker.registry.requests
    rig.advance_ms(1800)
    rig.broker.upstream.health_checks.start("s-0")
    other = rig.accept("s-0")
    rig.expect(other, b"STAT ")
    other.sock.send(other.read().split()[1] + b" PONG rep=inflight:0 0\r\n\r\n")
    rig.until(lambda: engine.read() is not None and engine.ended)
    assert struct.pack(">bh", 12, 2) in rig.read_answer(client)  # Aborted: it may have run


def test_connection_that_delivers_any_data_is_not_unresponsive(rig):
    rig = rig()
    client, rid, engine = rig.start_request()
    rig.broker.upstream.health_checks.start("s-0")
    rig.advance_ms(300)
    engine.sock.send(f"{rid} INFO why=done,reading=0.1 0\r\n\r\n".encode())
    rig.advance_ms(500)
    (connection,) = rig.broker.upstream.pool.by_engine["s-0"]
    assert not connection.unresponsive and not connection.health_checks


def test_health_check_on_a_reset_connection_does_not_mark_its_engine_unresponsive(rig):
    rig = rig()
    client, rid, engine = rig.start_request()
    rig.broker.upstream.health_checks.start("s-0")
    engine.sock.close()
    rig.until(lambda: not rig.broker.upstream.pool.by_engine)
    assert not rig.broker.balancer.engines["s-0"].unresponsive
    rig.broker.upstream.health_checks.start("s-0")
    rig.advance_ms(600)
    assert rig.broker.balancer.engines["s-0"].unresponsive


def test_response_in_small_pieces_is_awaited_while_they_arrive(rig):
    rig = rig()
    client, rid, engine = rig.start_request()
    for piece in (f"{rid} HI", "T count=1", " 6\r\n", "a\t", "1\t2\n\r\n"):
        rig.advance_ms(300)
        assert not engine.read().endswith(b"STOP") and not engine.ended
        engine.sock.send(piece.encode())
    assert b"a\t1\t2\n" in rig.read_answer(client)


def test_missing_pages_end_only_their_own_request(rig):
    rig = rig()
    client = rig.client()
    first, second = (
        rig.send_request(client, "load", obj="k"),
        rig.send_request(client, "load", obj="l"),
    )
    engine = rig.accept("s-0")
    rig.expect(engine, second.encode())
    engine.sock.send(first.encode() + b" HIT count=2 6\r\na\t1\t2\n\r\n")
    rig.advance_ms(1000)
    engine.sock.send(second.encode() + b" INFO why=done,reading=0.1 0\r\n\r\n")
    rig.advance_ms(800)
    assert struct.pack(">bh", 12, 2) in rig.read_answer(client)  # Aborted: it has run
    rig.expect(engine, b"END " + first.encode())
    (connection,) = rig.broker.upstream.pool.by_engine["s-0"]
    assert list(connection.attempts) == [second]
    engine.sock.send(
        first.encode() + b" PART pos=1 6\r\nb\t1\t2\n\r\n"
    )  # late: the request has ended
    engine.sock.send(second.encode() + b" HIT count=1 6\r\nc\t1\t2\n\r\n")
    assert b"c\t1\t2\n" in rig.read_answer(client)
