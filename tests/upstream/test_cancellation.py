"""Cancellation at the sockets: STOP commands, their outcomes, receipts and the account of time.

Guards against attempts that end twice or never after a cancellation, retries of queries that may
still run, results that are not released, and lost accounting of a request's time.
"""

from __future__ import annotations

import socket
import struct

import pytest

from tests.client_calls import interrupt
from tests.thrift_messages import execute
from umberusher.broker import readiness
from umberusher.deadlines.account import (
    PHASES,
)
from umberusher.deadlines.cancels import CANCEL_TIMEOUT_MS
from umberusher.decisions.actions import CancelAttempt
from umberusher.decisions.events import AttemptEnded, AttemptOutcome, Event

HIT = b" HIT count=1 6\r\na\t1\t2\n\r\n"


def record_events(rig) -> list[Event]:
    """Return a list that receives every later event that is posted to the decisions."""
    events = []
    post = rig.broker.post
    rig.broker.registry.post = lambda event: (events.append(event), post(event))
    return events


def attempt_endings(events) -> list[tuple[AttemptOutcome, bool]]:
    return [
        (event.outcome, event.request_closed) for event in events if isinstance(event, AttemptEnded)
    ]


def last_ping_tag(engine) -> bytes:
    return engine.received.rpartition(b"HELO ")[2].split(b"\r\n")[0]


def cancelled_request(rig):
    """Send a request to an engine, then the client's interrupt; return them with later events."""
    client, rid, engine = rig.start_request()
    events = record_events(rig)
    client.sock.send(interrupt(rig.seqid))
    rig.expect(engine, b"STOP " + rid.encode() + b"\r\nHELO ")
    return client, rid.encode(), engine, events


@pytest.mark.parametrize(
    "resolution, outcome, ending",
    [
        ("proof", "CANCELLED", AttemptOutcome.CANCELLED),
        ("HIT", "OVERTOOK", AttemptOutcome.SUCCEEDED),
        ("SHED", "NEVER_RAN", AttemptOutcome.OVERLOADED),
        ("LATE", "NEVER_RAN", AttemptOutcome.WITHDRAWN),
        ("FAULT", "ERROR", AttemptOutcome.ERROR),
        ("reset", "UNKNOWN", AttemptOutcome.RESET),
        ("nothing", "UNKNOWN", AttemptOutcome.CANCELLED),
    ],
)
def test_cancellation_reports_one_outcome_when_it_is_resolved(rig, resolution, outcome, ending):
    rig = rig(1, cancel=True)
    client, rid, engine, events = cancelled_request(rig)
    # The engine's threads may still be in use.
    assert not attempt_endings(events) and rid.decode() in rig.broker.registry.requests
    if resolution == "proof":
        engine.sock.send(last_ping_tag(engine) + b" PONG -\r\n")
    elif resolution == "HIT":
        engine.sock.send(rid + HIT)
    elif resolution == "reset":
        engine.sock.close()
        rig.peers.remove(engine)
    elif resolution == "nothing":
        rig.advance_ms(CANCEL_TIMEOUT_MS + 20)
    else:
        engine.sock.send(rid + b" %s -\r\n" % resolution.encode())
    rig.until(lambda: rid.decode() not in rig.broker.registry.requests)
    rig.advance_ms(400)
    assert attempt_endings(events) == [
        (ending, True)
    ] and rig.broker.registry.account.cancel_outcomes == {outcome: 1}
    assert not client.read() and engine.received.count(b"STOP") == 1


def test_cancellation_releases_result_when_it_overtook_the_cancel(rig):
    for cancel in (True, False):
        made = rig(1, cancel=cancel)
        client, rid, engine = made.start_request()
        client.sock.send(interrupt(made.seqid))
        made.expect(engine, b"STOP ")
        engine.sock.send(rid.encode() + b" HIT count=3 6\r\na\t1\t2\n\r\n")
        made.expect(engine, b"END " + rid.encode())
        made.advance_ms(400)
        assert (
            engine.received.count(b"END") == 1
            and b"FETCH" not in engine.received
            and not client.read()
        )


