"""Tests of a rate budget against a token bucket as the reference implementation."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from umberusher.teams.rate_budget import RateBudget


class Bucket:
    """A token bucket: a level that is refilled each time it is read."""

    def __init__(self, rate: float, burst: float) -> None:
        self.rate, self.burst, self.level, self.at = rate, burst, burst, 0.0

    def fill(self, now: float) -> float:
        self.level, self.at = min(self.level + (now - self.at) * self.rate, self.burst), now
        return self.level


STEPS = st.lists(st.tuples(st.floats(0, 2_000), st.floats(0.1, 50)), max_size=60)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(STEPS, st.floats(0.001, 0.1), st.floats(1, 100))
def test_a_budget_is_a_token_bucket_and_its_wait_is_honest(steps, rate, burst):
    budget, plain, now = RateBudget(), Bucket(rate, burst), 0.0
    for passed, cost in steps:
        now += passed
        assert budget.level(now, rate, burst) == pytest.approx(plain.fill(now), abs=1e-3)
        if budget.can_afford(now, cost, rate, burst):
            budget.charge(now, cost, rate)
            plain.level -= cost
        else:
            wait = budget.wait_ms(now, cost, rate, burst)
            assert wait > 0 and budget.can_afford(now + wait + 1e-3, cost, rate, burst)
            assert wait < 1e-3 or not budget.can_afford(now + wait * 0.99 - 1e-3, cost, rate, burst)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(STEPS, st.floats(0.001, 0.1), st.floats(60, 200))
def test_no_window_holds_more_than_its_rate_and_the_burst(steps, rate, burst):
    budget, now, taken = RateBudget(), 0.0, []
    for passed, cost in steps:
        now += passed
        if budget.can_afford(now, cost, rate, burst):
            budget.charge(now, cost, rate)
            taken.append((now, cost))
    for first in range(len(taken)):
        total = 0.0
        for at, cost in taken[first:]:
            total += cost
            assert total <= burst + rate * (at - taken[first][0]) + 1e-3
