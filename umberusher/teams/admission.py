"""Admits the requests of teams under their contract, and settles what they used.

Each broker enforces its fraction of a contract: one divided by the number of brokers. A team that
has used nothing recently has no state, since an idle budget is a full one.

A request is admitted on its team's own budget if the budget covers its rate and its work, and if
the team is within its share or capacity is free: shares are enforced only under load. Any other
request is overflow: if the team's contract allows borrowing, it is admitted on the work that the
lending pool holds, as long as capacity is free. A rejection states how long it takes until the
team's own budget covers the request. Successive rejections get successive times, because clients
that all retry at the same moment would be rejected again at that moment.
"""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass
from enum import Enum, auto

from umberusher.teams.charge import Charge, Rejection, RejectionReason
from umberusher.teams.contract import Contract, Team, Terms
from umberusher.teams.cost_correction import CostCorrections
from umberusher.teams.lending_pool import LendingPool
from umberusher.teams.rate_budget import RateBudget, RateLimit
from umberusher.teams.retry_budget import RetryBudgetTerms, TeamRetryBudgets
from umberusher.teams.team_state import TeamState
from umberusher.teams.usage import TeamUsage

# Depth of the lending pool, in seconds of the capacity: it bounds the work that borrowers can still
# use once the owners are active again.
POOL_DEPTH_S = 0.5

# Fraction of the capacity up to which work is lent while all owners are active.
LENDING_MAX_FRACTION = 0.65

# Number of teams with state up to which their active shares are summed for the lending limit; among
# more teams some are always active.
MAX_TEAMS_EXAMINED = 64

# Maximum debt of a team, in seconds of its promised work.
MAX_DEBT_S = 2.0

MIN_COST_MS = 0.1


class _Funding(Enum):
    """The budget that an admitted request is charged to."""

    OWN = auto()
    """The team's own rate and work budgets."""

    OWN_WORK = auto()
    """The team's work budget alone: the request exceeds the rate of its class."""

    LENT = auto()
    """Work borrowed from other teams."""


@dataclass(slots=True)
class _Demand:
    """The needs of a request: corrected and estimated work, threads and memory."""

    query_class: str
    cost: float
    estimate: float
    threads: float
    memory_mb: float


