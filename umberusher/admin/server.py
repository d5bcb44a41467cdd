"""The admin listener: a few clients at a time, one call on each connection."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from umberusher.net import connection
from umberusher.net.connection import Connection, RawMessage, State
from umberusher.net.listener import Listener
from umberusher.net.loop import Loop
from umberusher.net.ring import RingMemory
from umberusher.protocol.ops import AdminCall, AdminProtocol, AdminResponse, MalformedCall

if TYPE_CHECKING:
    from umberusher.admin.backend import AdminBackend

log = logging.getLogger(__name__)

MAX_CLIENTS = 12
"""Simultaneous connections; the broker reserves descriptors for them."""

MAX_ACCEPTS = 16
"""Connections accepted in one batch, so that other descriptors are served in between."""

LISTEN_BACKLOG = 128

INBOUND_BUFFER_BYTES = 16_384
OUTBOUND_BUFFER_BYTES = 1 << 18

CALL_TIMEOUT_MS = 3_000.0
"""Time limit for a complete call to arrive, and for the client to read its response."""

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

MAX_LOGGED_ID_CHARACTERS = 64
"""Logged characters of an engine's id, which a client can choose freely."""


class AdminSession:
    """One connection, which carries one call."""

    __slots__ = (
        "_server",
        "connection",
        "has_received_data",
        "is_answered",
        "last_input_ms",
        "protocol",
        "started_ms",
    )

    def __init__(self, server: AdminServer, conn: Connection) -> None:
        self._server = server
        self.connection = conn
        self.protocol = AdminProtocol()
        self.started_ms = server.now_ms()
        self.last_input_ms = self.started_ms
        self.has_received_data = False
        self.is_answered = False
        conn.on_data = self._on_data
        conn.on_closed = self._on_closed
        conn.on_released = self._on_released

    def _on_closed(self, _reason: str) -> None:
        # A connection that is closing gracefully still holds its descriptor, so it is counted.
        if self.connection.state is State.CLOSED:
            self._on_released()

    def _on_released(self) -> None:
        self._server.sessions.pop(self, None)

    def _on_data(self) -> None:
        self.last_input_ms = self._server.now_ms()
        self.has_received_data = True
        inbound = self.connection.inbound
        call = self.protocol.feed(inbound.take(len(inbound)))
        if call is None:
            return
        self.is_answered = True
        response = self._server.respond(call)
        self.connection.send(RawMessage(self.protocol.encode(response)))
        self.connection.close_gracefully("answered", CALL_TIMEOUT_MS)


class AdminServer:
    """The listener and its sessions.

    Attributes:
        now_ms: The broker's time in milliseconds.
        sessions: The open connections, in the order in which they were accepted.
        listener: The listener; None before it is opened.
    """

    __slots__ = ("_backend", "_loop", "_memory", "listener", "now_ms", "sessions")

    def __init__(
        self,
        loop: Loop,
        now_ms: Callable[[], float],
        backend: AdminBackend,
        memory: RingMemory | None = None,
    ) -> None:
        self._memory = memory
        self._loop = loop
        self._backend = backend
        self.now_ms = now_ms
        self.sessions: dict[AdminSession, None] = {}
        self.listener: Listener | None = None

    def listen(self, address: tuple[str, int]) -> None:
        """Open the listener.

        Raises:
            OSError: The address can't be bound.
        """
        sock = socket.create_server(address, backlog=LISTEN_BACKLOG)
        self._loop.prioritize(sock.fileno())
        self.listener = Listener(self._loop, sock, MAX_ACCEPTS, self._accept, self._evict)
        self.listener.set_paused(False)

    def _accept(self, sock: socket.socket) -> None:
        if len(self.sessions) >= MAX_CLIENTS:
            self._evict()
        conn = connection.adopt_socket(
            self._loop, sock, INBOUND_BUFFER_BYTES, OUTBOUND_BUFFER_BYTES
        )
        if self._memory is not None:
            conn.charge_to(self._memory)
        self._loop.prioritize(conn.fd)
        self.sessions[AdminSession(self, conn)] = None
        self._loop.spawn(conn.serve())

    def _evict(self) -> None:
        """Close one connection to free its descriptor: an answered one first, then a silent one.

        This protects complete calls from clients that stay connected but send nothing or only half
        a call.
        """
        if self.sessions:
            victim = min(self.sessions, key=_eviction_order)
            victim.connection.close("evicted")

    def respond(self, call: AdminCall | MalformedCall) -> AdminResponse:
        """Execute a call and return its response."""
        if isinstance(call, MalformedCall):
            return AdminResponse(call.status, call.reason + "\n")
        match call.path:
            case ("ops", "readiness"):
                return _not_allowed(call, "GET") or self._readiness()
            case ("ops", "stats"):
                return _not_allowed(call, "GET") or self._metrics()
            case ("ops", "engines", "down", engine) if engine:
                return _not_allowed(call, "PUT") or self._drain(engine)
            case ("ops", "engines", "up", engine) if engine:
                return _not_allowed(call, "PUT") or self._recall(engine)
        return AdminResponse(404, "there is no such call\n")

    def _readiness(self) -> AdminResponse:
        if self._backend.is_ready():
            return AdminResponse(200, "ready\n")
        return AdminResponse(503, "not ready\n")

    def _metrics(self) -> AdminResponse:
        return AdminResponse(200, self._backend.metrics_text(), METRICS_CONTENT_TYPE)

    def _drain(self, engine: str) -> AdminResponse:
        return _engine_response(engine, "down", self._backend.start_manual_drain(engine))

    def _recall(self, engine: str) -> AdminResponse:
        return _engine_response(engine, "up", self._backend.end_manual_drain(engine))

    def sweep(self) -> None:
        """Close connections that take too long to send a call or to read its answer."""
        now_ms = self.now_ms()
        for session in list(self.sessions):
            if now_ms - session.started_ms > CALL_TIMEOUT_MS:
                session.connection.close("call timed out")

    def close(self) -> None:
        """Close the listener and all connections."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for session in list(self.sessions):
            session.connection.close("broker is shutting down")


def _eviction_order(session: AdminSession) -> tuple[bool, bool, float]:
    return not session.is_answered, session.has_received_data, session.last_input_ms


def _not_allowed(call: AdminCall, allowed_method: str) -> AdminResponse | None:
    """Return the response to a call with a wrong method; None where the method is allowed."""
    if call.method == allowed_method:
        return None
    text = f"this call is made with {allowed_method}\n"
    return AdminResponse(405, text, allowed_method=allowed_method)


def _engine_response(engine: str, state: str, is_known: bool) -> AdminResponse:
    """Log a call that starts or ends a manual drain, and return its response."""
    log.info(
        "admin_engine_state_requested engine=%s state=%s known=%s",
        engine[:MAX_LOGGED_ID_CHARACTERS],
        state,
        is_known,
    )
    if is_known:
        return AdminResponse(200, f"{engine} is {state}\n")
    return AdminResponse(404, "no engine of this id was ever listed\n")
