"""Tracks the outcomes of the STOPs on one connection: cancelled, overtaken, not run or unknown.

No I/O. Used where the settings allow cancellation. STOP has no response, but an engine reads the
lines of a connection in order: the response to a probe that was written after a STOP proves that
the STOP was read. One probe is in flight at a time and confirms all STOPs before it, so a burst of
disconnecting clients costs one line per round trip instead of one per client. Where probes are
forbidden none is written: the outcome of a STOP without a reply is unknown after a time limit.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Generic, NamedTuple, TypeVar

# After this time the outcome of an unanswered STOP counts as unknown, so that each attempt ends.
CANCEL_TIMEOUT_MS = 250.0

# The timer for the cancel timeout may fire early by this much.
TIMER_TOLERANCE_MS = 1.0

# Per connection; bounds memory where an engine reads no STOPs while clients keep disconnecting.
MAX_PENDING_CANCELS = 256

OwnerT = TypeVar("OwnerT")


class CancelOutcome(Enum):
    """The outcome of a STOP; the member names are label values of the metrics."""

    CANCELLED = "cancelled"
    OVERTOOK = "an answer overtook it"
    NEVER_RAN = "never ran"
    ERROR = "error"
    UNKNOWN = "unknown"


OUTCOME_BY_REPLY = {
    "HIT": CancelOutcome.OVERTOOK,
    "SHED": CancelOutcome.NEVER_RAN,
    "LATE": CancelOutcome.NEVER_RAN,
    "FAULT": CancelOutcome.ERROR,
}


@dataclass(slots=True)
class PendingCancel(Generic[OwnerT]):
    """A STOP whose outcome is not known yet."""

    request_id: str
    sent_ms: float
    owner: OwnerT
    """The object that waits for the outcome."""

    probed: bool = False
    """Whether the probe that is in flight was written after it."""


class ResolvedCancel(NamedTuple, Generic[OwnerT]):
    """A STOP with its outcome."""

    cancel: PendingCancel[OwnerT]
    outcome: CancelOutcome


class ConfirmedCancels(NamedTuple, Generic[OwnerT]):
    """The STOPs that a probe confirmed, and whether to write another probe for later ones."""

    cancels: list[PendingCancel[OwnerT]]
    probe_again: bool


class PendingCancels(Generic[OwnerT]):
    """The pending STOPs of one connection, in the order in which they were written.

    Args:
        uses_probes: Whether probes may be written after STOPs.
    """

    __slots__ = ("pending", "probe_in_flight", "uses_probes")

    def __init__(self, uses_probes: bool = True) -> None:
        self.pending: dict[str, PendingCancel[OwnerT]] = {}
        self.uses_probes = uses_probes
        self.probe_in_flight = False

    def add(self, request_id: str, now_ms: float, owner: OwnerT) -> bool:
        """Add a STOP that was written; return whether to write a probe after it."""
        self.pending[request_id] = PendingCancel(request_id, now_ms, owner)
        return self._start_probe()

    def _start_probe(self) -> bool:
        if self.probe_in_flight or not self.pending or not self.uses_probes:
            return False
        self.probe_in_flight = True
        for cancel in self.pending.values():
            cancel.probed = True
        return True

    def confirm_probed(self) -> ConfirmedCancels[OwnerT]:
        """Remove and return the STOPs that the answered probe confirms."""
        self.probe_in_flight = False
        confirmed = [cancel for cancel in self.pending.values() if cancel.probed]
        for cancel in confirmed:
            del self.pending[cancel.request_id]
        return ConfirmedCancels(confirmed, self._start_probe())

    def resolve(self, request_id: str, reply_word: str) -> ResolvedCancel[OwnerT] | None:
        """Resolve a STOP by a reply to its request; return None if that shows no outcome."""
        outcome = OUTCOME_BY_REPLY.get(reply_word)
        if outcome is None or request_id not in self.pending:
            return None
        return ResolvedCancel(self.pending.pop(request_id), outcome)

    def pop_overdue(self, request_id: str, now_ms: float) -> PendingCancel[OwnerT] | None:
        """Remove and return the STOP if it has been pending for too long."""
        cancel = self.pending.get(request_id)
        if cancel is None or now_ms - cancel.sent_ms < CANCEL_TIMEOUT_MS - TIMER_TOLERANCE_MS:
            return None
        return self.pending.pop(request_id)

    def pop_all(self) -> list[PendingCancel[OwnerT]]:
        """Remove and return all STOPs, whose outcomes stay unknown once the connection closed."""
        cancels = list(self.pending.values())
        self.pending = {}
        return cancels
