"""The time budget of a request: its deadline, the remaining time and the time limit for an engine.

No attempt is sent that could start at the engine after the request's deadline.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MIN_ENGINE_TTL_MS = 1  # the shortest time that the engines' protocol can express


class BudgetExhausted(Enum):
    """Why no attempt may be sent any more; the values are label values of the metrics."""

    EXPIRED = "OVER"
    """The deadline has passed."""

    NETWORK_DELAY = "NO_WAY"
    """The network delay exceeds the remaining time."""


@dataclass(slots=True, frozen=True)
class TimeBudget:
    """The time budget of a request, on the broker's timeline.

    It may be exhausted from the start: a client may send a request without any time, or too late.
    """

    received_ms: float
    deadline_ms: float

    def remaining_ms(self, now_ms: float) -> float:
        """Return the time until the deadline; negative once it has passed."""
        return self.deadline_ms - now_ms

    def engine_ttl_ms(
        self, now_ms: float, network_delay_ms: float, timeout_at_ms: float | None = None
    ) -> int | BudgetExhausted:
        """Return the time limit for an engine, which counts it from receipt of the request.

        Truncated to whole milliseconds, never rounded up, so that a query that starts in the last
        of them starts in time.

        Args:
            now_ms: The current time.
            network_delay_ms: The upper bound of the time until the engine has the request.
            timeout_at_ms: When the attempt times out, if that is before the request's deadline.
        """
        end_ms = self.deadline_ms
        if timeout_at_ms is not None and timeout_at_ms < end_ms:
            end_ms = timeout_at_ms
        if end_ms <= now_ms:
            return BudgetExhausted.EXPIRED
        ttl_ms = int(end_ms - now_ms - network_delay_ms)
        if ttl_ms < MIN_ENGINE_TTL_MS:
            return BudgetExhausted.NETWORK_DELAY
        return ttl_ms
