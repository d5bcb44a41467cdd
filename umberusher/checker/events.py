"""The events that a checker receives: the traffic on the stand-ins' sockets, and engines' work.

An event is a kind and its values in a fixed order. The values of the members are written to the
event log, which is stored and hashed, so they must not change. The docstring of a member names the
event's values.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Protocol

EventValue = str | int | float | bool | None


class EventKind(StrEnum):
    """The kinds of events."""

    # Discovery service
    NOTIFIED = "told"
    """BROKER ENGINE STATE: a watch event was sent to a broker."""

    # Clients
    REQUEST_SENT = "ask"
    """BROKER ID CLASS KEY BUDGET RETRY: the last byte of a request was passed to the kernel."""
    ANSWERED = "answer"
    """BROKER ID OUTCOME DIGEST RETRY_AFTER: the answer was read."""
    CLIENT_GAVE_UP = "left"
    """BROKER ID OUTCOME: the client interrupted the request (expired or disconnected)."""
    ANSWER_CROSSED = "crossed"
    """BROKER ID OUTCOME: an answer arrived after the interrupt."""
    UNEXPECTED_ANSWER = "second"
    """BROKER CALL OUTCOME: an answer that belongs to no open request."""
    REQUEST_LOST = "lost"
    """BROKER ID: the connection ended without an answer."""
    UNREADABLE = "unreadable"
    """BROKER REASON: bytes that can't be decoded as an answer."""

    # Engines
    ATTEMPT_READ = "req"
    """ENGINE CONNECTION ID LANE TTL: an engine has read a request completely."""
    ATTEMPT_READ_SLOWLY = "dripped"
    """ENGINE CONNECTION ID LANE TTL: the same at a slow reader; the time of sending is unknown."""
    REPLIED = "reply"
    """ENGINE CONNECTION ID WORD PAGES DIGEST: its answer; for HIT the digest of all pages."""
    LAST_PAGE_SENT = "whole"
    """ENGINE CONNECTION ID: the last page has been fetched and written."""
    ATTEMPT_CANCELLED = "stop"
    """ENGINE CONNECTION ID: the broker cancelled the attempt."""
    RESULT_RELEASED = "end"
    """ENGINE CONNECTION ID: the broker released the result."""
    CONNECTION_CLOSED = "gone"
    """ENGINE CONNECTION: the connection of a broker has ended."""
    WORK_STARTED = "begun"
    """ENGINE ID: the engine's own record that it began to work."""
    WORK_ENDED = "ended"
    """ENGINE ID WANTED: the engine's own record that the work ended."""
    HEALTH_CHECK_READ = "probed"
    """ENGINE WORD: a health check was read where none is allowed."""
    PRIORITY_SET = "ranked"
    """ENGINE ID PRIORITY PREVIOUS SUPPORTED: a priority, with the one that it replaces if any."""


class Outcome(StrEnum):
    """The outcome of a client's call; the values are written to event logs and result files."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    EXCEPTION = "exception"
    EXPIRED = "expired"
    DISCONNECTED = "left"
    LOST = "lost"


class EventSink(Protocol):
    """Receives the events of the stand-ins, in order."""

    def __call__(self, kind: EventKind, /, *values: EventValue) -> None:
        """Process one event."""
