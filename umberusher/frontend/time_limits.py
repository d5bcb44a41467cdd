"""Time limits of clients' connections."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:  # Saves memory.
    from collections.abc import Sized
    from typing import Protocol

    from umberusher.net.connection import Connection

    class TimedClient(Protocol):
        """What the time limits of a client's connection depend on."""

        @property
        def connection(self) -> Connection:
            """The connection."""

        @property
        def active_ms(self) -> float:
            """When the client was last active."""

        @property
        def incomplete_since_ms(self) -> float | None:
            """Since when a call is expected or incomplete; None if none is."""

        @property
        def has_called(self) -> bool:
            """Whether a complete call has arrived."""

        @property
        def open_calls(self) -> Sized:
            """The calls that wait for their answers."""


# Limit of the time until a connection's first byte, and between the bytes of an incomplete call.
MAX_SILENCE_MS = 2_000.0
# Limit of the time from a connection's start to its first complete call.
MAX_FIRST_CALL_MS = 2_700.0
# Limit of the time from the first byte of any other call to its last.
MAX_CALL_MS = 6_000.0
# Limit of the time without a call; clients close idle connections after 4 s.
MAX_IDLE_MS = 10_000.0
# Limit of the time during which the client reads none of its answers.
MAX_UNREAD_ANSWERS_MS = 30_000.0


class CloseReason(StrEnum):
    """Why the broker closes a connection."""

    MALFORMED = "malformed"
    UNREAD_ANSWERS = "takes no answers"
    INCOMPLETE_CALL = "half a call"
    NO_CALL = "never asked"
    IDLE = "idle"


def overdue_reason(client: TimedClient, now_ms: float) -> CloseReason | None:
    """Return why a connection is to be closed; None if no time limit has passed."""
    inactive_ms = now_ms - client.active_ms
    if not client.connection.is_flushed:
        return CloseReason.UNREAD_ANSWERS if inactive_ms > MAX_UNREAD_ANSWERS_MS else None
    if client.open_calls:
        return None
    if _call_is_overdue(client, now_ms):
        called = client.has_called or len(client.connection.inbound)
        return CloseReason.INCOMPLETE_CALL if called else CloseReason.NO_CALL
    return CloseReason.IDLE if inactive_ms > MAX_IDLE_MS else None


def _call_is_overdue(client: TimedClient, now_ms: float) -> bool:
    if client.incomplete_since_ms is None:
        return False
    max_call_ms = MAX_CALL_MS if client.has_called else MAX_FIRST_CALL_MS
    return (
        now_ms - client.active_ms > MAX_SILENCE_MS
        or now_ms - client.incomplete_since_ms > max_call_ms
    )
