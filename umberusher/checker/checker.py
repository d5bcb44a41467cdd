"""An independent checker of the platform's rules, which uses no code or state of the broker.

It receives the traffic on the sockets as events, in order (:mod:`events`). Times are ms since the
replay's start. Some breaches are first held as suspicions and dropped if they clear up within
``SLACK_MS``, since two sockets are read one after the other.
"""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Callable, Iterable

import xxhash

from umberusher.checker.breaches import BreachLog
from umberusher.checker.client_rules import ClientRules
from umberusher.checker.engine_rules import EngineRules
from umberusher.checker.events import EventKind, EventValue
from umberusher.checker.key_order import KeyOrder
from umberusher.checker.requests import RequestTable
from umberusher.checker.retry_budget import RetryBudget
from umberusher.checker.settings import RuleSettings


class Checker:
    """Hashes each event with its time and passes it to the handlers of the rules."""

    def __init__(self, settings: RuleSettings, keep_log: bool = False) -> None:
        """Create a checker.

        Args:
            settings: The limits of the rules.
            keep_log: Whether to keep the lines of the event log in ``log``.
        """
        self.log: list[str] | None = [] if keep_log else None
        self.breaches = BreachLog()
        self.counts: Counter[str] = Counter()
        self.requests = RequestTable()
        self.key_order = KeyOrder(settings, self.requests, self.breaches)
        retry_budget = RetryBudget(settings, self.breaches)
        self._clients = ClientRules(
            settings, self.requests, self.key_order, retry_budget, self.breaches, self.counts
        )
        self._engines = EngineRules(
            settings,
            self.requests,
            self.key_order,
            retry_budget,
            self.breaches,
            self.counts,
            self._clients.remove_settled,
        )
        self._hash = xxhash.xxh3_128()
        self._handlers = self._make_handlers()

    def _make_handlers(self) -> dict[str, Callable[..., None]]:
        clients = self._clients
        engines = self._engines
        return {
            EventKind.NOTIFIED: engines.on_notified,
            EventKind.REQUEST_SENT: clients.on_request_sent,
            EventKind.ANSWERED: clients.on_answered,
            EventKind.CLIENT_GAVE_UP: clients.on_client_gave_up,
            EventKind.ANSWER_CROSSED: clients.on_answer_crossed,
            EventKind.UNEXPECTED_ANSWER: clients.on_unexpected_answer,
            EventKind.REQUEST_LOST: clients.on_request_lost,
            EventKind.UNREADABLE: clients.on_unreadable,
            EventKind.ATTEMPT_READ: engines.on_attempt_read,
            EventKind.ATTEMPT_READ_SLOWLY: engines.on_attempt_read_slowly,
            EventKind.REPLIED: engines.on_replied,
            EventKind.LAST_PAGE_SENT: engines.on_last_page_sent,
            EventKind.ATTEMPT_CANCELLED: engines.on_attempt_cancelled,
            EventKind.RESULT_RELEASED: engines.on_result_released,
            EventKind.CONNECTION_CLOSED: engines.on_connection_closed,
            EventKind.WORK_STARTED: engines.on_work_started,
            EventKind.WORK_ENDED: engines.on_work_ended,
            EventKind.HEALTH_CHECK_READ: engines.on_health_check_read,
            EventKind.PRIORITY_SET: engines.on_priority_set,
        }

    def feed(self, at_ms: float, kind: str, *values: EventValue) -> None:
        """Process one event; ``at_ms`` must not decrease."""
        line = json.dumps([round(at_ms, 3), kind, *values], separators=(",", ":"))
        self._hash.update(line.encode() + b"\n")
        if self.log is not None:
            self.log.append(line)
        self.breaches.settle_due(at_ms)
        self.requests.remove_expired(at_ms)
        self._handlers[kind](at_ms, *values)

    def finish(self, at_ms: float) -> None:
        """End the replay: resolve the suspicions and record the requests that are still open."""
        self.breaches.settle_all(at_ms)
        self._clients.check_all_answered(at_ms)

    @property
    def digest(self) -> str:
        """Hash of the event log, in hexadecimal."""
        return self._hash.hexdigest()

    @property
    def max_late_start_ms(self) -> float:
        """The longest time after its client's deadline at which work has started."""
        return self._engines.max_late_start_ms


def check_log(settings: RuleSettings, lines: Iterable[str]) -> Checker:
    """Check a recorded event log; return the checker that processed it."""
    checker = Checker(settings)
    at_ms = 0.0
    for line in lines:
        at_ms, kind, *values = json.loads(line)
        checker.feed(at_ms, kind, *values)
    checker.finish(at_ms)
    return checker