def test_cancellation_confirms_all_cancels_when_one_ping_is_answered(rig):
    rig = rig(1, cancel=True)
    client = rig.client()
    rids = [rig.send_request(client) for _ in range(5)]
    engine = rig.accept("s-0")
    rig.until(lambda: engine.read().count(b"REQ") == 5)
    events = record_events(rig)
    for seqid in (1, 2, 3):
        client.sock.send(interrupt(seqid))
    rig.until(lambda: engine.read().count(b"STOP") == 3)
    assert engine.received.count(b"HELO") == 1
    # This answer proves the first STOP; the next ping is written after the others.
    engine.sock.send(last_ping_tag(engine) + b" PONG -\r\n")
    rig.until(lambda: engine.read().count(b"HELO") == 2)
    assert len(attempt_endings(events)) in (1, 2)
    engine.sock.send(last_ping_tag(engine) + b" PONG -\r\n")
    rig.until(lambda: len(attempt_endings(events)) == 3)
    (connection,) = rig.broker.upstream.pool.by_engine["s-0"]
    # No late reply can arrive any more: the ids may be used again on this connection.
    assert not connection.abandoned_ids and set(connection.attempts) == set(rids[3:])


def test_cancellation_serves_result_when_its_client_still_waits(rig):
    rig = rig(1, cancel=True)
    client, rid, engine = rig.start_request()
    events = record_events(rig)
    attempt = rig.broker.registry.requests[rid].attempt
    # As when the decisions want to retry the request at another engine.
    rig.broker.action_handlers[CancelAttempt](CancelAttempt(rid, attempt.number))
    rig.expect(engine, b"STOP")
    # The request never has two attempts in flight.
    assert not attempt_endings(events) and rig.broker.registry.requests[rid].attempt is attempt
    engine.sock.send(rid.encode() + b" HIT count=2 6\r\na\t1\t2\n\r\n")
    rig.expect(engine, b"FETCH " + rid.encode() + b" 1")
    engine.sock.send(rid.encode() + b" PART pos=1 6\r\nb\t1\t2\n\r\n")
    assert b"a\t1\t2\nb\t1\t2\n" in rig.read_answer(client)
    assert (
        attempt_endings(events) == [(AttemptOutcome.SUCCEEDED, True)]
        and rig.broker.registry.account.wasted_work_ms == 0
    )


def test_attempt_ends_at_deadline_when_its_cancel_is_unconfirmed(rig):
    rig = rig(1, cancel=True)
    client = rig.client()
    rig.send_request(client, "load", obj="k")
    engine = rig.accept("s-0")
    rig.expect(engine, b"REQ")
    events = record_events(rig)
    rig.advance_ms(1_990, 10.0)
    while not attempt_endings(events):
        rig.advance_ms(1.0, 1.0)
    # The request is ended and answered before the engine can have read a STOP.
    assert b"STOP" not in engine.received and client.read()
    rig.expect(engine, b"STOP")
    engine.sock.send(last_ping_tag(engine) + b" PONG -\r\n")
    rig.until(lambda: rig.broker.registry.account.cancel_outcomes == {"CANCELLED": 1})
    assert len(attempt_endings(events)) == 1


def test_cancellation_sends_no_ping_when_settings_forbid_cancellation(rig):
    rig = rig(2)
    rig.prefer_engine("s-0")
    client, rid, engine = rig.start_request()
    events = record_events(rig)
    client.sock.send(interrupt(rig.seqid))
    rig.expect(engine, b"STOP")
    assert attempt_endings(events) == [(AttemptOutcome.CANCELLED, True)]
    rig.advance_ms(300)
    assert (
        b"HELO" not in engine.read()
        and engine.received.count(b"REQ") == 1
        and not rig.broker.registry.account.cancel_outcomes
    )


