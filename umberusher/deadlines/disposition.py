"""How an attempt is abandoned, by the location of its request's bytes. A table, no I/O.

``docs/deadlines.md`` describes the same table. The location is a proof: a request that has not
reached an engine completely has not run, and one that has may have run.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class ByteLocation(Enum):
    """Where the bytes of an attempt's request are."""

    QUEUED = auto()
    """No byte is written: the connection is being opened, or they are in its outbox."""

    PARTLY_WRITTEN = auto()
    """Writing has begun, and the kernel does not have the last byte."""

    IN_KERNEL = auto()
    """The kernel has all bytes, and the remote host has not acknowledged the last one."""

    AT_ENGINE = auto()
    """The remote host has all bytes."""

    RESPONSE_STARTED = auto()
    """Pages of the response are arriving."""


class SendAction(Enum):
    """The action at the socket."""

    WITHDRAW = auto()
    """Remove the request from the outbox."""

    CLOSE_CONNECTION = auto()
    """Close the connection, so that the engine does not receive the remaining bytes."""

    HOLD_OUTPUT = auto()
    """Write nothing more on the connection, and close it once it carries nothing else."""

    SEND_STOP = auto()
    """Write STOP after the request, once."""

    SEND_END = auto()
    """Write END, once, so that the engine frees the pages."""


class ExecutionProof(Enum):
    """The conclusion that the load balancer may draw about the attempt's execution."""

    NEVER_RAN = auto()
    MAY_HAVE_RUN = auto()


@dataclass(slots=True, frozen=True)
class Disposition:
    """The action for an attempt, and what is proved about its execution."""

    action: SendAction
    proof: ExecutionProof


_WITHDRAW = Disposition(SendAction.WITHDRAW, ExecutionProof.NEVER_RAN)
_CLOSE_BEFORE_LAST_BYTE = Disposition(SendAction.CLOSE_CONNECTION, ExecutionProof.NEVER_RAN)
_HOLD_BEFORE_LAST_BYTE = Disposition(SendAction.HOLD_OUTPUT, ExecutionProof.NEVER_RAN)
_CLOSE_AFTER_LAST_BYTE = Disposition(SendAction.CLOSE_CONNECTION, ExecutionProof.MAY_HAVE_RUN)
_STOP = Disposition(SendAction.SEND_STOP, ExecutionProof.MAY_HAVE_RUN)
_END = Disposition(SendAction.SEND_END, ExecutionProof.MAY_HAVE_RUN)


def choose_disposition(
    location: ByteLocation, is_exclusive: bool, unresponsive: bool = False
) -> Disposition:
    """Return how to abandon an attempt.

    A passed deadline and a disconnected client are treated alike: nobody reads the response. A
    connection is not closed where that would end other attempts: their clients still wait, and the
    result of a non-idempotent one would stay unknown. A request that is partly written must not
    arrive whole all the same, so nothing more is written there. Once the kernel has all bytes, a
    close proves nothing: the remote host may receive the last ones at that moment.

    Args:
        location: Where the bytes of the attempt are.
        is_exclusive: Whether the connection carries nothing else that a close would end.
        unresponsive: Whether the engine may not have read the request yet and would start it late,
            for example since a health check on the connection has long been unanswered and nothing
            else has arrived. A STOP after the request would be read just as late, so the connection
            is closed.
    """
    if location is ByteLocation.QUEUED:
        return _WITHDRAW
    if location is ByteLocation.PARTLY_WRITTEN:
        return _CLOSE_BEFORE_LAST_BYTE if is_exclusive else _HOLD_BEFORE_LAST_BYTE
    if location is ByteLocation.RESPONSE_STARTED:
        return _END
    if unresponsive or (is_exclusive and location is ByteLocation.IN_KERNEL):
        return _CLOSE_AFTER_LAST_BYTE
    return _STOP
