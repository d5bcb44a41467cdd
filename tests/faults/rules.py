"""Checks the terms of the acceptance on what the clients and the engines have recorded."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from tests.faults.announcements import Announcements

# Each time limit grows by this much.
SLACK_S = 0.05
# A late answer earns nothing until then, and is a lost request afterwards.
ANSWER_GRACE_S = 0.55
GONE_CLIENT_S = 0.1
TTL_SLACK_S = 0.15
# A request that crosses the close of a resting connection is repeated by its client.
CROSSING_S = 0.05
# Classes whose requests may run only once.
UNSAFE_CLASSES = frozenset({"load"})


@dataclass(slots=True)
class SentRequest:
    """One request of a client. Times are Unix times in seconds.

    Attributes:
        request_id: Its id.
        query_class: Its class.
        sent_s: When its last byte was sent.
        budget_s: How long its client waits.
        is_first: Whether it was the first one of its connection.
        answers: The kinds of its answers, with their times.
        closed_s: When its connection ended unanswered; None if it did not.
        left_s: When its client cancelled it or closed the connection; None if it did not.
        may_be_cut: Whether the broker was killed while it was open.
    """

    request_id: str
    query_class: str
    sent_s: float
    budget_s: float
    is_first: bool = False
    answers: list[tuple[float, str]] = field(default_factory=list)
    closed_s: float | None = None
    left_s: float | None = None
    may_be_cut: bool = False


@dataclass(frozen=True, slots=True)
class EngineRun:
    """One attempt that has come whole to an engine; ``first_s`` is the time of its first byte."""

    engine: str
    request_id: str
    first_s: float
    ttl_s: float


@dataclass(frozen=True, slots=True)
class StateChange:
    """The state of an engine from a revision of the list on."""

    revision: int
    engine: str
    is_open: bool


@dataclass(frozen=True, slots=True)
class Breach:
    """A broken rule, with what shows it."""

    rule: str
    text: str


class RuleChecker:
    """Finds the broken rules of one run.

    Attributes:
        changes: The changes of engines, in order.
        requests: All requests by id.
        runs: All attempts at engines.
    """

    def __init__(self, announcements: Announcements, grace_s: float) -> None:
        """Create a checker.

        Args:
            announcements: When each change counts as announced.
            grace_s: The grace of draining engines, in seconds.
        """
        self.changes: list[StateChange] = []
        self.requests: dict[str, SentRequest] = {}
        self.runs: list[EngineRun] = []
        self._announcements = announcements
        self._grace_s = grace_s

    def breaches(self) -> list[Breach]:
        """Return all broken rules."""
        return [
            *self._drain_breaches(),
            *self._answer_breaches(),
            *self._attempt_breaches(),
        ]

    def outcome_counts(self) -> Counter[str]:
        """Return the number of requests by their first answer."""
        return Counter(
            request.answers[0][1] if request.answers else "none"
            for request in self.requests.values()
        )

    # -- Drains

    def _drain_breaches(self) -> list[Breach]:
        found = []
        for run in self.runs:
            late_s, change = self._lateness_s(run)
            if late_s > 0.0 and change is not None:
                told_s = self._announcements.announced_at_s(change.revision)
                text = (
                    f"{run.request_id} to {run.engine} {late_s:.3f} s past the grace of "
                    f"v{change.revision}, {run.first_s - told_s:.3f} s after it was announced"
                )
                found.append(Breach("drain", text))
        return found

    def _lateness_s(self, run: EngineRun) -> tuple[float, StateChange | None]:
        """Return how far past the grace an attempt began, and the change that forbids it."""
        changed_at_s = self._announcements.changed_at_s
        closing: StateChange | None = None
        for change in self.changes:
            if change.engine != run.engine or changed_at_s[change.revision] > run.first_s:
                continue
            if change.is_open:
                closing = None
            elif closing is None:
                closing = change
        if closing is None:
            return 0.0, None
        told_s = self._announcements.announced_at_s(closing.revision)
        return run.first_s - told_s - self._grace_s - SLACK_S, closing

    # -- Answers

    def _answer_breaches(self) -> list[Breach]:
        found = []
        for request in self.requests.values():
            reason = self._lost(request)
            if reason:
                found.append(Breach("lost", f"{request.request_id} {request.query_class} {reason}"))
        return found

    @staticmethod
    def _lost(request: SentRequest) -> str:
        """Return how a request was lost; empty if it was not."""
        if request.left_s is not None or request.may_be_cut:
            return ""
        if len(request.answers) > 1:
            return "a second answer"
        if request.answers:
            late_s = request.answers[0][0] - request.sent_s - request.budget_s
            return f"answered {late_s:.3f} s late" if late_s > ANSWER_GRACE_S else ""
        if request.closed_s is None:
            return "never answered"
        after_s = request.closed_s - request.sent_s
        if after_s <= CROSSING_S and not request.is_first:
            return ""
        return f"closed unanswered after {after_s:.3f} s, first={request.is_first}"

    # -- Attempts

    def _attempt_breaches(self) -> list[Breach]:
        found = []
        counts: Counter[str] = Counter()
        for run in self.runs:
            request = self.requests.get(run.request_id)
            if request is None:
                continue
            counts[run.request_id] += 1
            if request.left_s is not None and run.first_s > request.left_s + GONE_CLIENT_S:
                after_s = run.first_s - request.left_s
                found.append(
                    Breach("gone", f"{run.request_id} began {after_s:.3f} s after its client left")
                )
            left_s = request.sent_s + request.budget_s - run.first_s
            if run.ttl_s > max(left_s, 0.0) + TTL_SLACK_S:
                found.append(Breach("ttl", f"{run.request_id} {run.ttl_s:.3f} s of {left_s:.3f} s"))
        for request_id, count in counts.items():
            if count > 1 and self.requests[request_id].query_class in UNSAFE_CLASSES:
                found.append(Breach("duplicate", f"{request_id} began {count} times"))
        return found
