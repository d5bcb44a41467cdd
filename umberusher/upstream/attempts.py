"""Starts attempts at engines, changes their priority, times them out and gives them up."""

from __future__ import annotations

import logging
from collections import Counter

from umberusher.deadlines.budget import BudgetExhausted
from umberusher.deadlines.disposition import (
    Disposition,
    ExecutionProof,
    SendAction,
    choose_disposition,
)
from umberusher.decisions.events import AttemptOutcome
from umberusher.net.connection import OPEN
from umberusher.pipeline.request import Attempt, AttemptFailure, Request, SendProgress
from umberusher.protocol import engine as codec
from umberusher.upstream.cancellation import record_abandoned_work
from umberusher.upstream.connection_pool import (
    ConnectionLimitError,
    ConnectionPool,
    EngineUnreachableError,
)
from umberusher.upstream.context import UpstreamContext
from umberusher.upstream.engine_connection import EngineConnection
from umberusher.upstream.outgoing_request import OutgoingRequest, read_client_input
from umberusher.upstream.remaining_time import RemainingTime

log = logging.getLogger(__name__)

# Engines assume this priority for a request that names none.
DEFAULT_PRIORITY = 1
_SENT = (SendProgress.PARTLY_WRITTEN, SendProgress.FULLY_SENT)


