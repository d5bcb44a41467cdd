"""The upstream side of the broker: connections to engines, attempts and health checks."""

from __future__ import annotations

import dataclasses
import logging
from collections import Counter
from collections.abc import Callable

from umberusher.decisions.events import Event
from umberusher.endpoints.directory import Endpoint
from umberusher.endpoints.registry import EndpointRegistry
from umberusher.net.loop import Loop
from umberusher.net.ring import RingMemory
from umberusher.pipeline.request_registry import RequestRegistry
from umberusher.upstream.attempts import AttemptManager
from umberusher.upstream.cancellation import CancellationOutcomes
from umberusher.upstream.connection_pool import ConnectionPool
from umberusher.upstream.context import UpstreamContext, UpstreamSettings
from umberusher.upstream.health_checks import HealthChecks
from umberusher.upstream.remaining_time import RemainingTime
from umberusher.upstream.result_collector import ResultCollector

log = logging.getLogger(__name__)


class Upstream:
    """Wires the classes of the upstream side together.

    Attributes:
        context: Objects that these classes share.
        pool: The connections to all engines.
        attempts: Starts attempts and gives them up.
        health_checks: Polls engines for their load.
    """

    __slots__ = ("_remaining_time", "attempts", "context", "health_checks", "pool")

    def __init__(
        self,
        loop: Loop,
        endpoints: EndpointRegistry,
        registry: RequestRegistry,
        now_ms: Callable[[], float],
        post: Callable[[Event], None],
        settings: UpstreamSettings,
        memory: RingMemory | None = None,
    ) -> None:
        if settings.receipts and not settings.health_checks:
            log.warning("receipts_disabled reason=%r", "settings allow no health checks")
            settings = dataclasses.replace(settings, receipts=False)
        self.context = UpstreamContext(settings, loop, now_ms, endpoints, registry, memory)
        results = ResultCollector(registry, post)
        outcomes = CancellationOutcomes(registry, results)
        self._remaining_time = RemainingTime(self.context)
        self.pool = ConnectionPool(self.context, results, outcomes)
        self.attempts = AttemptManager(self.context, self.pool, self._remaining_time)
        self.health_checks = HealthChecks(self.context, self.pool, post)
        endpoints.subscribe(
            on_closed=self._withdraw_from_engine, on_moved=self._supersede_connections
        )

    @property
    def expired(self) -> Counter[str]:
        """Return the count of attempts that were not sent for lack of time, by reason."""
        return self._remaining_time.expired

    @property
    def given_up(self) -> Counter[str]:
        """Return the count of attempts that were given up, by the location of their bytes."""
        return self.attempts.given_up

    def _withdraw_from_engine(self, endpoint: Endpoint) -> None:
        """Withdraw unsent requests from an engine that is draining or removed."""
        for connection in self.pool.connections_to(endpoint.engine):
            self.attempts.withdraw_queued(connection)
            connection.close_if_idle()

    def _supersede_connections(self, endpoint: Endpoint) -> None:
        """Stop using the connections of an engine that has moved or restarted for new requests.

        They are marked first: a withdrawn request is sent again at once, and must not be sent on
        them.
        """
        self.context.network_delays.forget(endpoint.engine)
        for connection in self.pool.connections_to(endpoint.engine):
            connection.superseded = True
        self._withdraw_from_engine(endpoint)

    def sweep(self) -> None:
        """Close idle and stalled connections."""
        self.pool.sweep()

    def close(self) -> None:
        """Close every connection."""
        self.pool.close()
