"""The learned selection probabilities."""

from __future__ import annotations

from tests.decisions.bench import Bench, of_type
from umberusher.decisions.actions import StartAttempt
from umberusher.decisions.events import (
    AttemptOutcome,
)


def test_selection_probability_falls_below_its_start_on_a_large_fleet():
    """With over 40 engines, the least probability was once above the initial one."""
    bench = Bench(engines=300)
    initial_probabilities = {
        engine.id: engine.selection_probability for engine in bench.balancer.engines.values()
    }
    for _ in range(50):
        _, actions = bench.arrive()
        for send in of_type(actions, StartAttempt):
            bench.finish(send, AttemptOutcome.ERROR, closed=True)
    assert (
        min(
            engine.selection_probability - initial_probabilities[engine.id]
            for engine in bench.balancer.engines.values()
        )
        < 0
    )
