"""Tests of the lending pool: it lends only inflow, and its level stays within its depth."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from umberusher.teams.lending_pool import LendingPool


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.floats(0, 3_000), st.sampled_from("abc"), st.floats(0, 4_000), st.booleans()),
        max_size=60,
    )
)
def test_what_is_lent_was_flown_over_before_and_the_pool_keeps_its_depth(steps):
    rates, fulls, now = {"a": 3.0, "b": 5.0, "c": 1.0}, dict.fromkeys("abc", 0.0), 0.0
    pool, back = LendingPool(10.0, 5_000.0, 0.0), 0.0
    for passed, team, cost, draws in steps:
        now += passed
        pool.advance(now, fulls.get)
        held = sum(rate for name, rate in rates.items() if fulls[name] > now)
        assert pool.flow_rate <= 10.0 - held + 1e-9  # nobody who is not full flows over
        if draws:
            if pool.lend(cost):
                pool.give_back(cost / 2)
                back += cost / 2
        else:
            fulls[team] = max(fulls[team], now) + cost / rates[team]
            if fulls[team] > now:
                pool.hold_back(team, rates[team], fulls[team])
        assert -1e-6 <= pool.level <= pool.depth + 1e-6
        assert pool.inflow == pytest.approx(pool.level + pool.lent + pool.overflow, abs=1e-3)
    pool.advance(now + 1e6, fulls.get)
    assert pool.flow_rate == pytest.approx(10.0)
