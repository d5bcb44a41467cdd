"""Reviews of queued and running requests."""

from __future__ import annotations

import pytest

from tests.decisions.bench import Bench, make_settings, of_type
from umberusher.decisions.actions import CancelAttempt, RejectRequest, StartAttempt
from umberusher.decisions.events import (
    AttemptOutcome,
    AttemptProgress,
    EndpointState,
    ProgressKind,
)
from umberusher.decisions.settings import Idempotency, Limits, QueryClass


def test_requests_past_their_objective_are_queued_behind_timely_ones():
    """With a hot key, late queries at the head of the queue starved their whole class."""
    query_class = QueryClass(
        "r", 1000, 20_000, 4, Idempotency.IDEMPOTENT, threads=4, late_weight=0.5
    )
    bench = Bench(make_settings(query_class), engines=1)
    busy = []
    while True:
        _, actions = bench.arrive("r", timeout_ms=20_000)
        if not of_type(actions, StartAttempt):
            break
        busy += of_type(actions, StartAttempt)
    for _ in range(10):
        bench.arrive("r", timeout_ms=20_000)
    bench.run(4000)
    fresh, _ = bench.arrive("r", timeout_ms=20_000)
    actions = [action for send in busy[:1] for action in bench.finish(send, elapsed_ms=4000.0)]
    actions += bench.run(200)
    assert [send.request for send in of_type(actions, StartAttempt)] == [fresh]


def test_attempt_past_its_objective_frees_its_engine_when_far_from_done():
    """Incident i146258: late queries kept memory and threads, so that all queries became late."""
    query_class = QueryClass("r", 1000, 20_000, 4, Idempotency.IDEMPOTENT, late_weight=0.5)
    for done, freed in ((0.2, True), (0.8, False)):
        bench = Bench(make_settings(query_class, limits=Limits(max_attempts=2, cancellation=True)))
        name, actions = bench.arrive("r", timeout_ms=20_000)
        bench.feed(
            AttemptProgress(
                name, 0, of_type(actions, StartAttempt)[0].engine, ProgressKind.PROGRESS, done
            )
        )
        actions = bench.run(3000)
        assert (
            bool(of_type(actions, CancelAttempt)) is freed
            and bool(of_type(actions, RejectRequest)) is freed
        )


def test_queued_request_is_given_up_when_its_expected_latency_has_grown():
    """During a release, the review was scheduled at arrival only, so that queries were still sent
    which could no longer meet their objective.
    """
    query_class = QueryClass("r", 3000, 20_000, 4, Idempotency.IDEMPOTENT)
    bench = Bench(make_settings(query_class), engines=1)
    bench.balancer.engines["e0"].ejected_until = bench.now + 1e9
    bench.balancer.outliers.panic = False
    bench.balancer.pool.changed = False
    bench.arrive("r", timeout_ms=20_000)
    # 3 s, as learned from slow answers meanwhile.
    bench.balancer.estimates.by_class["r"].log_time = 8.0
    actions = bench.run(800)
    assert of_type(actions, RejectRequest)


@pytest.mark.parametrize("late_weight", [0.1, 0.5])
def test_request_given_up_after_an_error_is_rejected_at_once(late_weight):
    """An answer must not be delayed until near the deadline to keep the client from retrying."""
    query_class = QueryClass("short", 500, 9000, 1, Idempotency.IDEMPOTENT, late_weight=late_weight)
    limits = Limits(max_attempts=4, retry_after=True, max_retry_after_ms=300)
    bench = Bench(make_settings(query_class, limits=limits), engines=1)
    _, actions = bench.arrive(timeout_ms=9000)
    bench.change("e0", EndpointState.REMOVED)
    bench.finish(of_type(actions, StartAttempt)[0], AttemptOutcome.ERROR)
    failed_at = bench.now
    while not of_type(bench.log, RejectRequest) and bench.now < 1000 + 9000:
        bench.tick()
    assert of_type(bench.log, RejectRequest) == [RejectRequest("r1", 300)]
    assert bench.now - failed_at < (600 if late_weight < 0.15 else 9000 - 150)
