"""Hands the state of the teams over to the successor at a hot restart.

Times are sent as durations relative to now, since the clocks of the two processes need not agree.
The successor receives the state when it starts, and the counts made since then when it begins to
accept clients. The keys are those of the hot-restart messages.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from umberusher.teams.admission import TeamAdmission
from umberusher.teams.rate_budget import RateBudget
from umberusher.teams.team_state import TeamState


@dataclass(slots=True, frozen=True)
class _TeamCounts:
    """A team's charged work and its counts of requests and retries."""

    charged: float
    own: Counter[str]
    admitted: int
    retries: int


_NO_COUNTS = _TeamCounts(0.0, Counter(), 0, 0)


class TeamHandover:
    """Exports and restores the state of all teams."""

    __slots__ = ("_exported", "_teams")

    def __init__(self, teams: TeamAdmission) -> None:
        self._teams = teams
        self._exported: dict[str, _TeamCounts] | None = None

    # -- Predecessor

    def export_state(self, now_ms: float) -> dict[str, Any]:
        """Return the state for a successor, and store the counts at this moment."""
        teams = self._teams
        now = teams.advance(now_ms)
        self._exported = self._counts()
        return {
            "teams": {name: _export_budgets(state, now) for name, state in teams.states.items()},
            "pool": teams.pool.level,
            "costs": teams.costs.state(),
            "ration": teams.retry_budgets.state(now),
        }

    def export_later_counts(self) -> dict[str, Any]:
        """Return the counts made since the state was exported; empty if it never was."""
        exported = self._exported
        if exported is None:
            return {}
        return {
            "later": {
                name: _difference(counts, exported.get(name, _NO_COUNTS))
                for name, counts in self._counts().items()
            }
        }

    def _counts(self) -> dict[str, _TeamCounts]:
        return {
            name: _TeamCounts(
                self._teams.charged.get(name, 0.0),
                Counter(usage.own),
                usage.admitted,
                usage.retries.total(),
            )
            for name, usage in self._teams.usage.items()
        }

    # -- Successor

    def restore(self, now_ms: float, state: Mapping[str, Any]) -> None:
        """Restore the predecessor's state; called before the first request is admitted."""
        teams = self._teams
        now = teams.advance(now_ms)
        for name, budgets in state["teams"].items():
            team = teams.contract.teams.get(name)
            if team is None:
                continue
            team_state = teams.states.setdefault(name, TeamState())
            _extend(team_state.work_budget, now + float(budgets["full"]))
            for query_class, full_ms in budgets["rates"].items():
                if query_class in team.terms:
                    budget = team_state.rate_budgets.setdefault(query_class, RateBudget())
                    _extend(budget, now + float(full_ms))
            teams.hold_back_inflow(now, name, team_state, teams.work_limit(team).rate)
        teams.pool.level = min(float(state["pool"]), teams.pool.depth)
        teams.costs.restore(state["costs"])
        teams.retry_budgets.restore(state["ration"], now)

    def add_later_counts(self, now_ms: float, later: Mapping[str, Any]) -> None:
        """Charge what the predecessor has charged since it exported its state."""
        teams = self._teams
        now = teams.advance(now_ms)
        for name, counts in later.items():
            team = teams.contract.teams.get(name)
            if team is None:
                continue
            state = teams.states.setdefault(name, TeamState())
            teams.charge_work(now, team, state, float(counts["charged"]))
            for query_class, count in counts["own"].items():
                if query_class in team.terms:
                    budget = state.rate_budgets.setdefault(query_class, RateBudget())
                    rate = teams.rate_limit(team.terms[query_class]).rate
                    budget.charge(now, float(count), rate)
            teams.retry_budgets.add_counts(
                name, team.retry_share, now, int(counts["taken"]), int(counts["extra"])
            )
            teams.forget_if_idle(now, name, state)


def _export_budgets(state: TeamState, now: float) -> dict[str, Any]:
    return {
        "full": max(state.work_budget.full_ms - now, 0.0),
        "rates": {
            query_class: max(budget.full_ms - now, 0.0)
            for query_class, budget in state.rate_budgets.items()
        },
    }


def _difference(current: _TeamCounts, exported: _TeamCounts) -> dict[str, Any]:
    return {
        "charged": current.charged - exported.charged,
        "own": dict(current.own - exported.own),
        "taken": current.admitted - exported.admitted,
        "extra": current.retries - exported.retries,
    }


def _extend(budget: RateBudget, full_ms: float) -> None:
    """Charge a budget until it is full no earlier than the predecessor's; never refund."""
    budget.full_ms = max(budget.full_ms, full_ms)
