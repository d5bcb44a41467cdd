"""Pool of the connections to all engines: chooses, opens, limits and closes them."""

from __future__ import annotations

from umberusher.endpoints.directory import Endpoint
from umberusher.net import connection as net_connection
from umberusher.net.connection import OPEN
from umberusher.protocol import engine as codec
from umberusher.upstream.cancellation import CancellationOutcomes
from umberusher.upstream.context import UpstreamContext
from umberusher.upstream.engine_connection import EngineConnection
from umberusher.upstream.result_collector import ResultCollector
from umberusher.upstream.stall_detection import StallDetector

# Holds the largest reply: a line, a body and the line end after it.
INBOUND_BUFFER_BYTES = codec.MAX_LINE_BYTES + codec.MAX_BODY_BYTES + 2
# Holds the largest statement, with its line.
OUTBOUND_BUFFER_BYTES = (1 << 20) + codec.MAX_LINE_BYTES
# A process may open this many connections even if the other processes of its broker have reached
# the limit.
MIN_CONNECTIONS = 8


class EngineUnreachableError(Exception):
    """A connection to an engine could not be started."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class ConnectionLimitError(Exception):
    """No file descriptor is left for a further connection to an engine."""


class ConnectionPool:
    """The connections to all engines.

    Attributes:
        by_engine: The connections of each engine that has any.
        max_connections: Connections to all engines together, over all processes of the broker.
        open_elsewhere: Connections to engines that other processes of this broker have open.
    """

    __slots__ = (
        "_context",
        "_outcomes",
        "_results",
        "_stall_detector",
        "by_engine",
        "max_connections",
        "open_elsewhere",
    )

    def __init__(
        self, context: UpstreamContext, results: ResultCollector, outcomes: CancellationOutcomes
    ) -> None:
        self._context = context
        self._results = results
        self._outcomes = outcomes
        self._stall_detector = StallDetector(context)
        self.by_engine: dict[str, list[EngineConnection]] = {}
        self.max_connections = context.settings.max_connections
        self.open_elsewhere = 0

    @property
    def count(self) -> int:
        """Return the number of connections to all engines."""
        return sum(map(len, self.by_engine.values()))

    def acquire(
        self, endpoint: Endpoint, request_id: str = "", non_idempotent: bool | None = None
    ) -> EngineConnection:
        """Return an open connection with capacity, else one that is connecting, else a new one.

        A connection that its engine has closed is not written to: the kernel may still accept a
        request, which would then have to count as possibly run.

        Args:
            endpoint: The engine.
            request_id: The request; empty for a health check.
            non_idempotent: Whether the request may run only once; None for a health check.

        Raises:
            EngineUnreachableError: A new connection could not be started.
            ConnectionLimitError: There is no file descriptor for a new connection.
        """
        now_ms = self._context.now_ms()
        while True:
            candidates = [
                each
                for each in self.by_engine.get(endpoint.engine, ())
                if each.accepts(request_id, now_ms, non_idempotent)
            ]
            if not candidates:
                return self._connect(endpoint)
            if len(candidates) == 1:
                chosen = candidates[0]
            else:
                chosen = self._choose(candidates, is_health_check=non_idempotent is None)
            if not chosen.transport.peer_closed():
                return chosen
            chosen.transport.close("closed by the engine")

    @staticmethod
    def _choose(candidates: list[EngineConnection], is_health_check: bool) -> EngineConnection:
        """Prefer open connections, then those with the fewest attempts.

        A health check prefers a connection on which the engine may not have read a cancelled
        request: the answer shows that it has.
        """
        return min(
            candidates,
            key=lambda each: (
                each.transport.state is not OPEN,
                is_health_check and each.cancellations.unresolved_since_ms is None,
                len(each.attempts),
            ),
        )

    def _connect(self, endpoint: Endpoint) -> EngineConnection:
        reserved = min(self.max_connections, MIN_CONNECTIONS)
        limit = max(self.max_connections - self.open_elsewhere, reserved)
        if self.count >= limit and not self._close_one_idle():
            raise ConnectionLimitError
        try:
            transport = net_connection.connect(
                self._context.loop,
                endpoint.address,
                INBOUND_BUFFER_BYTES,
                OUTBOUND_BUFFER_BYTES,
                self._context.memory,
            )
        except net_connection.ConnectError as error:
            raise EngineUnreachableError(error.reason) from error
        engine_connection = EngineConnection(
            self._context, endpoint.engine, transport, self._results, self._outcomes, self._remove
        )
        self.by_engine.setdefault(endpoint.engine, []).append(engine_connection)
        self._context.loop.spawn(transport.serve())
        return engine_connection

    def _remove(self, closed: EngineConnection) -> None:
        """Remove a connection that has closed."""
        connections = self.by_engine.get(closed.engine, [])
        if closed in connections:
            connections.remove(closed)
            if not connections:
                del self.by_engine[closed.engine]

    def connections_to(self, engine: str) -> list[EngineConnection]:
        """Return a copy of the list of the connections to one engine."""
        return list(self.by_engine.get(engine, ()))

    def _all_connections(self) -> list[EngineConnection]:
        return [each for connections in self.by_engine.values() for each in connections]

    def _close_one_idle(self) -> bool:
        """Close one idle connection so that another can open; return whether there was one."""
        return any(each.close_if_idle() for each in self._all_connections())

    def close_idle(self) -> None:
        """Close the idle connections that will not be used again."""
        now_ms = self._context.now_ms()
        for each in self._all_connections():
            is_available = self._context.endpoints.is_available(each.engine)
            if each.transport.output_held or each.is_expiring(now_ms) or not is_available:
                each.close_if_idle()

    def silent_connections(self, engine: str, silent_since_ms: float) -> list[EngineConnection]:
        """Return an engine's unresponsive connections that have received nothing since then."""
        return [
            each
            for each in self.by_engine.get(engine, ())
            if each.unresponsive and each.last_received_ms < silent_since_ms
        ]

    def sweep(self) -> None:
        """Close stalled connections, and idle ones that will not be used again."""
        self.close_idle()
        now_ms = self._context.now_ms()
        for each in self._all_connections():
            self._stall_detector.review(each, now_ms)

    def close(self) -> None:
        """Close every connection."""
        for each in self._all_connections():
            each.transport.close("broker shuts down")
