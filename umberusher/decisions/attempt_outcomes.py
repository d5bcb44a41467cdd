"""Handling of ended attempts: updates the estimates, then retries or answers the request."""

from __future__ import annotations

from umberusher.decisions.attempts_in_flight import AttemptsInFlight
from umberusher.decisions.concurrency_limit import ConcurrencyLimit
from umberusher.decisions.control_sets import ControlSets
from umberusher.decisions.eligibility import Eligibility
from umberusher.decisions.engine import Engine
from umberusher.decisions.events import AttemptEnded, AttemptOutcome, LoadReport
from umberusher.decisions.key_order import KeyOrder
from umberusher.decisions.latency_estimates import LatencyEstimates
from umberusher.decisions.load_estimates import LoadEstimates
from umberusher.decisions.open_requests import OpenRequests
from umberusher.decisions.outlier_detection import OutlierDetection
from umberusher.decisions.request import Attempt, Request
from umberusher.decisions.request_queue import RequestQueue
from umberusher.decisions.retry_budget import RetryBudget
from umberusher.decisions.settings import Idempotency, Limits
from umberusher.decisions.stalled_attempts import StalledAttempts

# After errors from this many engines the request itself is considered faulty.
MAX_ERRORS_PER_REQUEST = 2


class AttemptOutcomes:
    """Reports the end of an attempt to all estimators, then retries or answers its request."""

    def __init__(
        self,
        limits: Limits,
        in_flight: AttemptsInFlight,
        open_requests: OpenRequests,
        queue: RequestQueue,
        key_order: KeyOrder,
        eligibility: Eligibility,
        retry_budget: RetryBudget,
        estimates: LatencyEstimates,
        loads: LoadEstimates,
        limit: ConcurrencyLimit,
        control_sets: ControlSets,
        outliers: OutlierDetection,
        stalled_attempts: StalledAttempts,
    ) -> None:
        self._limits = limits
        self._in_flight = in_flight
        self._open_requests = open_requests
        self._queue = queue
        self._key_order = key_order
        self._eligibility = eligibility
        self._retry_budget = retry_budget
        self._estimates = estimates
        self._loads = loads
        self._limit = limit
        self._control_sets = control_sets
        self._outliers = outliers
        self._stalled_attempts = stalled_attempts

    def observe_end(self, event: AttemptEnded, now_ms: float) -> Attempt | None:
        """Process the end of an attempt; return the attempt, or None if it was not in flight."""
        attempt = self._in_flight.end(event.request, event.attempt, now_ms)
        if attempt is None:
            return None
        request = attempt.request
        outcome = event.outcome
        if outcome is not AttemptOutcome.SUCCEEDED and not outcome.never_ran:
            request.unresolved.append(attempt)
            if outcome is not AttemptOutcome.ERROR:
                # The attempt may still run, and the key's next request would overtake it.
                self._key_order.cool_down(request, now_ms)
        self._stalled_attempts.observe_end(attempt, event)
        self._update_estimates(request, attempt, event, now_ms)
        if event.report:
            self.observe_report(attempt.engine, event.report, now_ms)
        if event.request_closed:
            self._open_requests.end(request)
        elif not request.ended and not request.in_flight:
            self._retry_or_answer(request, attempt, outcome, now_ms)
        self._key_order.leave_if_done(request)
        return attempt

    def observe_report(self, engine: Engine, report: LoadReport, now_ms: float) -> None:
        """Process a load report; credit the sends since the last report by the reported load."""
        threads_per_attempt = self._in_flight.threads_per_attempt()
        threads = self._loads.observe_report(engine, report, threads_per_attempt, now_ms)
        if threads is not None:
            below_mean_load = threads / engine.cores < self._loads.mean_load
            self._control_sets.credit_sends(engine, below_mean_load)

    def _update_estimates(
        self, request: Request, attempt: Attempt, event: AttemptEnded, now_ms: float
    ) -> None:
        """Update selection probabilities, health and estimates by the outcome of an attempt."""
        engine = attempt.engine
        if event.outcome is AttemptOutcome.SUCCEEDED:
            self._outliers.observe_success(engine)
            self._count_served(request)
            self._estimates.observe_answer(request, event)
            self._limit.observe_answer(request, event)
            self._loads.observe_answer(attempt, event)
            self._outliers.attribute_errors(request, now_ms)
        elif event.outcome not in (AttemptOutcome.WITHDRAWN, AttemptOutcome.CANCELLED):
            self._control_sets.penalize_failure(engine)
            self._outliers.observe_failure(request, engine, event.outcome, now_ms)

    def _count_served(self, request: Request) -> None:
        """Count a served request towards the retry budget, unless it counted on arrival.

        Requests that no engine serves must not count: they would raise the budget of all clients.
        """
        if request.counts_for_retries or request.ended:
            return
        request.counts_for_retries = self._retry_budget.count_served(request.arrived_at)

    def _retry_or_answer(
        self, request: Request, attempt: Attempt, outcome: AttemptOutcome, now_ms: float
    ) -> None:
        """Queue one more attempt if the rules allow it, else send the final answer."""
        request.avoided_engine = attempt.engine
        non_idempotent = request.query_class.idempotency is Idempotency.NON_IDEMPOTENT
        if (
            outcome is not AttemptOutcome.WITHDRAWN
            and request.attempts_sent < self._limits.max_attempts
            and now_ms < request.deadline
            and len(request.failing_engines) < MAX_ERRORS_PER_REQUEST
            and not (non_idempotent and request.unresolved)
            and self._eligibility.may_repeat(request, attempt.engine, now_ms)
        ):
            self._queue.add_first(request)
        else:
            self._open_requests.answer(request)
