"""Actions: the outputs of the load balancer, which its broker carries out."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class StartAttempt:
    """Send an attempt; with timeout_ms None only the client's deadline limits it."""

    request: str
    engine: str
    timeout_ms: float | None = None


@dataclass(slots=True)
class SetPriority:
    """Set the memory (0: chosen by the engine) and the priority (0 to 3) of a request."""

    request: str
    memory_mb: float
    priority: int


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    request: str
    attempt: int


@dataclass(slots=True)
class RejectRequest:
    """Final answer: the request was rejected, and the client may safely retry it."""

    request: str
    retry_after_ms: float | None = None


@dataclass(slots=True)
class FailRequest:
    """Final answer: the request failed, without a guarantee that it has not run."""

    request: str


@dataclass(slots=True)
class CheckHealth:
    """Send a health check, which requests a load report from an engine."""

    engine: str


@dataclass(slots=True)
class SetTimer:
    """Request a TimerFired event after a delay."""

    token: str
    delay_ms: float


@dataclass(slots=True)
class WatchEndpoints:
    """Start or stop watching the endpoint list."""

    enabled: bool


Action = (
    StartAttempt
    | SetPriority
    | CancelAttempt
    | RejectRequest
    | FailRequest
    | CheckHealth
    | SetTimer
    | WatchEndpoints
)
