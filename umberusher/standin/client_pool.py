"""Stand-in clients of one broker: connections, open calls, and deadlines enforced by interrupts.

The pool reports the requests written and the answers read to an event sink, and the outcome of each
call to its caller, once.
"""

from __future__ import annotations

import socket

import xxhash

from umberusher.checker.events import EventKind, EventSink, Outcome
from umberusher.net import connection as net_connection
from umberusher.net.loop import Loop
from umberusher.standin.client_connection import Call, ClientConnection
from umberusher.standin.thrift_client import MAX_FRAME_BYTES, Answer, AnswerKind

MAX_OPEN_CALLS = 32
"""Open calls that the protocol allows on one connection."""
TARGET_OPEN_CALLS = 20
"""Another connection is opened once every connection has this many open calls."""
CROSSED_CLOSE_MS = 50.0
"""A call that is sent within this time before a close is sent again, once."""
MAX_REMEMBERED_INTERRUPTS = 4_096
"""Interrupted calls that are remembered; the oldest are dropped, as most are never answered."""

_OUTCOMES = {
    AnswerKind.SERVED: Outcome.SERVED,
    AnswerKind.REJECTED: Outcome.REJECTED,
    AnswerKind.FAILED: Outcome.FAILED,
    AnswerKind.EXCEPTION: Outcome.EXCEPTION,
}


class ClientPool:
    """All clients of one broker."""

    def __init__(self, loop: Loop, broker: str, address: tuple[str, int], sink: EventSink) -> None:
        self.connections: dict[ClientConnection, None] = {}
        self.ready = False
        self.open_count = 0
        self.rejected_connection_count = 0
        self._loop = loop
        self._broker = broker
        self._address = address
        self._sink = sink
        # Request identifiers of interrupted calls: an answer may have crossed the interrupt.
        self._interrupted: dict[tuple[int, int], str] = {}

    def connect(self) -> ClientConnection | None:
        """Open one more connection; return None where it is refused."""
        try:
            transport = net_connection.connect(
                self._loop, self._address, MAX_FRAME_BYTES, MAX_FRAME_BYTES
            )
        except net_connection.ConnectError:
            self.rejected_connection_count += 1
            return None
        connection = ClientConnection(self, transport)
        self.connections[connection] = None
        self._loop.spawn(transport.serve())
        return connection

    def send_check(self) -> None:
        """Send a readiness check; its answer sets ``ready``."""
        connection = next(iter(self.connections), None) or self.connect()
        if connection:
            connection.send_check()

    def send(self, call: Call) -> None:
        """Send a call over the connection with the fewest open ones, or over a new one."""
        best = min(
            self.connections,
            key=lambda connection: (not connection.is_open, len(connection.open_calls)),
            default=None,
        )
        if best is None or len(best.open_calls) >= TARGET_OPEN_CALLS:
            best = self.connect() or best
        if best is None or len(best.open_calls) >= MAX_OPEN_CALLS:
            call.done(Outcome.LOST, None)
            return
        self.open_count += 1
        best.send_call(call)

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self.connections):
            connection.open_calls = {}
            connection.transport.close("the clients end")

    # -- Reports of the connections

    def on_call_sent(self, call: Call) -> None:
        """Report a sent call and start its timer."""
        call.sent_at_ms = self._now_ms()
        self._sink(
            EventKind.REQUEST_SENT,
            self._broker,
            call.request_id,
            call.fields["method"],
            call.fields.get("obj", ""),
            round(call.budget_ms, 3),
            call.fields.get("again", "0"),
        )
        if call.timer is None:
            ends_after_ms = call.budget_ms
            if call.disconnect_after_ms is not None:
                ends_after_ms = min(call.disconnect_after_ms, call.budget_ms)
            call.timer = self._loop.call_later(ends_after_ms, lambda: self._interrupt(call))

    def on_check_answer(self, ready: bool) -> None:
        """Store whether the broker is ready."""
        self.ready = ready

    def on_answer(self, call: Call, answer: Answer) -> None:
        """End a call with its answer."""
        self.open_count -= 1
        if call.timer:
            call.timer.cancel()
        is_served = answer.kind is AnswerKind.SERVED
        self._sink(
            EventKind.ANSWERED,
            self._broker,
            call.request_id,
            answer.kind.value,
            xxhash.xxh3_64_hexdigest(answer.body) if is_served else "",
            answer.fields.get("backoff", ""),
        )
        call.done(_OUTCOMES[answer.kind], answer)

    def on_unexpected_answer(self, connection: ClientConnection, answer: Answer) -> None:
        """Report an answer to no open call: it crossed an interrupt, or it is a second one."""
        request_id = self._interrupted.pop((id(connection), answer.sequence_id), None)
        if request_id:
            self._sink(EventKind.ANSWER_CROSSED, self._broker, request_id, answer.kind.value)
        else:
            self._sink(
                EventKind.UNEXPECTED_ANSWER,
                self._broker,
                f"number {answer.sequence_id}",
                answer.kind.value,
            )

    def on_unreadable(self, reason: str) -> None:
        """Report bytes that can't be decoded as an answer."""
        self._sink(EventKind.UNREADABLE, self._broker, reason)

    def on_closed(self, connection: ClientConnection) -> None:
        """End the calls of a closed connection; those that crossed the close are sent again."""
        self.connections.pop(connection, None)
        for key in [key for key in self._interrupted if key[0] == id(connection)]:
            del self._interrupted[key]
        for call in connection.open_calls.values():
            self.open_count -= 1
            if self._crossed_close(call):
                call.resent = True
                self.send(call)
                continue
            if call.timer:
                call.timer.cancel()
            self._sink(EventKind.REQUEST_LOST, self._broker, call.request_id)
            call.done(Outcome.LOST, None)
        connection.open_calls = {}

    def _crossed_close(self, call: Call) -> bool:
        if call.resent:
            return False
        return call.sent_at_ms is None or self._now_ms() - call.sent_at_ms < CROSSED_CLOSE_MS

    def _interrupt(self, call: Call) -> None:
        """Withdraw a call whose deadline has passed, or whose client disconnects."""
        connection = call.connection
        if connection is None or connection.open_calls.pop(call.sequence_id, None) is None:
            return
        self.open_count -= 1
        disconnect_after_ms = call.disconnect_after_ms
        if disconnect_after_ms is None or disconnect_after_ms >= call.budget_ms:
            outcome = Outcome.EXPIRED
        else:
            outcome = Outcome.DISCONNECTED
        self._interrupted[id(connection), call.sequence_id] = call.request_id
        if len(self._interrupted) > MAX_REMEMBERED_INTERRUPTS:
            self._interrupted.pop(next(iter(self._interrupted)))
        self._sink(EventKind.CLIENT_GAVE_UP, self._broker, call.request_id, outcome.value)
        connection.send_interrupt(call)
        call.done(outcome, None)

    def _now_ms(self) -> float:
        return self._loop.clock() * 1000.0


def free_address() -> tuple[str, int]:
    """Return a loopback address whose port was free when it was checked."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        host, port = sock.getsockname()
        return host, port
