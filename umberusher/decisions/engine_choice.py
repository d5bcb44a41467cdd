"""The choice of an engine for a request: the least loaded engine of a random control set."""

from __future__ import annotations

import random
from itertools import islice

from umberusher.decisions.concurrency_limit import ConcurrencyLimit
from umberusher.decisions.eligibility import Eligibility
from umberusher.decisions.engine import Engine
from umberusher.decisions.engine_pool import EnginePool
from umberusher.decisions.health_checks import HealthChecks
from umberusher.decisions.load_estimates import SURVEY_INTERVAL_MS, LoadEstimates
from umberusher.decisions.outlier_detection import OutlierDetection
from umberusher.decisions.request import Request
from umberusher.decisions.slow_start import SlowStart

# At most this many engines are tried for a request whose control set is empty.
MAX_SAMPLED_ENGINES = 8
# At most this many of them become candidates.
SAMPLED_SET_SIZE = 2


class EngineChoice:
    """Draws a new control set for each request and selects its least loaded engine."""

    def __init__(
        self,
        pool: EnginePool,
        eligibility: Eligibility,
        slow_start: SlowStart,
        outliers: OutlierDetection,
        loads: LoadEstimates,
        limit: ConcurrencyLimit,
        health_checks: HealthChecks,
        rng: random.Random,
    ) -> None:
        self._pool = pool
        self._eligibility = eligibility
        self._slow_start = slow_start
        self._outliers = outliers
        self._loads = loads
        self._limit = limit
        self._health_checks = health_checks
        self._rng = rng

    def choose(self, request: Request, now_ms: float) -> Engine | None:
        """Return the engine for a request; None if the request must wait."""
        pool = self._pool
        if not pool.up or not self._eligibility.may_attempt(request, now_ms):
            return None
        if pool.changed and now_ms - self._loads.surveyed_at >= SURVEY_INTERVAL_MS:
            self._loads.survey(now_ms)
            self._outliers.update_panic(now_ms)
        candidates = self._draw(request, now_ms)
        draw_uniform = self._rng.random
        load = self._loads.load
        threads = request.query_class.threads
        while candidates:
            # Ties are broken at random: otherwise brokers without load reports would all select the
            # first engine of the list.
            best = min(
                candidates,
                key=lambda engine: (load(engine, now_ms) + threads / engine.cores, draw_uniform()),
            )
            if self._health_checks.check_for(request, best, now_ms):
                return None
            if load(best, now_ms) >= self._limit.limit_for(
                request
            ) and not self._limit.has_reserved_share(request, now_ms):
                return None
            if self._slow_start.grant(request, best, now_ms):
                return best
            candidates.remove(best)
        return None

    def _draw(self, request: Request, now_ms: float) -> list[Engine]:
        """Draw the control set of a request: every engine by its own probability."""
        draw_uniform = self._rng.random
        fits = self.fits
        drawn = [
            engine
            for engine in self._pool.up
            if draw_uniform() < engine.selection_probability and fits(request, engine, now_ms)
        ]
        if not drawn:
            drawn = self._sample(request, now_ms)
        if not request.checked_engines:
            return drawn
        # Of the engines whose health was checked for this request, only those that have answered.
        answered = [
            engine
            for engine in request.checked_engines
            if self._loads.has_fresh_report(engine, now_ms) and fits(request, engine, now_ms)
        ]
        return [engine for engine in drawn if engine not in request.checked_engines] + answered

    def _sample(self, request: Request, now_ms: float) -> list[Engine]:
        """Return up to two engines in place of an empty draw, from the subset first.

        Engines that are allowed but not preferred are selected last.
        """
        pool = self._pool
        placed = request.query_class.zones or request.query_class.kinds
        bounded = not (request.unresolved or placed)
        for engines, preferred_only in ((pool.subset, True), (pool.up, True), (pool.up, False)):
            count = min(len(engines), MAX_SAMPLED_ENGINES) if bounded else len(engines)
            order = self._rng.sample(engines, count)
            fitting = (
                engine for engine in order if self.fits(request, engine, now_ms, preferred_only)
            )
            found = list(islice(fitting, SAMPLED_SET_SIZE))
            if found:
                return found
        return []

    def fits(
        self, request: Request, engine: Engine, now_ms: float, preferred_only: bool = True
    ) -> bool:
        """Return whether an engine may be a candidate for a request.

        Args:
            request: The request.
            engine: The engine.
            now_ms: The time.
            preferred_only: Also exclude the engine of the last attempt, and engines that run a load
                which locks the request's group, if the request waits for it or locks it too.
        """
        if engine.ejected_until > now_ms and not self._outliers.panic:
            return False
        if preferred_only:
            if engine is request.avoided_engine:
                return False
            query_class = request.query_class
            if (query_class.waits_for_load or query_class.locks_group) and engine.loads_by_group[
                request.group
            ]:
                return False
        return self._eligibility.may_use(request, engine, now_ms) and self._slow_start.may_grant(
            request, engine, now_ms
        )
