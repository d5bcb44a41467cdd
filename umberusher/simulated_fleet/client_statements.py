"""The statements of one simulated broker's clients, and their attempts on simulated engines.

This module observes statements as a client does: each receives exactly one final answer.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from umberusher.decisions.actions import CancelAttempt, StartAttempt
from umberusher.decisions.events import (
    AttemptEnded,
    AttemptOutcome,
    ClientDisconnected,
    Event,
    RequestArrived,
)
from umberusher.decisions.settings import Idempotency, QueryClass
from umberusher.net.loop import Timer
from umberusher.simulated_fleet.engines import SimulatedEngines
from umberusher.simulated_fleet.rule_checker import RuleChecker
from umberusher.simulated_fleet.statement_counts import StatementCounts, StatementOutcome

# The timeout of connecting to an engine that does not respond.
CONNECT_TIMEOUT_MS = 250.0


class StatementHost(Protocol):
    """The interface of a broker to the statements of its clients."""

    name: str
    region: int
    # Engines with a connection, and when each was last used, in ms.
    connections: dict[str, float]

    def post(self, event: Event) -> None:
        """Pass an event to the load balancer."""

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Call back unless the broker has closed by then."""

    def now_ms(self) -> float:
        """Return the time on the broker's timeline."""

    def is_listed(self, engine: str) -> bool:
        """Return whether the endpoint list allows sending to an engine."""

    def statement_served(self, class_name: str, engine: str) -> None:
        """Handle a served statement."""


@dataclass(slots=True)
class OpenStatement:
    """A statement without a final answer.

    Attributes:
        query_class: The class that it was submitted for.
        deadline_timer: Fires at its client's deadline.
        engine: The engine of the attempt in flight.
        attempt: The number of the last attempt.
        started_ms: When that attempt began.
        attempt_timer: Fires when that attempt ends; None if only the client ends it.
    """

    query_class: QueryClass
    deadline_timer: Timer
    engine: str | None = None
    attempt: int = -1
    started_ms: float = 0.0
    attempt_timer: Timer | None = None

    def cancel_attempt_timer(self) -> None:
        """Cancel the timer of the attempt in flight."""
        if self.attempt_timer is not None:
            self.attempt_timer.cancel()


