"""A budget that refills at a rate up to a burst: the generic cell rate algorithm, with costs.

Source: ITU-T Recommendation I.371 (the virtual scheduling form). The state is one number, the time
at which the budget will be full again; a charge moves it later by cost/rate. Times are in
milliseconds, rates in units per millisecond.
"""

from __future__ import annotations

from typing import NamedTuple


class RateLimit(NamedTuple):
    """The refill rate of a budget, and the maximum that it holds."""

    rate: float
    burst: float


class RateBudget:
    """One budget; it starts full.

    Attributes:
        full_ms: The time at which the budget is full again, if nothing else is charged.
    """

    __slots__ = ("full_ms",)

    def __init__(self, full_ms: float = 0.0) -> None:
        self.full_ms = full_ms

    def level(self, now_ms: float, rate: float, burst: float) -> float:
        """Return the level of the budget; a debt is negative."""
        return burst - max(self.full_ms - now_ms, 0.0) * rate

    def is_full(self, now_ms: float) -> bool:
        """Return whether the budget holds its full burst, so that further inflow is lost to it."""
        return self.full_ms <= now_ms

    def can_afford(self, now_ms: float, cost: float, rate: float, burst: float) -> bool:
        """Return whether a cost may be charged.

        A cost above the burst may be charged when the budget is full; otherwise it never could be.
        """
        return self.is_full(now_ms) or self.level(now_ms, rate, burst) >= cost

    def charge(self, now_ms: float, cost: float, rate: float) -> None:
        """Charge a cost regardless of the level; a negative cost is a refund."""
        if rate > 0.0:
            self.full_ms = max(self.full_ms, now_ms) + cost / rate
        elif cost > 0.0:
            self.full_ms = float("inf")

    def wait_ms(self, now_ms: float, cost: float, rate: float, burst: float) -> float:
        """Return how long it takes until the cost can be afforded, if nothing else is charged."""
        if rate <= 0.0:
            return float("inf")
        needed = min(cost, burst)
        return max(self.full_ms - now_ms - (burst - needed) / rate, 0.0)

    def limit_debt(self, now_ms: float, rate: float, burst: float, max_debt: float) -> float:
        """Reduce the debt to its maximum; return the amount that was forgiven."""
        excess = -self.level(now_ms, rate, burst) - max_debt
        if excess <= 0.0 or rate <= 0.0:
            return 0.0
        self.full_ms -= excess / rate
        return excess
