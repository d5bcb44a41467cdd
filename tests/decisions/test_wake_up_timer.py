"""When the load balancer requests a timer."""

from __future__ import annotations

from tests.decisions.bench import Bench, of_type
from umberusher.decisions.actions import (
    RejectRequest,
    SetTimer,
    StartAttempt,
)
from umberusher.decisions.events import (
    TimerFired,
)


def test_timer_is_set_again_when_it_fires_early():
    """The clock of a broker is rounded, so a timer may fire early; under overload, a queued query
    was then never reviewed again.
    """
    bench = Bench(engines=0)
    _, actions = bench.arrive(timeout_ms=3000)
    while not of_type(bench.log, RejectRequest):
        timers = of_type(actions, SetTimer)
        assert timers and bench.now < 4000
        bench.now += timers[0].delay_ms - 1e-4
        actions = bench.feed(TimerFired("tick"))


def test_no_timer_is_set_when_idle():
    bench = Bench(engines=40)
    assert not of_type(bench.log, SetTimer)
    _, actions = bench.arrive()
    bench.finish(of_type(actions, StartAttempt)[0])
    timers = len(of_type(bench.log, SetTimer))
    bench.now += 60_000
    bench.feed(TimerFired("tick"))
    assert timers <= 2 and len(of_type(bench.log, SetTimer)) == timers
