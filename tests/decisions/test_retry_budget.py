"""The retry budget of the decisions."""

from __future__ import annotations

from tests.decisions.bench import LOOKUP, Bench, make_settings, of_type
from umberusher.decisions.actions import StartAttempt
from umberusher.decisions.events import (
    AttemptOutcome,
    ClientDisconnected,
)
from umberusher.decisions.settings import Rules


def test_retry_budget_is_counted_in_every_window():
    rules = Rules(retry_budget_floor=1, retry_budget_ratio=0.5, retry_budget_window_ms=1000)
    bench = Bench(make_settings(LOOKUP, rules=rules), engines=6)
    for _ in range(6):
        _, actions = bench.arrive()
        for send in of_type(actions, StartAttempt):
            bench.finish(send, AttemptOutcome.ERROR)
    retries = sum(count - 1 for count in bench.sent.values())
    assert 0 < retries <= 1 + 0.5 * 6


def test_requests_that_clients_cancel_do_not_raise_the_budget():
    """With 200 brokers, one client sent 200 requests and cancelled each, and 20 retries were sent
    for 113 other requests. A request that no engine has served must not count, cancelled or not:
    its client may never be served.
    """
    rules = Rules(retry_budget_floor=1, retry_budget_ratio=0.1, retry_budget_window_ms=1000)
    bench = Bench(make_settings(rules=rules), engines=20)
    for _ in range(200):
        name, actions = bench.arrive(retry_budget_eligible=False)
        bench.feed(ClientDisconnected(name))
        for send in of_type(actions, StartAttempt):
            bench.finish(send, AttemptOutcome.WITHDRAWN, closed=True)
    for _ in range(20):
        _, actions = bench.arrive()
        for send in of_type(actions, StartAttempt):
            bench.finish(send, AttemptOutcome.ERROR)
    retries = sum(count - 1 for count in bench.sent.values())
    assert 0 < retries <= 1 + 0.1 * 20


def test_request_counts_as_of_its_arrival_when_it_is_served():
    rules = Rules(retry_budget_floor=1, retry_budget_ratio=0.1, retry_budget_window_ms=1000)
    bench = Bench(make_settings(rules=rules), engines=3)
    sends = [
        of_type(bench.arrive(retry_budget_eligible=False)[1], StartAttempt)[0] for _ in range(2)
    ]
    assert not bench.balancer.retry_budget.requests
    arrived, bench.now = bench.now, bench.now + 400
    bench.arrive()
    for send in sends:
        bench.finish(send)
    assert list(bench.balancer.retry_budget.requests) == [arrived, arrived, arrived + 400]
    bench.now += 700
    bench.arrive()
    assert list(bench.balancer.retry_budget.requests) == [arrived + 400, arrived + 1100]


def test_retry_counts_for_as_long_as_it_may_have_waited_for_its_connection():
    """Two retries decided just over a window apart reach their engines within one window if the
    connection of the first is made late. A window of 10 s has enough slack for that; one of 1 s
    does not.
    """
    bench = Bench(
        make_settings(
            rules=Rules(retry_budget_floor=1, retry_budget_ratio=0, retry_budget_window_ms=1000),
            connect_timeout_ms=250,
        )
    )
    (first,) = of_type(bench.arrive()[1], StartAttempt)
    assert of_type(bench.finish(first, AttemptOutcome.ERROR), StartAttempt)
    first_retry_connected_at = bench.now + 240  # when its connection is made
    bench.now += 1010
    (second,) = of_type(bench.arrive()[1], StartAttempt)
    sends = of_type(bench.finish(second, AttemptOutcome.ERROR), StartAttempt)
    while not sends:
        sends = of_type(bench.tick(), StartAttempt)
    assert sends[0].request == second.request and bench.now > first_retry_connected_at + 1000
