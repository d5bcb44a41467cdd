"""Retry budget: the number of retries allowed by the requests of a time window."""

from __future__ import annotations

import bisect
from collections import deque

from umberusher.decisions.settings import Rules


class RetryBudget:
    """Compares the retries of the last window with its eligible requests.

    Both windows are closed at both ends. Retries are kept for the connect timeout longer than the
    window, because engines count a retry when it reaches them, after its connection is made.

    Attributes:
        requests: Arrival times of the eligible requests of the window, in order.
        retries: Times of the retries of the window, in order.
    """

    def __init__(self, rules: Rules, connect_timeout_ms: float) -> None:
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()
        self._rules = rules
        self._connect_timeout_ms = connect_timeout_ms

    def count_arrival(self, now_ms: float) -> None:
        """Count an eligible request that arrives."""
        if self._rules.retry_budget_window_ms is not None:
            self.requests.append(now_ms)
            # Discards the entries that are older than the window.
            self.allows_retry(now_ms)

    def count_served(self, arrived_at: float) -> bool:
        """Count a request that becomes eligible once served; return False without a budget."""
        if self._rules.retry_budget_window_ms is None:
            return False
        bisect.insort(self.requests, arrived_at)
        return True

    def count_retry(self, now_ms: float) -> None:
        """Count a retry that is sent."""
        if self._rules.retry_budget_window_ms is not None:
            self.retries.append(now_ms)

    def allows_retry(self, now_ms: float) -> bool:
        """Return whether the window allows one more retry; discard the entries older than it."""
        rules = self._rules
        if rules.retry_budget_window_ms is None:
            return True
        since = now_ms - rules.retry_budget_window_ms
        requests = self.requests
        while requests and requests[0] <= since:
            requests.popleft()
        retries = self.retries
        while retries and retries[0] < since - self._connect_timeout_ms:
            retries.popleft()
        allowed = (rules.retry_budget_floor or 0) + (rules.retry_budget_ratio or 0) * len(requests)
        return len(retries) + 1 <= allowed
