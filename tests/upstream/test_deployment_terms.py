"""Priorities, load reports and idempotency keys on the wire, by the settings of each deployment."""

from __future__ import annotations

import pytest

from tests.thrift_messages import execute
from umberusher.decisions.actions import SetPriority
from umberusher.decisions.events import AttemptEnded, AttemptOutcome, LoadReport
from umberusher.protocol import engine as codec


def rig_with_priorities(rig, supported: bool):
    """Return a rig whose engines support priorities or not, a sent request, and its engine."""
    rig = rig()
    rig.broker.config.settings.limits.set_priority = supported
    _, rid, engine = rig.start_request()
    rig.expect(engine, b"park_1.sites\r\n")
    return rig, rid, engine


def test_priority_is_sent_with_the_request_and_changed_once_while_it_runs(rig):
    rig, rid, engine = rig_with_priorities(rig, True)
    rig.expect(engine, b",order=3 26\r\n")
    for _ in range(3):
        rig.broker.action_handlers[SetPriority](SetPriority(rid, 0.0, 0))
    rig.expect(engine, f"NICE {rid} 0\r\n".encode())
    rig.advance_ms(100)
    assert engine.read().count(b"NICE") == 1
    # For a request that is not open it has no effect.
    rig.broker.action_handlers[SetPriority](SetPriority("f" * 16, 0.0, 2))


def test_no_priority_is_sent_when_engines_support_none(rig):
    rig, _, engine = rig_with_priorities(rig, False)
    assert b"order" not in engine.read() and b"NICE" not in engine.read()


@pytest.mark.parametrize(
    "fields,work",
    [
        (b",ticks=640.5,footprint=96", (640.5, 96.0)),
        (b"", (None, None)),
        (b",ticks=nan,footprint=-3", (None, None)),
        (b",ticks=inf,footprint=x", (None, None)),
        (b",ticks=0,footprint=", (None, None)),
    ],
)
def test_load_and_cost_reach_the_decisions_when_the_answer_has_pages(rig, fields, work):
    """Of a result of several pages, only the fields of the last page were read once."""
    rig, rid, engine = rig_with_priorities(rig, True)
    events, post = [], rig.broker.registry.post
    rig.broker.registry.post = lambda event: (events.append(event), post(event))
    engine.sock.send(
        f"{rid} HIT count=2,rep=inflight:7;x0:nan".encode() + fields + b" 6\r\na\t1\t2\n\r\n"
    )
    rig.expect(engine, f"FETCH {rid} 1\r\n".encode())
    engine.sock.send(f"{rid} PART pos=1 6\r\nb\t1\t2\n\r\n".encode())
    rig.until(lambda: any(isinstance(event, AttemptEnded) for event in events))
    ended = next(event for event in events if isinstance(event, AttemptEnded))
    assert ended.outcome is AttemptOutcome.SUCCEEDED and ended.report == LoadReport(in_flight=7.0)
    assert (ended.work_ms, ended.memory_mb) == work


@pytest.mark.parametrize("text", ["inflight:nan", "queue:-1;x0:inf", "inflight:", "x", ""])
def test_report_is_none_when_it_is_malformed(text):
    assert codec.report({"rep": text}) is None


def test_request_keeps_its_tenant(rig):
    rig = rig()
    rid = rig.send_request(rig.client(), acct="kosar")
    assert rig.broker.registry.requests[rid].arrival.tenant == "kosar"


@pytest.mark.parametrize("token", ["053317d3066a7d60", "a;b:c/+<>"])
def test_idempotency_key_is_passed_on(rig, token):
    """Engines once received requests without the key that their class needs.

    This invalidated the results of a whole trial day.
    """
    rig = rig()
    rid = rig.send_request(rig.client(), token=token)
    rig.expect(rig.accept("s-0"), f"REQ {rid} lane=lookup,ttl=1949,dedupe={token} 26\r\n".encode())


@pytest.mark.parametrize("token", ["a,b=c", "a b", "a\r\nb", "é", "x" * 257])
def test_call_fails_when_a_request_line_cannot_hold_its_idempotency_key(rig, token):
    rig = rig()
    client = rig.client()
    fields = {"method": "lookup", "rid": "1" * 16, "budget": "900", "token": token}
    client.sock.send(execute(1, fields, b"select 1"))
    assert b"field token" in rig.read_answer(client) and not rig.broker.registry.requests
