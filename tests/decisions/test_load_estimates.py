"""What load reports and answers say of an engine's load."""

from __future__ import annotations

from collections import Counter

from tests.decisions.bench import WARM_UP_RULES, Bench, make_settings, of_type
from umberusher.decisions.actions import (
    StartAttempt,
)
from umberusher.decisions.events import (
    AttemptOutcome,
    HealthCheckEnded,
    LoadReport,
)
from umberusher.decisions.settings import Rules


def sends_to_warm_and_warming(warm_in_flight: float, warming_in_flight: float) -> Counter[str]:
    """Where 40 queries go, one at a time, with four warm engines and four that have just started,
    one of it known."""
    bench = Bench(
        make_settings(rules=Rules(**WARM_UP_RULES | {"overload_multiple": 9999}), brokers=400), 0
    )
    warm, warming_up = [[f"{name}{number}" for number in range(4)] for name in ("w", "c")]
    bench.list_engines(*warm)
    for engine in warming_up:
        bench.change(engine, started_ms=bench.now)
    bench.now += 100
    for engine, in_flight in [(name, warm_in_flight) for name in warm] + [
        (warming_up[0], warming_in_flight)
    ]:
        bench.feed(
            HealthCheckEnded(engine, AttemptOutcome.SUCCEEDED, 1.0, LoadReport(in_flight=in_flight))
        )
    sends: Counter[str] = Counter()
    for _ in range(40):
        for send in of_type(bench.arrive()[1], StartAttempt):
            sends[send.engine] += 1
            bench.finish(send)
    return sends


def test_warming_up_engines_are_not_taken_for_as_loaded_as_the_warm_ones():
    """Found at 40 brokers: 18 new engines held 0.2 threads a core, 12 old ones 4, and three in ten
    were refused. What little was known of the new ones gave way to the mean of the old, which lay
    over the limit."""
    sends = sends_to_warm_and_warming(warm_in_flight=32, warming_in_flight=0)
    assert all(sends[f"c{number}"] > 3 for number in range(4))


def test_warming_up_engine_does_less_with_the_same_threads():
    sends = sends_to_warm_and_warming(warm_in_flight=8, warming_in_flight=8)
    assert sum(sends[f"w{number}"] for number in range(4)) >= 35


def test_engine_is_tried_again_when_its_report_is_old():
    """Found on a day of late reports: without queries an engine brings no report, and stood
    unused."""
    bench = Bench(make_settings(brokers=2), engines=2)
    for _ in range(40):
        _, actions = bench.arrive()
        for send in of_type(actions, StartAttempt):
            full = 90.0 if send.engine == "e0" else 0.0
            bench.finish(send, report=LoadReport(in_flight=full))
    bench.log.clear()
    bench.now += 8000
    for _ in range(12):
        bench.now += 50
        bench.arrive()
    assert "e0" in {send.engine for send in of_type(bench.log, StartAttempt)}