@pytest.mark.parametrize("receipts", [False, True])
def test_cancellation_sends_no_ping_when_settings_forbid_health_checks(rig, receipts):
    """Engines may support cancellation and forbid health checks, as those of the second site do.

    Each STOP was nevertheless followed by a ping.
    """
    rig = rig(2, cancel=True, receipts=receipts, health_checks=False)
    rig.prefer_engine("s-0")
    client, rid, engine = rig.start_request()
    events = record_events(rig)
    attempt = rig.broker.registry.requests[rid].attempt
    # As when the decisions cancel an attempt because its query plan seems bad.
    rig.broker.upstream.attempts.give_up(attempt, AttemptOutcome.CANCELLED)
    rig.expect(engine, b"STOP")
    assert not attempt_endings(events)
    rig.advance_ms(CANCEL_TIMEOUT_MS + 100, 10.0)
    assert attempt_endings(events) == [(AttemptOutcome.CANCELLED, False)]
    assert (
        b"HELO" not in engine.read()
        and b"STAT" not in engine.received
        and engine.received.count(b"STOP") == 1
    )
    assert rig.broker.registry.account.cancel_outcomes["UNKNOWN"] == 1


# -- Events that arrive at the same time


def test_attempt_is_not_sent_when_client_cancels_in_the_same_read(rig):
    rig = rig(1)
    client = rig.client()
    rig.until(lambda: rig.broker.frontend.clients)
    call = execute(
        1, {"method": "lookup", "rid": "a" * 16, "budget": "2000"}, b"select * from park_1.sites"
    )
    client.sock.send(call + interrupt(1))
    rig.until(lambda: sum(rig.broker.registry.account.disconnected.values()) == 1)
    rig.advance_ms(400)
    other = rig.client()
    rig.send_request(other)
    engine = rig.accept("s-0")  # the only connection: none was opened for the cancelled call
    rig.expect(engine, b"REQ")
    assert b"a" * 16 not in engine.read() and len(rig.broker.registry.requests) == 1
    assert not client.read() and sum(rig.broker.registry.account.disconnected.values()) == 1


@pytest.mark.parametrize("cancel", [False, True])
def test_non_idempotent_request_is_not_retried_when_client_disconnects(rig, cancel):
    rig = rig(2, cancel=cancel)
    rig.prefer_engine("s-0")
    client, other = rig.client(), rig.client()
    first = rig.send_request(client, "load", obj="k", budget="20000")
    engine = rig.accept("s-0")
    rig.expect(engine, b"REQ " + first.encode())
    following = rig.send_request(other, "load", obj="k", budget="20000")
    client.sock.close()
    rig.expect(engine, b"STOP " + first.encode())
    if cancel:
        engine.sock.send(last_ping_tag(engine) + b" PONG -\r\n")
    rig.until(lambda: first not in rig.broker.registry.requests)
    rig.advance_ms(460, 10.0)
    # The first query may still run: the next attempt waits for 500 ms.
    assert rig.broker.registry.requests[following].attempt is None
    rig.advance_ms(160, 10.0)  # held queries are retried every 100 ms in light traffic
    rig.until(lambda: rig.broker.registry.requests[following].attempt)
    assert engine.read().count(first.encode()) == 2  # its REQ and its STOP


def test_request_is_cancelled_when_client_half_closes(rig):
    """Clients of this protocol never half-close a connection.

    An end of input therefore means that the client has disconnected.
    """
    rig = rig(1)
    client, rid, engine = rig.start_request()
    client.sock.shutdown(socket.SHUT_WR)
    rig.until(lambda: rid not in rig.broker.registry.requests)
    rig.expect(engine, b"STOP")


def test_request_ends_once_when_result_and_cancel_cross(rig):
    rig = rig(1, cancel=True)
    client, rid, engine = rig.start_request()
    events = record_events(rig)
    engine.sock.send(rid.encode() + HIT)
    client.sock.send(interrupt(rig.seqid))  # both are in the kernel's buffers when the broker polls
    rig.until(lambda: attempt_endings(events))
    rig.advance_ms(400)
    assert len(attempt_endings(events)) == 1 and not rig.broker.registry.requests


def test_result_is_released_once_when_client_resets_between_pages(rig):
    rig = rig(1, cancel=True)
    client, rid, engine = rig.start_request()
    events = record_events(rig)
    engine.sock.send(rid.encode() + b" HIT count=3 6\r\na\t1\t2\n\r\n")
    rig.expect(engine, b"FETCH")
    client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    client.sock.close()
    rig.peers.remove(client)
    rig.expect(engine, b"END " + rid.encode())
    engine.sock.send(rid.encode() + b" PART pos=1 6\r\nb\t1\t2\n\r\n")
    rig.advance_ms(400)
    assert attempt_endings(events) == [(AttemptOutcome.CANCELLED, True)]
    assert engine.read().count(b"END") == 1 and b"STOP" not in engine.received
    assert rig.broker.registry.account.disconnected == {"pages": 1}