class TeamAdmission:
    """The state of all teams at one broker.

    Attributes:
        contract: The contract, with the terms of the current day.
        at_ms: The latest time seen.
        states: The states of the teams that are not idle.
        usage: The usage of each team since the process started.
        pool: The work that may be lent.
        costs: The corrections of clients' estimates.
        retry_budgets: The teams' shares of the retry budget.
        threads: Threads held by open requests of all teams.
        memory_mb: Memory held by open requests of all teams.
        charged: Work charged to each team's own budget, less refunds.
    """

    __slots__ = (
        "_broker_fraction",
        "at_ms",
        "charged",
        "contract",
        "costs",
        "memory_mb",
        "pool",
        "retry_budgets",
        "states",
        "threads",
        "usage",
    )

    def __init__(
        self, contract: Contract, brokers: int, now_ms: float, retry_terms: RetryBudgetTerms
    ) -> None:
        self.contract = contract
        self._broker_fraction = 1.0 / max(brokers, 1)
        self.at_ms = now_ms
        self.states: dict[str, TeamState] = {}
        self.usage: dict[str, TeamUsage] = {}
        self.pool = self._new_pool(now_ms)
        self.costs = CostCorrections()
        self.retry_budgets = TeamRetryBudgets(retry_terms)
        self.threads = 0.0
        self.memory_mb = 0.0
        self.charged: defaultdict[str, float] = defaultdict(float)

    # -- Time and limits

    def _new_pool(self, now_ms: float) -> LendingPool:
        work_rate = self.contract.work_rate * self._broker_fraction
        return LendingPool(work_rate / 1000.0, work_rate * POOL_DEPTH_S, now_ms)

    def advance(self, now_ms: float) -> float:
        """Advance the clock and the lending pool; return the current time.

        The time never goes back: budgets would count a backward step of the clock as a debt.
        """
        self.at_ms = max(self.at_ms, now_ms)
        self.pool.advance(self.at_ms, self._full_ms)
        return self.at_ms

    def _full_ms(self, team: str) -> float:
        state = self.states.get(team)
        return state.work_budget.full_ms if state else 0.0

    def work_limit(self, team: Team) -> RateLimit:
        """Return a team's work limit at this broker, in milliseconds of one thread per ms."""
        fraction = self._broker_fraction
        return RateLimit(team.work_rate * fraction / 1000.0, team.work_burst * fraction)

    def rate_limit(self, terms: Terms) -> RateLimit:
        """Return a team's request limit for a class at this broker, in requests per millisecond."""
        fraction = self._broker_fraction
        return RateLimit(terms.rate * fraction / 1000.0, max(terms.burst * fraction, 1.0))

    def usage_of(self, team: str) -> TeamUsage:
        """Return a team's usage counts; they start at zero."""
        usage = self.usage.get(team)
        if usage is None:
            usage = self.usage[team] = TeamUsage()
        return usage

    def debt_ms(self, now_ms: float, name: str) -> float:
        """Return a team's debt of work, in milliseconds of one thread."""
        team = self.contract.teams.get(name)
        state = self.states.get(name)
        if team is None or state is None:
            return 0.0
        level = state.work_budget.level(self.advance(now_ms), *self.work_limit(team))
        return max(-level, 0.0)

    # -- Admission

    def admit(
        self,
        now_ms: float,
        name: str,
        query_class: str,
        *,
        estimate: float | None = None,
        threads: float = 1.0,
        memory_mb: float | None = None,
        client_retry: bool = False,
    ) -> Charge | Rejection:
        """Admit or reject a request.

        Args:
            now_ms: The time now.
            name: The name of a team in the contract.
            query_class: The request's class.
            estimate: The client's estimate of its work; defaults to the contract's value.
            threads: Threads that it holds at an engine.
            memory_mb: Memory that it holds at an engine; defaults to the contract's value.
            client_retry: Whether the client has sent the request before.
        """
        now = self.advance(now_ms)
        team = self.contract.teams[name]
        usage = self.usage_of(name)
        terms = team.terms.get(query_class)
        if terms is None:
            usage.rejected[RejectionReason.CLASS.value] += 1
            return Rejection(RejectionReason.CLASS, math.inf)
        if client_retry:
            usage.client_retries += 1
        demand = self._demand(name, terms, query_class, estimate, threads, memory_mb)
        state = self.states.get(name) or TeamState()
        reason = self._exceeded_limit(now, team, state, demand)
        funding = _Funding.OWN
        if reason is not None:
            overflow_funding = self._fund_overflow(now, team, state, demand, reason)
            if overflow_funding is None:
                usage.rejected[reason.value] += 1
                return Rejection(reason, self._retry_after_ms(now, team, state, demand, reason))
            funding = overflow_funding
        return self._charge_request(now, team, state, demand, funding)

    def _demand(
        self,
        name: str,
        terms: Terms,
        query_class: str,
        estimate: float | None,
        threads: float,
        memory_mb: float | None,
    ) -> _Demand:
        """Return a request's demand; the contract's terms apply where the client gives no value."""
        estimated_ms = terms.work_ms if estimate is None else estimate
        return _Demand(
            query_class,
            max(estimated_ms * self.costs.factor(name, query_class), MIN_COST_MS),
            max(estimated_ms, MIN_COST_MS),
            threads,
            terms.memory_mb if memory_mb is None else memory_mb,
        )

    def _exceeded_limit(
        self, now: float, team: Team, state: TeamState, demand: _Demand
    ) -> RejectionReason | None:
        """Return the first of the team's own limits that a request exceeds."""
        rate_budget = state.rate_budgets.get(demand.query_class) or RateBudget()
        rate_limit = self.rate_limit(team.terms[demand.query_class])
        if not rate_budget.can_afford(now, 1.0, *rate_limit):
            return RejectionReason.RATE
        if not state.work_budget.can_afford(now, demand.cost, *self.work_limit(team)):
            return RejectionReason.WORK
        if state.open_count:
            threads = state.threads + demand.threads
            memory_mb = state.memory_mb + demand.memory_mb
            exceeds_share = self._dominant_share(threads, memory_mb) > team.share
            if exceeds_share and not self._has_capacity(demand, 1.0):
                return RejectionReason.SHARE
        return None

    def _fund_overflow(
        self, now: float, team: Team, state: TeamState, demand: _Demand, reason: RejectionReason
    ) -> _Funding | None:
        """Return the budget for a request beyond its team's limits; None if it is rejected.

        A request above the promised rate of its class may run on the team's own work, since that
        takes nothing from other teams. When routing by key sends all requests of a class to one
        broker, that broker's fraction of the rate is too small although the team is within its
        contract.
        """
        if team.overflow != "lend":
            return None
        if (
            reason is RejectionReason.RATE
            and self._has_capacity(demand, 1.0)
            and state.work_budget.can_afford(now, demand.cost, *self.work_limit(team))
        ):
            return _Funding.OWN_WORK
        lending_limit = self._lending_limit(team.name)
        if self._has_capacity(demand, lending_limit) and self.pool.lend(demand.cost):
            return _Funding.LENT
        return None

    def _charge_request(
        self,
        now: float,
        team: Team,
        state: TeamState,
        demand: _Demand,
        funding: _Funding,
    ) -> Charge:
        """Charge an admitted request to the budget that pays for it."""
        name = team.name
        query_class = demand.query_class
        usage = self.usage_of(name)
        self.states[name] = state
        if funding is _Funding.LENT:
            usage.borrowed[query_class] += 1
            state.lent_ms += demand.cost
        else:
            usage.own[query_class] += 1
            rate_budget = state.rate_budgets.get(query_class)
            if rate_budget is None:
                rate_budget = state.rate_budgets[query_class] = RateBudget()
            if funding is _Funding.OWN:
                rate_budget.charge(now, 1.0, self.rate_limit(team.terms[query_class]).rate)
            self.charge_work(now, team, state, demand.cost)
        state.acquire(demand.threads, demand.memory_mb)
        self.threads += demand.threads
        self.memory_mb += demand.memory_mb
        self.retry_budgets.count_request(name, team.retry_share, now)
        return Charge(
            team,
            query_class,
            demand.cost,
            demand.estimate,
            funding is _Funding.LENT,
            demand.threads,
            demand.memory_mb,
            now,
        )

    def _dominant_share(self, threads: float, memory_mb: float) -> float:
        """Return the larger share of threads or memory.

        Source: dominant resource fairness (Ghodsi and others, 2011).
        """
        return max(
            threads / (self.contract.threads * self._broker_fraction),
            memory_mb / (self.contract.memory_mb * self._broker_fraction),
        )

    def _has_capacity(self, demand: _Demand, max_fraction: float) -> bool:
        """Return whether all open requests and this one stay within a fraction of the capacity."""
        threads = self.threads + demand.threads
        return self._dominant_share(threads, self.memory_mb + demand.memory_mb) <= max_fraction

    def _lending_limit(self, borrower: str) -> float:
        """Return the fraction of the capacity up to which work is lent.

        The capacity above it is reserved for active owners, whose bursts may exceed their share. An
        idle owner needs no reserve: when it becomes active again, it still has its own share.
        """
        if len(self.states) > MAX_TEAMS_EXAMINED:
            return LENDING_MAX_FRACTION
        teams = self.contract.teams
        active_share = sum(
            teams[name].share for name in self.states if name != borrower and name in teams
        )
        others_share = max(1.0 - teams[borrower].share, 1e-9)
        return 1.0 - (1.0 - LENDING_MAX_FRACTION) * min(active_share / others_share, 1.0)

    def charge_work(self, now: float, team: Team, state: TeamState, cost: float) -> None:
        """Charge work to the team's own budget; debt above the maximum is forgiven and counted."""
        limit = self.work_limit(team)
        self.charged[team.name] += cost
        state.work_budget.charge(now, cost, limit.rate)
        if cost <= 0.0:
            return
        max_debt = limit.rate * MAX_DEBT_S * 1000.0
        forgiven = state.work_budget.limit_debt(now, limit.rate, limit.burst, max_debt)
        self.usage_of(team.name).forgiven_ms += forgiven
        self.hold_back_inflow(now, team.name, state, limit.rate)

    def hold_back_inflow(self, now: float, name: str, state: TeamState, rate: float) -> None:
        """Keep a team's rate out of the lending pool while its budget is not full."""
        if not state.work_budget.is_full(now):
            self.pool.hold_back(name, rate, state.work_budget.full_ms)

    def _retry_after_ms(
        self, now: float, team: Team, state: TeamState, demand: _Demand, reason: RejectionReason
    ) -> float:
        """Return the delay for the retry of a rejected request, after those of earlier ones."""
        query_class = demand.query_class
        terms = team.terms[query_class]
        rate_limit = self.rate_limit(terms)
        work_limit = self.work_limit(team)
        rate_budget = state.rate_budgets.get(query_class) or RateBudget()
        wait_ms = max(
            rate_budget.wait_ms(now, 1.0, *rate_limit),
            state.work_budget.wait_ms(now, demand.cost, *work_limit),
        )
        interval_ms = math.inf
        if rate_limit.rate > 0 and work_limit.rate > 0:
            interval_ms = max(1.0 / rate_limit.rate, demand.cost / work_limit.rate)
        if reason is RejectionReason.SHARE and state.release_rate > 0.0:
            share_threads = team.share * self.contract.threads * self._broker_fraction
            excess_threads = state.threads + demand.threads - share_threads
            wait_ms = max(wait_ms, excess_threads / state.release_rate)
            interval_ms = max(interval_ms, demand.threads / state.release_rate)
        elif reason is RejectionReason.SHARE:
            wait_ms = max(wait_ms, terms.work_ms)
        return state.stagger(now, query_class, wait_ms, interval_ms)

    # -- Settlement

    def settle(
        self, now_ms: float, charge: Charge, used_ms: float | None, served: bool = False
    ) -> None:
        """Replace the estimated work of a request by the work that it used.

        Only the first call for a charge has an effect.

        Args:
            now_ms: The time now.
            charge: The charge of the request.
            used_ms: Elapsed milliseconds at engines times threads; None where it never ran.
            served: Whether the client received the result.
        """
        if charge.settled:
            return
        charge.settled = True
        now = self.advance(now_ms)
        team = charge.team
        usage = self.usage_of(team.name)
        work_ms = 0.0
        if used_ms is not None:
            cleared_ms = self.costs.observe(team.name, charge.query_class, charge.estimate, used_ms)
            work_ms = max(cleared_ms, MIN_COST_MS)
        usage.work_ms += work_ms
        if served:
            usage.served[charge.query_class] += 1
            usage.value += team.terms[charge.query_class].value
        self.threads = max(self.threads - charge.threads, 0.0)
        self.memory_mb = max(self.memory_mb - charge.memory_mb, 0.0)
        state = self.states.get(team.name)
        if state is None:
            return
        state.release(now, charge.threads, charge.memory_mb)
        # Debts are settled at the rate of the current contract, which may have changed.
        current = self.contract.teams.get(team.name, team)
        if charge.lent:
            usage.borrowed_ms += work_ms
            state.lent_ms = max(state.lent_ms - charge.cost, 0.0)
        if charge.lent and work_ms < charge.cost:
            self.pool.give_back(charge.cost - work_ms)
        else:
            # Work beyond the lent amount is charged to the borrower's own budget.
            self.charge_work(now, current, state, work_ms - charge.cost)
        self.forget_if_idle(now, team.name, state)

    def forget_if_idle(self, now: float, name: str, state: TeamState) -> None:
        """Drop the state of an idle team: it equals that of a team without any request."""
        if state.is_idle(now):
            del self.states[name]

    # -- Retries

    def may_retry(self, now_ms: float, charge: Charge) -> bool:
        """Return whether the team of a request has a retry left.

        Called repeatedly while the request waits for a retry; only its first denial is counted.
        """
        name = charge.team.name
        team = self.contract.teams.get(name)
        if team is None:
            return True
        now = self.advance(now_ms)
        if self.retry_budgets.available_right(name, team.retry_share, now) is not None:
            return True
        if not charge.retry_denied:
            charge.retry_denied = True
            self.usage_of(name).retries_denied += 1
        return False

    def count_retry(self, now_ms: float, name: str) -> None:
        """Count a retry of a team."""
        team = self.contract.teams.get(name)
        if team is not None:
            right = self.retry_budgets.spend(name, team.retry_share, self.advance(now_ms))
            self.usage_of(name).retries[right.value] += 1

    # -- Change of contract

    def change_contract(self, now_ms: float, contract: Contract) -> None:
        """Apply a new contract.

        Open requests keep the contract under which they were admitted. Work budgets keep their
        level, up to the new burst; budgets of removed classes are dropped.
        """
        now = self.advance(now_ms)
        previous_contract = self.contract
        levels = {
            name: state.work_budget.level(now, *self.work_limit(previous_contract.teams[name]))
            for name, state in self.states.items()
            if name in previous_contract.teams
        }
        self.contract = contract
        previous_pool = self.pool
        self.pool = self._new_pool(now)
        self.pool.continue_from(previous_pool)
        for name, state in list(self.states.items()):
            team = contract.teams.get(name)
            if team is not None:
                self._apply_terms(now, team, state, levels.get(name))
                continue
            state.work_budget = RateBudget()
            state.rate_budgets = {}
            if not state.open_count:
                del self.states[name]

    def _apply_terms(self, now: float, team: Team, state: TeamState, level: float | None) -> None:
        """Set a team's budgets to those of a new contract.

        Args:
            now: The time now.
            team: The team under the new contract.
            state: The team's state.
            level: The work that its budget held before; None for a new team.
        """
        limit = self.work_limit(team)
        state.work_budget = RateBudget()
        used = 0.0 if level is None else max(limit.burst - level, 0.0)
        state.work_budget.charge(now, used, limit.rate)
        max_debt = limit.rate * MAX_DEBT_S * 1000.0
        state.work_budget.limit_debt(now, limit.rate, limit.burst, max_debt)
        state.rate_budgets = {
            query_class: budget
            for query_class, budget in state.rate_budgets.items()
            if query_class in team.terms
        }
        self.hold_back_inflow(now, team.name, state, limit.rate)
