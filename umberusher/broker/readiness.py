"""Readiness of this process, and the log lines about its start."""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import Enum

from umberusher.broker.shutdown import ShutdownRequest
from umberusher.decisions.balancer import LoadBalancer
from umberusher.discovery.client import DiscoveryClient
from umberusher.endpoints.registry import EndpointRegistry

log = logging.getLogger(__name__)

MAX_DISCOVERY_WAIT_S = 3.0
"""A start waits no longer than this for the first answer of the discovery service."""


class LoggedStart(Enum):
    """What was logged about the start so far."""

    NOTHING = "nothing"
    NO_ENDPOINTS = "no endpoints"
    READY = "ready"


class Readiness:
    """Determines whether this process accepts clients.

    Attributes:
        is_serving: Whether this process accepts clients, or did until a successor took over.
        logged_start: What was logged about the start so far.
        endpoints: The endpoint list.
    """

    __slots__ = (
        "_balancer",
        "_clock",
        "_discovery",
        "_shutdown_request",
        "_started_at_s",
        "endpoints",
        "is_serving",
        "logged_start",
    )

    def __init__(
        self,
        clock: Callable[[], float],
        endpoints: EndpointRegistry,
        discovery: DiscoveryClient,
        balancer: LoadBalancer,
        shutdown_request: ShutdownRequest,
    ) -> None:
        self._clock = clock
        self._discovery = discovery
        self._balancer = balancer
        self._shutdown_request = shutdown_request
        self._started_at_s = clock()
        self.endpoints = endpoints
        self.is_serving = False
        self.logged_start = LoggedStart.NOTHING

    def accepts_clients(self) -> bool:
        """Return whether the endpoint list is up to date and no shutdown was requested.

        The endpoints of the configuration may be outdated when this process has started: the
        discovery service may know of drains since. If it does not answer, it delays the start for
        a bounded time only.
        """
        if self._shutdown_request.is_made or not self.endpoints.directory:
            return False
        return self._discovery.has_answered or self._elapsed_s() > MAX_DISCOVERY_WAIT_S

    def is_ready(self) -> bool:
        """Return whether this process is ready for clients."""
        return self.is_serving and self.accepts_clients()

    def _elapsed_s(self) -> float:
        return self._clock() - self._started_at_s

    def log_start(self) -> None:
        """Log once when clients are accepted, and once before if no endpoint becomes known."""
        if self.logged_start is LoggedStart.READY or self._shutdown_request.is_made:
            return
        if self.accepts_clients():
            self.logged_start = LoggedStart.READY
            log.info(
                "broker_ready after_s=%.1f engines=%d in_subset=%d discovery=%s",
                self._elapsed_s(),
                len(self.endpoints.directory),
                len(self._balancer.engines),
                self._discovery_status(),
            )
        elif self._elapsed_s() > MAX_DISCOVERY_WAIT_S and self.logged_start is LoggedStart.NOTHING:
            self.logged_start = LoggedStart.NO_ENDPOINTS
            log.warning("broker_not_ready after_s=%.1f reason=no_endpoints", self._elapsed_s())

    def _discovery_status(self) -> str:
        if self._discovery.has_answered:
            return "answered"
        host, port = self._discovery.address
        return f"unanswered:{host}:{port}"
