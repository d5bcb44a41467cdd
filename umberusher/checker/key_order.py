"""The rule that requests of one order key run one after another.

An attempt that may still run after it has ended starts a cool-down of its key.
"""

from __future__ import annotations

from collections import deque

from umberusher.checker.breaches import BreachLog, Rule
from umberusher.checker.requests import ObservedRequest, RequestTable
from umberusher.checker.settings import SLACK_MS, RuleSettings

MAX_COOL_DOWNS = 4_096  # above this number, cool-downs that have ended are removed

OrderKey = tuple[str, str]
"""A broker and a key: each broker keeps the order of its own requests."""


class KeyOrder:
    """The queue of the requests of each key, and the cool-downs of keys."""

    __slots__ = ("_breaches", "_requests", "_settings", "cool_downs", "queues")

    def __init__(self, settings: RuleSettings, requests: RequestTable, breaches: BreachLog) -> None:
        self._settings = settings
        self._requests = requests
        self._breaches = breaches
        self.queues: dict[OrderKey, deque[str]] = {}
        # When each key's cool-down ends, ms since the replay's start.
        self.cool_downs: dict[OrderKey, float] = {}

    def applies_to(self, request: ObservedRequest) -> bool:
        """Return whether the rule applies to a request."""
        return request.query_class in self._settings.ordered and bool(request.order_key)

    def append(self, request_id: str, request: ObservedRequest) -> None:
        """Append a request to its key's queue if the rule applies to it."""
        if self.applies_to(request):
            self.queues.setdefault(_key(request), deque()).append(request_id)

    def check_head(self, request_id: str, request: ObservedRequest, now_ms: float) -> None:
        """Check that a sent request is at the head of its key queue, after the cool-down."""
        if not self.applies_to(request):
            return
        key = _key(request)
        for other_id in self.queues.get(key, ()):
            if other_id == request_id:
                break
            other = self._requests.get(other_id)
            if other is not None and not other.settled:
                self._breaches.suspect(
                    Rule.KEY_ORDER,
                    now_ms,
                    f"{request_id} sent before {other_id} of the same key was over",
                    lambda other=other: other.settled,  # type: ignore[misc]
                )
        cool_down_ms = self.cool_downs.get(key)
        # A request with an unresolved attempt of its own may be retried during the cool-down.
        if cool_down_ms is None or request.unresolved_at_ms is not None:
            return
        if now_ms < cool_down_ms - SLACK_MS:
            self._breaches.record(
                Rule.KEY_ORDER,
                now_ms,
                f"{request_id} sent {cool_down_ms - now_ms:.0f} ms before its key had rested",
            )

    def start_cool_down(self, request: ObservedRequest, now_ms: float) -> None:
        """Start the key's cool-down after an attempt that may still run."""
        if self.applies_to(request):
            key = _key(request)
            until_ms = now_ms + self._settings.key_cool_down_ms
            self.cool_downs[key] = max(self.cool_downs.get(key, 0.0), until_ms)

    def remove_settled(self, request: ObservedRequest, now_ms: float) -> None:
        """Remove settled requests from the head of the key queue of ``request``."""
        key = _key(request)
        queue = self.queues.get(key)
        if not queue:
            return
        while queue and self._is_settled(queue[0]):
            queue.popleft()
        if queue:
            return
        del self.queues[key]
        if len(self.cool_downs) > MAX_COOL_DOWNS:
            self.cool_downs = {
                each: until_ms for each, until_ms in self.cool_downs.items() if until_ms > now_ms
            }

    def _is_settled(self, request_id: str) -> bool:
        request = self._requests.get(request_id)
        return request is None or request.settled


def _key(request: ObservedRequest) -> OrderKey:
    return request.broker, request.order_key
