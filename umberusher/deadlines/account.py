"""Accounts for the time of requests that ended late, expired or lost their client. No I/O.

A request that ends in time costs nothing here: its phases are computed only where it ended late,
expired or was abandoned. Timestamps are milliseconds on the broker's timeline; a step that did not
happen is 0.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import Enum, StrEnum
from itertools import pairwise

# Names of fields of the structured events and label values of the metrics. The first phase is the
# time that a request spent in the broker without an attempt in flight.
PHASES = ("held", "connecting", "outbox", "way", "node", "pages")

# Limits disk writes and CPU when thousands of requests expire together; the next event has the
# number of those that were suppressed.
MAX_EVENTS_PER_SECOND = 50

# A request that ends without a result counts as expired after this fraction of its budget.
EXPIRED_MIN_FRACTION = 0.5

# A client that disconnects this close to its deadline counts as having waited until it.
DISCONNECT_MARGIN_MS = 1.0


class FinalOutcome(StrEnum):
    """The final answer to a request; the values appear in metrics and logs."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


class DeadlineEnd(Enum):
    """How a request that is accounted for ended; the values appear in the events."""

    LATE = "late"
    """Served after its class's latency objective."""

    EXPIRED = "expired"
    """It has no result, and much of its budget had passed."""

    DISCONNECTED = "left"
    """Its client disconnected before the deadline."""


@dataclass(slots=True, frozen=True)
class AttemptTimestamps:
    """When an attempt reached each step; 0 for a step that it did not reach."""

    created_ms: float
    connected_ms: float
    write_started_ms: float
    fully_sent_ms: float
    first_response_ms: float

    def phase(self) -> str:
        """Return the phase in which the attempt is."""
        if self.first_response_ms:
            return "pages"
        if self.fully_sent_ms:
            return "node"
        if self.write_started_ms or self.connected_ms:
            return "outbox"
        return "connecting"


def time_by_phase(
    timestamps: AttemptTimestamps, now_ms: float, network_delay_ms: float
) -> dict[str, float]:
    """Split an attempt's time into phases; the sum is what has passed since it was created.

    The network delay can't be measured here: its estimate is subtracted from the time between the
    last byte sent and the first byte of the response.
    """
    boundaries_ms = [timestamps.created_ms]
    for timestamp in (
        timestamps.connected_ms,
        timestamps.write_started_ms,
        timestamps.fully_sent_ms,
        timestamps.first_response_ms,
    ):
        # A connection may be older than the attempt; a step that was not reached counts as now.
        boundaries_ms.append(
            min(max(timestamp, boundaries_ms[-1]), now_ms) if timestamp else now_ms
        )
    boundaries_ms.append(now_ms)
    connecting, queued, writing, waiting, pages = (
        end - start for start, end in pairwise(boundaries_ms)
    )
    network_delay = min(network_delay_ms, waiting)
    return {
        "connecting": connecting,
        "outbox": queued + writing,
        "way": network_delay,
        "node": waiting - network_delay,
        "pages": pages,
    }


@dataclass(slots=True)
class RequestSummary:
    """The data of a request that accounting needs."""

    request_id: str
    query_class: str
    received_ms: float
    deadline_ms: float
    work_ms: float | None = None
    """The client's own estimate of the work."""

    latency_objective_ms: float | None = None
    """Counted from when the request was received."""

    engine: str = ""
    attempt_count: int = 0


