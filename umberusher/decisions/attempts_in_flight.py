"""The attempts of this broker that have not ended, and the threads that they use."""

from __future__ import annotations

import math

from umberusher.decisions.engine import Engine
from umberusher.decisions.request import Attempt, Request
from umberusher.decisions.settings import QueryClass


class AttemptsInFlight:
    """All attempts between their start and their end, including those of ended requests.

    Attributes:
        attempts: By request id and attempt number.
        threads: Threads that the attempts use on all engines.
        last_end_at: Time when an attempt last ended.
    """

    __slots__ = ("_threads_per_class", "attempts", "last_end_at", "threads")

    def __init__(self, classes: tuple[QueryClass, ...]) -> None:
        self.attempts: dict[tuple[str, int], Attempt] = {}
        self.threads = 0.0
        self.last_end_at = -math.inf
        self._threads_per_class = sum(item.threads for item in classes) / len(classes)

    def start(self, request: Request, engine: Engine, now_ms: float, expected_ms: float) -> Attempt:
        """Count the next attempt of a request as sent."""
        attempt = Attempt(request, engine, now_ms, expected_ms)
        number = request.attempts_sent
        query_class = request.query_class
        request.in_flight[number] = attempt
        request.attempts_sent = number + 1
        self.attempts[request.id, number] = attempt
        self.threads += query_class.threads
        engine.add_attempt(query_class.threads, request.group, query_class.locks_group)
        return attempt

    def end(self, request_id: str, number: int, now_ms: float) -> Attempt | None:
        """Remove an attempt that has ended; return None if it is not in flight."""
        attempt = self.attempts.pop((request_id, number), None)
        if attempt is None:
            return None
        request = attempt.request
        query_class = request.query_class
        attempt.engine.remove_attempt(query_class.threads, request.group, query_class.locks_group)
        self.threads = max(self.threads - query_class.threads, 0.0)
        self.last_end_at = now_ms
        request.in_flight.pop(number, None)
        return attempt

    def threads_per_attempt(self) -> float:
        """Return the mean threads of the attempts in flight; of the classes if there are none."""
        if self.attempts:
            return self.threads / len(self.attempts)
        return self._threads_per_class
