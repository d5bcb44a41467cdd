"""Health checks: poll engines for their load, and find silent connections."""

from __future__ import annotations

import logging
from collections.abc import Callable

from umberusher.decisions.events import AttemptOutcome, Event, HealthCheckEnded, LoadReport
from umberusher.protocol import engine as codec
from umberusher.protocol.engine import ReplyKind
from umberusher.upstream.connection_pool import (
    ConnectionLimitError,
    ConnectionPool,
    EngineUnreachableError,
)
from umberusher.upstream.context import UpstreamContext
from umberusher.upstream.engine_connection import EngineConnection

log = logging.getLogger(__name__)

# Engines answer at once: no answer is expected after this time.
HEALTH_CHECK_TIMEOUT_MS = 500.0
# An unresponsive connection is closed after this silence; engines that work report on each query
# every second.
MAX_SILENCE_MS = 2_500.0


class PendingHealthCheck:
    """A pending health check on a connection.

    Attributes:
        connection: The connection.
        started_ms: When it was written.
    """

    __slots__ = ("_owner", "_tag", "_timer", "connection", "started_ms")

    def __init__(
        self,
        owner: HealthChecks,
        context: UpstreamContext,
        tag: str,
        connection: EngineConnection,
    ) -> None:
        self._owner = owner
        self._tag = tag
        self.connection = connection
        self.started_ms = context.now_ms()
        self._timer = context.loop.call_later(HEALTH_CHECK_TIMEOUT_MS, self.end_by_timeout)

    def end_with_reply(self, reply: codec.Reply) -> None:
        """End the health check with the engine's answer."""
        if self._close():
            self._owner.process_reply(self, reply)

    def end_by_timeout(self) -> None:
        """Give up waiting: the connection is unresponsive unless other data has arrived."""
        if self._close():
            self.connection.unresponsive = self.connection.last_received_ms <= self.started_ms
            self._owner.report(self, AttemptOutcome.TIMED_OUT)

    def end_by_disconnect(self) -> None:
        """End the health check because its connection has closed.

        This does not show that the engine is silent.
        """
        if self._close():
            self._owner.report(self, AttemptOutcome.RESET)

    def _close(self) -> bool:
        """Remove the health check from its connection; return whether it was still pending."""
        if self.connection.health_checks.pop(self._tag, None) is None:
            return False
        self._timer.cancel()
        return True


class HealthChecks:
    """Sends health checks and reports their outcomes to the decisions."""

    __slots__ = ("_context", "_pool", "_post")

    def __init__(
        self, context: UpstreamContext, pool: ConnectionPool, post: Callable[[Event], None]
    ) -> None:
        self._context = context
        self._pool = pool
        self._post = post

    def start(self, engine: str) -> None:
        """Request an engine's load."""
        connection = self._connection(engine)
        if connection is None:
            self._post(HealthCheckEnded(engine, AttemptOutcome.NO_CONNECTION, 0.0))
            return
        tag = f"p{next(self._context.tags)}"
        connection.health_checks[tag] = PendingHealthCheck(self, self._context, tag, connection)
        connection.last_used_ms = self._context.now_ms()
        connection.delay.probe_sent(connection.last_used_ms)
        connection.write(codec.query_load(tag))

    def _connection(self, engine: str) -> EngineConnection | None:
        endpoint = self._context.endpoints.find(engine)
        if endpoint is None:
            return None
        try:
            return self._pool.acquire(endpoint)
        except (ConnectionLimitError, EngineUnreachableError):
            return None

    def process_reply(self, check: PendingHealthCheck, reply: codec.Reply) -> None:
        """Record the round trip of an answer, and report the engine's load."""
        check.connection.record_round_trip(check.started_ms)
        outcome = AttemptOutcome.ERROR
        if reply.kind is ReplyKind.HEALTHY:
            outcome = AttemptOutcome.SUCCEEDED
            self._close_silent_connections(check.connection.engine)
        self.report(check, outcome, codec.report(reply.fields))

    def _close_silent_connections(self, engine: str) -> None:
        """Close connections that receive nothing while their engine answers on another.

        Requests on them would get no reply. An engine that is silent on all of its connections may
        recover, so those stay open.
        """
        silent_since_ms = self._context.now_ms() - MAX_SILENCE_MS
        for silent in self._pool.silent_connections(engine, silent_since_ms):
            log.warning("engine_connection_closed engine=%s reason=%r", engine, "unresponsive")
            silent.transport.close("unresponsive")

    def report(
        self,
        check: PendingHealthCheck,
        outcome: AttemptOutcome,
        load: LoadReport | None = None,
    ) -> None:
        """Report the outcome of a health check to the decisions."""
        elapsed_ms = self._context.now_ms() - check.started_ms
        self._post(HealthCheckEnded(check.connection.engine, outcome, elapsed_ms, load))
