"""The outcomes of admission under a contract: the charge for a request, or its rejection."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from umberusher.teams.contract import Team


class RejectionReason(Enum):
    """The limit that a request exceeds; the values appear in metrics and statements."""

    CLASS = "class"
    """The contract has no such class."""

    RATE = "rate"
    WORK = "work"
    SHARE = "share"


@dataclass(slots=True, frozen=True)
class Rejection:
    """A request that is not admitted.

    Attributes:
        reason: The limit that it exceeds.
        retry_after_ms: The time until the team's own budget covers it; infinite where it never
            does.
    """

    reason: RejectionReason
    retry_after_ms: float


@dataclass(slots=True)
class Charge:
    """An admitted request; the charge is open until the request ends and is settled.

    Attributes:
        team: The team, under the contract by which the request was admitted.
        query_class: The request's class.
        cost: The work that was charged, in milliseconds of one thread.
        estimate: The estimated work before any correction, in milliseconds of one thread.
        lent: Whether the request runs on work borrowed from other teams.
        threads: Threads that the request holds at its engine.
        memory_mb: Memory that the request holds at its engine.
        admitted_at_ms: The time of admission.
        settled: Whether the end of the request has been accounted for.
        retry_denied: Whether the retry budget has denied a retry of the request.
    """

    team: Team
    query_class: str
    cost: float
    estimate: float
    lent: bool
    threads: float
    memory_mb: float
    admitted_at_ms: float
    settled: bool = False
    retry_denied: bool = False
