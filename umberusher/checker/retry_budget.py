"""The rule that bounds the retries of a broker within a sliding window."""

from __future__ import annotations

from collections import deque

from umberusher.checker.breaches import BreachLog, Rule
from umberusher.checker.settings import RETRY_BUDGET_SLACK, RuleSettings


class RetryBudget:
    """Times of the requests and retries of each broker within the window."""

    __slots__ = ("_breaches", "_requests_ms", "_retries_ms", "_settings")

    def __init__(self, settings: RuleSettings, breaches: BreachLog) -> None:
        self._settings = settings
        self._breaches = breaches
        self._requests_ms: dict[str, deque[float]] = {}
        self._retries_ms: dict[str, deque[float]] = {}

    def add_request(self, broker: str, now_ms: float) -> None:
        """Count a request, which increases the budget."""
        times_ms = self._requests_ms.setdefault(broker, deque())
        times_ms.append(now_ms)
        self._remove_old(times_ms, now_ms)

    def add_retry(self, broker: str, request_id: str, now_ms: float) -> None:
        """Count a retry and check it against the budget."""
        retries_ms = self._retries_ms.setdefault(broker, deque())
        retries_ms.append(now_ms)
        self._remove_old(retries_ms, now_ms)
        requests_ms = self._requests_ms.get(broker, deque())
        self._remove_old(requests_ms, now_ms)
        settings = self._settings
        budget = settings.retry_budget_floor + settings.retry_budget_ratio * len(requests_ms)
        allowed = budget * RETRY_BUDGET_SLACK + 1
        if len(retries_ms) > allowed:
            self._breaches.record(
                Rule.RETRY_BUDGET,
                now_ms,
                f"{broker}: {len(retries_ms)} further attempts in 10 s, "
                f"{allowed:.1f} allowed ({request_id})",
            )

    def _remove_old(self, times_ms: deque[float], now_ms: float) -> None:
        oldest_ms = now_ms - self._settings.retry_budget_window_ms
        while times_ms and times_ms[0] <= oldest_ms:
            times_ms.popleft()
