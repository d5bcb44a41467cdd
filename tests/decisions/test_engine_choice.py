"""The choice of an engine: control set, least load, and the cost of each event."""

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
    """Counts how often an engine is evaluated."""

    evaluated_count = 0

    def fits(self, *args, **kwargs):
        CountingEngineChoice.evaluated_count += 1
        return super().fits(*args, **kwargs)


@pytest.mark.parametrize("all_ejected", [False, True])
def test_choice_does_not_evaluate_every_engine(all_ejected):
    """With 244 brokers and 41 engines, each event evaluated every engine, and simulated days did
    not finish.
    """
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


def test_choice_spreads_over_the_list_and_by_cores_without_load_reports():
    """With 200 brokers, ties between engines were won by the first of the list, which was the same
    engine at all brokers.
    """
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
    )  # half of all cores belong to the large engines
