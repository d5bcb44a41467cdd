"""The broker as hot restart sees it: what a successor is given, and what a peer changes here."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING

from umberusher.broker.shutdown import ShutdownRequest
from umberusher.endpoints.registry import EndpointRegistry
from umberusher.frontend.client_connection import ClientConnection
from umberusher.frontend.thrift_frontend import ThriftFrontend
from umberusher.hot_restart.messages import Greeting, JsonObject, ResourceUsage
from umberusher.hot_restart.successor import HandoverState
from umberusher.protocol.discovery import WatchEvent, encode_endpoint_list
from umberusher.upstream.upstream import Upstream

if TYPE_CHECKING:  # Contracts come into memory only where they are used.
    from umberusher.pipeline.contracts import ContractEnforcer


class BrokerRestartHost:
    """Gives and takes state on behalf of the broker's stages, as a ``RestartHost``."""

    __slots__ = (
        "_contracts",
        "_endpoints",
        "_frontend",
        "_memory_mb",
        "_shutdown_request",
        "_upstream",
    )

    def __init__(
        self,
        endpoints: EndpointRegistry,
        frontend: ThriftFrontend,
        upstream: Upstream,
        contracts: ContractEnforcer | None,
        shutdown_request: ShutdownRequest,
        memory_mb: Callable[[], float],
    ) -> None:
        self._endpoints = endpoints
        self._frontend = frontend
        self._upstream = upstream
        self._contracts = contracts
        self._shutdown_request = shutdown_request
        self._memory_mb = memory_mb

    # -- What a peer is given

    @property
    def listening_socket(self) -> socket.socket | None:
        """The clients' listening socket; None where it is closed."""
        listener = self._frontend.listener
        return listener.sock if listener else None

    @property
    def endpoint_revision(self) -> int:
        """The revision of the endpoint list."""
        return self._endpoints.revision

    @property
    def clients(self) -> Iterable[ClientConnection]:
        """The clients' connections of this process."""
        return self._frontend.clients

    def endpoint_list(self) -> Iterator[str]:
        """Return the whole endpoint list as pieces of JSON."""
        endpoints = self._endpoints.directory.values()
        entries = ((endpoint.last_update, endpoint.address) for endpoint in endpoints)
        return encode_endpoint_list(self._endpoints.revision, entries)

    def greeting(self) -> Greeting:
        """Return what a successor is given besides the endpoint list.

        What is listed counts as once listed in the successor too.
        """
        recalled = self._endpoints.drain_end_times()
        return Greeting(
            delisted_engines=list(self._endpoints.removed_ids),
            manual_drains=self._endpoints.manual_drains,
            manual_drain_ends=recalled,
            teams=self._contracts.export_state() if self._contracts else {},
        )

    def resource_usage(self) -> ResourceUsage:
        """Return what this process holds of the joint limits."""
        memory_mb = round(self._memory_mb(), 1)
        return ResourceUsage(memory_mb, len(self._frontend.clients), self._upstream.pool.count)

    def changed_team_budgets(self) -> JsonObject:
        """Return how the teams' budgets changed since the greeting; empty without contracts."""
        return self._contracts.export_later_counts() if self._contracts else {}

    # -- What a peer changes here

    def apply_watch_event(self, event: WatchEvent) -> None:
        """Apply a watch event of the peer."""
        self._endpoints.apply(event)

    def apply_manual_drain(self, engine: str, since_unix_ms: float | None) -> None:
        """Begin or end a manual drain, as the peer has."""
        if since_unix_ms is None:
            self._endpoints.end_manual_drain(engine)
        else:
            self._endpoints.remember_removed(engine)
            self._endpoints.start_manual_drain(engine, since_unix_ms)

    def apply_team_budgets(self, state: JsonObject) -> None:
        """Take the peer's state of the teams' budgets."""
        if self._contracts is not None:
            self._contracts.restore_state(state)

    def adopt_client(
        self, sock: socket.socket, open_calls: list[int], on_disconnect: Callable[[int], None]
    ) -> ClientConnection:
        """Take over a client's connection from the peer, which answers these calls."""
        return self._frontend.adopt_client(sock, open_calls, on_disconnect)

    def stop_accepting(self) -> None:
        """Leave accepting clients to a successor."""
        self._frontend.set_paused(True)

    def resume_accepting(self) -> bool:
        """Accept clients again, unless this process shuts down; return whether it does."""
        if self._shutdown_request.is_made:
            return False
        self._frontend.set_paused(False)
        return True

    def restore(self, handover: HandoverState) -> None:
        """Take what the predecessor hands over; it accepts clients until this process can."""
        greeting = handover.greeting
        for event in handover.watch_events:
            self._endpoints.apply(event)
        for engine in [*greeting.delisted_engines, *greeting.manual_drains]:
            self._endpoints.remember_removed(engine)
        for engine, since_unix_ms in greeting.manual_drains.items():
            self._endpoints.start_manual_drain(engine, since_unix_ms)
        # Guards engines that warm up: the discovery service may not know when they started.
        for engine, unix_ms in greeting.manual_drain_ends.items():
            self._endpoints.restore_drain_end(engine, unix_ms)
        if greeting.teams:
            self.apply_team_budgets(greeting.teams)
        self._frontend.adopt_listener(handover.listener)
