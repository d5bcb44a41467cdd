"""The event loop's timers."""

from __future__ import annotations

from umberusher.net.loop import Loop


def test_loop_clears_cancelled_timers_before_they_are_due():
    loop = Loop(lambda: 0.0)
    fired = []
    timers = [loop.call_later(5000, lambda n=n: fired.append(n)) for n in range(10)]
    for _ in range(5000):
        loop.call_later(25_000, timers.clear).cancel()
    assert len(loop._timers) < 200
    loop.clock = lambda: 6.0
    loop.step(0)
    assert fired == list(range(10))
    loop.close()