class ClientStatements:
    """The open statements of one broker.

    Args:
        host: The broker.
        classes: The classes that statements may be submitted for.
        engines: The engines that attempts are sent to.
        checker: Is notified of what clients and engines send and receive.
        counts: Counts the outcomes of statements and attempts.
    """

    __slots__ = ("_checker", "_classes", "_counts", "_engines", "_host", "_submitted_count", "open")

    def __init__(
        self,
        host: StatementHost,
        classes: dict[str, QueryClass],
        engines: SimulatedEngines,
        checker: RuleChecker,
        counts: StatementCounts,
    ) -> None:
        self._host = host
        self._classes = classes
        self._engines = engines
        self._checker = checker
        self._counts = counts
        self._submitted_count = 0
        self.open: dict[str, OpenStatement] = {}

    def submit(self, class_name: str, work_ms: float, key: str | None = None) -> None:
        """Submit one statement of a client."""
        host = self._host
        self._submitted_count += 1
        request = f"{host.name}-{self._submitted_count}"
        query_class = self._classes[class_name]
        deadline_ms = query_class.deadline_ms
        non_idempotent = query_class.idempotency is Idempotency.NON_IDEMPOTENT
        self._checker.request_received(host.name, request, non_idempotent, key)
        deadline_timer = host.call_later(deadline_ms, lambda: self._expire(request))
        self.open[request] = OpenStatement(query_class, deadline_timer)
        host.post(
            RequestArrived(
                request, class_name, host.now_ms() + deadline_ms, work_ms=work_ms, key=key
            )
        )

    def close(self) -> None:
        """Cancel all timers without notifying any peer, like a process that exits."""
        for statement in self.open.values():
            statement.deadline_timer.cancel()
            statement.cancel_attempt_timer()

    def finish(self, request: str, outcome: StatementOutcome) -> None:
        """Send the client a final answer from the load balancer.

        An attempt in flight continues at its engine, and its answer is discarded.
        """
        statement = self.open.pop(request, None)
        self._checker.request_closed(self._host.name, request)
        if statement is None:
            return
        self._counts.outcomes[outcome] += 1
        statement.deadline_timer.cancel()
        if statement.engine is not None:
            statement.cancel_attempt_timer()
            self._end_attempt(request, statement, AttemptOutcome.CANCELLED, request_closed=True)

    def start_attempt(self, action: StartAttempt) -> None:
        """Send an attempt to its engine."""
        request = action.request
        engine = action.engine
        statement = self.open.get(request)
        if statement is None:
            self._counts.outcomes[StatementOutcome.SENT_AFTER_END] += 1
            return
        host = self._host
        statement.attempt += 1
        statement.engine = engine
        statement.started_ms = host.now_ms()
        if not host.is_listed(engine):
            self._counts.not_listed += 1
            self._end_attempt(request, statement, AttemptOutcome.WITHDRAWN)
            return
        self._counts.attempts += 1
        self._checker.attempt_started(host.name, request, engine, host.now_ms())
        statement.attempt_timer = self._attempt_timer(action, statement)

    def _attempt_timer(self, action: StartAttempt, statement: OpenStatement) -> Timer | None:
        """Start the timer that ends an attempt; return None if only its client can end it."""
        host = self._host
        request = action.request
        engine = action.engine
        number = self._engines.numbers[engine]
        if self._engines.reachable(number, host.region):
            self._engines.statements[number] += 1
            host.connections[engine] = host.now_ms()
            answer_ms = self._engines.answer_time_ms(request, engine)
            return host.call_later(answer_ms, lambda: self._answer(request, statement))
        if engine not in host.connections:
            return host.call_later(
                CONNECT_TIMEOUT_MS,
                lambda: self._break_attempt(request, statement, AttemptOutcome.NO_CONNECTION),
            )
        if action.timeout_ms is not None:
            return host.call_later(
                action.timeout_ms,
                lambda: self._break_attempt(request, statement, AttemptOutcome.TIMED_OUT),
            )
        return None

    def cancel_attempt(self, action: CancelAttempt) -> None:
        """Stop waiting for an attempt if it is still in flight."""
        statement = self.open.get(action.request)
        if statement is None or statement.engine is None:
            return
        if statement.attempt == action.attempt:
            statement.cancel_attempt_timer()
            self._break_attempt(action.request, statement, AttemptOutcome.CANCELLED)

    def _expire(self, request: str) -> None:
        """End a statement whose client has reached its deadline."""
        statement = self.open.pop(request)
        self._counts.outcomes[StatementOutcome.EXPIRED] += 1
        broker = self._host.name
        if statement.engine is None:
            self._checker.request_closed(broker, request, answered=False)
            self._host.post(ClientDisconnected(request))
            return
        statement.cancel_attempt_timer()
        self._checker.attempt_ended(broker, request, never_ran=False)
        self._checker.request_closed(broker, request, answered=False)
        self._end_attempt(request, statement, AttemptOutcome.TIMED_OUT, request_closed=True)

    def _answer(self, request: str, statement: OpenStatement) -> None:
        """Accept the engine's answer, unless the engine was lost before it answered."""
        engine = statement.engine
        assert engine is not None, "the timer is cancelled with its attempt"
        if not self._engines.reachable(self._engines.numbers[engine], self._host.region):
            return
        broker = self._host.name
        self._checker.attempt_ended(broker, request, never_ran=False)
        self._checker.request_closed(broker, request)
        del self.open[request]
        statement.deadline_timer.cancel()
        self._counts.outcomes[StatementOutcome.SERVED] += 1
        self._host.statement_served(statement.query_class.name, engine)
        self._end_attempt(request, statement, AttemptOutcome.SUCCEEDED, request_closed=True)

    def _break_attempt(
        self, request: str, statement: OpenStatement, outcome: AttemptOutcome
    ) -> None:
        """End an attempt together with the connection that it was sent on."""
        if statement.engine is not None:
            self._host.connections.pop(statement.engine, None)
        self._checker.attempt_ended(self._host.name, request, outcome.never_ran)
        self._end_attempt(request, statement, outcome)

    def _end_attempt(
        self,
        request: str,
        statement: OpenStatement,
        outcome: AttemptOutcome,
        request_closed: bool = False,
    ) -> None:
        engine = statement.engine
        assert engine is not None, "an attempt ends once"
        statement.engine = None
        self._counts.attempt_outcomes[outcome.value] += 1
        duration_ms = self._host.now_ms() - statement.started_ms
        self._host.post(
            AttemptEnded(
                request,
                statement.attempt,
                engine,
                outcome,
                duration_ms,
                request_closed=request_closed,
            )
        )
