"""Begins calls: each becomes a request, or gets its final answer at once."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from umberusher.deadlines.account import FinalOutcome
from umberusher.frontend.call_decoder import (
    InvalidCallError,
    RequestSchema,
    decode_request,
)
from umberusher.frontend.call_queue import PendingCall
from umberusher.frontend.key_arrivals import KeyArrivals, KeyLoans
from umberusher.frontend.response_sink import (
    AnsweringClient,
    ThriftResponseSink,
    encode_invalid,
    encode_rejection,
)
from umberusher.pipeline.admission import RequestAdmission
from umberusher.pipeline.request import Request
from umberusher.protocol import thrift
from umberusher.protocol.statement import StatementError, TableGroupScan

if TYPE_CHECKING:  # Contracts are loaded into memory only if they are used.
    from umberusher.teams.identity import Origin

log = logging.getLogger(__name__)

# A long statement is read in turns of this many steps, some half a millisecond each.
MAX_STEPS_PER_TURN = 512


class AdmittedClient(AnsweringClient, Protocol):
    """The connection on which a call has arrived.

    Attributes:
        origin: The origin of the connection; None if origins are not used.
    """

    origin: Origin | None

    def open_request(self, seqid: int, request: Request) -> None:
        """Replace the open call ``seqid`` by its request."""

    def write_answer(self, data: bytes) -> None:
        """Write an answer to a call that is not open."""

    def count_usage(self, units: int) -> None:
        """Count time of the loop that a long statement took."""

    def await_claim(self, pending: PendingCall, deadline_ms: float) -> None:
        """Count a call that waits for another process as not begun; reject it at its deadline."""

    def claim_decided(self, pending: PendingCall) -> None:
        """End what ``await_claim`` began."""


class IdClaims(Protocol):
    """The ids of non-idempotent requests that this process shares with another one.

    Attributes:
        is_alone: Whether no other process has to know of an id.
    """

    @property
    def is_alone(self) -> bool:
        """Whether no other process has to know of an id."""

    def claim(self, request_id: str, on_decided: Callable[[bool], None]) -> None:
        """Ask whether a request may run; ``on_decided`` is called at once if no other decides."""


class CallAdmission:
    """Passes the requests of calls to admission, those of an order key in the order of arrival."""

    __slots__ = ("_admission", "_id_claims", "_key_arrivals", "_key_loans", "_schema")

    def __init__(
        self,
        admission: RequestAdmission,
        schema: RequestSchema,
        key_arrivals: KeyArrivals,
        key_loans: KeyLoans,
        id_claims: IdClaims,
    ) -> None:
        """Create the admission.

        Args:
            admission: Admits requests.
            schema: The classes and value ranges that calls must keep to.
            key_arrivals: Knows which calls may have arrived before those that were begun.
            key_loans: The order keys that this process shares with another one.
            id_claims: The ids that this process shares with another one.
        """
        self._admission = admission
        self._schema = schema
        self._key_arrivals = key_arrivals
        self._key_loans = key_loans
        self._id_claims = id_claims

    def begin(self, client: AdmittedClient, pending: PendingCall) -> None:
        """Admit the request of a call, or give the call its final answer.

        A long statement is read in several turns: the call keeps its ``scan`` until the last one.
        """
        call = pending.call
        try:
            request = self._read(client, pending)
        except InvalidCallError as error:
            self._count_final_answer(FinalOutcome.FAILED, call)
            client.count_unserved_call()
            kind = thrift.PROTOCOL_ERROR
            client.answer(call.seqid, encode_invalid(call.seqid, "execute", kind, error.reason))
            pending.scan = None
            return
        if request is not None:
            pending.scan = None
            self._admit(client, pending, request)

    def _read(self, client: AdmittedClient, pending: PendingCall) -> Request | None:
        """Return the request of a call with its group of tables; None if that takes longer.

        Raises:
            InvalidCallError: A field or the statement can't be used.
        """
        call = pending.call
        request = pending.request
        if request is None:
            sink = ThriftResponseSink(client, call.seqid)
            arrived_ms = pending.arrival.counted_from_ms
            request = decode_request(call, sink, arrived_ms, self._schema)
        try:
            scan = pending.scan or TableGroupScan(call.body)
            is_finished = scan.advance(MAX_STEPS_PER_TURN)
        except StatementError as error:
            raise InvalidCallError(f"statement: {error.reason}") from error
        if is_finished:
            request.arrival.group = scan.group
            return request
        if pending.scan is None:
            client.charge_call(call.seqid, scan.text_bytes)
        pending.request = request
        pending.scan = scan
        client.count_usage(MAX_STEPS_PER_TURN)
        return None

    def _admit(self, client: AdmittedClient, pending: PendingCall, request: Request) -> None:
        """Admit a request, one of an order key if its place is known."""
        call = pending.call
        if client.origin is not None:
            request.claimed_team = call.fields.get("team")
            request.origin = client.origin
        key = request.arrival.key
        if key is not None and self._schema.classes[request.arrival.query_class].ordered_by_key:
            self._begin_in_order(client, pending, request, key)
        else:
            self._open(client, pending, request)

    def _begin_in_order(
        self, client: AdmittedClient, pending: PendingCall, request: Request, key: str
    ) -> None:
        """Admit a request of an order key if no request that is older can follow."""
        arrival = pending.arrival
        in_order = self._key_arrivals.admits(key, client, arrival.after_s, arrival.by_s)
        if not in_order or self._key_loans.is_lent(key):
            self._decide(client, pending, request, False)
        elif self._key_loans.owner is None:
            self._decide(client, pending, request, True)
        else:
            client.await_claim(pending, request.arrival.deadline_ms)
            self._key_loans.claim(
                key,
                arrival.after_s,
                arrival.by_s,
                lambda granted: self._on_claim_decided(client, pending, request, granted),
            )

    def _on_claim_decided(
        self, client: AdmittedClient, pending: PendingCall, request: Request, granted: bool
    ) -> None:
        """Admit or reject a call for whose key another process was asked."""
        if not pending.is_withdrawn:
            client.claim_decided(pending)
            self._decide(client, pending, request, granted)

    def _decide(
        self, client: AdmittedClient, pending: PendingCall, request: Request, in_order: bool
    ) -> None:
        """Admit a request of an order key, or reject its call."""
        if in_order:
            self._open(client, pending, request)
            return
        log.warning("call_rejected reason=order_unknown key=%r", request.arrival.key)
        self.reject(client, pending.call)

    def _open(self, client: AdmittedClient, pending: PendingCall, request: Request) -> None:
        """Admit a request; a non-idempotent one if its id may run here."""
        if self._id_claims.is_alone or not request.non_idempotent:
            client.open_request(pending.call.seqid, request)
            self._admission.admit(request)
            return
        client.await_claim(pending, request.arrival.deadline_ms)
        self._id_claims.claim(
            request.request_id,
            lambda granted: self._on_id_decided(client, pending, request, granted),
        )

    def _on_id_decided(
        self, client: AdmittedClient, pending: PendingCall, request: Request, granted: bool
    ) -> None:
        """Admit a request, or fail it if one of its id may have run in another process."""
        if pending.is_withdrawn:
            return
        client.claim_decided(pending)
        client.open_request(pending.call.seqid, request)
        if granted:
            self._admission.admit(request)
        else:
            self._admission.fail_repeated(request)

    def reject(self, client: AdmittedClient, call: thrift.Execute) -> None:
        """Reject an open call that has not become a request; its client may retry."""
        self._count_final_answer(FinalOutcome.REJECTED, call)
        client.count_unserved_call()
        rejection = encode_rejection(call.seqid, self._admission.retry_after_ms)
        client.answer(call.seqid, rejection)

    def reject_unread(self, client: AdmittedClient, seqid: int) -> None:
        """Reject a call that has not arrived whole, and whose class is not known."""
        client.write_answer(encode_rejection(seqid, self._admission.retry_after_ms))

    def withdraw(self, client: AdmittedClient, pending: PendingCall) -> None:
        """Count a call that was not begun as a request whose client has disconnected."""
        request = pending.request
        pending.withdraw()
        client.count_unserved_call()
        if request is None:
            sink = ThriftResponseSink(client, pending.call.seqid)
            arrived_ms = pending.arrival.counted_from_ms
            try:
                request = decode_request(pending.call, sink, arrived_ms, self._schema)
            except InvalidCallError:
                return
        self._admission.registry.close(request)

    def _count_final_answer(self, outcome: FinalOutcome, call: thrift.Execute) -> None:
        """Count a call that is answered before it becomes a request, if it names a class."""
        query_class = call.fields.get("method")
        if query_class is not None and query_class in self._schema.classes:
            self._admission.registry.count_final_answer(outcome, query_class)
