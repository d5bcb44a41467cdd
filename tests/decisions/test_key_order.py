"""Order keys: one request at a time, in order of arrival, with a cool-down."""

from __future__ import annotations

import pytest

from tests.decisions.bench import ORDERED, Bench, make_settings, of_type
from umberusher.decisions.actions import (
    RejectRequest,
    StartAttempt,
)
from umberusher.decisions.events import (
    AttemptOutcome,
)
from umberusher.decisions.settings import Idempotency, Limits, QueryClass, Rules


def test_key_runs_one_request_at_a_time_in_order():
    bench = Bench(make_settings(ORDERED))
    first, actions = bench.arrive("o", key="k", timeout_ms=9000)
    second, later = bench.arrive("o", key="k", timeout_ms=9000)
    other, others = bench.arrive("o", key="j", timeout_ms=9000)
    assert (
        of_type(actions, StartAttempt)
        and of_type(others, StartAttempt)
        and not of_type(later, StartAttempt)
    )
    assert [
        send.request
        for send in of_type(bench.finish(of_type(actions, StartAttempt)[0]), StartAttempt)
    ] == [second]


@pytest.mark.parametrize(
    "outcome", [AttemptOutcome.TIMED_OUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED]
)
def test_key_cools_down_after_unresolved_attempt(outcome):
    rules = Rules(key_cool_down_ms=1000)
    bench = Bench(make_settings(ORDERED, rules=rules, limits=Limits(max_attempts=1)))
    _, actions = bench.arrive("o", key="k", timeout_ms=9000)
    second, _ = bench.arrive("o", key="k", timeout_ms=9000)
    bench.finish(of_type(actions, StartAttempt)[0], outcome)
    assert not of_type(bench.run(980), StartAttempt)
    assert [send.request for send in of_type(bench.run(200), StartAttempt)] == [second]


def test_cool_down_does_not_delay_the_same_request():
    bench = Bench(make_settings(ORDERED, rules=Rules(key_cool_down_ms=5000)))
    first, actions = bench.arrive("o", key="k", timeout_ms=9000)
    bench.finish(of_type(actions, StartAttempt)[0], AttemptOutcome.RESET)
    bench.run(100)
    assert bench.sent[first] == 2


def test_key_waits_for_an_attempt_whose_request_was_answered():
    bench = Bench(make_settings(ORDERED))
    first, actions = bench.arrive("o", key="k", timeout_ms=2000)
    second, _ = bench.arrive("o", key="k", timeout_ms=9000)
    bench.run(2500)
    assert of_type(bench.log, RejectRequest) and second not in bench.sent
    bench.finish(of_type(actions, StartAttempt)[0], closed=True)
    bench.run(100)
    assert bench.sent[second] == 1


def test_requests_that_wait_for_their_key_do_not_delay_other_keys():
    """With a busy key, half of all loads were rejected although the engines had free capacity."""
    query_class = QueryClass(
        "load", 3000, 25_000, 7, Idempotency.NON_IDEMPOTENT, ordered_by_key=True, late_weight=0.5
    )
    bench = Bench(make_settings(query_class), engines=3)
    for _ in range(8):
        bench.arrive("load", 25_000, key="busy")
    name, actions = bench.arrive("load", 25_000, key="other")
    assert [send.request for send in of_type(actions, StartAttempt)] == [name]
    assert len(of_type(bench.log, StartAttempt)) == 2
