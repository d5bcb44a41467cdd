"""The timer that wakes up the load balancer for queued and due requests."""

from __future__ import annotations

import math

from umberusher.decisions.actions import Action, SetTimer
from umberusher.decisions.arrival_rate import ArrivalRate
from umberusher.decisions.request_queue import RequestQueue
from umberusher.decisions.request_review import REVIEW_INTERVAL_MS, RequestReview

TIMER_TOKEN = "tick"
# Placement of queued requests is retried after ``GAP_FRACTION`` of the mean gap between arrivals,
# bounded by ``REVIEW_INTERVAL_MS`` and ``MAX_INTERVAL_MS``: less traffic needs fewer retries.
MAX_INTERVAL_MS = 100.0
GAP_FRACTION = 0.35
# No shorter timer is requested, because the clocks of brokers are rounded.
MIN_DELAY_MS = 1.0


class WakeUpTimer:
    """Keeps a timer set while any request is queued or due for review."""

    def __init__(
        self,
        review: RequestReview,
        queue: RequestQueue,
        arrivals: ArrivalRate,
        actions: list[Action],
    ) -> None:
        self._review = review
        self._queue = queue
        self._arrivals = arrivals
        self._actions = actions
        self._wake_up_at = -math.inf

    def set(self, now_ms: float) -> None:
        """Request a timer, unless one fires in time or no request waits."""
        needed_at = self._review.next_due_at()
        if self._queue.requests:
            interval_ms = max(REVIEW_INTERVAL_MS, GAP_FRACTION * self._arrivals.mean_gap_ms)
            needed_at = min(needed_at, now_ms + min(interval_ms, MAX_INTERVAL_MS))
        earliest = now_ms + MIN_DELAY_MS
        if needed_at < math.inf and not earliest < self._wake_up_at <= needed_at:
            self._wake_up_at = max(needed_at, earliest)
            self._actions.append(SetTimer(TIMER_TOKEN, self._wake_up_at - now_ms))
