"""Abandonment of attempts that run far too slowly."""

from __future__ import annotations

import math

from tests.decisions.bench import Bench, make_settings, of_type
from umberusher.decisions.actions import CancelAttempt, FailRequest, RejectRequest, StartAttempt
from umberusher.decisions.events import AttemptOutcome, AttemptProgress, ProgressKind
from umberusher.decisions.settings import Limits


def test_slow_attempt_is_cancelled_and_repeated_elsewhere_where_cancellation_is_allowed():
    """Checks the actions, because the effect of cancellation on latency is within the noise."""
    bench = Bench(make_settings(limits=Limits(max_attempts=4, cancellation=True)), engines=4)
    _, actions = bench.arrive()
    (first,) = of_type(actions, StartAttempt)
    expected_log_ms = bench.balancer.estimates.by_class["short"].log_time
    bench.now += 4 * math.exp(expected_log_ms)
    actions = bench.feed(
        AttemptProgress(first.request, 0, first.engine, ProgressKind.PROGRESS, 0.1)
    )
    assert of_type(actions, CancelAttempt) == [CancelAttempt(first.request, 0)] and not of_type(
        actions, StartAttempt
    )
    (second,) = of_type(bench.finish(first, AttemptOutcome.CANCELLED), StartAttempt)
    assert second.request == first.request and second.engine != first.engine
    bench.finish(second)
    assert not bench.balancer.requests and not of_type(bench.log, FailRequest) + of_type(
        bench.log, RejectRequest
    )
