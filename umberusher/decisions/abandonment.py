"""Abandonment: attempts that run far too slowly are cancelled and repeated elsewhere."""

from __future__ import annotations

from umberusher.decisions.actions import Action, CancelAttempt
from umberusher.decisions.eligibility import Eligibility
from umberusher.decisions.events import AttemptProgress, ProgressKind
from umberusher.decisions.request import Attempt, Request
from umberusher.decisions.settings import Idempotency, Limits

# An attempt whose projected time exceeds this multiple of the expected latency has a bad query
# plan or an unhealthy engine.
MAX_PROJECTED_FACTOR = 4.0
# Below this multiple of the expected latency, the remaining time does not justify the work of a
# repeat.
MIN_REMAINING_FACTOR = 2
# Limit for each request.
MAX_ABANDONED_ATTEMPTS = 2
# Lower progress counts as this when the remaining time is projected.
MIN_PROGRESS = 0.01


class Abandonment:
    """Decides whether to cancel a slow attempt, where engines support cancellation."""

    def __init__(self, limits: Limits, eligibility: Eligibility, actions: list[Action]) -> None:
        self._limits = limits
        self._eligibility = eligibility
        self._actions = actions

    def observe_progress(
        self, request: Request, attempt: Attempt, event: AttemptProgress, now_ms: float
    ) -> None:
        """Record the progress of an attempt; cancel it where a new attempt would finish sooner."""
        if attempt.cancelled or request.streaming or event.kind is not ProgressKind.PROGRESS:
            return
        attempt.progress = event.value
        if event.value >= 1 or not self._limits.cancellation:
            return
        elapsed_ms = now_ms - attempt.sent_at
        remaining_ms = elapsed_ms * (1 - event.value) / max(event.value, MIN_PROGRESS)
        expected_ms = attempt.expected_ms
        if (
            elapsed_ms + remaining_ms > MAX_PROJECTED_FACTOR * expected_ms
            and remaining_ms > MIN_REMAINING_FACTOR * expected_ms
            and self._may_repeat(request, attempt, now_ms)
        ):
            request.abandoned_attempts += 1
            attempt.cancelled = True
            self._actions.append(CancelAttempt(request.id, event.attempt))

    def _may_repeat(self, request: Request, attempt: Attempt, now_ms: float) -> bool:
        """Return whether a further attempt is allowed and fits the deadline."""
        return (
            request.query_class.idempotency is not Idempotency.NON_IDEMPOTENT
            and request.abandoned_attempts < MAX_ABANDONED_ATTEMPTS
            and request.attempts_sent < self._limits.max_attempts
            and now_ms + attempt.expected_ms <= request.deadline
            and self._eligibility.may_repeat(request, attempt.engine, now_ms)
        )
