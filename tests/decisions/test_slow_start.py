"""Slow start: the limit on what all brokers together send to warming-up engines."""

from __future__ import annotations

import pytest

from tests.decisions.bench import WARM_UP_RULES, Bench, make_settings, of_type
from tests.decisions.fleet_player import RULES, Fleet, simulate_fleet, worst_budget_excess
from umberusher.decisions.actions import StartAttempt
from umberusher.decisions.events import (
    AttemptOutcome,
    EndpointListUpdate,
)
from umberusher.decisions.settings import Rules

OTHER_SITE_RULES = RULES | {
    "warm_up_floor": 0.34,
    "overload_multiple": 2.5,
    "overload_window_ms": 3000.0,
    "warm_up_ms": 14_000.0,
}


@pytest.mark.parametrize(
    ("fleet", "seed"),
    [
        (Fleet(2, 8, 1, load=1.2), 1),
        (Fleet(20, 8, 1, load=1.2), 1),
        (Fleet(30, 20, 2, load=1.0, outage_at_ms=3000), 1),
        (Fleet(30, 20, 2, load=1.0, outage_at_ms=3000), 2),
        (Fleet(20, 8, 4, load=1.2, outage_at_ms=3000, rules=OTHER_SITE_RULES), 1),
        (Fleet(200, 40, 4, load=1.0, outage_at_ms=4500, seconds=6), 1),
        (Fleet(60, 400, 8, load=0.15, outage_at_ms=2000, seconds=4, subset_only=True), 1),
    ],
    ids=[
        "2",
        "20",
        "30 with an outage of the warm engines",
        "30 with an outage of the warm engines, other seed",
        "20 with the rules of the other site",
        "200 with an outage of the warm engines",
        "60 notified of their subset only, with an outage of the warm engines",
    ],
)
def test_no_window_of_a_warming_up_engine_exceeds_its_budget_beyond_chance(fleet, seed):
    """The bound is N + 2 x root of N + 2 calls, where N is the budget in calls of mean work.

    It was broken because credit was counted in work, so that any number of cheap queries was sent;
    because brokers with little traffic saved credit for five windows; and because brokers without
    the engine in their subset had credit too. When all other engines failed at once, eight of eight
    seeds broke the bound, by 1.3 N in the median.
    """
    call_times = simulate_fleet(fleet, seed)
    assert worst_budget_excess(fleet, call_times) <= 0
    calls = sum(map(len, call_times.values())) / len(call_times) / fleet.seconds
    assert calls > 0.25 * fleet.budget(0) / (
        fleet.rules["overload_multiple"] * fleet.rules["overload_window_ms"] / 1000
    )  # the budget is used


@pytest.mark.parametrize("brokers", [1, 4, 150])
def test_all_brokers_together_use_a_warming_up_engine_within_its_budget(brokers):
    """With many brokers, an equal share was less than one query, so cold engines received nothing."""
    benches = [
        Bench(make_settings(rules=Rules(**WARM_UP_RULES), brokers=brokers), 0, seed=number)
        for number in range(brokers)
    ]
    start, sends = benches[0].now, []
    for bench in benches:
        bench.list_engines("e0", started_ms=start)
    for _ in range(100):
        for bench in benches:
            bench.now += 20
            for _ in range(20 if brokers < 5 else 1):
                _, actions = bench.arrive()
                for send in of_type(actions, StartAttempt):
                    sends.append((bench.now, bench.balancer.estimates.by_class["short"].work_ms))
                    bench.finish(send, AttemptOutcome.OVERLOADED, closed=True)
    for first in range(0, 1000, 20):
        window = sum(work for at, work in sends if start + first <= at <= start + first + 1000)
        warm_up_progress = 0.4 + 0.6 * first / 10_000
        assert window <= 2 * 0.85 * 8 * warm_up_progress * 1000
    assert sum(work for _, work in sends) > 0.1 * 2 * 0.85 * 8 * 0.4 * 2000


def test_brokers_with_little_traffic_use_a_warming_up_engine_too():
    """With 200 brokers, each selected a cold engine once in 8 s, and then drew at random with credit
    for half a window of its share.
    """
    brokers, seconds = 150, 8
    benches = [
        Bench(make_settings(rules=Rules(**WARM_UP_RULES), brokers=brokers), 0, seed=number)
        for number in range(brokers)
    ]
    start, sends = benches[0].now, []
    for bench in benches:
        bench.feed(
            EndpointListUpdate(
                (
                    bench.entry("cold", started_ms=start),
                    *(bench.entry(f"e{n}", started_ms=start - 1e6) for n in range(39)),
                ),
                complete=True,
            )
        )
        for estimate in bench.balancer.estimates.by_class.values():
            estimate.work_ms = 200.0
    for step in range(seconds * 5):
        for number, bench in enumerate(benches):
            bench.now = start + 200 * step + number
            _, actions = bench.arrive()
            for send in of_type(actions, StartAttempt):
                if send.engine == "cold":
                    sends.append((bench.now, bench.balancer.estimates.by_class["short"].work_ms))
                bench.finish(send, elapsed_ms=200.0)
    budgets = []
    for first in range(0, 1000 * (seconds - 1), 100):
        window = sum(work for at, work in sends if start + first <= at <= start + first + 1000)
        budgets.append(2 * 0.85 * 8 * (0.4 + 0.6 * first / 10_000) * 1000)
        assert window <= budgets[-1]
    assert sum(work for _, work in sends) > 0.08 * sum(budgets) / len(budgets) * seconds


def test_warm_engine_is_not_limited():
    bench = Bench(make_settings(rules=Rules(**WARM_UP_RULES)), engines=0)
    bench.list_engines("e0", started_ms=bench.now)
    bench.now += 20_000
    for _ in range(8):
        bench.arrive()
    assert len(of_type(bench.log, StartAttempt)) == 8
