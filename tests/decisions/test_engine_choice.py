"""The choice of an engine: control set, least load, work for each event."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.decisions.bench import Bench, make_settings, of_type
from umberusher.decisions.actions import StartAttempt
from umberusher.decisions.engine_choice import EngineChoice
from umberusher.decisions.events import (
    EndpointListUpdate,
)
from umberusher.decisions.settings import EngineKind


class CountingEngineChoice(EngineChoice):
    """Counts how often an engine is weighed."""

    evaluated_count = 0

    def fits(self, *args, **kwargs):
        CountingEngineChoice.evaluated_count += 1
        return super().fits(*args, **kwargs)


@pytest.mark.parametrize("all_ejected", [False, True])
def test_choice_does_not_weigh_the_whole_fleet(all_ejected):
    """Found at 244 brokers and 41 engines: each event weighed every engine, and days were cut
    off."""
    bench = Bench(engines=400)
    bench.balancer.choice.__class__ = CountingEngineChoice
    if all_ejected:
        for engine in bench.balancer.engines.values():
            engine.ejected_until = bench.now + 1e9
        bench.balancer.pool.changed = False
    CountingEngineChoice.evaluated_count = 0
    for _ in range(200):
        bench.now += 50
        bench.arrive(timeout_ms=1000)
    assert CountingEngineChoice.evaluated_count < 200 * 25


def test_choice_spreads_over_the_list_and_by_cores_when_nothing_is_known():
    """Found at 200 brokers: between engines held for equal the first of the list won, at all
    brokers the same one."""
    settings, sends_by_engine = make_settings(brokers=200), Counter()
    settings.engine_kinds = (EngineKind("k", 8), EngineKind("large", 16))
    for seed in range(400):
        bench = Bench(settings, 0, seed)
        bench.feed(
            EndpointListUpdate(
                tuple(bench.entry(f"e{n}", kind="large" if n % 3 == 0 else "k") for n in range(60)),
                complete=True,
            )
        )
        for _ in range(5):
            _, actions = bench.arrive()
            for send in of_type(actions, StartAttempt):
                sends_by_engine[int(send.engine[1:])] += 1
    total = sum(sends_by_engine.values())
    assert total == 2000
    assert 0.45 < sum(sends_by_engine[n] for n in range(30)) / total < 0.55
    assert (
        0.42 < sum(sends_by_engine[n] for n in range(0, 60, 3)) / total < 0.58
    )  # of all cores, half are the large ones'
