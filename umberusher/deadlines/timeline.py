"""One timeline: monotonic time that reads like Unix time, and the way between both.

Owns the offset. It is taken once, at the start: from then on a step of the Unix clock neither ends nor extends what is
open. What is told from outside in Unix time (when an engine started, since when one is drained by hand) is brought over
with the offset of that moment, so that a step shows there alone.
"""

from __future__ import annotations

from collections.abc import Callable


class Timeline:
    """Milliseconds; both clocks give seconds."""

    __slots__ = ("_monotonic", "_offset", "_unix")

    def __init__(self, monotonic: Callable[[], float], unix: Callable[[], float]) -> None:
        self._monotonic, self._unix = monotonic, unix
        self._offset = unix() - monotonic()

    def now_ms(self) -> float:
        """Now. It never goes back."""
        return (self._monotonic() + self._offset) * 1000.0

    def at_ms(self, monotonic: float) -> float:
        """A moment of the monotonic clock, in seconds, on this timeline."""
        return (monotonic + self._offset) * 1000.0

    def unix_ms(self) -> float:
        """What the Unix clock says now: for what is told to others."""
        return self._unix() * 1000.0

    def drift_ms(self) -> float:
        """How far the Unix clock has moved against this timeline since the start."""
        return self.unix_ms() - self.now_ms()

    def inward(self, unix_ms: float) -> float:
        """A Unix time that was told, on this timeline."""
        return unix_ms - self.drift_ms()
