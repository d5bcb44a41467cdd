"""What the module learns from outcomes and notes."""

from __future__ import annotations

from tests.helpers import Bench, make_settings, only
from umberusher import interface as api


def grants(bench: Bench, spills: bool) -> list[float]:
    out = []
    for _ in range(60):
        name, actions = bench.arrive("m", wait=20_000, memory_mb=100, work_ms=3000)
        send, terms = only(actions, api.Send)[0], only(actions, api.SetTerms)[0]
        out.append(terms.memory_mb)
        bench.now += 3000
        if spills and terms.memory_mb < 200:
            bench.feed(api.AttemptNews(name, 0, send.engine, api.NewsKind.SPILL, 200 - terms.memory_mb))
        bench.finish(send, elapsed=3000.0)
    return out


def test_memory_grants_follow_spills_up_and_their_absence_down():
    """Found on busy days: estimates of memory lie by class; half of all queries spilled."""
    cls = api.QueryClass("m", 9000, 20_000, 1, api.Effect.SAFE)
    limits = api.Limits(max_attempts=2, set_memory=True, set_priority=True)
    settings = make_settings(cls, limits=limits, notes_every_ms=1000)
    up, down = grants(Bench(settings), True), grants(Bench(settings), False)
    assert up[0] == down[0] and 180 <= up[-1] <= 225
    assert down[-1] < 0.7 * down[0]


def test_waits_for_memory_push_grants_down():
    """Found on an overloaded day: grants raised against spills stood in the engines' lines."""
    cls = api.QueryClass("m", 9000, 20_000, 1, api.Effect.SAFE)
    limits = api.Limits(max_attempts=2, set_memory=True, set_priority=True)
    bench, out = Bench(make_settings(cls, limits=limits, notes_every_ms=1000)), []
    for _ in range(10):
        name, actions = bench.arrive("m", wait=20_000, memory_mb=100, work_ms=500)
        out.append(only(actions, api.SetTerms)[0].memory_mb)
        for _ in range(3):
            bench.feed(api.AttemptNews(name, 0, only(actions, api.Send)[0].engine, api.NewsKind.WAIT, 1))
        bench.finish(only(actions, api.Send)[0], elapsed=500.0)
    assert 0.4 * out[0] < out[-1] < 0.8 * out[0]


ENGINES = [f"e{number}" for number in range(4)]


def limit_after_a_slow_second(gap_ms: float, held: float = 90.0) -> float:
    """The learned limit after 1 s in which every answer was too slow, and engines told of so many queries."""
    bench = Bench(engines=len(ENGINES))
    for slow in (False, True):
        until = bench.now + (1000.0 if slow else 100 * gap_ms)
        while bench.now < until:
            bench.now += gap_ms
            bench.finish(only(bench.arrive()[1], api.Send)[0], elapsed=900.0 if slow else 50.0)
            for engine in ENGINES if slow else ():
                bench.feed(api.ProbeEnded(engine, api.Ending.SERVED, 1.0, api.LoadReport(held=held)))
    return bench.gateway.full


def test_the_limit_of_threads_moves_by_time_however_few_queries_a_gateway_has():
    """Found with 200 gateways of 5 queries a second: after a release the limit hardly fell, and all stood crowded."""
    often, seldom = limit_after_a_slow_second(20.0), limit_after_a_slow_second(100.0)
    assert often < 0.6 * 2.4 and abs(often - seldom) < 0.1 * 2.4
    assert limit_after_a_slow_second(100.0, held=1.0) > 0.85 * 2.4  # slow, but not crowded
