"""Tests of the teams' shares of the retry budget.

They guard against more retries in a window than the broker's budget allows, and against a team
whose retries use the share of another one.
"""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.teams.helpers import RETRY_TERMS
from umberusher.teams.retry_budget import WINDOW_SLICES, RetryBudgetTerms, TeamRetryBudgets


@settings(max_examples=150, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.floats(0, 900), st.sampled_from("abc"), st.booleans()), max_size=150))
def test_the_divided_ration_never_grants_more_than_the_whole_in_any_window(steps):
    parts, budgets, now = {"a": 0.5, "b": 0.3, "c": 0.2}, TeamRetryBudgets(RETRY_TERMS), 100_000.0
    taken, extra = [], []
    for passed, team, repeats in steps:
        now += passed
        if not repeats:
            budgets.count_request(team, parts[team], now)
            taken.append(now)
        elif budgets.available_right(team, parts[team], now):
            assert budgets.spend(team, parts[team], now)
            extra.append(now)
            recent = [at for at in extra if at > now - 10_000.0]
            assert len(recent) <= 5 + 0.1 * len([at for at in taken if at > now - 10_000.0]) + 1e-9
    assert all(len(counts.slices) <= WINDOW_SLICES + 1 for counts, _ in budgets.active.values())


def test_team_that_exhausts_its_share_of_retries_uses_no_share_of_another():
    shares = {"noisy": 0.4, "quiet": 0.4}
    alone, shared = TeamRetryBudgets(RETRY_TERMS), TeamRetryBudgets(RETRY_TERMS)
    granted = {"alone": 0, "shared": 0, "noisy": 0}
    for step in range(3_000):
        now = step * 10.0
        shared.count_request("noisy", shares["noisy"], now)
        if shared.available_right("noisy", shares["noisy"], now):
            shared.spend("noisy", shares["noisy"], now)
            granted["noisy"] += 1
        if step % 10 == 0:
            for name, budgets in (("alone", alone), ("shared", shared)):
                budgets.count_request("quiet", shares["quiet"], now)
                if step % 100 == 0 and budgets.available_right("quiet", shares["quiet"], now):
                    granted[name] += 1
                    budgets.spend("quiet", shares["quiet"], now)
    assert granted["shared"] == granted["alone"] == 30 and granted["noisy"] > 100


def test_half_of_idle_shares_is_lent_and_the_other_half_is_kept_for_their_owners():
    budgets = TeamRetryBudgets(RetryBudgetTerms(10.0, 0.0, 10_000.0))
    granted = sum(
        bool(budgets.spend("busy", 0.2, at))
        for at in range(0, 900, 10)
        if budgets.available_right("busy", 0.2, at)
    )
    assert granted == 2 + 4  # its own, and half of the other 0.8
    granted_on_return = sum(
        bool(budgets.spend("back", 0.8, 1_000))
        for _ in range(20)
        if budgets.available_right("back", 0.8, 1_000)
    )
    # The owner gets at least the half that was not lent.
    assert granted_on_return >= 4 and granted + granted_on_return <= 10 + 4
