"""Slow start: limits the load that all brokers send to an engine that is warming up."""

from __future__ import annotations

import random

from umberusher.decisions.engine import Engine
from umberusher.decisions.engine_pool import EnginePool
from umberusher.decisions.latency_estimates import LatencyEstimates
from umberusher.decisions.request import Request
from umberusher.decisions.settings import Rules

# Fraction of an engine's budget that the brokers grant as credit, and number of windows whose
# credit may be saved. Both spent within one window are the whole budget.
BUDGET_FRACTION = 0.65
MAX_SAVED_WINDOWS = 0.5
# Largest request that may be sent to a warming-up engine, as a fraction of the whole budget.
MAX_REQUEST_FRACTION = 0.9
# Fraction of a core's output that counts as capacity.
CAPACITY_FRACTION = 0.85


class SlowStart:
    """Slow-start credit of warming-up engines.

    The brokers that have an engine in their subset share its budget of calls. A credit that is too
    small for one call is spent on a random draw that wins in proportion to it, so that the expected
    sum over all brokers stays within the budget.
    """

    def __init__(
        self, rules: Rules, pool: EnginePool, estimates: LatencyEstimates, rng: random.Random
    ) -> None:
        self._pool = pool
        self._estimates = estimates
        self._rng = rng
        self._warm_up_ms = rules.warm_up_ms or 0.0
        self._warm_up_floor = rules.warm_up_floor or 0.0
        self._overload_multiple = rules.overload_multiple or 0.0
        self._window_ms = rules.overload_window_ms or 0.0
        self._warms_up = None not in (rules.warm_up_floor, rules.warm_up_ms)
        self._budgeted = self._warms_up and None not in (
            rules.overload_multiple,
            rules.overload_window_ms,
        )
        self._budgeted_for_ms = self._warm_up_ms + self._window_ms

    def warm_up_progress(self, engine: Engine, now_ms: float) -> float:
        """Return the least fraction of its capacity that an engine has by now."""
        if engine.started_ms is None or not self._warms_up:
            return 1.0
        elapsed = max(now_ms - engine.started_ms, 0.0) / max(self._warm_up_ms, 1.0)
        return min(self._warm_up_floor + (1 - self._warm_up_floor) * elapsed, 1.0)

    def is_budgeted(self, engine: Engine, now_ms: float) -> bool:
        """Return whether the rules currently limit the load that all brokers send to an engine."""
        return (
            self._budgeted
            and engine.started_ms is not None
            and now_ms - engine.started_ms <= self._budgeted_for_ms
        )

    def may_grant(self, request: Request, engine: Engine, now_ms: float) -> bool:
        """Return whether ``grant`` could succeed for a request; this changes no state."""
        if not self.is_budgeted(engine, now_ms):
            return True
        share = self._share_calls(engine, self._window_work_ms(engine, now_ms))
        cost = self._cost_calls(request)
        return cost > MAX_SAVED_WINDOWS * share or self._credit_calls(engine, share, now_ms) > cost

    def grant(self, request: Request, engine: Engine, now_ms: float) -> bool:
        """Reserve credit for a request that is about to be sent; return False if there is none."""
        if not self.is_budgeted(engine, now_ms):
            return True
        window_work_ms = self._window_work_ms(engine, now_ms)
        if self._estimates.work_ms(request) > MAX_REQUEST_FRACTION * window_work_ms:
            return False
        share = self._share_calls(engine, window_work_ms)
        cost = self._cost_calls(request)
        credit = self._credit_calls(engine, share, now_ms)
        # A broker whose share is too small to ever save this cost draws for it at random instead.
        by_lottery = cost > MAX_SAVED_WINDOWS * share
        granted = credit > cost * (self._rng.random() if by_lottery else 1.0)
        engine.credit_updated_at = now_ms
        engine.slow_start_credit = max(credit - cost, 0.0) if granted or by_lottery else credit
        if granted:
            request.slow_start_grant = engine
        return granted

    def _window_work_ms(self, engine: Engine, now_ms: float) -> float:
        """Return the work that overloads the engine if it arrives within one window."""
        return (
            self._overload_multiple
            * CAPACITY_FRACTION
            * engine.cores
            * self.warm_up_progress(engine, now_ms)
            * self._window_ms
        )

    def _share_calls(self, engine: Engine, window_work_ms: float) -> float:
        """Return this broker's share of the engine's calls in a window."""
        pool = self._pool
        return (
            BUDGET_FRACTION
            * window_work_ms
            / self._estimates.mean_work_ms
            * len(pool.up)
            / (len(pool.subset) * engine.broker_count)
        )

    def _credit_calls(self, engine: Engine, share: float, now_ms: float) -> float:
        """Return the calls that this broker's saved credit allows on the engine."""
        gained = share * (now_ms - engine.credit_updated_at) / (self._window_ms or 1.0)
        return min(engine.slow_start_credit + gained, MAX_SAVED_WINDOWS * share)

    def _cost_calls(self, request: Request) -> float:
        """Return the cost of a request in calls: half for the call, half by its work."""
        return (1 + self._estimates.work_ms(request) / self._estimates.mean_work_ms) / 2
