"""Health checks: which engines are checked, and which requests wait for the result."""

from __future__ import annotations

import math

from umberusher.decisions.actions import Action, CheckHealth
from umberusher.decisions.engine import Engine
from umberusher.decisions.engine_pool import EnginePool
from umberusher.decisions.events import HealthCheckEnded
from umberusher.decisions.latency_estimates import LatencyEstimates
from umberusher.decisions.load_estimates import LoadEstimates
from umberusher.decisions.request import Request
from umberusher.decisions.request_queue import RequestQueue
from umberusher.decisions.settings import Limits

# An engine whose turn it is isn't checked again within this time.
MIN_INTERVAL_MS = 1_000.0
# Health checks for each request, on average.
CHECKS_PER_REQUEST = 0.2
# Credit for health checks that may accumulate, for each engine.
MAX_CREDIT_PER_ENGINE = 2.0
# At most this many engines are checked for one costly request before it is sent.
MAX_CHECKS_PER_REQUEST = 2
# Longest time that a request waits for each of these checks.
MAX_WAIT_MS = 250.0
# No request waits for a health check while a smaller fraction of them is answered in time.
MIN_ANSWERED_FRACTION = 0.5
# Weight of a new health check in that fraction.
ANSWERED_WEIGHT = 0.2


class HealthChecks:
    """Schedules health checks.

    Attributes:
        answered_fraction: Fraction of checks that return a load report within the time that a
            request would wait.
    """

    def __init__(
        self,
        limits: Limits,
        pool: EnginePool,
        estimates: LatencyEstimates,
        loads: LoadEstimates,
        queue: RequestQueue,
        actions: list[Action],
    ) -> None:
        self.answered_fraction = 1.0
        self._limits = limits
        self._pool = pool
        self._estimates = estimates
        self._loads = loads
        self._queue = queue
        self._actions = actions
        self._credit = 0.0

    def observe_arrival(self) -> None:
        """Add the credit of one arriving request."""
        max_credit = MAX_CREDIT_PER_ENGINE * len(self._pool.engines)
        self._credit = min(self._credit + CHECKS_PER_REQUEST, max_credit)

    def check_due_engines(self, now_ms: float) -> None:
        """Check the engines of the subset in turn, at a rate that follows the traffic.

        Where health checks are allowed, engines send load reports only on request.
        """
        while self._limits.health_checks and self._credit >= 1 and self._pool.subset:
            engine = min(self._pool.subset, key=lambda item: item.health_checked_at)
            if now_ms - engine.health_checked_at < MIN_INTERVAL_MS:
                return
            engine.health_checked_at = now_ms
            self._credit -= 1
            self._actions.append(CheckHealth(engine.id))

    def check_for(self, request: Request, engine: Engine, now_ms: float) -> bool:
        """Check an engine for a costly request; return whether the request waits for the result.

        The checks in turn are too rare to guide the choice of an engine for the most costly
        requests, which are few.
        """
        if (
            not self._limits.health_checks
            or self.answered_fraction < MIN_ANSWERED_FRACTION
            or self._estimates.is_short(request)
            or self._loads.has_fresh_report(engine, now_ms)
            or len(request.checked_engines) >= MAX_CHECKS_PER_REQUEST
        ):
            return False
        request.checked_engines.append(engine)
        request.health_check_until = now_ms + MAX_WAIT_MS
        engine.health_checked_at = now_ms
        self._credit = max(self._credit - 1, 0.0)
        self._actions.append(CheckHealth(engine.id))
        return True

    def observe_end(self, engine: Engine, event: HealthCheckEnded) -> None:
        """Record whether the check was answered in time; release the requests that wait for it."""
        in_time = event.report is not None and event.elapsed_ms < MAX_WAIT_MS
        self.answered_fraction += ANSWERED_WEIGHT * (in_time - self.answered_fraction)
        for request in self._queue.requests:
            if request.checked_engines and request.checked_engines[-1] is engine:
                request.health_check_until = -math.inf
