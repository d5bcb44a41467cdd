"""One client's connection with its open calls.

Keeps the connection's open and deferred calls. A client that reads no answers is put
under write backpressure: its next calls are deferred, while its input is still read, so that
cancellations and disconnects are noticed.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from umberusher.frontend.call_admission import CallAdmission
from umberusher.frontend.call_decoder import CALL_FIELDS
from umberusher.frontend.call_queue import Arrival, CallQueue, PendingCall
from umberusher.frontend.client_usage import (
    FULL_TURN_UNITS,
    UNSERVED_CALL_UNITS,
    ClientUsage,
)
from umberusher.frontend.deferred_calls import Call, DeferredCalls
from umberusher.frontend.handed_over_call import HandedOverCall
from umberusher.frontend.memory_shedding import MemoryShedder
from umberusher.frontend.response_sink import encode_invalid
from umberusher.frontend.time_limits import CloseReason, overdue_reason
from umberusher.net.connection import HOLD_FOR_MEMORY, HOLD_FOR_TURN, RawMessage, State
from umberusher.net.loop import Loop
from umberusher.net.memory_account import MemoryAccount
from umberusher.net.timed_connection import TimedConnection
from umberusher.pipeline.admission import RequestAdmission
from umberusher.pipeline.request import Request
from umberusher.protocol import thrift

if TYPE_CHECKING:  # Contracts are loaded into memory only if they are used.
    from umberusher.teams.identity import Origin

log = logging.getLogger(__name__)

# Limit of open calls of one connection, which clients promise to keep.
MAX_OPEN_CALLS = 32
# Retry credit that a served call adds: one for itself, and one for a call that fails.
RETRY_CREDIT_PER_RESULT = 2
# A client with this many unread answers has its next calls deferred: twice the open calls' limit.
MAX_UNWRITTEN_ANSWERS = 64
# A connection releases its buffers after being inactive for this long.
RELEASE_BUFFERS_AFTER_MS = 1_000.0


# Memory of an open call beside its statement: its fields, the request and the decisions' record.
CALL_OVERHEAD_BYTES = 4_096
# A frame of this many bytes counts as two units of a turn; a smaller one as one.
BYTES_PER_TURN_UNIT = 256
# A field's text takes up to this many bytes for each byte on the wire.
MAX_BYTES_PER_TEXT_BYTE = 4
MS_PER_S = 1000.0
# Memory of an answer that waits to be written, beside its bytes.
ANSWER_OVERHEAD_BYTES = 256
# A connection that holds more than this fraction of the memory for peers has calls queued, not
# read, until some were begun.
MAX_QUEUED_MEMORY_FRACTION = 1 / 8
OpenCall = Request | PendingCall | HandedOverCall
# The open calls of all connections that have none, which are the majority; never changed.
NO_OPEN_CALLS: dict[int, OpenCall] = {}


if TYPE_CHECKING:  # Saves memory.

    class ClientOwner(Protocol):
        """The part of the frontend that a client's connection uses.

        Attributes:
            loop: The event loop.
            admission: Admits decoded requests.
            call_queue: The calls that wait to be begun, in the order of arrival.
            call_admission: Begins them.
            now_ms: The broker's clock.
            arrived_ms: Returns the earliest time at which input that is read now may have arrived.
            accepts_clients: Returns whether clients should use this broker.
            origin_of_port: Returns the origin of connections to a port; None if origins are not
                used.
            memory: The account to which the clients' memory is charged.
            memory_shedder: Releases memory that others need.
            max_frame_bytes: Limit of one frame.
        """

        loop: Loop
        admission: RequestAdmission
        call_queue: CallQueue
        call_admission: CallAdmission
        now_ms: Callable[[], float]
        arrived_ms: Callable[[], float]
        accepts_clients: Callable[[], bool]
        origin_of_port: Callable[[int], Origin] | None
        memory: MemoryAccount
        memory_shedder: MemoryShedder
        max_frame_bytes: int

        def take_waited_since_s(self, client: ClientConnection) -> float | None:
            """Return since when a client's first call may have waited for its connection, once."""

        def remove_client(self, client: ClientConnection) -> None:
            """Forget a client whose connection has closed or was handed over."""


