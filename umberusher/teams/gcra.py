"""A budget that refills at a rate up to a burst, as one number: the generic cell rate algorithm, with costs.

Source: ITU-T Recommendation I.371 (the virtual scheduling form). The number is the moment at which the budget will be
full again; a cost moves it on by cost/rate. Owns levels, debts and waits. Time is in milliseconds, rates in units a
millisecond.
"""

from __future__ import annotations


class Budget:
    """One budget. It starts full."""

    __slots__ = ("full_ms",)

    def __init__(self, full_ms: float = 0.0) -> None:
        self.full_ms = full_ms

    def level(self, now_ms: float, rate: float, burst: float) -> float:
        """What is there; below 0 where there is a debt."""
        return burst - max(self.full_ms - now_ms, 0.0) * rate

    def full(self, now_ms: float) -> bool:
        """Whether it holds its burst: from here on what comes in flows over."""
        return self.full_ms <= now_ms

    def has(self, now_ms: float, cost: float, rate: float, burst: float) -> bool:
        """Whether a cost may be taken. One that is dearer than the burst may when the budget is full: else never."""
        return self.full(now_ms) or self.level(now_ms, rate, burst) >= cost

    def take(self, now_ms: float, cost: float, rate: float) -> None:
        """Charge a cost, whatever is there; a negative one gives back."""
        if rate <= 0.0:
            self.full_ms = float("inf") if cost > 0 else self.full_ms
            return
        self.full_ms = max(self.full_ms, now_ms) + cost / rate

    def wait_ms(self, now_ms: float, cost: float, rate: float, burst: float) -> float:
        """How long until the cost may be taken, if nothing else is."""
        if rate <= 0.0:
            return float("inf")
        wanted = min(cost, burst)
        return max(self.full_ms - now_ms - (burst - wanted) / rate, 0.0)

    def forgive(self, now_ms: float, rate: float, burst: float, most: float) -> float:
        """Bound the debt to ``most``; what was forgiven."""
        over = -self.level(now_ms, rate, burst) - most
        if over <= 0.0 or rate <= 0.0:
            return 0.0
        self.full_ms -= over / rate
        return over
