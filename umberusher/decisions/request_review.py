"""Review of due requests: each is answered, abandoned or kept past its objective."""

from __future__ import annotations

import heapq
import math

from umberusher.decisions.actions import Action, CancelAttempt
from umberusher.decisions.key_order import KeyOrder
from umberusher.decisions.latency_estimates import LatencyEstimates
from umberusher.decisions.open_requests import OpenRequests
from umberusher.decisions.priorities import Priorities
from umberusher.decisions.request import Request
from umberusher.decisions.request_queue import RequestQueue
from umberusher.decisions.settings import Idempotency, Settings

# Final answers are sent this long before the client's deadline, plus two ticks of the broker.
ANSWER_MARGIN_MS = 15.0
# Longest time between two reviews of queued requests: a review may be this late.
REVIEW_INTERVAL_MS = 20.0
# A queued request is due for review when this fraction of its expected latency no longer fits
# before its objective, or before its deadline once it is past its objective.
MIN_EXPECTED_FRACTION = 0.8
# A queued request past its objective is kept if its late weight is at least this.
MIN_LATE_WEIGHT = 0.15
# An attempt past its objective continues if a larger fraction of it is done.
NEARLY_DONE_FRACTION = 0.5
# A request is not reviewed again within this time: the clocks of brokers are rounded.
MIN_DELAY_MS = 1.0


class RequestReview:
    """Schedules and performs the reviews of open requests."""

    def __init__(
        self,
        settings: Settings,
        estimates: LatencyEstimates,
        queue: RequestQueue,
        key_order: KeyOrder,
        open_requests: OpenRequests,
        priorities: Priorities,
        actions: list[Action],
    ) -> None:
        self._limits = settings.limits
        self._send_delay_ms = 2 * settings.tick_ms
        self._estimates = estimates
        self._queue = queue
        self._key_order = key_order
        self._open_requests = open_requests
        self._priorities = priorities
        self._actions = actions
        # Time of the next review, order of arrival, request.
        self._due: list[tuple[float, int, Request]] = []
        self._arrival_count = 0

    def add(self, request: Request) -> None:
        """Schedule the first review of a request that has arrived."""
        self._arrival_count += 1
        heapq.heappush(self._due, (self._due_at(request), self._arrival_count, request))

    def next_due_at(self) -> float:
        """Return the time of the next review; infinity where no request is open."""
        due = self._due
        while due and due[0][2].ended:
            heapq.heappop(due)
        return due[0][0] if due else math.inf

    def review(self, now_ms: float) -> None:
        """Review all due requests."""
        self._key_order.forget_idle(now_ms)
        # The expected latency of a queued request may have grown since its review was scheduled.
        for request in [item for item in self._queue.requests if now_ms >= self._due_at(item)]:
            self._end_or_lower(request, now_ms)
        due = self._due
        while due and due[0][0] <= now_ms:
            _, arrival_number, request = heapq.heappop(due)
            if request.ended or request.streaming:
                continue
            if now_ms >= self._due_at(request):
                self._end_or_lower(request, now_ms)
            if not request.ended:
                due_at = max(self._due_at(request), now_ms + MIN_DELAY_MS)
                heapq.heappush(due, (due_at, arrival_number, request))

    def _answer_by(self, request: Request) -> float:
        """Return the time by which the final answer must be sent."""
        return request.deadline - ANSWER_MARGIN_MS - self._send_delay_ms - REVIEW_INTERVAL_MS

    def _due_at(self, request: Request) -> float:
        """Return the time when a request must be answered, or misses its objective."""
        needed_ms = 0.0
        if not request.in_flight:
            needed_ms = MIN_EXPECTED_FRACTION * self._estimates.expected_ms(request)
        if request.past_objective:
            until = request.deadline
        else:
            until = self._estimates.objective_at(request)
        return min(self._answer_by(request), until - needed_ms)

    def _end_or_lower(self, request: Request, now_ms: float) -> None:
        """Answer a request at once if it no longer fits its deadline; else keep or lower it."""
        if request.past_objective or now_ms >= self._answer_by(request):
            self._open_requests.answer(request)
        else:
            self.handle_missed_objective(request)

    def handle_missed_objective(self, request: Request) -> None:
        """Keep a request if a late answer has enough weight, else end it."""
        request.past_objective = True
        if request.queued:
            self._queue.remove(request)
            self._queue.add(request)
        if not request.in_flight:
            if request.query_class.late_weight < MIN_LATE_WEIGHT:
                self._open_requests.answer(request)
        elif self._limits.cancellation:
            self._give_up(request)
        elif not request.query_class.locks_group:
            self._priorities.lower(request)

    def _give_up(self, request: Request) -> None:
        """Cancel attempts that are far from done and answer the request.

        Timely requests need their threads. Nothing changes for a non-idempotent request, or if an
        attempt is nearly done.
        """
        if request.query_class.idempotency is Idempotency.NON_IDEMPOTENT:
            return
        if any(attempt.progress > NEARLY_DONE_FRACTION for attempt in request.in_flight.values()):
            return
        for number in request.in_flight:
            self._actions.append(CancelAttempt(request.id, number))
        self._open_requests.answer(request)
