"""Events: the inputs of the load balancer."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class AttemptOutcome(Enum):
    """How an attempt ended."""

    SUCCEEDED = "served"
    ERROR = "error"
    OVERLOADED = "full"
    TIMED_OUT = "timeout"
    NO_CONNECTION = "no connection"
    RESET = "reset"
    CANCELLED = "cancelled"
    WITHDRAWN = "moot"

    @property
    def never_ran(self) -> bool:
        """True where the outcome proves that the engine did no work."""
        return self in (
            AttemptOutcome.OVERLOADED,
            AttemptOutcome.NO_CONNECTION,
            AttemptOutcome.WITHDRAWN,
        )


class EndpointState(Enum):
    """State of an engine in the endpoint list."""

    UP = "up"
    DRAINING = "draining"
    REMOVED = "gone"


class ProgressKind(Enum):
    """Kind of progress report on a running attempt."""

    PROGRESS = "progress"
    SPILL = "spill"
    WAIT = "wait"


@dataclass(slots=True)
class LoadReport:
    """The load that an engine reports; a value that it does not report is None."""

    utilization: float | None = None
    in_flight: float | None = None
    queued: float | None = None
    memory_share: float | None = None


@dataclass(slots=True)
class Started:
    """The load balancer has started, without engines or requests."""


@dataclass(slots=True)
class EndpointUpdate:
    """One entry of the endpoint list.

    Attributes:
        broker_count: Upper bound on the brokers that are notified of this engine; None: all.
    """

    engine: str
    state: EndpointState
    kind: str | None = None
    zone: str | None = None
    cell: int | None = None
    weight: float | None = None
    started_ms: float | None = None
    broker_count: float | None = None


@dataclass(slots=True)
class EndpointListUpdate:
    """An update of the endpoint list: the changed entries, or (complete) the whole list."""

    entries: tuple[EndpointUpdate, ...]
    complete: bool = False


@dataclass(slots=True)
class EndpointListFailed:
    """A request for the endpoint list failed, or its watch was interrupted."""


@dataclass(slots=True)
class RequestArrived:
    """A client's request, for which exactly one final answer must be sent.

    Attributes:
        work_ms: The client's hint of its work.
        group: The group of tables that a load locks and that other requests may wait for.
        key: Its order key.
        retry_budget_eligible: Whether it counts for the retry budget from its arrival; else it
            counts once it is served.
    """

    request: str
    query_class: str
    deadline_ms: float
    work_ms: float | None = None
    memory_mb: float | None = None
    group: int | None = None
    key: str | None = None
    tenant: str | None = None
    is_retry: bool = False
    retry_budget_eligible: bool = True


@dataclass(slots=True)
class ResponseStarted:
    """The answer to a streamed request has started."""

    request: str
    attempt: int
    engine: str


@dataclass(slots=True)
class AttemptProgress:
    """A progress report from an engine on a running attempt."""

    request: str
    attempt: int
    engine: str
    kind: ProgressKind
    value: float


@dataclass(slots=True)
class AttemptEnded:
    """The end of an attempt; there is exactly one for each.

    Attributes:
        request_closed: Whether the broker has closed the request, which then needs no answer.
        work_ms: Work of the query, if its engine reports it.
        memory_mb: Memory that the query used, if its engine reports it.
    """

    request: str
    attempt: int
    engine: str
    outcome: AttemptOutcome
    elapsed_ms: float
    request_closed: bool = False
    work_ms: float | None = None
    memory_mb: float | None = None
    report: LoadReport | None = None


@dataclass(slots=True)
class ClientDisconnected:
    """The client has disconnected; no final answer is sent any more."""

    request: str


@dataclass(slots=True)
class TimerFired:
    """A timer that the load balancer set has expired."""

    token: str


@dataclass(slots=True)
class HealthCheckEnded:
    """The end of a health check."""

    engine: str
    outcome: AttemptOutcome
    elapsed_ms: float
    report: LoadReport | None = None


Event = (
    Started
    | EndpointListUpdate
    | EndpointListFailed
    | RequestArrived
    | ResponseStarted
    | AttemptProgress
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
)
