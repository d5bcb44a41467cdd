"""The front end of Thrift clients: listeners, limits on connections, eviction and draining."""

from __future__ import annotations

import logging
import math
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from umberusher.frontend.call_admission import CallAdmission, IdClaims
from umberusher.frontend.call_decoder import RequestSchema
from umberusher.frontend.call_queue import CallQueue
from umberusher.frontend.client_connection import ClientConnection
from umberusher.frontend.key_arrivals import RETENTION_S, KeyArrivals, KeyLoans
from umberusher.frontend.memory_shedding import MemoryShedder
from umberusher.frontend.time_limits import CloseReason
from umberusher.net.connection import Connection, State
from umberusher.net.listener import Listener
from umberusher.net.loop import Loop
from umberusher.net.memory_account import MemoryAccount
from umberusher.net.receive_timestamps import ReceiveTimestamps
from umberusher.net.timed_connection import TimedConnection
from umberusher.pipeline.admission import RequestAdmission
from umberusher.protocol import thrift

if TYPE_CHECKING:  # Contracts are loaded into memory only if they are used.
    from umberusher.teams.identity import Origin

log = logging.getLogger(__name__)

BYTES_PER_MB = 1e6
# Limit of one frame, as a fraction of the memory limit.
MAX_FRAME_MEMORY_FRACTION = 1 / 256
FRAME_HEADER_BYTES = 4
# Limit of a client's outbound ring; an answer has at most 48,000 bytes of rows.
OUTBOUND_BYTES = 1 << 20
# Connections that may be closing beyond the clients' limit; descriptors are reserved for them.
MAX_EXTRA_CLOSING = 16
# Limit of connections accepted at once, so that open ones are served in between.
ACCEPT_BATCH_SIZE = 64
LISTEN_BACKLOG = 1_024
# Connections that a process may always have, even if the broker's other processes hold the rest.
MIN_CLIENTS_PER_PROCESS = 16