@dataclass(slots=True)
class DeadlineAccount:
    """Counts requests that ended late, expired or were abandoned, and emits an event for each.

    Attributes:
        emit_event: Writes one structured event; None without a structured log.
        late: Requests served after their latency objective, by class.
        expired: Expired requests, by the phase they were in.
        disconnected: Requests whose client disconnected early, by the phase they were in.
        cancel_outcomes: Outcomes of cancels, by the outcome's name.
        wasted_work_ms: Work of engines for clients that had disconnected, as far as it is known.
    """

    now_ms: Callable[[], float]
    emit_event: Callable[[Mapping[str, object]], None] | None = None
    late: Counter[str] = field(default_factory=Counter)
    expired: Counter[str] = field(default_factory=Counter)
    disconnected: Counter[str] = field(default_factory=Counter)
    cancel_outcomes: Counter[str] = field(default_factory=Counter)
    wasted_work_ms: float = 0.0
    _current_second: int = 0
    _events_this_second: int = 0
    _suppressed_events: int = 0

    def count_end(
        self,
        summary: RequestSummary,
        outcome: FinalOutcome | None,
        timestamps: AttemptTimestamps | None,
    ) -> DeadlineEnd | None:
        """Classify and count the end of a request.

        Args:
            summary: The request.
            outcome: Its final answer; None where its client disconnected.
            timestamps: Those of the attempt that is in flight, if there is one.

        Returns:
            How it ended, or None where time was not the reason.
        """
        now = self.now_ms()
        if outcome is FinalOutcome.SERVED:
            objective = summary.latency_objective_ms
            if objective is None or now - summary.received_ms <= objective:
                return None
            self.late[summary.query_class] += 1
            return DeadlineEnd.LATE
        phase = PHASES[0] if timestamps is None else timestamps.phase()
        if outcome is None and now < summary.deadline_ms - DISCONNECT_MARGIN_MS:
            self.disconnected[phase] += 1
            return DeadlineEnd.DISCONNECTED
        budget_ms = summary.deadline_ms - summary.received_ms
        if outcome is not None and now - summary.received_ms < EXPIRED_MIN_FRACTION * budget_ms:
            return None  # rejected or failed early in its budget
        self.expired[phase] += 1
        return DeadlineEnd.EXPIRED

    def report_end(
        self,
        summary: RequestSummary,
        end: DeadlineEnd,
        phase: str,
        phase_times_ms: Mapping[str, float],
    ) -> None:
        """Emit an event with the request's time by phase.

        Args:
            summary: The request.
            end: How it ended.
            phase: The phase in which it ended.
            phase_times_ms: Time of all its attempts by phase; its remaining time was held time.
        """
        if self.emit_event is None or not self._allow_event():
            return
        took_ms = self.now_ms() - summary.received_ms
        event: dict[str, object] = {
            "rid": summary.request_id,
            "class": summary.query_class,
            "end": end.value,
            "place": phase,
            "engine": summary.engine,
            "attempts": summary.attempt_count,
            "budget_ms": round(summary.deadline_ms - summary.received_ms, 1),
            "took_ms": round(took_ms, 1),
            "held_ms": round(max(took_ms - sum(phase_times_ms.values()), 0.0), 1),
        }
        event |= {f"{name}_ms": round(phase_times_ms.get(name, 0.0), 1) for name in PHASES[1:]}
        if self._suppressed_events:
            event["left_out"] = self._suppressed_events
            self._suppressed_events = 0
        self.emit_event(event)

    def _allow_event(self) -> bool:
        """Count an event; return whether it may be emitted in this second."""
        second = int(self.now_ms() / 1000.0)
        if second != self._current_second:
            self._current_second = second
            self._events_this_second = 0
        if self._events_this_second >= MAX_EVENTS_PER_SECOND:
            self._suppressed_events += 1
            return False
        self._events_this_second += 1
        return True

    def record_wasted_work(self, work_ms: float | None, since_ms: float, stopped: bool) -> None:
        """Count an engine's work for a client that has disconnected.

        Engines report no cost of an abandoned query, so the client's estimate counts where there
        is one.

        Args:
            work_ms: The client's estimate of the work, if it gave one.
            since_ms: When the engine had the request.
            stopped: Whether the query was stopped, so that at most the time until now was wasted.
        """
        elapsed_ms = max(self.now_ms() - since_ms, 0.0)
        if work_ms is None:
            self.wasted_work_ms += elapsed_ms
        elif stopped:
            self.wasted_work_ms += min(work_ms, elapsed_ms)
        else:
            self.wasted_work_ms += work_ms
