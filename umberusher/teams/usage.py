"""The usage of one team at one broker since its start, the source of metrics and statements."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass(slots=True)
class TeamUsage:
    """The counts of one team.

    Attributes:
        own: Requests admitted on the team's own budget, by class.
        borrowed: Requests admitted on lent work, by class.
        rejected: Rejected requests, by reason.
        served: Requests served, by class.
        work_ms: Work used, in milliseconds of one thread.
        borrowed_ms: Work of requests that were admitted on lent work, in milliseconds of one
            thread.
        forgiven_ms: Debt that was forgiven, in milliseconds of one thread.
        value: The sum of the contract's values of the requests served.
        retries: Retries, by the right under which they were made.
        retries_denied: Requests for which a retry was denied at least once.
        client_retries: Requests that the client itself had sent before.
    """

    own: Counter[str] = field(default_factory=Counter)
    borrowed: Counter[str] = field(default_factory=Counter)
    rejected: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)
    work_ms: float = 0.0
    borrowed_ms: float = 0.0
    forgiven_ms: float = 0.0
    value: float = 0.0
    retries: Counter[str] = field(default_factory=Counter)
    retries_denied: int = 0
    client_retries: int = 0

    @property
    def admitted(self) -> int:
        """The number of requests that were admitted."""
        return self.own.total() + self.borrowed.total()

    def event_fields(self) -> dict[str, object]:
        """Return the counts as a structured event's fields, for ``contract statement``."""
        return {
            "own": dict(self.own),
            "borrowed": dict(self.borrowed),
            "refused": dict(self.rejected),
            "served": dict(self.served),
            "work_ms": round(self.work_ms),
            "borrowed_ms": round(self.borrowed_ms),
            "forgiven_ms": round(self.forgiven_ms),
            "worth": round(self.value, 1),
            "retries": dict(self.retries),
            "marked": self.client_retries,
            "denied": self.retries_denied,
        }
