"""The single final answer of each request."""

from __future__ import annotations

import pytest

from tests.decisions.bench import Bench, keyed, make_settings, of_type
from umberusher.decisions.actions import FailRequest, RejectRequest, StartAttempt
from umberusher.decisions.events import (
    AttemptEnded,
    AttemptOutcome,
    AttemptProgress,
    ClientDisconnected,
    ProgressKind,
)
from umberusher.decisions.settings import DeduplicationScope


def test_one_final_answer_is_given_before_the_deadline_with_an_attempt_in_flight():
    bench = Bench()
    name, actions = bench.arrive(timeout_ms=3000)
    assert of_type(actions, StartAttempt)
    while not of_type(bench.log, (RejectRequest, FailRequest)):
        bench.tick()
        assert bench.now < 1000 + 3000
    bench.run(4000)
    assert len(of_type(bench.log, (RejectRequest, FailRequest))) == 1
    assert len(of_type(bench.log, StartAttempt)) == 1


def test_request_is_rejected_when_no_engine_is_known():
    bench = Bench(engines=0)
    name, actions = bench.arrive()
    assert not of_type(actions, StartAttempt)
    assert of_type(bench.run(6000), RejectRequest) and not of_type(bench.log, FailRequest)


def test_repeated_events_are_ignored_after_the_final_answer():
    bench = Bench()
    name, actions = bench.arrive()
    send = of_type(actions, StartAttempt)[0]
    bench.finish(send)
    before = len(of_type(bench.log, (StartAttempt, RejectRequest, FailRequest)))
    bench.finish(send)
    bench.feed(ClientDisconnected(name))
    bench.feed(AttemptProgress(name, 0, send.engine, ProgressKind.PROGRESS, 0.5))
    bench.feed(AttemptEnded("nobody", 0, "nowhere", AttemptOutcome.RESET, 1.0))
    assert len(of_type(bench.log, (StartAttempt, RejectRequest, FailRequest))) == before


@pytest.mark.parametrize("scope", list(DeduplicationScope))
def test_keyed_request_is_rejected_after_unresolved_attempt_only_where_all_engines_drop_it(scope):
    bench = Bench(make_settings(keyed(scope)))
    _, actions = bench.arrive("keyed", timeout_ms=3000)
    bench.run(3000)
    assert bool(of_type(bench.log, RejectRequest)) is (scope is DeduplicationScope.ALL)
    assert len(of_type(bench.log, (RejectRequest, FailRequest))) == 1
