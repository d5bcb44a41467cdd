"""Requests and their attempts as observed on the sockets.

The table removes a request some time after it has ended, so that its memory depends on the open
requests alone.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from umberusher.checker.events import Outcome

RETENTION_MS = 2_000.0
"""Time for which an ended request is kept: a line in transit may arrive after its end."""


@dataclass(slots=True)
class ObservedAttempt:
    """One attempt, as the engine that received it sees it.

    Attributes:
        read_slowly: Its engine reads slowly, so that the time of sending or cancelling is unknown.
        result_digest: Digest of all pages that the engine made for it; empty without a result.
    """

    engine: str
    connection_id: int
    in_flight: bool = True
    may_have_run: bool = True
    read_slowly: bool = False
    result_digest: str = ""


@dataclass(slots=True)
class ObservedRequest:
    """One request of a client; times are ms since the replay's start.

    Attributes:
        work_start_count: How often an engine began to work on it.
        unresolved_at_ms: When an attempt ended that may still run; None if none did.
    """

    broker: str
    query_class: str
    order_key: str
    deadline_ms: float
    outcome: Outcome | None = None
    ended_at_ms: float = 0.0
    attempts: list[ObservedAttempt] = field(default_factory=list)
    work_start_count: int = 0
    unresolved_at_ms: float | None = None

    @property
    def settled(self) -> bool:
        """Whether it has its outcome and no attempt is in flight, except at slow readers."""
        if self.outcome is None:
            return False
        return not any(each.in_flight and not each.read_slowly for each in self.attempts)

    def end(self, outcome: Outcome, now_ms: float) -> None:
        """Set the final outcome."""
        self.outcome = outcome
        self.ended_at_ms = now_ms


@dataclass(slots=True, frozen=True)
class FoundAttempt:
    """An attempt together with its request."""

    request: ObservedRequest
    attempt: ObservedAttempt


class RequestTable:
    """The requests that are known, and the attempts in flight on each engine connection."""

    __slots__ = ("_ended", "_in_flight", "by_id")

    def __init__(self) -> None:
        self.by_id: dict[str, ObservedRequest] = {}
        self._ended: deque[tuple[float, str]] = deque()
        # Insertion-ordered set of request identifiers for each engine and connection.
        self._in_flight: dict[tuple[str, int], dict[str, None]] = {}

    def get(self, request_id: str) -> ObservedRequest | None:
        """Return a request that is known, else None."""
        return self.by_id.get(request_id)

    def schedule_removal(self, request_id: str, now_ms: float) -> None:
        """Remove an ended request after the retention time."""
        self._ended.append((now_ms + RETENTION_MS, request_id))

    def remove_expired(self, now_ms: float) -> None:
        """Remove the requests whose retention ended before ``now_ms``."""
        while self._ended and self._ended[0][0] < now_ms:
            _, request_id = self._ended.popleft()
            self.by_id.pop(request_id, None)

    def add_attempt(self, request_id: str, attempt: ObservedAttempt) -> None:
        """Add an attempt of a known request."""
        self.by_id[request_id].attempts.append(attempt)
        connection = (attempt.engine, attempt.connection_id)
        self._in_flight.setdefault(connection, {})[request_id] = None

    def find_attempt(self, engine: str, connection_id: int, request_id: str) -> FoundAttempt | None:
        """Return the latest attempt of a request on a connection; None if unknown."""
        request = self.by_id.get(request_id)
        if request is None:
            return None
        for attempt in reversed(request.attempts):
            if attempt.engine == engine and attempt.connection_id == connection_id:
                return FoundAttempt(request, attempt)
        return None

    def remove_in_flight(self, request_id: str, attempt: ObservedAttempt) -> None:
        """Remove an ended attempt from its connection."""
        attempt.in_flight = False
        in_flight = self._in_flight.get((attempt.engine, attempt.connection_id))
        if in_flight:
            in_flight.pop(request_id, None)

    def close_connection(self, engine: str, connection_id: int) -> list[str]:
        """Remove a connection; return the requests that were in flight on it, in order."""
        return list(self._in_flight.pop((engine, connection_id), {}))