@pytest.mark.parametrize(
    "budget, expected_error",
    [("0", "out of range"), ("-1", "a number"), ("315360000000", "out of range"), ("1", None)],
)
def test_request_gets_one_answer_when_its_budget_is_extreme(rig, budget, expected_error):
    rig = rig(1)
    client = rig.client()
    client.sock.send(
        execute(
            1,
            {"method": "lookup", "rid": "a" * 16, "budget": budget},
            b"select * from park_1.sites",
        )
    )
    answer = rig.read_answer(client)
    assert expected_error is None or expected_error.encode() in answer
    rig.advance_ms(100)
    assert rig.broker.registry.attempts_sent == 0 and not rig.broker.registry.requests


def test_work_is_cancelled_once_when_client_disconnects_after_hot_restart(rig, tmp_path):
    rig = rig(1, str(tmp_path / "s"), cancel=True)
    client = rig.client()
    rid = rig.send_request(client, "load", obj="k", budget="25000")
    engine = rig.accept("s-0")
    rig.expect(engine, b"REQ")
    new = rig.successor()
    rig.advance_ms(1000 * readiness.MAX_DISCOVERY_WAIT_S + 300)
    rig.until(lambda: rig.broker.frontend.paused)
    rig.broker.request_shutdown()
    rig.broker.loop.running = True
    rig.advance_ms(200)
    client.sock.close()
    rig.expect(engine, b"STOP " + rid.encode())
    rig.advance_ms(CANCEL_TIMEOUT_MS + 100)
    assert (
        engine.read().count(b"STOP") == 1
        and not rig.broker.registry.in_flight
        and not new.registry.in_flight
    )


# -- The account of time


def test_request_end_event_covers_all_attempts(rig):
    rig = rig(2)
    rig.prefer_engine("s-0")
    emitted = []
    rig.broker.registry.account.emit_event = emitted.append
    client, rid, engine = rig.start_request()
    rig.advance_ms(200)
    engine.sock.send(rid.encode() + b" SHED -\r\n")
    second = rig.accept("s-1")
    rig.expect(second, b"REQ")
    rig.advance_ms(500)
    client.sock.close()
    rig.until(lambda: emitted)
    (event,) = emitted
    assert (event["end"], event["place"], event["engine"], event["attempts"]) == (
        "left",
        "node",
        "s-1",
        2,
    )
    assert sum(event[f"{phase}_ms"] for phase in PHASES) == pytest.approx(event["took_ms"], abs=1.0)
    assert event["node_ms"] + event["way_ms"] == pytest.approx(700, abs=60)


# -- Receipts


def test_receipts_are_bounded_when_none_arrives(rig):
    rig = rig(1, receipts=True)
    client = rig.client()
    engine = None
    for _ in range(300):
        rid = rig.send_request(client)
        engine = engine or rig.accept("s-0")
        rig.expect(engine, b"REQ " + rid.encode())
        engine.sock.send(rid.encode() + HIT)
        rig.until(lambda rid=rid: rid not in rig.broker.registry.requests)
        client.read()
    (connection,) = rig.broker.upstream.pool.by_engine["s-0"]
    assert len(connection.receipts.pending) <= 256


@pytest.mark.parametrize("receipt", [False, True])
def test_connection_closes_at_deadline_when_receipt_is_overdue(rig, receipt):
    rig = rig(1, receipts=True)
    client = rig.client()
    rid = rig.send_request(client, budget="400")
    engine = rig.accept("s-0")
    rig.expect(engine, b"HELO r")
    assert engine.received.index(b"REQ " + rid.encode()) < engine.received.index(b"HELO r")
    if receipt:
        engine.sock.send(last_ping_tag(engine) + b" PONG -\r\n")
        rig.until(lambda: rig.broker.registry.requests[rid].attempt.receipt_ms)
    rig.advance_ms(500)
    rig.until(lambda: rid not in rig.broker.registry.requests)
    engine.read()
    assert engine.ended is not receipt and (b"STOP" in engine.received) is receipt
