"""The learned concurrency limit and the reserved share."""

from __future__ import annotations

import pytest

from tests.decisions.bench import Bench, make_settings, of_type
from umberusher.decisions.actions import StartAttempt
from umberusher.decisions.events import (
    AttemptOutcome,
    HealthCheckEnded,
    LoadReport,
)
from umberusher.decisions.settings import Idempotency, QueryClass

ENGINES = [f"e{number}" for number in range(4)]


def limit_after_a_slow_second(gap_ms: float, reported_in_flight: float = 90.0) -> float:
    """Return the learned limit after 1 s in which every answer was too slow, while engines
    reported this number of queries in flight.
    """
    bench = Bench(engines=len(ENGINES))
    for slow in (False, True):
        until = bench.now + (1000.0 if slow else 100 * gap_ms)
        while bench.now < until:
            bench.now += gap_ms
            bench.finish(
                of_type(bench.arrive()[1], StartAttempt)[0], elapsed_ms=900.0 if slow else 50.0
            )
            for engine in ENGINES if slow else ():
                bench.feed(
                    HealthCheckEnded(
                        engine,
                        AttemptOutcome.SUCCEEDED,
                        1.0,
                        LoadReport(in_flight=reported_in_flight),
                    )
                )
    return bench.balancer.concurrency_limit.threads_per_core


def test_limit_falls_as_fast_with_few_requests_as_with_many():
    """With 200 brokers of 5 queries per second, the limit hardly fell after a release, and all
    engines stayed overloaded.
    """
    frequent, infrequent = limit_after_a_slow_second(20.0), limit_after_a_slow_second(100.0)
    assert frequent < 0.6 * 2.4 and abs(frequent - infrequent) < 0.1 * 2.4
    assert (
        limit_after_a_slow_second(100.0, reported_in_flight=1.0) > 0.85 * 2.4
    )  # slow, but not overloaded


@pytest.mark.parametrize("brokers", [1, 200])
def test_only_the_reserved_share_is_used_when_reports_show_full_engines(brokers):
    """With 243 brokers, each could always send one query to every engine, and all were full."""
    bench = Bench(make_settings(brokers=brokers), engines=20)
    for _ in range(400):
        _, actions = bench.arrive()
        for send in of_type(actions, StartAttempt):
            bench.finish(send, report=LoadReport(in_flight=90.0))
    bench.log.clear()
    for _ in range(100):
        bench.arrive()
    sends = len(of_type(bench.log, StartAttempt))
    assert sends <= 1 if brokers == 200 else sends > 30


@pytest.mark.parametrize("ordered", [False, True])
def test_late_request_has_the_limit_of_a_short_one_when_it_is_ordered(ordered):
    """With a busy key, one late load blocked its key queue for 20 s, and all requests behind it
    were late too.
    """
    query_class = QueryClass(
        "load",
        1000,
        25_000,
        7,
        Idempotency.NON_IDEMPOTENT,
        ordered_by_key=ordered,
        late_weight=0.5,
    )
    bench = Bench(make_settings(query_class, brokers=8), engines=1)
    bench.feed(HealthCheckEnded("e0", AttemptOutcome.SUCCEEDED, 1.0, LoadReport(in_flight=8.0)))
    bench.balancer.concurrency_limit.threads_per_core = 0.5
    bench.balancer.in_flight.last_end_at = bench.now
    bench.arrive("load", 25_000, key="busy")
    late = bench.balancer.requests["r1"]
    assert late.queued
    # Between the limit and that of short requests.
    bench.balancer.concurrency_limit.threads_per_core = 0.7
    late.past_objective = True
    assert [send.request for send in of_type(bench.tick(), StartAttempt)] == ["r1"] * ordered


def test_limit_stays_high_when_one_answer_in_four_is_slow():
    """With heavy queries, the learned limit fell to its minimum, and loads were queued until their
    deadline.
    """
    load = QueryClass("load", 9e5, 1e6, 7, Idempotency.NON_IDEMPOTENT, ordered_by_key=True)
    bench = Bench(
        make_settings(QueryClass("short", 1000, 6000, 1, Idempotency.IDEMPOTENT), load), engines=3
    )
    for _ in range(2):  # the second is queued: it waits for the first of its key
        bench.arrive("load", 1e6, key="k")
    for number in range(400):
        _, actions = bench.arrive()
        for send in of_type(actions, StartAttempt):
            bench.finish(send, elapsed_ms=50.0 if number % 4 else 900.0)
    assert bench.balancer.queue.requests and bench.balancer.concurrency_limit.threads_per_core > 2.0
