"""The counters of a checker besides those of breaches and of the outcomes of requests."""

from __future__ import annotations

from enum import StrEnum


class Count(StrEnum):
    """A counter of a replay, as observed on the sockets and at the engines."""

    REQUESTS_SENT = "requests sent"
    RESENT_AFTER_CLOSE = "resent after close"
    ANSWERS_CROSSED = "answers crossed"
    ATTEMPTS = "attempts"
    RETRIES = "retries"
    CANCELS = "cancels"
    READ_AFTER_END = "read after the end"
    WORK_STARTED = "work started"
    WORK_STARTED_LATE = "work started late"
    UNKNOWN_WORK_STARTED = "unknown work started"
    WORK_ENDED = "work ended"
    UNWANTED_WORK_ENDED = "unwanted work ended"
    PRIORITIES = "priorities"
    PRIORITY_CHANGES = "priority changes"
