"""The broker's timeline: monotonic time with an offset to Unix time.

Its values read like Unix time. The offset between both clocks is read once, at the start, so that a
step of the Unix clock neither ends nor extends open requests. A Unix time that is received from
outside (when an engine started, since when one is drained manually) may have been taken before or
after a step, by this clock or by another one. It is converted with both offsets, and the later
result counts, but none that lies in the future: an engine that began at a time in doubt warms up
again.
"""

from __future__ import annotations

from collections.abc import Callable


class Timeline:
    """Converts between the clocks, which return seconds, and the timeline in milliseconds."""

    __slots__ = ("_monotonic", "_offset", "_unix")

    def __init__(self, monotonic: Callable[[], float], unix: Callable[[], float]) -> None:
        self._monotonic = monotonic
        self._unix = unix
        self._offset = unix() - monotonic()

    def now_ms(self) -> float:
        """Return the current time; it never decreases."""
        return (self._monotonic() + self._offset) * 1000.0

    def at_ms(self, monotonic_s: float) -> float:
        """Return the timeline's value of a monotonic time in seconds."""
        return (monotonic_s + self._offset) * 1000.0

    def unix_ms(self) -> float:
        """Return the current Unix time, for values that other processes read."""
        return self._unix() * 1000.0

    def drift_ms(self) -> float:
        """Return how far the Unix clock has moved relative to the timeline since the start."""
        return self.unix_ms() - self.now_ms()

    def from_unix_ms(self, unix_ms: float) -> float:
        """Return the timeline's value of a Unix time that was received from outside.

        After a step of the Unix clock it is the latest time that the step leaves possible.
        """
        return min(unix_ms + max(-self.drift_ms(), 0.0), self.now_ms())
