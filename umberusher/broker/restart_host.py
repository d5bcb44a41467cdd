"""The broker's side of hot restart: exports state to a peer and applies a peer's changes."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING

from umberusher.broker.shutdown import ShutdownRequest
from umberusher.endpoints.registry import EndpointRegistry
from umberusher.frontend.client_connection import ClientConnection
from umberusher.frontend.thrift_frontend import ThriftFrontend
from umberusher.hot_restart.key_ownership import KeyOwnership
from umberusher.hot_restart.messages import Greeting, JsonObject, ResourceUsage
from umberusher.hot_restart.request_ids import RequestIds
from umberusher.hot_restart.successor import HandoverState
from umberusher.protocol.discovery import WatchEvent, encode_endpoint_list
from umberusher.upstream.upstream import Upstream

if TYPE_CHECKING:  # Saves memory: only brokers that enforce contracts import the module.
    from umberusher.pipeline.contracts import ContractEnforcer


class BrokerRestartHost:
    """Implements ``RestartHost``: exports and restores the state of the broker's components.

    Attributes:
        key_ownership: Which process may run requests of an order key.
        request_ids: Which process may run a non-idempotent request of an id.
    """

    __slots__ = (
        "_contracts",
        "_endpoints",
        "_frontend",
        "_memory_mb",
        "_shutdown_request",
        "_upstream",
        "key_ownership",
        "request_ids",
    )

    def __init__(
        self,
        endpoints: EndpointRegistry,
        frontend: ThriftFrontend,
        upstream: Upstream,
        contracts: ContractEnforcer | None,
        shutdown_request: ShutdownRequest,
        memory_mb: Callable[[], float],
        key_ownership: KeyOwnership,
        request_ids: RequestIds,
    ) -> None:
        self._endpoints = endpoints
        self._frontend = frontend
        self._upstream = upstream
        self._contracts = contracts
        self._shutdown_request = shutdown_request
        self._memory_mb = memory_mb
        self.key_ownership = key_ownership
        self.request_ids = request_ids

    # -- State that is sent to a peer

    @property
    def listening_socket(self) -> socket.socket | None:
        """The listening socket for clients; None where it is closed."""
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
        """Return the state for a successor besides the endpoint list.

        It names the ids that were removed from the list, so that the successor accepts manual
        drains of them too.
        """
        recalled = self._endpoints.drain_end_times()
        return Greeting(
            delisted_engines=list(self._endpoints.removed_ids),
            manual_drains=self._endpoints.manual_drains,
            manual_drain_ends=recalled,
            teams=self._contracts.export_state() if self._contracts else {},
        )

    def resource_usage(self) -> ResourceUsage:
        """Return how much of the shared limits this process uses."""
        memory_mb = round(self._memory_mb(), 1)
        return ResourceUsage(memory_mb, len(self._frontend.clients), self._upstream.pool.count)

    def changed_team_budgets(self) -> JsonObject:
        """Return the changes of the teams' budgets since the greeting; empty without contracts."""
        return self._contracts.export_later_counts() if self._contracts else {}

    # -- Changes that a peer requests

    def apply_watch_event(self, event: WatchEvent) -> None:
        """Apply a watch event from the peer."""
        self._endpoints.apply(event)

    def apply_manual_drain(self, engine: str, since_unix_ms: float | None) -> None:
        """Start or end a manual drain that the peer has started or ended."""
        if since_unix_ms is None:
            self._endpoints.end_manual_drain(engine)
        else:
            self._endpoints.remember_removed(engine)
            self._endpoints.start_manual_drain(engine, since_unix_ms)

    def apply_team_budgets(self, state: JsonObject) -> None:
        """Restore the teams' budgets from the peer's state."""
        if self._contracts is not None:
            self._contracts.restore_state(state)

    def adopt_client(
        self, sock: socket.socket, open_calls: list[int], on_disconnect: Callable[[int], None]
    ) -> ClientConnection:
        """Adopt a client connection from the peer, which still answers the open calls."""
        return self._frontend.adopt_client(sock, open_calls, on_disconnect)

    def stop_accepting(self) -> None:
        """Stop accepting clients, since a successor accepts them."""
        self._frontend.set_paused(True)

    def resume_accepting(self) -> bool:
        """Accept clients again unless shutdown was requested; return whether they are accepted."""
        if self._shutdown_request.is_made:
            return False
        self._frontend.set_paused(False)
        return True

    def restore(self, handover: HandoverState) -> None:
        """Restore the predecessor's state; it accepts clients until this process is ready."""
        greeting = handover.greeting
        for event in handover.watch_events:
            self._endpoints.apply(event)
        for engine in [*greeting.delisted_engines, *greeting.manual_drains]:
            self._endpoints.remember_removed(engine)
        for engine, since_unix_ms in greeting.manual_drains.items():
            self._endpoints.start_manual_drain(engine, since_unix_ms)
        # Lets engines whose manual drain has ended continue to warm up: the discovery service may
        # not know their start times.
        for engine, unix_ms in greeting.manual_drain_ends.items():
            self._endpoints.restore_drain_end(engine, unix_ms)
        if greeting.teams:
            self.apply_team_budgets(greeting.teams)
        self._frontend.adopt_listener(handover.listener)
