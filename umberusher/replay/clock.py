"""The time of a replay: ms since its start, on the loop that all stand-ins share."""

from __future__ import annotations

from collections.abc import Callable

from umberusher.net.loop import Loop


class ReplayClock:
    """Counts milliseconds from the start of a replay."""

    __slots__ = ("_loop", "_started_at_s")

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._started_at_s: float | None = None

    def start(self, delay_s: float) -> None:
        """Set the replay's start after a delay; until then its time is negative."""
        self._started_at_s = self._loop.clock() + delay_s

    def now_ms(self) -> float:
        """Return the time since the replay's start; 0 while it is being set up."""
        if self._started_at_s is None:
            return 0.0
        return (self._loop.clock() - self._started_at_s) * 1000.0

    def call_at(self, at_ms: float, call: Callable[[], None]) -> None:
        """Schedule a call at a time of the replay."""
        self._loop.call_later(at_ms - self.now_ms(), call)
