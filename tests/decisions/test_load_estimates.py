"""Load estimates from load reports and answers."""

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
    """Return the sends to each engine for 40 queries, one at a time, with four warm engines and four
    that have just started, of which one has reported.
    """
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


def test_warming_up_engines_are_not_assumed_to_be_as_loaded_as_warm_ones():
    """With 40 brokers, 18 new engines had 0.2 threads per core, 12 old ones had 4, and three in ten
    requests were rejected. The few reports of the new engines decayed to the mean of the old ones,
    which was above the limit.
    """
    sends = sends_to_warm_and_warming(warm_in_flight=32, warming_in_flight=0)
    assert all(sends[f"c{number}"] > 3 for number in range(4))


def test_warming_up_engine_receives_fewer_requests_at_the_same_load():
    sends = sends_to_warm_and_warming(warm_in_flight=8, warming_in_flight=8)
    assert sum(sends[f"w{number}"] for number in range(4)) >= 35


def test_engine_is_tried_again_when_its_report_is_old():
    """With late reports, an engine without queries sent no new report and stayed unused."""
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
