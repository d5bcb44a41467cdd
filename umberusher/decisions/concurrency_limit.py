"""Concurrency limit: the load up to which requests are sent, learned from late answers."""

from __future__ import annotations

from umberusher.decisions.arrival_rate import ArrivalRate
from umberusher.decisions.attempts_in_flight import AttemptsInFlight
from umberusher.decisions.engine_pool import EnginePool
from umberusher.decisions.events import AttemptEnded
from umberusher.decisions.latency_estimates import MIN_ELAPSED_MS, LatencyEstimates
from umberusher.decisions.load_estimates import LoadEstimates
from umberusher.decisions.request import Request
from umberusher.decisions.request_queue import RequestQueue

# Threads a core above which a request is queued, at the start; engines lose output past 1 to 2.
INITIAL_LIMIT = 2.4
MIN_LIMIT = 0.6
MAX_LIMIT = 3.2
# Fraction of the limit that an attempt too slow for its objective takes; more starves the longer
# classes.
DECREASE_FRACTION = 0.012
# What a timely attempt adds while requests are queued: about one slow in four is borne.
INCREASE = 0.01
# A step is taken up to this many times where a broker has few requests to learn from.
MAX_STEP_FACTOR = 10.0
# Mean gap between requests from which steps grow.
STEP_GAP_MS = 20.0
# Fraction of a request's objective that its attempt may take.
MAX_OBJECTIVE_FRACTION = 0.5
# Short requests, and those that keep order, for whose end a whole key waits, may go above it by
# this factor.
SHORT_FACTOR = 1.6
# The limit of requests past their objective: they only fill what is idle.
PAST_OBJECTIVE_LIMIT = 0.9
# Fraction of the limit, over the brokers, that this one may always use, whatever is reported.
RESERVED_FRACTION = 0.4
MIN_RESERVED_THREADS = 0.001


class ConcurrencyLimit:
    """The learned limit, in threads a core.

    Attributes:
        threads_per_core: Load from which requests are queued.
    """

    def __init__(
        self,
        pool: EnginePool,
        in_flight: AttemptsInFlight,
        estimates: LatencyEstimates,
        loads: LoadEstimates,
        arrivals: ArrivalRate,
        queue: RequestQueue,
    ) -> None:
        self.threads_per_core = INITIAL_LIMIT
        self._pool = pool
        self._in_flight = in_flight
        self._estimates = estimates
        self._loads = loads
        self._arrivals = arrivals
        self._queue = queue

    def limit_for(self, request: Request) -> float:
        """Return the load up to which this request may be sent."""
        keeps_order = request.key is not None
        # The head of a key queue keeps its limit when late: all behind it wait until it has run.
        if request.past_objective and not keeps_order:
            return PAST_OBJECTIVE_LIMIT
        if keeps_order or self._estimates.is_short(request):
            return self.threads_per_core * SHORT_FACTOR
        return self.threads_per_core

    def has_reserved_share(self, request: Request, now_ms: float) -> bool:
        """Return whether the part of the pool that is this broker's own has room.

        Guards against late load reports, which must not stop all sends.
        """
        reserved = RESERVED_FRACTION * self.limit_for(request) * self._pool.own_cores
        threads = request.query_class.threads
        # A share smaller than the request is measured with the request in it.
        needed = threads if reserved < threads else 0.0
        excess = self._in_flight.threads + needed - reserved
        if excess > 0 and not self._in_flight.attempts:
            idle_ms = now_ms - self._in_flight.last_end_at
            expected_ms = self._estimates.expected_ms(request)
            return idle_ms >= expected_ms * excess / max(reserved, MIN_RESERVED_THREADS)
        return excess <= 0

    def observe_answer(self, request: Request, event: AttemptEnded) -> None:
        """Lower the limit after a slow attempt; raise it after a timely one while others wait."""
        step_factor = 1.0
        # Only where load reports say that it is crowded: slow answers of engines that report
        # nothing or warm up move it no faster.
        if self._loads.mean_load > self.threads_per_core:
            step_factor = min(max(self._arrivals.mean_gap_ms / STEP_GAP_MS, 1.0), MAX_STEP_FACTOR)
        objective_ms = self._estimates.objective_at(request) - request.arrived_at
        if max(event.elapsed_ms, MIN_ELAPSED_MS) > MAX_OBJECTIVE_FRACTION * objective_ms:
            self.threads_per_core = max(
                self.threads_per_core * (1 - DECREASE_FRACTION * step_factor), MIN_LIMIT
            )
        elif self._queue.holds_timely_requests():
            self.threads_per_core = min(self.threads_per_core + INCREASE * step_factor, MAX_LIMIT)