class AnswerMessage(RawMessage):
    """An answer that notifies its client's connection once the kernel has its last byte.

    Attributes:
        held_bytes: What is charged for it while it waits; 0 if it was written at once.
        is_written: Whether the kernel has accepted its last byte.
    """

    __slots__ = ("_client", "held_bytes", "is_written")

    def __init__(self, data: bytes, client: ClientConnection) -> None:
        """Create the message."""
        self.data = data
        self._client = client
        self.held_bytes = 0
        self.is_written = False

    def written(self) -> None:
        """Release its memory, and resume what waited for it to be written."""
        self.is_written = True
        if self.held_bytes:
            self._client.release(self.held_bytes)
            self.held_bytes = 0
        self._client.resume_deferred()


class ClientConnection:
    """One client's connection with its open and deferred calls.

    Attributes:
        connection: The transport.
        open_calls: By sequence id, the calls that must still be answered, also those that wait to
            be begun.
        deferred_calls: Calls that wait under write backpressure; None until the first is deferred,
            so that an idle client holds no queue.
        forward_answer: Sends answers through the process that has received the connection; None
            while the connection is here.
        held_bytes: What the account of memory has charged to this connection.
        active_ms: When the client was last active.
        has_called: Whether a complete call has arrived.
        incomplete_since_ms: Since when the first call, or the rest of a call, is awaited.
        retry_credit: How many further calls count for the retry budget before they are served.
            Protects the budget from clients that send hundreds of calls that no engine serves.
        origin: The origin of the connection, by its port; None if origins are not used.
        usage: How much of the loop's time it has used without a result; None until it has.
    """

    __slots__ = (
        "_frontend",
        "_pending_count",
        "_queued_count",
        "_resume_planned",
        "_skip_bytes",
        "active_ms",
        "connection",
        "deferred_calls",
        "forward_answer",
        "has_called",
        "held_bytes",
        "incomplete_since_ms",
        "open_calls",
        "origin",
        "retry_credit",
        "usage",
    )

    def __init__(self, frontend: ClientOwner, connection: TimedConnection) -> None:
        """Serve a connection that has just been accepted."""
        self._frontend = frontend
        # Calls in ``open_calls`` that were not begun, and calls in the call queue: these two differ
        # by the withdrawn ones.
        self._pending_count = 0
        self._queued_count = 0
        self._resume_planned = False
        # Bytes of a rejected call that have not arrived yet.
        self._skip_bytes = 0
        self.held_bytes = 0
        self.connection = connection
        connection.charge_to(self)
        self.open_calls = NO_OPEN_CALLS
        self.deferred_calls: DeferredCalls | None = None
        self.forward_answer: Callable[[int, bytes], None] | None = None
        self.active_ms = frontend.now_ms()
        self.has_called = False
        self.incomplete_since_ms: float | None = self.active_ms
        self.retry_credit = 0
        self.usage: ClientUsage | None = None
        self.origin: Origin | None = None
        if frontend.origin_of_port is not None:
            self.origin = frontend.origin_of_port(connection.sock.getsockname()[1])
        connection.on_data = self._process_input
        connection.on_closed = self._on_closed

    # -- Input

    @property
    def write_blocked(self) -> bool:
        """Whether the client leaves so many answers unread that its next calls are deferred."""
        return len(self.connection.outbox) >= MAX_UNWRITTEN_ANSWERS

    @property
    def _is_queue_full(self) -> bool:
        """Whether the queued calls fill the limit of answers, or much of the memory for peers."""
        if self._queued_count + len(self.connection.outbox) >= MAX_UNWRITTEN_ANSWERS:
            return True
        return self.held_bytes > self._frontend.memory.limit_bytes * MAX_QUEUED_MEMORY_FRACTION

    def _process_input(self) -> None:
        """Process buffered input.

        Keep reading under write backpressure, so that cancellations and disconnects are noticed.
        """
        self.active_ms = self._frontend.now_ms()
        while self.connection.state is State.OPEN:
            if self._skip_bytes:
                self._skip_input()
            deferred = self.deferred_calls
            if self._queued_count and self._is_queue_full:
                self._leave_input()
                return
            if deferred and not self.write_blocked:
                arrival, call = deferred.pop_first()
                body_bytes = len(call.body) if isinstance(call, thrift.Execute) else 0
                self.release(body_bytes + CALL_OVERHEAD_BYTES)
                self._accept_call(call, arrival, body_bytes)
            elif deferred and deferred.is_full(self._frontend.max_frame_bytes):
                self._leave_input()
                self._end_open_calls()
                return
            elif self._frontend.memory.is_short and not self._has_room_for_frame():
                self._leave_input()
                self.connection.holds |= HOLD_FOR_MEMORY
                return
            elif self.connection.turn_units <= 0 and self._has_frame():
                self.count_usage(FULL_TURN_UNITS)
                self._leave_input()
                self._plan_resume()
                return
            else:
                frame = thrift.next_frame(self.connection.inbound, self._frontend.max_frame_bytes)
                if frame is None:
                    self.connection.buffered_since_s = None
                    self.connection.holds &= ~HOLD_FOR_TURN
                    self._note_incomplete_call()
                    return
                self.process_frame(frame)

    def process_frame(self, frame: bytes | thrift.Malformed) -> None:
        """Accept, defer or cancel the call that a frame holds."""
        waited_since_s = None if self.has_called else self._frontend.take_waited_since_s(self)
        self.has_called = True
        self.incomplete_since_ms = None
        if isinstance(frame, thrift.Malformed):
            # The bounds of the frames are lost: nothing after this can be decoded.
            self.close_malformed(frame.reason)
            return
        self.connection.turn_units -= 1 + len(frame) // BYTES_PER_TURN_UNIT
        call = thrift.decode_call(frame, CALL_FIELDS)
        if isinstance(call, thrift.Interrupt):
            self._interrupt(call.target)
        elif self.write_blocked:
            self._defer(call)
        else:
            self._accept_call(call, self._arrival(waited_since_s), len(frame))

    def _leave_input(self) -> None:
        """Leave complete frames in the buffer, and remember since when they may be here."""
        self.connection.holds |= HOLD_FOR_TURN
        self.connection.buffered_since_s = self.connection.received_after_s

    def _arrival(self, waited_since_s: float | None = None) -> Arrival:
        """Return when the frame that was just taken from the inbound ring arrived.

        Args:
            waited_since_s: Since when it may have waited for its connection to be accepted.
        """
        received = self.connection
        after_s = received.received_after_s
        if received.last_byte_is_timed and not len(received.inbound):
            after_s = received.received_by_s
        counted_from_ms = self._frontend.arrived_ms()
        if waited_since_s is not None:
            waited_s = received.loop.clock() - max(waited_since_s, after_s)
            counted_from_ms = min(counted_from_ms, self._frontend.now_ms() - waited_s * MS_PER_S)
        return Arrival(counted_from_ms, after_s, received.received_by_s)

    def _defer(self, call: Call) -> None:
        if self.deferred_calls is None:
            self.deferred_calls = DeferredCalls()
        body_bytes = len(call.body) if isinstance(call, thrift.Execute) else 0
        self.charge(body_bytes + CALL_OVERHEAD_BYTES)
        self.deferred_calls.append(call, self._arrival())

    def _interrupt(self, seqid: int) -> None:
        """Cancel a call, which may be deferred."""
        cancelled = self.open_calls.pop(seqid, None)
        if cancelled is not None:
            self._disconnect(cancelled)
        elif self.deferred_calls:
            released_count, released_bytes = self.deferred_calls.withdraw(seqid)
            self.release(released_bytes + released_count * CALL_OVERHEAD_BYTES)

    def _end_open_calls(self) -> None:
        """End all open calls now, since a cancellation of them could no longer be read.

        Prevents engines from working for a client that has disconnected. Clients that keep to the
        limit of open calls are not affected.
        """
        open_calls = list(self.open_calls.values())
        requests = [call for call in open_calls if isinstance(call, Request)]
        pending = [call for call in open_calls if isinstance(call, PendingCall)]
        if requests or pending:
            log.warning("client_reads_no_answers ended_calls=%d", len(requests) + len(pending))
        self.reject_pending(pending)
        self._frontend.admission.end_all(requests)

    def _note_incomplete_call(self) -> None:
        """Record since when a call is incomplete."""
        if self.connection.inbound.size and self.incomplete_since_ms is None:
            self.incomplete_since_ms = self.active_ms

    # -- Calls

    def _accept_call(self, call: Call, arrival: Arrival, frame_bytes: int) -> None:
        """Open a call, or answer it at once if it is no request."""
        if isinstance(call, thrift.Execute):
            self._open_call(call, arrival, frame_bytes)
        elif isinstance(call, thrift.Check):
            accepts_clients = self._frontend.accepts_clients()
            self.write_answer(thrift.encode_answer("check", call.seqid, b"", {}, accepts_clients))
        elif call.seqid is None:
            self.close_malformed(call.reason)
        else:
            self.write_answer(encode_invalid(call.seqid, call.name, call.kind, call.reason))

    def _open_call(self, call: thrift.Execute, arrival: Arrival, frame_bytes: int) -> None:
        """Queue a call, to be begun in the order of arrival."""
        seqid = call.seqid
        if seqid in self.open_calls:
            # The client could not tell two answers with the same sequence id apart.
            self.close_malformed(f"sequence id {seqid} is open already")
            return
        if self.open_calls is NO_OPEN_CALLS:
            self.open_calls = {}
        pending = PendingCall(self, call, arrival)
        statement_bytes = len(call.body)
        fields_bytes = (frame_bytes - statement_bytes) * MAX_BYTES_PER_TEXT_BYTE
        pending.held_bytes = statement_bytes + fields_bytes + CALL_OVERHEAD_BYTES
        self._frontend.memory.charge(self, pending.held_bytes)
        self.open_calls[seqid] = pending
        self._pending_count += 1
        self._queued_count += 1
        self._frontend.call_queue.add(pending)

    def begin_call(self, pending: PendingCall) -> None:
        """Begin an open call that was queued; its ``scan`` says if that takes further turns."""
        self._queued_count -= 1
        self._pending_count -= 1
        if self.deferred_calls or self.connection.buffered_since_s is not None:
            self.resume_deferred()
        if len(self.open_calls) - self._pending_count <= MAX_OPEN_CALLS:
            self._frontend.call_admission.begin(self, pending)
            if pending.scan is not None:
                self._queued_count += 1
                self._pending_count += 1
            return
        # A flood of one client's calls would be queued ahead of all other clients' calls.
        log.warning("call_rejected reason=too_many_open_calls limit=%d", MAX_OPEN_CALLS)
        self._frontend.call_admission.reject(self, pending.call)

    def expire_call(self, pending: PendingCall) -> None:
        """Reject a queued call whose client's time has passed."""
        log.warning("call_rejected reason=expired_in_queue")
        self.reject_pending([pending])

    def usage_level(self) -> int:
        """Return how much of the loop's time the client has used without a result."""
        if self.usage is None:
            return 0
        return self.usage.level(self._frontend.loop.clock())

    def count_usage(self, units: int) -> None:
        """Count time of the loop that brought no result."""
        now_s = self._frontend.loop.clock()
        if self.usage is None:
            self.usage = ClientUsage(now_s)
        self.usage.add(units, now_s)

    def count_unserved_call(self) -> None:
        """Count a call that ended without a result."""
        self.count_usage(UNSERVED_CALL_UNITS)

    def drop_call(self) -> None:
        """Account for a call that was withdrawn, now that the queue has come to it."""
        self._queued_count -= 1
        self.resume_deferred()

    def close_after_fault(self) -> None:
        """Close the connection: beginning one of its calls has raised an exception."""
        self.connection.close("fault")

    def open_request(self, seqid: int, request: Request) -> None:
        """Replace the open call ``seqid`` by its request, which is about to be admitted."""
        request.held_bytes = self.open_calls[seqid].held_bytes
        self.open_calls[seqid] = request
        request.arrival.retry_budget_eligible = self.retry_credit > 0
        self.retry_credit = max(self.retry_credit - 1, 0)

    def await_claim(self, pending: PendingCall, deadline_ms: float) -> None:
        """Count a call that waits for another process as not begun; reject it at its deadline."""
        self._pending_count += 1
        remaining_ms = deadline_ms - self._frontend.now_ms()
        pending.timer = self._frontend.loop.call_later(
            remaining_ms, lambda: self._expire_claim(pending)
        )

    def _expire_claim(self, pending: PendingCall) -> None:
        log.warning("call_rejected reason=expired_in_claim")
        self.reject_pending([pending])

    def claim_decided(self, pending: PendingCall) -> None:
        """End what ``await_claim`` began."""
        self._pending_count -= 1
        if pending.timer is not None:
            pending.timer.cancel()

    def close_malformed(self, reason: str) -> None:
        """Close the connection of a client that violates the protocol."""
        log.warning("client_closed reason=%r", reason)
        self.connection.close_gracefully(CloseReason.MALFORMED)

    # -- Answers

    def answer(self, seqid: int, data: bytes) -> None:
        """Write the answer of an open call; do nothing if the call is no longer open."""
        call = self.open_calls.pop(seqid, None)
        if call is None:
            return
        self._frontend.memory.release(self, call.held_bytes)
        self.active_ms = self._frontend.now_ms()
        if self.forward_answer is not None:
            self.forward_answer(seqid, data)
        else:
            self.write_answer(data)

    def write_answer(self, data: bytes) -> None:
        """Write an answer to a call that is no longer open, or never was."""
        message = AnswerMessage(data, self)
        self.connection.send(message)
        if not message.is_written and self.connection.state is not State.CLOSED:
            message.held_bytes = len(data) + ANSWER_OVERHEAD_BYTES
            self.charge(message.held_bytes)

    def release_answers(self) -> None:
        """Release the memory of the answers that a closed connection has not written."""
        for message in (*self.connection.outbox, self.connection.writing):
            if isinstance(message, AnswerMessage):
                self.release(message.held_bytes)
                message.held_bytes = 0

    def earn_retry_credit(self) -> None:
        """Count a call that was served for the retry credit."""
        self.retry_credit = min(self.retry_credit + RETRY_CREDIT_PER_RESULT, MAX_OPEN_CALLS)

    def read_pending(self) -> None:
        """Process input that has arrived but was not reported by the loop yet."""
        self.connection.read_pending()

    def resume_deferred(self) -> None:
        """Schedule the calls that wait for room: the loop reports no event once there is some."""
        if self._resume_planned or self._queued_count:
            return
        may_begin = self.deferred_calls and not self.write_blocked
        if may_begin or self.connection.buffered_since_s is not None:
            self._plan_resume()

    def _plan_resume(self) -> None:
        if not self._resume_planned:
            self._resume_planned = True
            self._frontend.loop.call_later(0, self._process_deferred)

    def _process_deferred(self) -> None:
        self._resume_planned = False
        self.connection.process_buffered()

    # -- Memory

    def try_charge(self, size_bytes: int) -> bool:
        """Charge memory that is about to be allocated, if the limit allows it."""
        return self._frontend.memory.try_charge(self, size_bytes)

    def charge(self, size_bytes: int) -> None:
        """Charge memory that is needed in any case."""
        self._frontend.memory.charge(self, size_bytes)

    def release(self, size_bytes: int) -> None:
        """Release memory that was charged."""
        self._frontend.memory.release(self, size_bytes)

    def charge_call(self, seqid: int, size_bytes: int) -> None:
        """Charge memory that an open call needs until it is answered."""
        call = self.open_calls.get(seqid)
        if call is not None:
            call.held_bytes += size_bytes
            self.charge(size_bytes)

    def _has_frame(self) -> bool:
        """Return whether the inbound buffer begins with a complete frame."""
        inbound = self.connection.inbound
        if len(inbound) <= thrift.LENGTH_BYTES:
            return False
        return thrift.next_frame_bytes(inbound) <= len(inbound)

    def _has_room_for_frame(self) -> bool:
        """Return whether the next frame, if it is complete, can be decoded within the limit."""
        if not self._has_frame():
            return True
        frame_bytes = thrift.next_frame_bytes(self.connection.inbound)
        return self._frontend.memory.has_room(self, frame_bytes + CALL_OVERHEAD_BYTES)

    def memory_available(self) -> None:
        """Read on after a wait for memory."""
        self.connection.memory_available()
        if self.connection.buffered_since_s is not None:
            self.connection.process_buffered()

    def shed_memory(self) -> bool:
        """Release memory that others need; return False if there is none to release."""
        return self._frontend.memory_shedder.shed(self)

    def skip_call(self, frame_bytes: int) -> None:
        """Drop the call that begins in the inbound buffer, also what arrives of it later.

        Args:
            frame_bytes: The size of its frame, with the length field.
        """
        self._skip_bytes = frame_bytes
        self._skip_input()

    def _skip_input(self) -> None:
        """Drop what has arrived of a rejected call."""
        inbound = self.connection.inbound
        skipped_bytes = min(self._skip_bytes, len(inbound))
        inbound.discard(skipped_bytes)
        self._skip_bytes -= skipped_bytes
        if not self._skip_bytes:
            self.has_called = True
            self.incomplete_since_ms = None

    def reject_pending(self, pending: list[PendingCall]) -> None:
        """Reject calls that were not begun."""
        for call in pending:
            call.withdraw()
            self._pending_count -= 1
            self._frontend.call_admission.reject(self, call.call)

    # -- Time limits

    @property
    def has_nothing_open(self) -> bool:
        """Whether no call is open or deferred and no answer waits to be written."""
        return not self.open_calls and not self.deferred_calls and self.connection.is_flushed

    def overdue(self, now_ms: float) -> CloseReason | None:
        """Return why the connection is to be closed; None if no time limit has passed."""
        if now_ms - self.active_ms > RELEASE_BUFFERS_AFTER_MS:
            self.connection.release_buffers()
            if not self.usage_level():
                self.usage = None
            if not self.open_calls:
                self.open_calls = NO_OPEN_CALLS
        return overdue_reason(self, now_ms)

    # -- Hot restart

    @property
    def can_be_handed_over(self) -> bool:
        """Whether no byte is in flight here, so that another process can continue reading."""
        return (
            self.connection.state is State.OPEN
            and self.connection.is_flushed
            and not len(self.connection.inbound)
            and not self._skip_bytes
            and not self.deferred_calls
            # The successor can't know when input that the kernel holds already has arrived.
            and not self.connection.has_unread_input()
        )

    def hand_over(self, forward_answer: Callable[[int, bytes], None]) -> None:
        """Release a connection that another process has now, and send answers through it.

        Args:
            forward_answer: Sends a sequence id and its encoded answer to the other process.
        """
        self.forward_answer = forward_answer
        self.connection.detach()
        self._frontend.remove_client(self)

    def adopt_calls(self, seqids: list[int], on_disconnect: Callable[[int], None]) -> None:
        """Record the open calls that the predecessor answers.

        Args:
            seqids: Their sequence ids.
            on_disconnect: Notifies the predecessor that the client no longer waits for a call.
        """
        self.has_called = True
        self.incomplete_since_ms = None
        self.open_calls = {seqid: HandedOverCall(seqid, on_disconnect) for seqid in seqids}

    def disconnect_call(self, seqid: int) -> None:
        """End a call after the successor has reported that its client no longer waits."""
        disconnected = self.open_calls.pop(seqid, None)
        if disconnected is not None:
            self._disconnect(disconnected)

    def on_successor_lost(self) -> None:
        """Treat the client as disconnected: the successor with its connection has ended."""
        self._on_closed("the successor with the connection has ended")

    def fail_handed_over_calls(self) -> None:
        """Fail the handed-over calls: the predecessor that would answer them has ended."""
        handed_over = [
            seqid for seqid, call in self.open_calls.items() if isinstance(call, HandedOverCall)
        ]
        for seqid in handed_over:
            self.answer(seqid, thrift.encode_aborted(seqid, {"reason": "the broker ended"}))

    # -- End

    def _on_closed(self, reason: str) -> None:
        self._frontend.remove_client(self)
        self._frontend.memory.stop_waiting(self)
        self._release_deferred_calls()
        if self.connection.state is State.CLOSED:
            self.release_answers()
        disconnected = list(self.open_calls.values())
        if log.isEnabledFor(logging.DEBUG):
            open_ids = [each.request_id for each in disconnected if isinstance(each, Request)]
            log.debug(
                "client_connection_closed reason=%s open_calls=%d requests=%s",
                reason,
                len(disconnected),
                ",".join(open_ids),
            )
        self.open_calls = NO_OPEN_CALLS
        for call in disconnected:
            self._disconnect(call)

    def _release_deferred_calls(self) -> None:
        if self.deferred_calls is not None:
            count = len(self.deferred_calls)
            self.release(self.deferred_calls.statement_bytes + count * CALL_OVERHEAD_BYTES)
            self.deferred_calls = None

    def _disconnect(self, call: OpenCall) -> None:
        self.release(call.held_bytes)
        if isinstance(call, Request):
            self._frontend.admission.disconnect(call)
        elif isinstance(call, PendingCall):
            self._pending_count -= 1
            self._frontend.call_admission.withdraw(self, call)
        else:
            call.disconnect()
