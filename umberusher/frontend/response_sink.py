"""The final answers of a Thrift call: result, rejection or failure."""

from __future__ import annotations

import logging
from typing import Protocol

from umberusher.protocol import thrift

log = logging.getLogger(__name__)


class AnsweringClient(Protocol):
    """The client connection on which a call arrived."""

    def answer(self, seqid: int, data: bytes) -> None:
        """Write the encoded answer of the open call ``seqid``."""

    def count_unserved_call(self) -> None:
        """Count a call that ended without a result for the client's usage of the loop."""

    def earn_retry_credit(self) -> None:
        """Count a call that was served for the client's retry credit."""

    def charge_call(self, seqid: int, size_bytes: int) -> None:
        """Charge memory that an open call needs until it is answered."""

    def read_pending(self) -> None:
        """Process input that has arrived but was not reported by the loop yet."""


class ThriftResponseSink:
    """Encodes the final answer of one call and writes it to the call's client."""

    __slots__ = ("client", "seqid")

    def __init__(self, client: AnsweringClient, seqid: int) -> None:
        """Create the sink of the call that ``client`` numbered ``seqid``."""
        self.client = client
        self.seqid = seqid

    def send_result(self, rows: bytes) -> None:
        """Answer with all rows of the result."""
        self.client.earn_retry_credit()
        self.client.answer(self.seqid, thrift.encode_answer("execute", self.seqid, rows, {}, True))

    def send_rejection(self, backoff_ms: float | None) -> None:
        """Reject the call; the client may retry after ``backoff_ms``."""
        self.client.count_unserved_call()
        self.client.answer(self.seqid, encode_rejection(self.seqid, backoff_ms))

    def send_failure(self, why: str) -> None:
        """Answer that the call failed, with the reason."""
        self.client.count_unserved_call()
        self.client.answer(self.seqid, thrift.encode_aborted(self.seqid, {"reason": why}))

    def charge(self, size_bytes: int) -> None:
        """Charge memory that the call needs to its client, until it is answered."""
        self.client.charge_call(self.seqid, size_bytes)

    def read_pending(self) -> None:
        """Process pending input of the client: it may have cancelled the call or disconnected."""
        self.client.read_pending()


def encode_rejection(seqid: int, backoff_ms: float | None) -> bytes:
    """Return a rejection, with the Retry-After time if there is one."""
    fields = {}
    if backoff_ms is not None:
        fields["backoff"] = str(round(backoff_ms))
    return thrift.encode_trylater(seqid, fields)


def encode_invalid(seqid: int, name: str, kind: int, reason: str) -> bytes:
    """Return the answer to an invalid call, and log it.

    Args:
        seqid: The call's sequence id.
        name: The called method.
        kind: The type of the application exception.
        reason: What is wrong with the call.
    """
    log.warning("call_rejected reason=%r", reason)
    return thrift.encode_application_exception(name, seqid, kind, reason)
