"""Concurrency limit: the load up to which requests are sent, learned from slow answers."""

from __future__ import annotations

from umberusher.decisions.arrival_rate import ArrivalRate
from umberusher.decisions.attempts_in_flight import AttemptsInFlight
from umberusher.decisions.engine_pool import EnginePool
from umberusher.decisions.events import AttemptEnded
from umberusher.decisions.latency_estimates import MIN_ELAPSED_MS, LatencyEstimates
from umberusher.decisions.load_estimates import LoadEstimates
from umberusher.decisions.request import Request
from umberusher.decisions.request_queue import RequestQueue

# Initial, least and largest limit, in threads per core. The throughput of an engine falls above 1
# to 2 threads per core.
INITIAL_LIMIT = 2.4
MIN_LIMIT = 0.6
MAX_LIMIT = 3.2
# An attempt that is too slow for its objective lowers the limit by this fraction; a larger one
# starves the classes of long requests.
DECREASE_FRACTION = 0.012
# A timely attempt raises the limit by this while requests are queued. With these two steps the
# limit tolerates about one slow answer in four.
INCREASE = 0.01
# Steps are multiplied by up to this factor where a broker has few requests to learn from.
MAX_STEP_FACTOR = 10.0
# Mean gap between requests above which steps grow.
STEP_GAP_MS = 20.0
# An attempt that takes more than this fraction of its request's objective is slow.
MAX_OBJECTIVE_FRACTION = 0.5
# The limit is multiplied by this for short requests and for ordered requests, because all later
# requests of a key wait for an ordered one.
SHORT_FACTOR = 1.6
# Limit of requests past their objective: they only use idle capacity.
PAST_OBJECTIVE_LIMIT = 0.9
# This fraction of a broker's share of the limit may be used whatever the load reports say.
RESERVED_FRACTION = 0.4
# Prevents a division by zero.
MIN_RESERVED_THREADS = 0.001


class ConcurrencyLimit:
    """The learned limit, in threads per core.

    Attributes:
        threads_per_core: Load above which requests are queued.
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
        """Return whether the reserved share of this broker has free capacity for the request.

        Without a reserved share, late load reports could stop all sends.
        """
        reserved = RESERVED_FRACTION * self.limit_for(request) * self._pool.own_cores
        threads = request.query_class.threads
        # Where the share is smaller than the request, the request itself counts as used.
        needed = threads if reserved < threads else 0.0
        excess = self._in_flight.threads + needed - reserved
        if excess > 0 and not self._in_flight.attempts:
            idle_ms = now_ms - self._in_flight.last_end_at
            expected_ms = self._estimates.expected_ms(request)
            return idle_ms >= expected_ms * excess / max(reserved, MIN_RESERVED_THREADS)
        return excess <= 0

    def observe_answer(self, request: Request, event: AttemptEnded) -> None:
        """Lower the limit after a slow attempt; raise it after a timely one if others wait."""
        step_factor = 1.0
        # Steps grow only where load reports confirm the overload: slow answers of engines that
        # report nothing or are warming up keep the ordinary step.
        if self._loads.mean_load > self.threads_per_core:
            step_factor = min(max(self._arrivals.mean_gap_ms / STEP_GAP_MS, 1.0), MAX_STEP_FACTOR)
        objective_ms = self._estimates.objective_at(request) - request.arrived_at
        if max(event.elapsed_ms, MIN_ELAPSED_MS) > MAX_OBJECTIVE_FRACTION * objective_ms:
            self.threads_per_core = max(
                self.threads_per_core * (1 - DECREASE_FRACTION * step_factor), MIN_LIMIT
            )
        elif self._queue.holds_timely_requests():
            self.threads_per_core = min(self.threads_per_core + INCREASE * step_factor, MAX_LIMIT)
