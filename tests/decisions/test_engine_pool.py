"""The subset of engines that a broker's traffic keeps in use."""

from __future__ import annotations

from collections import Counter

from tests.decisions.bench import Bench, make_settings, of_type
from umberusher.decisions.actions import StartAttempt
from umberusher.decisions.events import EndpointState


def count_sends(
    brokers: int, engines: int, gap_ms: float, queries: int
) -> tuple[Counter[str], list[int]]:
    """Return the sends to each engine by all brokers together, and the number of engines that each
    broker uses.
    """
    sends_by_engine, subset_sizes = Counter(), []
    for seed in range(brokers):
        bench, sends_of_broker = (
            Bench(make_settings(brokers=brokers, keepalive_ms=15_000), engines, seed),
            Counter(),
        )
        for _ in range(queries):
            bench.now += gap_ms
            for send in of_type(bench.arrive()[1], StartAttempt):
                sends_of_broker[send.engine] += 1
                bench.finish(send, elapsed_ms=100.0)
        subset_sizes.append(sum(count > 2 for count in sends_of_broker.values()))
        sends_by_engine += sends_of_broker
    return sends_by_engine, subset_sizes


def test_subset_has_as_many_engines_as_traffic_keeps_in_use():
    """With 200 brokers and 80 engines, there were 0.6 new connections per request, because each was
    idle for longer than the keepalive time.
    """
    sends_by_engine, subset_sizes = count_sends(brokers=60, engines=60, gap_ms=200.0, queries=150)
    assert (
        6 <= sorted(subset_sizes)[30] <= 20
    )  # 15 s at one query per 200 ms are 75 queries: eight each for nine engines
    mean = sum(sends_by_engine.values()) / 60
    assert (
        len(sends_by_engine) == 60 and max(sends_by_engine.values()) < 2.5 * mean
    )  # together they use all engines equally


def test_subset_has_every_engine_when_there_is_much_traffic():
    sends_by_engine, subset_sizes = count_sends(brokers=2, engines=10, gap_ms=14.0, queries=600)
    assert subset_sizes == [10, 10]


def test_all_of_1024_engines_are_used_by_one_of_1024_brokers():
    bench = Bench(make_settings(brokers=1024), engines=1024)
    sends_of_broker = Counter()
    for _ in range(12_000):
        bench.now += 1
        for send in of_type(bench.arrive()[1], StartAttempt):
            sends_of_broker[send.engine] += 1
            bench.finish(send)
    assert len(sends_of_broker) == 1024 and max(sends_of_broker.values()) < 5 * 12


def test_engine_that_is_listed_again_starts_without_what_was_learned_of_the_one_that_has_gone():
    """While an attempt was in flight, the removed engine stayed known with all its figures."""
    bench = Bench(engines=1)
    bench.arrive()
    engine = bench.balancer.engines["e0"]
    engine.consecutive_ejections = 3
    engine.latency_factor = 5.0
    engine.ejected_until = bench.now + 60_000
    bench.change("e0", EndpointState.REMOVED)
    bench.change("e0")
    again = bench.balancer.engines["e0"]
    assert (again.consecutive_ejections, again.latency_factor) == (0, 0.0)
    assert again.ejected_until < bench.now and again.attempts_in_flight == 1
