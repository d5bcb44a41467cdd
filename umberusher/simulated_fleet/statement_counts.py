"""Counts of the outcomes of simulated clients' statements and of their attempts."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum


class StatementOutcome(StrEnum):
    """How a statement ended; the value is its name in results."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    EXPIRED = "expired"
    BROKER_STOPPED = "with its broker"
    SENT_AFTER_END = "sent after its end"


@dataclass(slots=True)
class StatementCounts:
    """The counts of all brokers that share this object.

    Attributes:
        outcomes: Statements by ``StatementOutcome``.
        attempt_outcomes: Attempts by the value of ``AttemptOutcome``.
        attempts: Attempts that were sent.
        not_listed: Attempts not sent, to engines that the endpoint list no longer allows.
    """

    outcomes: Counter[str] = field(default_factory=Counter)
    attempt_outcomes: Counter[str] = field(default_factory=Counter)
    attempts: int = 0
    not_listed: int = 0

    def reset(self) -> None:
        """Count from zero again."""
        self.outcomes.clear()
        self.attempt_outcomes.clear()
        self.attempts = 0
        self.not_listed = 0
