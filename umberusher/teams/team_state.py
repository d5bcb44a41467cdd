"""The open requests of one team at one broker, and the levels of its budgets."""

from __future__ import annotations

import math

from umberusher.teams.rate_budget import RateBudget

# Weight of each release in the moving average of the release rate, which covers about 16 releases.
RELEASE_RATE_GAIN = 1 / 16

# Maximum delay up to which the retries of rejected requests are staggered.
MAX_STAGGER_MS = 10_000.0

# Added to each delay: Retry-After is sent in whole milliseconds, and the budget must cover the
# request by then.
ROUNDING_MS = 1.0


class TeamState:
    """The budgets and open requests of a team.

    Attributes:
        work_budget: The budget of work.
        rate_budgets: The budgets of requests, by class.
        open_count: The number of open requests.
        threads: Threads that the open requests hold.
        memory_mb: Memory that the open requests hold.
        lent_ms: Work of open requests that run on borrowed work.
        retry_after_until_ms: By class, the latest retry time that was given to a rejected
            request.
        release_rate: Threads per millisecond that ending requests release.
    """

    __slots__ = (
        "_released_ms",
        "lent_ms",
        "memory_mb",
        "open_count",
        "rate_budgets",
        "release_rate",
        "retry_after_until_ms",
        "threads",
        "work_budget",
    )

    def __init__(self) -> None:
        self.work_budget = RateBudget()
        self.rate_budgets: dict[str, RateBudget] = {}
        self.open_count = 0
        self.threads = 0.0
        self.memory_mb = 0.0
        self.lent_ms = 0.0
        self.retry_after_until_ms: dict[str, float] = {}
        self.release_rate = 0.0
        self._released_ms = 0.0

    def acquire(self, threads: float, memory_mb: float) -> None:
        """Add an open request."""
        self.open_count += 1
        self.threads += threads
        self.memory_mb += memory_mb

    def release(self, now_ms: float, threads: float, memory_mb: float) -> None:
        """Remove an open request, and update the rate at which threads are released."""
        self.open_count -= 1
        self.threads = max(self.threads - threads, 0.0)
        self.memory_mb = max(self.memory_mb - memory_mb, 0.0)
        rate = threads / max(now_ms - self._released_ms, 1.0)
        if self._released_ms:
            self.release_rate += RELEASE_RATE_GAIN * (rate - self.release_rate)
        else:
            self.release_rate += rate
        self._released_ms = now_ms

    def stagger(self, now_ms: float, query_class: str, wait_ms: float, interval_ms: float) -> float:
        """Return the retry delay of a rejected request, an interval after the previous one's.

        Args:
            now_ms: The time now.
            query_class: The request's class.
            wait_ms: The time until the budgets cover the request.
            interval_ms: The time in which the budgets refill by one request.
        """
        previous_ms = self.retry_after_until_ms.get(query_class, 0.0)
        retry_at_ms = max(now_ms + wait_ms, previous_ms + interval_ms)
        if retry_at_ms > now_ms + MAX_STAGGER_MS or math.isinf(retry_at_ms):
            return max(wait_ms, MAX_STAGGER_MS)
        retry_at_ms += ROUNDING_MS
        if self.open_count or self.rate_budgets:
            # Otherwise this state is not kept, and such a request would have been admitted.
            self.retry_after_until_ms[query_class] = retry_at_ms
        return retry_at_ms - now_ms

    def is_idle(self, now_ms: float) -> bool:
        """Return whether nothing is open and all budgets are full."""
        if self.open_count or not self.work_budget.is_full(now_ms):
            return False
        return all(budget.is_full(now_ms) for budget in self.rate_budgets.values())
