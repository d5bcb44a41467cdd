"""What is done with an attempt that is no longer wanted, by where its bytes are. A table, no I/O.

``docs/deadlines.md`` holds the same table in words. A location is a proof: what has not reached an
engine completely has not run, and what has may have run.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class ByteLocation(Enum):
    """Where the bytes of an attempt's request are."""

    QUEUED = auto()
    """None is written: the connection is being opened, or they wait in its outbox."""

    PARTLY_WRITTEN = auto()
    """Writing has begun, and the kernel does not have the last byte."""

    IN_KERNEL = auto()
    """The kernel has all of them, and the other machine has not acknowledged the last one."""

    AT_ENGINE = auto()
    """The other machine has all of them."""

    RESPONSE_STARTED = auto()
    """Pages of the response are coming."""


class SendAction(Enum):
    """What is done at the socket."""

    WITHDRAW = auto()
    """Take the request out of the outbox."""

    CLOSE_CONNECTION = auto()
    """Close the connection, so that the engine does not get the rest."""

    SEND_STOP = auto()
    """Write STOP behind the request, once."""

    SEND_END = auto()
    """Write END, once, so that the engine frees the pages."""


class ExecutionProof(Enum):
    """What the decisions may conclude of the attempt."""

    NEVER_RAN = auto()
    MAY_HAVE_RUN = auto()


@dataclass(slots=True, frozen=True)
class Disposition:
    """What is done, and what that proves."""

    action: SendAction
    proof: ExecutionProof


_WITHDRAW = Disposition(SendAction.WITHDRAW, ExecutionProof.NEVER_RAN)
_CLOSE_BEFORE_LAST_BYTE = Disposition(SendAction.CLOSE_CONNECTION, ExecutionProof.NEVER_RAN)
_CLOSE_AFTER_LAST_BYTE = Disposition(SendAction.CLOSE_CONNECTION, ExecutionProof.MAY_HAVE_RUN)
_STOP = Disposition(SendAction.SEND_STOP, ExecutionProof.MAY_HAVE_RUN)
_END = Disposition(SendAction.SEND_END, ExecutionProof.MAY_HAVE_RUN)


def choose_disposition(
    location: ByteLocation, is_exclusive: bool, unresponsive: bool = False
) -> Disposition:
    """Return what to do with an attempt that is no longer wanted.

    A passed deadline and a client that left are alike here: nobody reads the response. A connection
    is not closed where that would end other attempts: they are wanted, and a non-idempotent one
    among them would stay unresolved. Once the kernel has all bytes a close proves nothing: the
    other machine may be taking the rest at that moment.

    Args:
        location: Where the bytes of the attempt are.
        is_exclusive: Whether the connection carries nothing else that a close would end.
        unresponsive: Whether the engine may not have read the request yet and would begin it late,
            for example since a health check on the connection has long been unanswered and nothing
            else has arrived. A STOP behind the request would be read as late, so the connection is
            closed.
    """
    if location is ByteLocation.QUEUED:
        return _WITHDRAW
    if location is ByteLocation.PARTLY_WRITTEN:
        return _CLOSE_BEFORE_LAST_BYTE if is_exclusive else _STOP
    if location is ByteLocation.RESPONSE_STARTED:
        return _END
    if unresponsive or (is_exclusive and location is ByteLocation.IN_KERNEL):
        return _CLOSE_AFTER_LAST_BYTE
    return _STOP
