"""Engines that fail: ejection, backoff, recovery, the panic threshold and combined failures."""

from __future__ import annotations

from tests.decisions.bench import LOOKUP, WARM_UP_RULES, Bench, make_settings, of_type
from umberusher.decisions.actions import FailRequest, RejectRequest, StartAttempt
from umberusher.decisions.events import (
    AttemptOutcome,
    ClientDisconnected,
    EndpointListFailed,
    HealthCheckEnded,
    LoadReport,
)
from umberusher.decisions.settings import Idempotency, Limits, QueryClass, Rules


def send_requests(
    bench: Bench, count: int, failing=frozenset(), gap_ms: float = 50.0, elapsed_ms: float = 100.0
) -> list[str]:
    """Send queries one by one, where the failing engines refuse connections.

    Returns the engine of the first attempt of each query.
    """
    first_engines = []
    for _ in range(count):
        bench.now += gap_ms
        name, actions = bench.arrive()
        sends = of_type(actions, StartAttempt)
        first_engines += [send.engine for send in sends[:1]]
        while sends:
            failed = sends[0].engine in failing
            outcome = AttemptOutcome.NO_CONNECTION if failed else AttemptOutcome.SUCCEEDED
            sends = [
                s
                for s in of_type(
                    bench.finish(sends[0], outcome, elapsed_ms=elapsed_ms), StartAttempt
                )
                if s.request == name
            ]
    return first_engines


def test_dead_engine_is_ejected_and_selected_again_later():
    bench = Bench(engines=4)
    selected = send_requests(bench, 200, failing={"e0"})
    assert selected.count("e0") < 20
    bench.now += 9000
    assert "e0" in send_requests(bench, 100)


def test_ejections_are_ignored_when_most_engines_are_ejected():
    bench = Bench(engines=4)
    send_requests(bench, 40, failing={"e0", "e1", "e2"})
    selected = send_requests(bench, 40)
    assert len(set(selected)) >= 2


def test_slow_engine_has_a_lower_relative_speed_until_it_recovers():
    bench = Bench(engines=4)
    for _ in range(150):
        bench.now += 20
        _, actions = bench.arrive()
        for send in of_type(actions, StartAttempt):
            bench.finish(send, elapsed_ms=2000.0 if send.engine == "e0" else 100.0)
    balancer = bench.balancer
    assert balancer.loads.relative_speed(balancer.engines["e0"]) < 0.5
    for _ in range(200):
        bench.now += 20
        _, actions = bench.arrive()
        for send in of_type(actions, StartAttempt):
            bench.finish(send, elapsed_ms=100.0)
    bench.run(30_000)
    assert balancer.loads.relative_speed(balancer.engines["e0"]) == 1.0


def test_constant_reports_restarts_and_list_failures_at_once():
    bench = Bench(make_settings(rules=Rules(**WARM_UP_RULES), brokers=2), engines=6)
    constant_report = LoadReport(in_flight=4.0)
    served = 0
    for step in range(600):
        bench.now += 20
        if step == 100:
            bench.change("e0", started_ms=bench.now)
            bench.change("e1", started_ms=bench.now)
        if step % 50 == 0:
            bench.feed(EndpointListFailed())
        _, actions = bench.arrive()
        sends = of_type(actions, StartAttempt)
        while sends:
            failing = sends[0].engine in ("e4", "e5") and 100 < step < 400
            outcome = AttemptOutcome.RESET if failing else AttemptOutcome.SUCCEEDED
            served += not failing
            sends = of_type(bench.finish(sends[0], outcome, report=constant_report), StartAttempt)
    assert served > 570
    assert {s.engine for s in of_type(bench.log, StartAttempt)[-100:]} >= {"e4", "e5"}


def test_state_stays_bounded():
    ordered = QueryClass("short", 1000, 6000, 1, Idempotency.IDEMPOTENT, ordered_by_key=True)
    rules = Rules(
        retry_budget_floor=5,
        retry_budget_ratio=0.1,
        retry_budget_window_ms=1000,
        key_cool_down_ms=100,
    )
    for settings in (make_settings(), make_settings(ordered, rules=rules)):
        bench = Bench(settings, engines=5)
        for step in range(1500):
            bench.list_engines(*[f"e{step // 10 + number}" for number in range(5)])
            bench.now += 50
            _, actions = bench.arrive(key=f"k{step}")
            for send in of_type(actions, StartAttempt):
                bench.finish(
                    send,
                    AttemptOutcome.ERROR if step % 9 == 0 else AttemptOutcome.SUCCEEDED,
                    closed=True,
                )
        bench.run(1000)
        check_bounded(bench.balancer)


def check_bounded(balancer):
    assert len(balancer.engines) <= 6
    assert not balancer.requests and not balancer.in_flight.attempts
    assert not balancer.queue.requests and not balancer.key_order.queues
    assert (
        len(balancer.retry_budget.requests) <= 25
        and len(balancer.retry_budget.retries) <= 25
        and not balancer.key_order.queues
    )


