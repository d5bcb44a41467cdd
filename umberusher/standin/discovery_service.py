"""A stand-in discovery service: numbered watch events over a long poll, HTTP/1.1 by h11.

There is one listener for each broker. Each event that is sent is reported to an event sink.
"""

from __future__ import annotations

import json
import socket
from typing import Any, Protocol
from urllib.parse import parse_qs, urlsplit

import h11

from umberusher.checker.events import EventKind, EventSink
from umberusher.net import connection as net_connection
from umberusher.net.connection import Connection, RawMessage, State
from umberusher.net.listener import Listener
from umberusher.net.loop import Loop, Timer
from umberusher.standin.machine import MachineShape

MAX_LINGER_MS = 5_000
"""The longest time for which a poll is held open."""
PUBLICATION_DELAY_MS = 800.0
"""Delay between a change and the watch event that announces it."""
LISTEN_BACKLOG = 16
INBOUND_BYTES = 1 << 16
OUTBOUND_BYTES = 1 << 22

EndpointEntry = dict[str, Any]
"""One entry of the endpoint list, as JSON."""


class ListedEngine(Protocol):
    """The attributes of an engine in an endpoint list."""

    name: str
    zone: str
    kind: str
    shape: MachineShape

    @property
    def address(self) -> tuple[str, int]:
        """The address on which it listens."""


class DiscoveryService:
    """The watch events of one replay and the brokers that poll for them."""

    def __init__(
        self, loop: Loop, sink: EventSink, publication_delay_ms: float = PUBLICATION_DELAY_MS
    ) -> None:
        self.loop = loop
        self.sink = sink
        self.watch_events: list[dict[str, Any]] = []
        self._publication_delay_ms = publication_delay_ms
        self._listeners: list[Listener] = []
        self._polls: dict[PollConnection, None] = {}

    def entry(self, engine: ListedEngine, state: str, started_s: float = 0.0) -> EndpointEntry:
        """Return the entry of the endpoint list for an engine in a state."""
        host, port = engine.address
        return {
            "instanceId": engine.name,
            "hostPort": f"{host}:{port}",
            "zone": engine.zone,
            "machineType": engine.kind,
            "cell": 1,
            "lifecycle": state,
            "weight": engine.shape.cores,
            "startedAtMs": round(started_s * 1000),
        }

    def publish(
        self, entries: list[EndpointEntry], *, reset: bool = False, delayed: bool = True
    ) -> None:
        """Add a watch event, after the publication delay unless ``delayed`` is false."""
        if delayed and self._publication_delay_ms:
            self.loop.call_later(self._publication_delay_ms, lambda: self._add(entries, reset))
        else:
            self._add(entries, reset)

    def _add(self, entries: list[EndpointEntry], reset: bool) -> None:
        revision = len(self.watch_events) + 1
        pool = {"generation": 1, "reset": reset, "instances": entries}
        self.watch_events.append({"rev": revision, "pool": pool})
        for poll in list(self._polls):
            poll.answer()

    def snapshot(self) -> dict[str, Any]:
        """Return all watch events up to now, as a broker's configuration holds them."""
        return {"rev": len(self.watch_events), "notices": list(self.watch_events)}

    def listen(self, broker: str) -> tuple[str, int]:
        """Open an address for one broker."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.bind(("127.0.0.1", 0))
        sock.listen(LISTEN_BACKLOG)

        def accept(accepted: socket.socket) -> None:
            transport = net_connection.adopt_socket(
                self.loop, accepted, INBOUND_BYTES, OUTBOUND_BYTES
            )
            self._polls[PollConnection(self, transport, broker)] = None
            self.loop.spawn(transport.serve())

        listener = Listener(self.loop, sock, LISTEN_BACKLOG, accept, lambda: None)
        listener.set_paused(False)
        self._listeners.append(listener)
        host, port = sock.getsockname()
        return host, port

    def remove_poll(self, poll: PollConnection) -> None:
        """Remove a closed connection."""
        self._polls.pop(poll, None)

    def close(self) -> None:
        """Release all descriptors."""
        for listener in self._listeners:
            listener.close()
        for poll in list(self._polls):
            poll.close()


class PollConnection:
    """One broker's connection to the discovery service."""

    def __init__(self, service: DiscoveryService, transport: Connection, broker: str) -> None:
        self._service = service
        self._transport = transport
        self._broker = broker
        self._http = h11.Connection(h11.SERVER)
        # The revision after which the pending poll waits for events; None without a pending poll.
        self._after_revision: int | None = None
        self._linger_timer: Timer | None = None
        transport.on_data = self._on_data
        transport.on_closed = self._on_closed

    def close(self) -> None:
        """Close the connection."""
        self._transport.close("discovery service closed")

    def answer(self) -> None:
        """Answer the pending poll if there are events for it."""
        if self._after_revision is None:
            return
        watch_events = self._service.watch_events
        if len(watch_events) > self._after_revision:
            self._write(watch_events[self._after_revision :])

    def _on_data(self) -> None:
        self._http.receive_data(self._transport.inbound.take(len(self._transport.inbound)))
        while self._transport.state is State.OPEN:
            event = self._http.next_event()
            if event in (h11.NEED_DATA, h11.PAUSED) or isinstance(event, h11.ConnectionClosed):
                return
            if isinstance(event, h11.Request):
                self._start_poll(event.target.decode())
            elif isinstance(event, h11.EndOfMessage):
                self.answer()

    def _start_poll(self, target: str) -> None:
        query = parse_qs(urlsplit(target).query)
        self._after_revision = int(query["watch"][0])
        linger_ms = min(int(query["linger"][0]), MAX_LINGER_MS)
        self._linger_timer = self._service.loop.call_later(linger_ms, lambda: self._write([]))

    def _write(self, watch_events: list[dict[str, Any]]) -> None:
        if self._after_revision is None or self._http.our_state is not h11.SEND_RESPONSE:
            return
        self._after_revision = None
        if self._linger_timer:
            self._linger_timer.cancel()
        revision = len(self._service.watch_events)
        self._transport.send(RawMessage(self._encode({"rev": revision, "notices": watch_events})))
        for watch_event in watch_events:
            for entry in watch_event["pool"]["instances"]:
                self._service.sink(
                    EventKind.NOTIFIED, self._broker, entry["instanceId"], entry["lifecycle"]
                )
        self._start_next_exchange()

    def _start_next_exchange(self) -> None:
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()

    def _encode(self, document: dict[str, Any]) -> bytes:
        body = json.dumps(document).encode()
        head = h11.Response(
            status_code=200,
            headers=[("Content-Type", "application/json"), ("Content-Length", str(len(body)))],
        )
        parts = (head, h11.Data(body), h11.EndOfMessage())
        return b"".join(self._http.send(part) or b"" for part in parts)

    def _on_closed(self, _reason: str) -> None:
        self._service.remove_poll(self)
        if self._linger_timer:
            self._linger_timer.cancel()
