"""Request queue: the requests that wait for an engine, in the order of placement."""

from __future__ import annotations

import bisect

from umberusher.decisions.latency_estimates import LatencyEstimates
from umberusher.decisions.request import Request

# Lower bound of the work by which the weight of a request is divided.
MIN_WORK_MS = 1.0


def _rank(request: Request) -> tuple[bool, float]:
    return request.queue_rank


class RequestQueue:
    """Queued requests: those within their objective first, then by weight per work."""

    def __init__(self, estimates: LatencyEstimates) -> None:
        self.requests: list[Request] = []
        self._estimates = estimates

    def add(self, request: Request) -> None:
        """Queue a request after those of the same rank."""
        if self._mark_queued(request):
            bisect.insort_right(self.requests, request, key=_rank)

    def add_first(self, request: Request) -> None:
        """Queue a request for a retry before those of the same rank."""
        if self._mark_queued(request):
            bisect.insort_left(self.requests, request, key=_rank)

    def _mark_queued(self, request: Request) -> bool:
        if request.queued or request.ended:
            return False
        request.queued = True
        work_ms = max(self._estimates.work_ms(request), MIN_WORK_MS)
        request.queue_rank = (request.past_objective, -request.priority_weight / work_ms)
        return True

    def remove(self, request: Request) -> None:
        """Remove a request if it is queued."""
        if request.queued:
            request.queued = False
            self.requests.remove(request)

    def holds_timely_requests(self) -> bool:
        """Return whether any queued request can still meet its objective."""
        return bool(self.requests) and not self.requests[0].past_objective
