"""Order keys: the requests of one key run one after another."""

from __future__ import annotations

import math
from collections import deque

from umberusher.decisions.request import Request


class KeyQueue:
    """The requests of one order key; the head is the only one that may run."""

    __slots__ = ("cooling_down_until", "requests")

    def __init__(self) -> None:
        self.requests: deque[Request] = deque()
        self.cooling_down_until = -math.inf


class KeyOrder:
    """The key queues of all order keys in use.

    After an attempt that may have run, its key cools down before the next request's first attempt:
    the attempt may still be running, and the next request must not overtake it.
    """

    __slots__ = ("_cool_down_ms", "queues")

    def __init__(self, cool_down_ms: float | None) -> None:
        self.queues: dict[str, KeyQueue] = {}
        self._cool_down_ms = cool_down_ms or 0.0

    def join(self, request: Request) -> None:
        """Append a request to its key's queue."""
        if request.key is not None:
            self.queues.setdefault(request.key, KeyQueue()).requests.append(request)

    def leave_if_done(self, request: Request) -> None:
        """Remove a request from its key's queue once it has ended and has no attempt in flight."""
        if request.key is None or not request.ended or request.in_flight:
            return
        queue = self.queues.get(request.key)
        if queue is not None and request in queue.requests:
            queue.requests.remove(request)

    def must_wait(self, request: Request, now_ms: float) -> bool:
        """Return whether an earlier request of the key must run first, or the key cools down."""
        if request.key is None:
            return False
        queue = self.queues.get(request.key)
        if queue is None:
            return False
        if queue.requests[0] is not request:
            return True
        return now_ms < queue.cooling_down_until and not request.attempts_sent

    def is_idle(self, key: str, now_ms: float) -> bool:
        """Return whether a key has no requests and is not cooling down."""
        queue = self.queues.get(key)
        return queue is None or (not queue.requests and queue.cooling_down_until <= now_ms)

    def cool_down(self, request: Request, now_ms: float) -> None:
        """Start the cool-down of the key of a request."""
        if request.key is not None and request.key in self.queues:
            self.queues[request.key].cooling_down_until = now_ms + self._cool_down_ms

    def forget_idle(self, now_ms: float) -> None:
        """Remove the keys that have no requests and are not cooling down."""
        idle = [
            key
            for key, queue in self.queues.items()
            if not queue.requests and queue.cooling_down_until <= now_ms
        ]
        for key in idle:
            del self.queues[key]
