"""The options by which a plan is played."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

from umberusher.replay.faults import Fault


class ClockKind(StrEnum):
    """The clock of a replay; the values are written to result files."""

    STEP = "step"
    """Simulated time: brokers run in this process, and a replay has the same result each time."""
    WALL = "wall"
    """Real time: each broker is a process of its own."""


@dataclass(slots=True)
class ReplayOptions:
    """Options of one replay.

    Attributes:
        max_client_retries: Retries of a client after a rejection or a failure.
        disconnect_fraction: Fraction of the requests whose client disconnects before its deadline.
        tight_deadline_fraction: Fraction of the requests with a deadline of about 0.4 s or less.
        cancellation: Whether engines support cancellation.
        terms: The deployment, by its name in ``site.DEPLOYMENT_TERMS``.
        clock_skew_ms: Engines' clocks are alternately ahead of the loop's by this, and behind it.
        contract_path: A contract's file, for brokers that enforce it.
        request_teams: The team of each request of the plan.
        uneven_fraction: Fraction of the requests without a key that all go to the first broker.
        keep_event_log: Whether to keep the lines of the event log.
        keep_request_events: Whether to keep the brokers' events for requests that end late,
            expired or disconnected.
    """

    clock: ClockKind = ClockKind.STEP
    seed: int = 1
    engine_count: int = 7
    broker_count: int = 2
    max_client_retries: int = 1
    disconnect_fraction: float = 0.0
    tight_deadline_fraction: float = 0.0
    cancellation: bool = False
    terms: str = "probes"
    receipts: bool = False
    clock_skew_ms: float = 0.0
    faults: list[Fault] = field(default_factory=list)
    contract_path: str | None = None
    request_teams: list[str] | None = None
    uneven_fraction: float = 0.0
    keep_event_log: bool = False
    keep_request_events: bool = False
