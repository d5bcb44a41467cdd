"""Health checks for a costly request."""

from __future__ import annotations

from tests.decisions.bench import LOOKUP, Bench, make_settings, of_type
from umberusher.decisions.actions import Action, CheckHealth, StartAttempt
from umberusher.decisions.events import (
    AttemptOutcome,
    HealthCheckEnded,
    LoadReport,
)
from umberusher.decisions.settings import Idempotency, Limits, QueryClass

COSTLY = QueryClass(
    "costly",
    latency_objective_ms=3000,
    deadline_ms=15_000,
    priority_weight=10,
    idempotency=Idempotency.IDEMPOTENT,
    threads=2,
)


def make_bench(**kwargs) -> Bench:
    limits = Limits(max_attempts=4, health_checks=True)
    return Bench(make_settings(LOOKUP, COSTLY, brokers=200, limits=limits), engines=40, **kwargs)


def answer_check(bench: Bench, engine: str, in_flight: float) -> list[Action]:
    bench.now += 60  # the means over the pool are at most that old
    return bench.feed(
        HealthCheckEnded(engine, AttemptOutcome.SUCCEEDED, 2.0, LoadReport(in_flight=in_flight))
    )


def test_costly_request_is_sent_to_the_less_loaded_of_the_checked_engines():
    """With 200 brokers, an engine was checked once in 80 s, and overloaded engines received as many
    costly queries as idle ones.
    """
    bench = make_bench(seed=2)
    _, actions = bench.arrive("costly", timeout_ms=15_000)
    first = of_type(actions, CheckHealth)
    assert len(first) == 1 and not of_type(actions, StartAttempt)
    actions = answer_check(bench, first[0].engine, 60.0)
    second = of_type(actions, CheckHealth)
    assert (
        len(second) == 1
        and second[0].engine != first[0].engine
        and not of_type(actions, StartAttempt)
    )
    assert [
        send.engine for send in of_type(answer_check(bench, second[0].engine, 2.0), StartAttempt)
    ] == [second[0].engine]


def test_no_check_is_made_for_a_short_request_or_a_known_engine():
    bench = make_bench()
    _, actions = bench.arrive("short")
    assert of_type(actions, StartAttempt) and len(of_type(actions, CheckHealth)) == 0
    for number in range(40):
        answer_check(bench, f"e{number}", 3.0)
    _, actions = bench.arrive("costly", timeout_ms=15_000)
    assert of_type(actions, StartAttempt) and not of_type(actions, CheckHealth)


def test_costly_request_waits_a_bounded_time_when_engines_do_not_answer():
    bench = make_bench()
    name, actions = bench.arrive("costly", timeout_ms=15_000)
    checks = of_type(actions, CheckHealth)
    actions = bench.run(1000)
    checks += of_type(actions, CheckHealth)
    sends = of_type(actions, StartAttempt)
    assert (
        len(checks) == 2
        and len(sends) == 1
        and sends[0].engine not in {check.engine for check in checks}
    )


def test_no_check_is_made_when_checks_are_not_answered_in_time():
    """With late reports, each costly query waited half a second in vain."""
    bench = make_bench()
    for number in range(8):
        bench.feed(
            HealthCheckEnded(
                f"e{number}", AttemptOutcome.SUCCEEDED, 900.0, LoadReport(in_flight=3.0)
            )
        )
    bench.now += 10_000
    _, actions = bench.arrive("costly", timeout_ms=15_000)
    assert of_type(actions, StartAttempt)
    for number in range(8):
        answer_check(bench, f"e{number}", 3.0)
    bench.now += 10_000
    _, actions = bench.arrive("costly", timeout_ms=15_000)
    assert not of_type(actions, StartAttempt) and of_type(actions, CheckHealth)