class AttemptManager:
    """Starts attempts at engines and gives them up.

    Attributes:
        given_up: Count of attempts that were given up, by the location of their bytes.
    """

    __slots__ = ("_context", "_pool", "_remaining_time", "given_up")

    def __init__(
        self, context: UpstreamContext, pool: ConnectionPool, remaining_time: RemainingTime
    ) -> None:
        self._context = context
        self._pool = pool
        self._remaining_time = remaining_time
        self.given_up: Counter[str] = Counter()

    def start(self, request: Request, engine: str, timeout_ms: float | None) -> None:
        """Send a request to the engine that the decisions have chosen.

        Args:
            request: The request, which has no other attempt in flight.
            engine: The engine's id.
            timeout_ms: Time limit of this attempt; None or 0 where only the deadline limits it.
        """
        registry = self._context.registry
        now_ms = self._context.now_ms()
        timeout_at_ms = request.arrival.deadline_ms
        if timeout_ms:
            timeout_at_ms = min(timeout_at_ms, now_ms + timeout_ms)
        attempt = Attempt(request, request.attempt_count, engine, now_ms, timeout_at_ms)
        request.attempt_count += 1
        log.debug(
            "attempt_started request=%s attempt=%d engine=%s timeout_ms=%s",
            request.request_id,
            attempt.number,
            engine,
            timeout_ms,
        )
        read_client_input(self._context, request)
        if not request.is_open:
            registry.end_attempt(attempt, AttemptOutcome.WITHDRAWN)
            return
        request.attempt = attempt
        connection = self._connect(attempt)
        if connection is None:
            return
        ttl_ms = self._remaining_time.engine_ttl_ms(attempt, connection)
        if isinstance(ttl_ms, BudgetExhausted):
            self._remaining_time.end_expired(attempt, ttl_ms)
            return
        attempt.timer = self._context.loop.call_later(
            timeout_at_ms - now_ms, lambda: self.give_up(attempt, AttemptOutcome.TIMED_OUT)
        )
        message = OutgoingRequest(self._context, attempt, connection, self._remaining_time)
        connection.enqueue(attempt, message)

    def _connect(self, attempt: Attempt) -> EngineConnection | None:
        """Return a connection for an attempt; without one, end the attempt and return None."""
        request = attempt.request
        endpoint = self._context.endpoints.find(attempt.engine)
        if endpoint is None:
            # The engine may have begun to drain after the decision: it gets no new requests then.
            self._fail_unconnected(attempt, "engine accepts no new requests")
            return None
        try:
            return self._pool.acquire(endpoint, request.request_id, request.non_idempotent)
        except EngineUnreachableError as error:
            self._fail_unconnected(attempt, error.reason)
        except ConnectionLimitError:
            # This broker lacks file descriptors: a failed connection would eject the engine.
            self._context.registry.end_attempt(attempt, AttemptOutcome.OVERLOADED)
        return None

    def _fail_unconnected(self, attempt: Attempt, reason: str) -> None:
        failure = AttemptFailure(SendProgress.NOT_CONNECTED, reason)
        self._context.registry.fail_attempt(attempt, failure)

    def set_priority(self, request: Request, priority: int) -> None:
        """Set a request's priority for later attempts, and at the engine that runs it now."""
        attempt = request.attempt
        current = DEFAULT_PRIORITY if request.priority is None else request.priority
        request.priority = priority
        if priority == current or attempt is None or attempt.carrier is None:
            return
        if attempt.cancel_pending or attempt.page_count or attempt.progress not in _SENT:
            return
        attempt.carrier.write(codec.set_priority(request.request_id, priority))

    # -- Giving up

    def give_up(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Stop waiting for an attempt.

        Whether it is withdrawn, cancelled, released or ended by closing its connection follows the
        table in ``deadlines.disposition``.

        Args:
            attempt: The attempt; the call has no effect on one that has ended.
            outcome: ``TIMED_OUT`` or ``CANCELLED``, for an attempt that may have run.
        """
        if attempt.ended:
            return
        if attempt.cancel_pending:
            self._give_up_cancelled(attempt, outcome)
            return
        carrier = attempt.carrier
        if isinstance(carrier, EngineConnection) and carrier.transport.state is OPEN:
            location = carrier.byte_location(attempt)
            disposition = choose_disposition(
                location,
                len(carrier.attempts) == 1 and not carrier.health_checks,
                carrier.can_close_as_unread(attempt) or carrier.receipts.is_overdue(attempt),
            )
            self.given_up[location.name] += 1
            if disposition.action is not SendAction.WITHDRAW:
                self._abandon(carrier, attempt, outcome, disposition)
                return
        if carrier is not None:
            carrier.release(attempt)
        self._end_unsent(attempt)

    def _give_up_cancelled(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """End an attempt at its deadline after its cancel command was written."""
        if outcome is not AttemptOutcome.TIMED_OUT:
            return
        if not attempt.request.is_open:
            outcome = AttemptOutcome.CANCELLED
        self._context.registry.end_attempt(attempt, outcome)

    def _end_unsent(self, attempt: Attempt) -> None:
        registry = self._context.registry
        if not attempt.request.is_open:
            # A failed connection would count against an engine that is healthy.
            registry.end_attempt(attempt, AttemptOutcome.WITHDRAWN)
            return
        failure = AttemptFailure(SendProgress.NOT_WRITTEN, "given up before it was sent")
        registry.fail_attempt(attempt, failure)

    def _abandon(
        self,
        connection: EngineConnection,
        attempt: Attempt,
        outcome: AttemptOutcome,
        disposition: Disposition,
    ) -> None:
        """Give up an attempt whose request is at least partly written."""
        registry = self._context.registry
        closes = disposition.action is SendAction.CLOSE_CONNECTION
        if closes and disposition.proof is ExecutionProof.NEVER_RAN:
            # The close fails the attempt as partly written, and such an attempt never ran.
            connection.transport.abort("request given up while partly written")
            return
        if disposition.action is SendAction.HOLD_OUTPUT:
            self._hold_output(connection, attempt)
            return
        connection.release(attempt)
        if closes:
            self._record_abandoned_work(attempt, outcome, stopped=True)
            registry.end_attempt(attempt, outcome)
            connection.transport.abort("request given up before it was acknowledged")
            return
        if disposition.action is SendAction.SEND_END:
            connection.release_result(attempt)
            registry.end_attempt(attempt, outcome)
            return
        # The decisions are notified once the outcome of a cancel command is known. A deadline does
        # not wait for that.
        allows_cancellation = self._context.settings.cancellation
        attempt.cancel_pending = allows_cancellation and outcome is AttemptOutcome.CANCELLED
        connection.cancel(attempt)
        if not attempt.cancel_pending:
            self._record_abandoned_work(attempt, outcome, stopped=False)
            registry.end_attempt(attempt, outcome)

    def _hold_output(self, connection: EngineConnection, attempt: Attempt) -> None:
        """End an attempt whose rest is not written, and those that wait behind it.

        The connection carries others, whose results are still read from it.
        """
        connection.transport.hold_output()
        connection.release(attempt)
        registry = self._context.registry
        if attempt.request.is_open:
            failure = AttemptFailure(SendProgress.PARTLY_WRITTEN, "given up while partly written")
            registry.fail_attempt(attempt, failure)
        else:
            registry.end_attempt(attempt, AttemptOutcome.WITHDRAWN)
        self.withdraw_queued(connection)

    def _record_abandoned_work(
        self, attempt: Attempt, outcome: AttemptOutcome, stopped: bool
    ) -> None:
        if outcome is AttemptOutcome.CANCELLED:
            record_abandoned_work(self._context.registry, attempt, stopped)

    def withdraw_queued(self, connection: EngineConnection) -> None:
        """Withdraw the attempts of a connection whose requests have not begun to be written."""
        for attempt in list(connection.attempts.values()):
            if attempt.progress >= SendProgress.PARTLY_WRITTEN or not connection.release(attempt):
                continue
            failure = AttemptFailure(attempt.progress, "engine accepts no new requests")
            self._context.registry.fail_attempt(attempt, failure)
