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