def test_every_request_is_answered_once_with_extreme_settings():
    tiny = QueryClass("short", 1, 1, 1, Idempotency.IDEMPOTENT)
    for engines in (1, 300):
        for query_class in (None, tiny):
            bench = Bench(
                make_settings(
                    *([query_class] if query_class else []), limits=Limits(max_attempts=1)
                ),
                engines,
            )
            for _ in range(20):
                bench.arrive(timeout_ms=1 if query_class else 6000, work_ms=0.0, memory_mb=0.0)
            bench.run(7000)
            answers = of_type(bench.log, (RejectRequest, FailRequest))
            assert len(answers) == 20 and len(of_type(bench.log, StartAttempt)) <= 20


def test_request_that_fails_on_two_engines_is_rejected_and_no_engine_is_ejected():
    bench = Bench(engines=4)
    for _ in range(20):
        name, actions = bench.arrive()
        for _ in range(2):
            (send,) = of_type(actions, StartAttempt)
            actions = bench.finish(send, AttemptOutcome.ERROR)
        assert (
            not of_type(actions, StartAttempt)
            and of_type(actions, RejectRequest)[0].request == name
        )
    assert all(engine.ejected_until < bench.now for engine in bench.balancer.engines.values())


def test_engine_is_ejected_when_it_fails_requests_that_others_serve():
    bench = Bench(engines=4)
    for _ in range(60):
        _, actions = bench.arrive()
        while sends := of_type(actions, StartAttempt):
            actions = bench.finish(
                sends[0],
                AttemptOutcome.ERROR if sends[0].engine == "e0" else AttemptOutcome.SUCCEEDED,
            )
    assert bench.balancer.engines["e0"].ejected_until > bench.now


def test_reset_ejects_an_engine_briefly_and_a_refused_connection_for_longer():
    for outcome, ejection_ms in (
        (AttemptOutcome.RESET, 150.0),
        (AttemptOutcome.NO_CONNECTION, 500.0),
    ):
        bench = Bench(engines=4)
        _, actions = bench.arrive()
        (send,) = of_type(actions, StartAttempt)
        bench.finish(send, outcome)
        assert bench.balancer.engines[send.engine].ejected_until == bench.now + ejection_ms


def test_finished_loads_leave_no_group_counts():
    load = QueryClass("load", 1000, 6000, 1, Idempotency.NON_IDEMPOTENT, locks_group=True)
    bench = Bench(make_settings(load))
    for group in range(50):
        _, actions = bench.arrive("load", group=group)
        bench.finish(of_type(actions, StartAttempt)[0])
    assert not any(engine.loads_by_group for engine in bench.balancer.engines.values())


def test_engine_that_does_not_answer_a_health_check_is_ejected_until_it_answers_one():
    bench = Bench(engines=4)
    bench.feed(HealthCheckEnded("e0", AttemptOutcome.TIMED_OUT, 250.0, None))
    sends = [send for _ in range(12) for send in of_type(bench.arrive()[1], StartAttempt)]
    assert len(sends) == 12 and "e0" not in {send.engine for send in sends}
    bench.feed(HealthCheckEnded("e0", AttemptOutcome.SUCCEEDED, 1.0, LoadReport(in_flight=0.0)))
    sends = [send for _ in range(20) for send in of_type(bench.arrive()[1], StartAttempt)]
    assert "e0" in {send.engine for send in sends}


def time_out_requests(bench, count=20):
    """Send queries whose answers never arrive, while their clients wait until the deadline."""
    for _ in range(count):
        name, actions = bench.arrive(timeout_ms=6000)
        (send,) = of_type(actions, StartAttempt)
        bench.now += 6000
        bench.feed(ClientDisconnected(name))
        bench.finish(send, AttemptOutcome.TIMED_OUT, closed=True, elapsed_ms=6000.0)


def test_ordered_request_has_a_timeout_after_answers_were_lost():
    ordered = QueryClass("load", 1000, 20_000, 1, Idempotency.NON_IDEMPOTENT, ordered_by_key=True)
    bench = Bench(make_settings(LOOKUP, ordered), engines=4)
    send_requests(bench, 50)
    _, actions = bench.arrive("load", timeout_ms=20_000, key="a")
    assert of_type(actions, StartAttempt)[0].timeout_ms is None
    time_out_requests(bench)
    _, actions = bench.arrive("load", timeout_ms=20_000, key="b")
    (first,) = of_type(actions, StartAttempt)
    assert 1500 <= first.timeout_ms < 20_000
    second, _ = bench.arrive("load", timeout_ms=20_000, key="b")
    actions = bench.finish(first, AttemptOutcome.TIMED_OUT, elapsed_ms=first.timeout_ms)
    assert (
        of_type(actions, FailRequest)[0].request == first.request
    )  # it may have run, so it is failed at once and not retried
    assert second in {send.request for send in of_type(actions + bench.run(1000), StartAttempt)}


def test_slow_answers_that_arrive_do_not_raise_the_stall_probability():
    bench = Bench(engines=4)
    send_requests(bench, 50)
    send_requests(bench, 50, elapsed_ms=5000.0)
    assert bench.balancer.stalled_attempts.stall_probability < 0.1
    bench = Bench(engines=4)
    send_requests(bench, 50)
    time_out_requests(bench)
    assert bench.balancer.stalled_attempts.stall_probability > 0.3
    send_requests(bench, 2000)
    assert bench.balancer.stalled_attempts.stall_probability < 0.1
