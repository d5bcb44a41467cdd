"""The broker follows the model of one request, whose own invariants hold.

Guards against a second answer, a second run of a non-idempotent request and a lost request: traces
of the model are played against a real broker. Seeded bugs in the model and in the broker show that
the checks find such faults.
"""

from __future__ import annotations

from dataclasses import replace

import pytest

from tests.upstream.life_player import play_all
from umberusher.checker.request_model import (
    MAX_ATTEMPTS,
    Event,
    Phase,
    RequestState,
    explore,
    step,
    traces,
)
from umberusher.pipeline import request_registry

DEPTH = 3


def test_model_holds_when_explored_to_full_depth():
    found = explore()
    assert found.violations == [] and found.state_count > 30 and found.depth >= 5


def test_model_check_finds_bug_when_seeded_in_the_model():
    def faulty_step(state: RequestState, event: Event) -> set[RequestState]:
        successors = step(state, event)
        if (
            event is Event.CONNECTION_RESET
            and state.phase is Phase.SENT
            and state.attempt_count < MAX_ATTEMPTS
        ):  # records an attempt that may have run as never run
            successors = successors | {
                replace(
                    state, phase=Phase.AWAITING_RETRY, current_may_have_run=False, may_have_run=True
                )
            }
        return successors

    assert "sent again what must run once" in {
        violation.problem for violation in explore(faulty_step).violations
    }


@pytest.mark.parametrize("cancel", [False, True])
@pytest.mark.parametrize("unsafe", [False, True])
def test_broker_follows_model_when_its_traces_are_played(unsafe, cancel):
    count, events, deviations = play_all(DEPTH, unsafe, traces, cancel=cancel)
    assert deviations == [] and count > 60 and events > count


def test_player_finds_bug_when_seeded_in_the_broker(monkeypatch):
    monkeypatch.setattr(
        request_registry,
        "outcome_of",
        lambda failure: request_registry.AttemptOutcome.NO_CONNECTION,
    )
    _, _, deviations = play_all(2, True, traces)
    assert any(
        "fully_sent connection_reset" in each or "fully_sent engine_fault" in each
        for each in deviations
    )
