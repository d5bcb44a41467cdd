"""Classification of how requests ended, and the events that report it."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from umberusher.deadlines.account import (
    MAX_EVENTS_PER_SECOND,
    PHASES,
    AttemptTimestamps,
    DeadlineAccount,
    DeadlineEnd,
    FinalOutcome,
    RequestSummary,
    time_by_phase,
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(st.one_of(st.just(0.0), st.floats(1, 5_000)), min_size=4, max_size=4),
    st.floats(0, 5_000),
    st.floats(0, 100),
)
def test_an_attempt_s_parts_add_up_to_its_time(marks, took, way):
    found = time_by_phase(AttemptTimestamps(1_000.0, *marks), 1_000.0 + took, way)
    assert set(found) == set(PHASES[1:]) and all(value >= 0 for value in found.values())
    assert sum(found.values()) == pytest.approx(took)


def test_end_of_a_request_is_classified_and_counted_by_phase():
    now = [0.0]
    account = DeadlineAccount(lambda: now[0])
    summary = RequestSummary("r", "lookup", 0.0, 1_000.0, latency_objective_ms=300.0)
    node = AttemptTimestamps(0.0, 1.0, 2.0, 3.0, 0.0)
    for now_ms, outcome, timestamps, end in (
        (200, FinalOutcome.SERVED, node, None),
        (400, FinalOutcome.SERVED, node, DeadlineEnd.LATE),
        (100, None, None, DeadlineEnd.DISCONNECTED),
        (100, None, node, DeadlineEnd.DISCONNECTED),
        (999.5, None, node, DeadlineEnd.EXPIRED),
        (100, FinalOutcome.REJECTED, None, None),
        (600, FinalOutcome.REJECTED, None, DeadlineEnd.EXPIRED),
        (1_000, FinalOutcome.FAILED, node, DeadlineEnd.EXPIRED),
    ):
        now[0] = now_ms
        assert account.count_end(summary, outcome, timestamps) is end
    assert account.late == {"lookup": 1} and account.disconnected == {"held": 1, "node": 1}
    assert account.expired == {"node": 2, "held": 1}


def test_events_are_limited_per_second_and_suppressed_ones_are_counted():
    now, events = [1_000.0], []
    account = DeadlineAccount(lambda: now[0], events.append)
    for _ in range(MAX_EVENTS_PER_SECOND + 7):
        account.report_end(
            RequestSummary("r", "lookup", 0.0, 900.0), DeadlineEnd.EXPIRED, "held", {}
        )
    assert len(events) == MAX_EVENTS_PER_SECOND
    now[0] = 2_500.0
    account.report_end(
        RequestSummary("r", "lookup", 0.0, 900.0), DeadlineEnd.EXPIRED, "node", {"node": 100.0}
    )
    assert (
        events[-1]["left_out"] == 7
        and events[-1]["held_ms"] == 2_400.0
        and events[-1]["node_ms"] == 100.0
    )
