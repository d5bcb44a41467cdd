"""A connection of stand-in clients to a broker, and the calls that are open on it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from umberusher.checker.events import Outcome
from umberusher.net.connection import Connection, RawMessage, State
from umberusher.net.loop import Timer
from umberusher.standin import thrift_client
from umberusher.standin.thrift_client import Answer, AnswerKind, UnreadableAnswerError

CallDone = Callable[[Outcome, Answer | None], None]
"""Called with the outcome of a call, and its answer if there is one."""


@dataclass(slots=True, eq=False)
class Call:
    """One request of a client.

    Attributes:
        budget_ms: Time from sending to the client's deadline.
        done: Called once with its outcome.
        disconnect_after_ms: Time from sending until the client disconnects; None if it doesn't.
        sent_at_ms: When the last byte was passed to the kernel; None before.
        resent: It crossed a close and was sent again over another connection.
    """

    request_id: str
    fields: dict[str, str]
    body: bytes
    budget_ms: float
    done: CallDone
    disconnect_after_ms: float | None = None
    sent_at_ms: float | None = None
    resent: bool = False
    timer: Timer | None = None
    connection: ClientConnection | None = None
    sequence_id: int = 0


class ConnectionOwner(Protocol):
    """Receives the events of a connection."""

    def on_call_sent(self, call: Call, /) -> None:
        """The last byte of a call has been passed to the kernel."""

    def on_answer(self, call: Call, answer: Answer, /) -> None:
        """An open call received its answer."""

    def on_unexpected_answer(self, connection: ClientConnection, answer: Answer, /) -> None:
        """An answer arrived that belongs to no open call."""

    def on_check_answer(self, ready: bool, /) -> None:
        """The broker reported whether it is ready."""

    def on_unreadable(self, reason: str, /) -> None:
        """The broker sent bytes that can't be decoded as an answer."""

    def on_closed(self, connection: ClientConnection, /) -> None:
        """The connection has ended."""


class _CallMessage:
    """A call as a message, which notifies the owner when the kernel has its last byte."""

    __slots__ = ("_call", "_owner")

    def __init__(self, owner: ConnectionOwner, call: Call) -> None:
        self._owner = owner
        self._call = call

    def encode(self) -> bytes:
        """Return the encoded call."""
        call = self._call
        return thrift_client.encode_execute(call.sequence_id, call.fields, call.body)

    def written(self) -> None:
        """Report that the call is sent."""
        self._owner.on_call_sent(self._call)


class ClientConnection:
    """One connection, which matches answers to open calls by their sequence numbers."""

    def __init__(self, owner: ConnectionOwner, transport: Connection) -> None:
        self.transport = transport
        # By sequence number.
        self.open_calls: dict[int, Call] = {}
        self._owner = owner
        self._last_sequence_id = 0
        transport.on_data = self._on_data
        transport.on_closed = self._on_closed

    @property
    def is_open(self) -> bool:
        """Whether the connection is up."""
        return self.transport.state is State.OPEN

    def send_call(self, call: Call) -> None:
        """Send a call."""
        call.sequence_id = self._next_sequence_id()
        call.connection = self
        self.open_calls[call.sequence_id] = call
        self.transport.send(_CallMessage(self._owner, call))

    def send_check(self) -> None:
        """Send a readiness check."""
        self.transport.send(RawMessage(thrift_client.encode_check(self._next_sequence_id())))

    def send_interrupt(self, call: Call) -> None:
        """Withdraw a call."""
        sequence_id = self._next_sequence_id()
        self.transport.send(
            RawMessage(thrift_client.encode_interrupt(sequence_id, call.sequence_id))
        )

    def _next_sequence_id(self) -> int:
        self._last_sequence_id += 1
        return self._last_sequence_id

    def _on_data(self) -> None:
        while self.is_open:
            try:
                answer = thrift_client.next_answer(self.transport.inbound)
            except UnreadableAnswerError as error:
                self._owner.on_unreadable(str(error))
                self.transport.close("unreadable")
                return
            if answer is None:
                return
            self._deliver(answer)

    def _deliver(self, answer: Answer) -> None:
        if answer.kind is AnswerKind.CHECK:
            self._owner.on_check_answer(answer.ready)
            return
        call = self.open_calls.pop(answer.sequence_id, None)
        if call is None:
            self._owner.on_unexpected_answer(self, answer)
        else:
            self._owner.on_answer(call, answer)

    def _on_closed(self, _reason: str) -> None:
        self._owner.on_closed(self)