class ThriftFrontend:
    """The listeners and their clients.

    Attributes:
        listener: The listener that is handed to a successor; None before it opens and after it
            closes.
        additional_listeners: Listeners at further addresses.
        clients: In the order in which they connected, so that sweeps are deterministic.
        closing: Connections in state CLOSING, the oldest first.
        call_queue: The calls that wait to be begun, in the order of arrival.
        call_admission: Begins them.
        key_arrivals: The latest arrivals of order keys.
        memory: The account to which the clients' memory is charged.
        memory_shedder: Releases memory of clients that others need.
        peer_client_count: Clients of other processes of this broker.
        max_clients: Limit of clients of all processes of this broker together.
    """

    def __init__(
        self,
        loop: Loop,
        admission: RequestAdmission,
        now_ms: Callable[[], float],
        arrived_ms: Callable[[], float],
        unix_clock: Callable[[], float],
        accepts_clients: Callable[[], bool],
        max_clients: int,
        schema: RequestSchema,
        key_arrivals: KeyArrivals,
        key_loans: KeyLoans,
        id_claims: IdClaims,
        memory_mb: float,
        memory: MemoryAccount,
        origin_of_port: Callable[[int], Origin] | None = None,
    ) -> None:
        """Create a front end that does not listen yet.

        Args:
            loop: The event loop.
            admission: Admits decoded requests.
            now_ms: The broker's clock.
            arrived_ms: Returns the earliest time at which input that is read now may have
                arrived: a request's time budget starts then.
            unix_clock: Unix time in seconds.
            accepts_clients: Returns whether clients should use this broker.
            max_clients: Limit of connections.
            schema: The classes and value ranges that calls must keep to.
            key_arrivals: The latest arrivals of order keys.
            key_loans: The order keys that this process shares with another one.
            id_claims: The ids that this process shares with another one.
            memory_mb: The memory limit, by which frames are bounded.
            memory: The account to which the clients' memory is charged.
            origin_of_port: Returns the origin of connections to a port; None if origins are not
                used.
        """
        self.loop = loop
        self.admission = admission
        self.now_ms = now_ms
        self.arrived_ms = arrived_ms
        self.accepts_clients = accepts_clients
        self.max_clients = max_clients
        self.origin_of_port = origin_of_port
        self.memory = memory
        memory_bytes = memory_mb * BYTES_PER_MB
        self.max_frame_bytes = min(
            int(memory_bytes * MAX_FRAME_MEMORY_FRACTION), thrift.MAX_FRAME_BYTES
        )
        self.clients: dict[ClientConnection, None] = {}
        self.closing: dict[Connection, None] = {}
        # Since when the connections that were accepted after a shortage may have waited, until
        # their first call.
        self._waited_since_s: dict[ClientConnection, float] = {}
        self.listener: Listener | None = None
        self.additional_listeners: list[Listener] = []
        self.peer_client_count = 0
        self.call_queue = CallQueue(loop.clock, loop, now_ms)
        self.key_arrivals = key_arrivals
        self.call_admission = CallAdmission(admission, schema, key_arrivals, key_loans, id_claims)
        self.memory_shedder = MemoryShedder(admission, self.call_admission)
        self._timestamps = ReceiveTimestamps(loop.clock, unix_clock)
        loop.add_deferred_work(self.call_queue)

    # -- Listeners

    def listen(self, address: tuple[str, int]) -> None:
        """Open the listener and accept clients.

        Raises:
            OSError: The address can't be bound.
        """
        self.adopt_listener(_open_socket(address))
        self.set_paused(False)

    def listen_additionally(self, address: tuple[str, int]) -> tuple[str, int]:
        """Open a listener at a further address and return its host and port.

        It is not handed over: a successor opens its own listener at the same address.

        Raises:
            OSError: The address can't be bound.
        """
        sock = _open_socket(address)
        listener = self._listener_of(sock)
        self.additional_listeners.append(listener)
        listener.set_paused(self.paused)
        host, port = sock.getsockname()
        return host, port

    def adopt_listener(self, sock: socket.socket) -> None:
        """Adopt a listening socket that is open already; nothing is accepted from it yet."""
        self.listener = self._listener_of(sock)

    def _listener_of(self, sock: socket.socket) -> Listener:
        def accept_client(accepted: socket.socket) -> None:
            self._accept_client(accepted, listener.backlog_since_s, listener.shortage_since_s)

        listener = Listener(self.loop, sock, ACCEPT_BATCH_SIZE, accept_client, self._evict)
        return listener  # noqa: RET504  (the function above needs the name)

    @property
    def _listeners(self) -> list[Listener]:
        first = [self.listener] if self.listener else []
        return [*first, *self.additional_listeners]

    @property
    def paused(self) -> bool:
        """Whether no client is accepted."""
        return self.listener is None or self.listener.paused

    def set_paused(self, paused: bool) -> None:
        """Pause or resume accepting clients."""
        for listener in self._listeners:
            listener.set_paused(paused)

    def stop_listening(self) -> None:
        """Accept the connections that are pending in the kernel, then close the listeners.

        Closing a listener resets the connections that are still pending.
        """
        listeners = self._listeners
        self.listener = None
        self.additional_listeners = []
        for listener in listeners:
            listener.accept_pending_and_close()

    # -- Clients

    def _accept_client(
        self, sock: socket.socket, established_after_s: float, waited_since_s: float | None
    ) -> None:
        """Serve an accepted socket, or close it if descriptors are short.

        Keeps free the descriptors that engines and discovery need.

        Args:
            sock: The socket.
            established_after_s: The loop's time after which its client has connected.
            waited_since_s: Since when it may have waited in a shortage; None without one.
        """
        own_max = max(
            self.max_clients - self.peer_client_count,
            min(self.max_clients, MIN_CLIENTS_PER_PROCESS),
        )
        extra_closing = max(len(self.closing) - MAX_EXTRA_CLOSING, 0)
        if len(self.clients) + extra_closing >= own_max and not self._evict():
            log.warning("client_rejected reason=too_many_clients clients=%d", len(self.clients))
            sock.close()
            return
        client = self._add_client(sock, established_after_s)
        if waited_since_s is not None:
            self._waited_since_s[client] = waited_since_s

    def take_waited_since_s(self, client: ClientConnection) -> float | None:
        """Return since when a client's first call may have waited for its connection, once."""
        return self._waited_since_s.pop(client, None)

    def _add_client(self, sock: socket.socket, established_after_s: float) -> ClientConnection:
        inbound_bytes = self.max_frame_bytes + FRAME_HEADER_BYTES
        transport = TimedConnection(
            self.loop, sock, inbound_bytes, OUTBOUND_BYTES, self._timestamps, established_after_s
        )
        client = ClientConnection(self, transport)
        self.clients[client] = None
        self.loop.spawn(transport.serve())
        return client

    def adopt_client(
        self, sock: socket.socket, seqids: list[int], on_disconnect: Callable[[int], None]
    ) -> ClientConnection:
        """Adopt a connection of another process, which answers the open calls itself.

        Args:
            sock: The connection.
            seqids: The sequence ids of the open calls.
            on_disconnect: Notifies the other process that the client no longer waits for a call.
        """
        # Input may have arrived before the connection did.
        client = self._add_client(sock, -math.inf)
        client.adopt_calls(seqids, on_disconnect)
        return client

    def remove_client(self, client: ClientConnection) -> None:
        """Remove a client; track its connection until it has closed and freed its descriptor."""
        self.clients.pop(client, None)
        self._waited_since_s.pop(client, None)
        transport = client.connection
        if transport.state is State.CLOSING:
            self.closing[transport] = None
            transport.on_released = lambda: self._on_released(client)

    def _on_released(self, client: ClientConnection) -> None:
        self.closing.pop(client.connection, None)
        client.release_answers()

    def _evict(self) -> bool:
        """Free a descriptor; return False if no client can be evicted.

        If too many connections are closing already, the oldest of them is closed at once. Otherwise
        the client without open calls that has been inactive for longest is evicted, one with an
        incomplete call before all others. A client whose call is unread in the kernel is not
        inactive.
        """
        if len(self.closing) <= MAX_EXTRA_CLOSING:
            client = self._find_evictable()
            if client is None:
                return False
            log.info("client_evicted clients=%d reason=descriptors", len(self.clients))
            client.connection.close_gracefully("evicted")
        if len(self.closing) > MAX_EXTRA_CLOSING:
            oldest = next(iter(self.closing))
            oldest.close("evicted")
        return True

    def _find_evictable(self) -> ClientConnection | None:
        candidates = [client for client in self.clients if client.has_nothing_open]
        candidates.sort(key=lambda each: (each.incomplete_since_ms is None, each.active_ms))
        for client in candidates:
            is_incomplete = client.incomplete_since_ms is not None
            if is_incomplete or not client.connection.has_unread_input():
                return client
        return None

    def sweep(self) -> None:
        """Close the connections whose time limits have passed.

        Connections of clients that send nothing, or begin a call and don't finish it, must be
        closed within 3 s: other clients need them.
        """
        now_ms = self.now_ms()
        for client in list(self.clients):
            reason = client.overdue(now_ms)
            if not reason:
                continue
            if reason == CloseReason.IDLE and client.connection.has_unread_input():
                continue
            client.connection.close_gracefully(reason)
        self._forget_arrivals()
        self._timestamps.compare_clocks()

    def _forget_arrivals(self) -> None:
        """Forget the arrivals that no pending, deferred or unread call can precede.

        While calls wait all the time, clients may send ever new keys.
        """
        oldest_s = self.call_queue.oldest_arrival_s()
        for client in self.clients:
            if client.deferred_calls:
                oldest_s = min(oldest_s, client.deferred_calls.first_arrival.after_s)
            buffered_since_s = client.connection.buffered_since_s
            if buffered_since_s is not None:
                oldest_s = min(oldest_s, buffered_since_s)
        self.key_arrivals.forget_before(min(self.loop.clock() - RETENTION_S, oldest_s))

    # -- Shutdown

    def drain_idle_connections(self) -> None:
        """Close each connection without a byte in flight; its client connects elsewhere.

        A call that is already in the kernel keeps its connection open; one that crosses the close
        is retried by its client.
        """
        idle_clients = [
            client
            for client in self.clients
            if not client.open_calls
            and not client.deferred_calls
            and client.connection.has_nothing_in_flight()
        ]
        for client in idle_clients:
            client.connection.close_gracefully("the broker shuts down")

    @property
    def is_drained(self) -> bool:
        """Whether no client is left, no call waits and no connection is closing."""
        return not self.clients and not self.closing and not self.call_queue.is_pending

    def close(self) -> None:
        """Close the listeners and all connections."""
        for listener in self._listeners:
            listener.close()
        self.listener = None
        self.additional_listeners = []
        transports = [client.connection for client in self.clients]
        for transport in [*transports, *self.closing]:
            transport.close("the broker shuts down")
        self.loop.remove_deferred_work(self.call_queue)


def _open_socket(address: tuple[str, int]) -> socket.socket:
    """Return a listening socket; raise OSError if the address can't be bound."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # A restarted broker that can't reach its predecessor can bind the address all the same.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    try:
        sock.bind(address)
        sock.listen(LISTEN_BACKLOG)
    except OSError:
        sock.close()
        raise
    return sock
