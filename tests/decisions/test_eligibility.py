"""The rules on sending an attempt, with one test for each clause."""

from __future__ import annotations

import pytest

from tests.decisions.bench import UNSAFE, Bench, keyed, make_settings, of_type
from umberusher.decisions.actions import FailRequest, RejectRequest, StartAttempt
from umberusher.decisions.events import (
    AttemptOutcome,
    EndpointState,
)
from umberusher.decisions.settings import DeduplicationScope, Idempotency, Limits, QueryClass


@pytest.mark.parametrize(
    "outcome",
    [
        AttemptOutcome.ERROR,
        AttemptOutcome.RESET,
        AttemptOutcome.TIMED_OUT,
        AttemptOutcome.CANCELLED,
    ],
)
def test_non_idempotent_request_is_failed_and_not_retried_after_unresolved_attempt(outcome):
    bench = Bench(make_settings(UNSAFE))
    _, actions = bench.arrive("load")
    actions = bench.finish(of_type(actions, StartAttempt)[0], outcome)
    bench.run(7000)
    assert len(of_type(bench.log, StartAttempt)) == 1
    assert len(of_type(bench.log, FailRequest)) == 1 and not of_type(bench.log, RejectRequest)


@pytest.mark.parametrize("outcome", [AttemptOutcome.OVERLOADED, AttemptOutcome.NO_CONNECTION])
def test_non_idempotent_request_is_retried_when_it_never_ran(outcome):
    bench = Bench(make_settings(UNSAFE))
    _, actions = bench.arrive("load")
    bench.finish(of_type(actions, StartAttempt)[0], outcome)
    bench.run(200)
    assert len(of_type(bench.log, StartAttempt)) == 2


def test_non_idempotent_request_is_failed_when_in_flight_at_its_deadline():
    bench = Bench(make_settings(UNSAFE))
    bench.arrive("load")
    bench.run(6500)
    assert of_type(bench.log, FailRequest) and not of_type(bench.log, RejectRequest)


@pytest.mark.parametrize(
    ("scope", "zone", "cell", "allowed"),
    [
        (DeduplicationScope.ALL, "other", 9, True),
        (DeduplicationScope.ZONE, "z", 9, True),
        (DeduplicationScope.ZONE, "other", 0, False),
        (DeduplicationScope.CELL, "other", 0, True),
        (DeduplicationScope.CELL, "z", 9, False),
    ],
)
def test_keyed_request_stays_in_its_scope_after_unresolved_attempt(scope, zone, cell, allowed):
    bench = Bench(make_settings(keyed(scope)), engines=1)
    _, actions = bench.arrive("keyed", timeout_ms=9000)
    bench.change("e0", EndpointState.DRAINING)
    bench.change("e9", zone=zone, cell=cell)
    bench.finish(of_type(actions, StartAttempt)[0], AttemptOutcome.RESET)
    bench.run(1000)
    assert (len(of_type(bench.log, StartAttempt)) == 2) is allowed


def test_keyed_request_stays_where_its_attempt_was_sent_when_the_engine_is_listed_elsewhere():
    """An engine that came again in another zone took the attempts of the old one with it."""
    bench = Bench(make_settings(keyed(DeduplicationScope.ZONE)), engines=1)
    _, actions = bench.arrive("keyed", timeout_ms=9000)
    bench.change("e0", zone="other")
    bench.change("e9", zone="other")
    bench.finish(of_type(actions, StartAttempt)[0], AttemptOutcome.RESET)
    bench.run(1000)
    assert len(of_type(bench.log, StartAttempt)) == 1


def test_keyed_request_is_not_retried_after_its_deduplication_window():
    bench = Bench(make_settings(keyed(DeduplicationScope.ALL)))
    _, actions = bench.arrive("keyed", timeout_ms=9000)
    bench.now += 1995
    bench.finish(of_type(actions, StartAttempt)[0], AttemptOutcome.RESET)
    bench.run(8000)
    assert len(of_type(bench.log, StartAttempt)) == 1


@pytest.mark.parametrize("state", [EndpointState.DRAINING, EndpointState.REMOVED])
def test_nothing_is_sent_once_engine_is_draining_or_removed(state):
    bench = Bench(engines=1)
    bench.change("e0", state)
    bench.arrive()
    bench.run(2000)
    assert not of_type(bench.log, StartAttempt)


def test_engine_is_removed_when_missing_from_complete_list():
    bench = Bench(engines=2)
    bench.list_engines("e1")
    for _ in range(30):
        bench.arrive()
    assert {send.engine for send in of_type(bench.log, StartAttempt)} == {"e1"}


@pytest.mark.parametrize("placement", [dict(zones=("here",)), dict(kinds=("big",))])
def test_request_waits_while_no_engine_fits_its_placement(placement):
    placed = QueryClass("p", 4000, 9000, 5, Idempotency.IDEMPOTENT, **placement)
    bench = Bench(make_settings(placed))
    bench.arrive("p")
    assert not of_type(bench.run(1000), StartAttempt)
    bench.change("e7", zone="here", kind="big")
    assert {send.engine for send in of_type(bench.log, StartAttempt)} == {"e7"}


def test_no_hedged_request_is_sent_where_hedging_is_not_allowed():
    bench = Bench()
    name, actions = bench.arrive()
    request = bench.balancer.requests[name]
    assert all(
        not bench.balancer.eligibility.may_send(request, engine, bench.now)
        for engine in bench.balancer.engines.values()
    )


def test_attempts_end_at_the_maximum():
    bench = Bench(make_settings(limits=Limits(max_attempts=2)))
    bench.arrive()
    for _ in range(5):
        for send in of_type(bench.log, StartAttempt)[-1:]:
            if (send.request, bench.sent[send.request] - 1) in bench.balancer.in_flight.attempts:
                bench.finish(send, AttemptOutcome.ERROR)
        bench.run(100)
    assert (
        len(of_type(bench.log, StartAttempt)) == 2 and len(of_type(bench.log, RejectRequest)) == 1
    )
