"""Releases the memory that a client holds when others need it, the least finished work first.

Calls that were not begun are rejected first, then calls in the inbound buffer, then requests that
no engine has. The connection stays open, unless its client leaves answers unread.
"""

from __future__ import annotations

import logging
from collections.abc import Mapping
from typing import Protocol

from umberusher.frontend.call_admission import AdmittedClient, CallAdmission
from umberusher.frontend.call_queue import PendingCall
from umberusher.frontend.time_limits import CloseReason
from umberusher.net.connection import State
from umberusher.net.ring import INITIAL_CAPACITY_BYTES
from umberusher.net.timed_connection import TimedConnection
from umberusher.pipeline.admission import RequestAdmission
from umberusher.pipeline.request import Request
from umberusher.protocol import thrift

log = logging.getLogger(__name__)


class SheddingClient(AdmittedClient, Protocol):
    """A client's connection that can be asked to release memory.

    Attributes:
        connection: The transport.
        open_calls: By sequence id, the calls that must still be answered.
        held_bytes: What the account of memory has charged to the connection.
        write_blocked: Whether the client leaves so many answers unread that none may be added.
    """

    connection: TimedConnection
    held_bytes: int

    @property
    def open_calls(self) -> Mapping[int, object]:
        """The open calls."""

    @property
    def write_blocked(self) -> bool:
        """Whether no answers may be added."""

    def process_frame(self, frame: bytes | thrift.Malformed) -> None:
        """Process a frame that was taken from the inbound buffer."""

    def skip_call(self, frame_bytes: int) -> None:
        """Drop the call that begins in the inbound buffer, also what arrives of it later."""

    def reject_pending(self, pending: list[PendingCall]) -> None:
        """Reject calls that were not begun."""

    def close_malformed(self, reason: str) -> None:
        """Close the connection of a client that violates the protocol."""

    def memory_available(self) -> None:
        """Read on after a wait for memory."""


class MemoryShedder:
    """Releases memory of clients."""

    __slots__ = ("_admission", "_call_admission")

    def __init__(self, admission: RequestAdmission, call_admission: CallAdmission) -> None:
        """Create the shedder.

        Args:
            admission: Ends requests.
            call_admission: Rejects calls that are no requests yet.
        """
        self._admission = admission
        self._call_admission = call_admission

    def shed(self, client: SheddingClient) -> bool:
        """Release memory of a client that others need; return False if there is none to release."""
        if self._reject_queued_calls(client) or self._reject_unread_calls(client):
            return True
        connection = client.connection
        if not connection.is_flushed and connection.is_write_stalled():
            log.warning("client_closed reason=unread_answers held_bytes=%d", client.held_bytes)
            connection.close(CloseReason.UNREAD_ANSWERS)
            return True
        return self._reject_unsent_requests(client)

    @staticmethod
    def _reject_queued_calls(client: SheddingClient) -> bool:
        """Reject the calls that were not begun; return whether there were any."""
        pending = [call for call in client.open_calls.values() if isinstance(call, PendingCall)]
        if pending:
            log.warning("calls_rejected reason=memory count=%d", len(pending))
        client.reject_pending(pending)
        return bool(pending)

    def _reject_unread_calls(self, client: SheddingClient) -> bool:
        """Reject the calls in the inbound buffer, and skip the rest of an incomplete one.

        Return whether there were any. Calls that are no requests are processed.
        """
        connection = client.connection
        inbound = connection.inbound
        buffered_bytes = len(inbound)
        while len(inbound) > thrift.MAX_HEAD_BYTES and not client.write_blocked:
            if not self._process_or_reject_first(client):
                break
            if connection.state is not State.OPEN:
                return True
        if len(inbound) == buffered_bytes:
            return False
        client.memory_available()
        return True

    def _process_or_reject_first(self, client: SheddingClient) -> bool:
        """Process the first call of the buffer, or reject a request; return False if it must stay.

        An incomplete call that is no request stays if it is small: it may be a cancellation.
        """
        inbound = client.connection.inbound
        seqid = thrift.next_request_seqid(inbound)
        frame_bytes = thrift.next_frame_bytes(inbound)
        if not thrift.LENGTH_BYTES < frame_bytes <= inbound.limit:
            return False
        if seqid is not None:
            self._reject_unread_call(client, seqid, frame_bytes)
            return True
        frame = thrift.next_frame(inbound, inbound.limit)
        if frame is not None:
            client.process_frame(frame)
            return True
        if frame_bytes <= INITIAL_CAPACITY_BYTES:
            return False
        client.skip_call(frame_bytes)
        return True

    def _reject_unread_call(self, client: SheddingClient, seqid: int, frame_bytes: int) -> None:
        """Reject a request that is not decoded, and skip what has not arrived of it."""
        if seqid in client.open_calls:
            client.close_malformed(f"sequence id {seqid} is open already")
            return
        log.warning("call_rejected reason=memory frame_bytes=%d", frame_bytes)
        client.skip_call(frame_bytes)
        self._call_admission.reject_unread(client, seqid)

    def _reject_unsent_requests(self, client: SheddingClient) -> bool:
        """Reject the open requests that no engine was sent; return whether there were any."""
        unsent = [
            call
            for call in client.open_calls.values()
            if isinstance(call, Request) and not call.attempt_count
        ]
        if unsent:
            log.warning("requests_rejected reason=memory count=%d", len(unsent))
        self._admission.end_all(unsent)
        return bool(unsent)
