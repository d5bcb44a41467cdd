"""Requests and their attempts, the progress of an attempt, and the sink of the final answer."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum
from typing import TYPE_CHECKING, Protocol

from umberusher.deadlines.account import AttemptTimestamps
from umberusher.deadlines.budget import TimeBudget
from umberusher.decisions.events import RequestArrived

if TYPE_CHECKING:
    from umberusher.net.loop import Timer
    from umberusher.teams.identity import Origin


class SendProgress(IntEnum):
    """The progress of an attempt, in order."""

    NOT_CONNECTED = 0
    NOT_WRITTEN = 1
    PARTLY_WRITTEN = 2
    FULLY_SENT = 3
    RESPONSE_STARTED = 4
    PAGE_RECEIVED = 5


@dataclass(slots=True, frozen=True)
class AttemptFailure:
    """Why an attempt ended without a result.

    Attributes:
        progress: Its progress when it ended.
        reason: The cause, for the log.
        page_count: Pages that had been received.
    """

    progress: SendProgress
    reason: str
    page_count: int = 0

    @property
    def never_ran(self) -> bool:
        """Whether it can't have run: an engine runs no request before it has the last byte."""
        return self.progress < SendProgress.FULLY_SENT


class ResponseSink(Protocol):
    """Receives a request's final answer; each client protocol has its own."""

    def send_result(self, rows: bytes) -> None:
        """Send the complete result."""

    def send_rejection(self, retry_after_ms: float | None) -> None:
        """Reject the request: a retry does no harm, and the client may send it after that time."""

    def send_failure(self, reason: str) -> None:
        """Fail the request: it may have run."""

    def charge(self, size_bytes: int) -> None:
        """Charge memory that the request needs to its client, until it is answered."""

    def read_pending(self) -> None:
        """Process pending input of the client, which may have disconnected or cancelled."""


class AttemptCarrier(Protocol):
    """Carries an attempt to its engine; each engine protocol has its own.

    Attributes:
        opened_ms: When its connection was established; 0 before.
    """

    opened_ms: float

    def release(self, attempt: Attempt) -> bool:
        """Detach an attempt; return True if it was withdrawn before its first byte."""

    def write(self, command: bytes) -> None:
        """Queue one command about an attempt."""


@dataclass(slots=True, eq=False)
class Request:
    """A request that the broker has read and must give one final answer to.

    Attributes:
        request_id: Its id, copied from the event because it is read often.
        arrival: The event that the decisions receive.
        statement: The statement that is sent to an engine.
        response_sink: Receives the final answer.
        budget: Its time budget.
        non_idempotent: Whether it may run only once.
        is_open: Whether the final answer must still be sent.
        succeeded: Whether its final answer was its result.
        attempt_count: Attempts so far.
        priority: Its priority at engines, if the decisions have set one.
        attempt: The attempt in flight.
        idempotency_key: The client's key, by which engines drop duplicates.
        claimed_team: The team that the call names.
        origin: Where its connection was accepted.
        may_have_run: Whether an attempt may have run.
        engine_thread_ms: Time at engines, multiplied by the threads of its class.
        time_by_phase: Time of attempts that ended without a result, by phase; None before the
            first.
        held_bytes: What is charged to its client for it.
    """

    request_id: str = field(init=False)
    arrival: RequestArrived
    statement: bytes
    response_sink: ResponseSink
    budget: TimeBudget
    non_idempotent: bool = False
    is_open: bool = True
    succeeded: bool = False
    attempt_count: int = 0
    priority: int | None = None
    attempt: Attempt | None = None
    idempotency_key: str = ""
    claimed_team: str | None = None
    origin: Origin | None = None
    may_have_run: bool = False
    engine_thread_ms: float = 0.0
    time_by_phase: dict[str, float] | None = None
    held_bytes: int = 0

    def __post_init__(self) -> None:
        """Copy the id from the event."""
        self.request_id = self.arrival.request


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to run a request on an engine.

    Times are milliseconds on the broker's timeline, 0 until they are known.

    Attributes:
        request: The request.
        number: Its number among the request's attempts, from 0.
        engine: The engine's id.
        started_ms: When the decisions started it.
        timeout_at_ms: When it times out.
        progress: Its progress.
        ended: Whether its outcome was reported.
        pages: The pages of the result that have been received, by number.
        response_fields: Fields of the replies; load and cost may be in any of them.
        page_count: Pages of the result; 0 until the first page has arrived.
        received_bytes: Bytes of the pages received.
        encoded_ms: When it was encoded.
        fully_sent_ms: When the kernel accepted its last byte.
        network_delay_ms: The delay allowance that was subtracted from the engine's time limit.
        receipt_ms: When its receipt arrived, if receipts are enabled.
        first_page_ms: When its first page arrived.
        last_page_ms: When its latest page arrived.
        end_offset: The offset of its last byte in what its connection has written, once fully sent.
        carrier: Its connection.
        timer: Fires when it times out.
        cancel_pending: Whether a cancel command is pending whose outcome will be reported to the
            decisions.
    """

    request: Request
    number: int
    engine: str
    started_ms: float
    timeout_at_ms: float
    progress: SendProgress = SendProgress.NOT_CONNECTED
    ended: bool = False
    pages: dict[int, bytes] = field(default_factory=dict)
    response_fields: dict[str, str] = field(default_factory=dict)
    page_count: int = 0
    received_bytes: int = 0
    encoded_ms: float = 0.0
    fully_sent_ms: float = 0.0
    network_delay_ms: float = 0.0
    receipt_ms: float = 0.0
    first_page_ms: float = 0.0
    last_page_ms: float = 0.0
    end_offset: int = 0
    carrier: AttemptCarrier | None = None
    timer: Timer | None = None
    cancel_pending: bool = False

    def timestamps(self) -> AttemptTimestamps:
        """Return the times at which it reached each step."""
        return AttemptTimestamps(
            self.started_ms,
            self.carrier.opened_ms if self.carrier else 0.0,
            self.encoded_ms,
            self.fully_sent_ms,
            self.first_page_ms,
        )
