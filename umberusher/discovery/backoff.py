"""Backoff before the discovery service is contacted again.

There are three waits: after a failed connection, after an unusable answer, and before the next poll
on a connection whose polls are answered earlier than requested.
"""

from __future__ import annotations

INITIAL_BACKOFF_MS = 50.0
# After a failed connection: the list must be current soon after the service has recovered.
MAX_RECONNECT_BACKOFF_MS = 400.0
# After a short unusable answer: once the service is repaired, a change must be applied within 14 s.
MAX_UNUSABLE_BACKOFF_MS = 5_000.0
# After a long unusable answer: 18 KB/s are available for control traffic, and only an operator can
# repair the service.
MAX_COSTLY_BACKOFF_MS = 60_000.0


class PollBackoff:
    """The current waits, in ms; each doubles up to a maximum until the service works again."""

    __slots__ = ("pause_ms", "reconnect_ms", "unusable_ms")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Reset all waits, as for another discovery service."""
        self.reconnect_ms = 0.0  # the first reconnect is immediate
        self.unusable_ms = INITIAL_BACKOFF_MS
        # The first pause is 0 so that drains are noticed soon: a service that answers early may
        # still have changes to send.
        self.pause_ms = 0.0

    def answer_received(self) -> None:
        """Reset the wait after failed connections: the service has answered."""
        self.reconnect_ms = 0.0

    def answer_used(self) -> None:
        """Reset the wait after unusable answers: this one was usable."""
        self.unusable_ms = INITIAL_BACKOFF_MS

    def waited_for_change(self) -> None:
        """Reset the pause between polls: the service waited for a change, or had one."""
        self.pause_ms = 0.0

    def after_failed_connection(self) -> float:
        """Return the wait before a new connection, in ms."""
        wait_ms = self.reconnect_ms
        self.reconnect_ms = min(max(2 * wait_ms, INITIAL_BACKOFF_MS), MAX_RECONNECT_BACKOFF_MS)
        return wait_ms

    def after_unusable_answer(self, costly: bool) -> float:
        """Return the wait before the same poll is sent again, in ms.

        Args:
            costly: Whether the answer was long.
        """
        wait_ms = min(self.unusable_ms, max_unusable_backoff_ms(costly))
        self.unusable_ms = 2 * wait_ms
        return wait_ms

    def after_early_answer(self) -> float:
        """Return the wait before the next poll, in ms, after an early answer without events."""
        return self._next_pause(MAX_RECONNECT_BACKOFF_MS)

    def after_regressed_answer(self, costly: bool) -> float:
        """Return the wait before the next poll, in ms, after an answer of an older revision.

        Args:
            costly: Whether the answer was long: such a service sends its whole list for each poll.
        """
        max_ms = max_unusable_backoff_ms(costly)
        if costly:
            self.pause_ms = max(self.pause_ms, self.unusable_ms)
            self.unusable_ms = min(2 * self.unusable_ms, max_ms)
        return self._next_pause(max_ms)

    def _next_pause(self, max_ms: float) -> float:
        wait_ms = min(self.pause_ms, max_ms)
        self.pause_ms = min(max(2 * self.pause_ms, INITIAL_BACKOFF_MS), max_ms)
        return wait_ms


def max_unusable_backoff_ms(costly: bool) -> float:
    """Return the longest wait after an unusable answer, in ms."""
    return MAX_COSTLY_BACKOFF_MS if costly else MAX_UNUSABLE_BACKOFF_MS
