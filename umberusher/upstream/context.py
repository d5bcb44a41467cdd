"""Objects that all classes of the upstream side share: settings, loop, clock, registries, tags."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from umberusher.endpoints.registry import EndpointRegistry
from umberusher.net.loop import Loop
from umberusher.net.ring import RingMemory
from umberusher.pipeline.request_registry import RequestRegistry


@dataclass(slots=True, eq=False, repr=False)
class UpstreamSettings:
    """Limits of the connections to engines, and the commands that the settings allow.

    Attributes:
        max_attempts_per_connection: Attempts that one connection may carry at a time.
        connect_timeout_ms: Time within which a connection must be established.
        keepalive_ms: Time after which engines close an idle connection.
        max_connections: Connections to all engines, over all processes of the broker.
        cancellation: Engines stop running queries on a cancel command.
        receipts: A ping is written after each request; its answer proves that the engine has read
            both.
        health_checks: Commands that are not about a query may be sent: health checks and pings.
    """

    max_attempts_per_connection: int
    connect_timeout_ms: float
    keepalive_ms: float
    max_connections: int
    cancellation: bool = False
    receipts: bool = False
    health_checks: bool = True


class UpstreamContext:
    """Collaborators of all classes of the upstream side.

    Attributes:
        settings: Limits and permissions.
        loop: Runs the timers and the connections.
        now_ms: The clock of the broker's timeline.
        endpoints: The engines, and whether they accept new requests.
        registry: The open requests; attempts are ended there.
        network_delays: Estimated from all round trips that included no query work.
        memory: Where the buffers of the connections are charged; None without an account.
        tags: Numbers that make the names of pings and health checks unique.
    """

    __slots__ = (
        "endpoints",
        "loop",
        "memory",
        "network_delays",
        "now_ms",
        "registry",
        "settings",
        "tags",
    )

    def __init__(
        self,
        settings: UpstreamSettings,
        loop: Loop,
        now_ms: Callable[[], float],
        endpoints: EndpointRegistry,
        registry: RequestRegistry,
        memory: RingMemory | None = None,
    ) -> None:
        self.settings = settings
        self.loop = loop
        self.now_ms = now_ms
        self.endpoints = endpoints
        self.registry = registry
        self.memory = memory
        self.network_delays = registry.network_delays
        self.tags = itertools.count(1)
