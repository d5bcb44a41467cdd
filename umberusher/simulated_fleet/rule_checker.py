"""Checks what brokers exchange with discovery, engines and clients against a broker's rules.

It does not depend on the broker's internals: it is notified of answers as control machines write
them, of attempts as they reach engines, and of final answers as clients receive them. No time
passes on the step clock between sender and receiver, so the only tolerance is the grace of a drain.
Its memory depends on the open requests alone: updates are looked up in the history by number.
"""

from __future__ import annotations

import bisect
from collections import Counter, deque
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from umberusher.simulated_fleet.update_history import UpdateHistory

# Violations that are described; all of them are counted.
DESCRIPTIONS_MAX = 20
# Notifications stored for a broker: a drain's grace ends long before so many have arrived.
NOTIFICATIONS_MAX = 64


class Rule(StrEnum):
    """A rule of the broker; the value is its name in results."""

    FINAL_ANSWER_ENDS_ATTEMPTS = "answered"
    ONE_ATTEMPT_AT_A_TIME = "two out"
    NO_UNSAFE_RETRY = "unsafe repeat"
    KEY_ORDER = "order"
    DRAIN_GRACE = "drain"
    ONE_FINAL_ANSWER = "second answer"


class Notification(NamedTuple):
    """The revision that a broker was notified of, and when."""

    revision: int
    at_ms: float


@dataclass(slots=True)
class _OpenRequest:
    non_idempotent: bool
    key: str | None
    engine: str | None = None  # the engine of the attempt in flight
    may_have_run: bool = False


@dataclass(slots=True)
class _BrokerState:
    notifications: deque[Notification] = field(default_factory=deque)
    open: dict[str, _OpenRequest] = field(default_factory=dict)
    # Open requests of each key in their order.
    key_queues: dict[str, deque[str]] = field(default_factory=dict)


class RuleChecker:
    """The rules, applied to all brokers of one process.

    Args:
        history: The updates that the discovery service publishes.
        drain_grace_ms: How long after it was notified of a drain a broker may still use an engine.
    """

    __slots__ = (
        "_brokers",
        "_drain_grace_ms",
        "_history",
        "attempts_to_closed",
        "descriptions",
        "violations",
    )

    def __init__(self, history: UpdateHistory, drain_grace_ms: float) -> None:
        self._history = history
        self._drain_grace_ms = drain_grace_ms
        self._brokers: dict[str, _BrokerState] = {}
        self.violations: Counter[str] = Counter()
        self.descriptions: list[str] = []
        # Attempts to engines known as draining or deleted, also within the grace of a drain.
        self.attempts_to_closed = 0

    def reset_counts(self) -> None:
        """Count violations from zero again."""
        self.violations.clear()
        self.descriptions.clear()
        self.attempts_to_closed = 0

    def _report(self, rule: Rule, description: str) -> None:
        self.violations[rule] += 1
        if len(self.descriptions) < DESCRIPTIONS_MAX:
            self.descriptions.append(f"{rule}: {description}")

    def notified(self, broker: str, revision: int, now_ms: float) -> None:
        """Record that a machine has written all updates up to ``revision`` to a broker."""
        notifications = self._brokers.setdefault(broker, _BrokerState()).notifications
        if notifications and revision <= notifications[-1].revision:
            return
        notifications.append(Notification(revision, now_ms))
        if len(notifications) > NOTIFICATIONS_MAX:
            notifications.popleft()

    def broker_stopped(self, broker: str) -> None:
        """Remove a stopped broker and its clients' requests."""
        self._brokers.pop(broker, None)

    def request_received(
        self, broker: str, request: str, non_idempotent: bool, key: str | None
    ) -> None:
        """Record a client's request."""
        state = self._brokers.setdefault(broker, _BrokerState())
        state.open[request] = _OpenRequest(non_idempotent, key)
        if key is not None:
            state.key_queues.setdefault(key, deque()).append(request)

    def attempt_started(self, broker: str, request: str, engine: str, now_ms: float) -> None:
        """Check an attempt that is sent to an engine."""
        state = self._brokers[broker]
        open_request = state.open.get(request)
        sent = f"{broker} sent {request}"
        if open_request is None:
            self._report(
                Rule.FINAL_ANSWER_ENDS_ATTEMPTS, f"{sent} to {engine} after its final answer"
            )
            return
        if open_request.engine is not None:
            self._report(
                Rule.ONE_ATTEMPT_AT_A_TIME, f"{sent} to {engine} while {open_request.engine} has it"
            )
        if open_request.non_idempotent and open_request.may_have_run:
            self._report(Rule.NO_UNSAFE_RETRY, f"{sent} to {engine} though it may have run")
        key = open_request.key
        if key is not None and state.key_queues[key][0] != request:
            self._report(Rule.KEY_ORDER, f"{sent} before an earlier one of {key}")
        open_request.engine = engine
        self._check_drain(broker, state.notifications, engine, now_ms)

    def _check_drain(
        self, broker: str, notifications: deque[Notification], engine: str, now_ms: float
    ) -> None:
        revision = notifications[-1].revision if notifications else 0
        closed_since = self._history.closed_since(engine, revision)
        if closed_since is None:
            return
        self.attempts_to_closed += 1
        if notifications:
            index = bisect.bisect_left(notifications, closed_since, key=lambda each: each.revision)
            notified = notifications[min(index, len(notifications) - 1)]
            if now_ms - notified.at_ms <= self._drain_grace_ms:
                return
        grace = f"{self._drain_grace_ms:.0f} ms"
        self._report(
            Rule.DRAIN_GRACE, f"{broker} sent to {engine}, told as closed over {grace} ago"
        )

    def attempt_ended(self, broker: str, request: str, never_ran: bool) -> None:
        """Record the end of the attempt in flight."""
        open_request = self._brokers[broker].open.get(request)
        if open_request is None:
            return
        open_request.engine = None
        if not never_ran:
            open_request.may_have_run = True

    def request_closed(self, broker: str, request: str, answered: bool = True) -> None:
        """Record that the client has its final answer, or (``answered`` false) has disconnected."""
        state = self._brokers[broker]
        open_request = state.open.pop(request, None)
        if open_request is None:
            if answered:
                self._report(Rule.ONE_FINAL_ANSWER, f"{broker} answered {request} twice")
            return
        if open_request.key is None:
            return
        queue = state.key_queues[open_request.key]
        queue.remove(request)
        if not queue:
            del state.key_queues[open_request.key]
