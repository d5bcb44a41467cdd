"""The time budget of a request."""

from __future__ import annotations

import pytest

from umberusher.deadlines.budget import BudgetExhausted, TimeBudget


@pytest.mark.parametrize(
    "remaining_ms, network_delay_ms, expected",
    [
        (2_500.0, 6.0, 2_494),
        (2_500.9, 0.0, 2_500),
        (7.2, 6.0, 1),
        (6.9, 6.0, BudgetExhausted.NETWORK_DELAY),
        (1.0, 1.0, BudgetExhausted.NETWORK_DELAY),
        (0.0, 0.0, BudgetExhausted.EXPIRED),
        (-5.0, 0.0, BudgetExhausted.EXPIRED),
        (3.2e11, 6.0, 319_999_999_994),
    ],
)
def test_engine_time_limit_is_below_the_remaining_time_or_absent(
    remaining_ms, network_delay_ms, expected
):
    assert (
        TimeBudget(0.0, 1_000.0 + remaining_ms).engine_ttl_ms(1_000.0, network_delay_ms) == expected
    )


def test_attempt_may_time_out_before_its_request():
    assert TimeBudget(0.0, 5_000.0).engine_ttl_ms(1_000.0, 2.0, timeout_at_ms=1_500.0) == 498
