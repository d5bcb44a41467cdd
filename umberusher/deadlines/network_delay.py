"""Estimates the network delay to each engine from round trips of health checks.

An engine counts a request's time limit from receipt, so the limit is the time remaining here minus
the network delay. The one-way delay is part of a round trip and so never longer; the shortest round
trip of a window is the tightest bound. Only health checks and receipts count as round trips. A TCP
handshake does not: the kernel of a stopped process completes it, and so does a load balancer or SYN
proxy in front of the engine.

The minimum is kept with three samples (Kathleen Nichols' windowed minimum, as described with BBR:
Cardwell and others, 2016): the minimum of the window, the minimum after it, and the minimum after
that. So an old minimum expires without a list of samples.

A connection may be slower than the others to its engine: unread data before a request delays only
that connection. So the latest round trip over the connection itself counts where it is longer.
"""

from __future__ import annotations

from dataclasses import dataclass

MINIMUM_WINDOW_MS = 30_000.0

# For an engine that has answered no health check yet: longer than any delay within a region.
UNKNOWN_DELAY_MS = 50.0

# Covers the truncation of an engine's time limit to whole milliseconds, and the write itself.
DELAY_MARGIN_MS = 1.0

# A longer round trip is a measurement error.
MAX_ROUND_TRIP_MS = 2_000.0

# A connection that has been silent for longer is abandoned, so a request need not allow for more.
MAX_CONNECTION_DELAY_MS = 500.0

# How long a connection's latest round trip counts where it exceeds the minimum: paths change.
RECENT_ROUND_TRIP_MS = 5_000.0

# Bounds memory, since new engine ids keep appearing; the oldest estimate is dropped.
MAX_ENGINES = 4_096


@dataclass(slots=True, frozen=True)
class Sample:
    """A round trip and when it was measured."""

    at_ms: float
    value: float


class WindowedMin:
    """The minimum of a moving window in constant memory.

    It may be too high, since samples of at most a third of the window may be left out.
    """

    __slots__ = ("best", "window_ms")

    def __init__(self, window_ms: float, at_ms: float, value: float) -> None:
        self.window_ms = window_ms
        self.best = [Sample(at_ms, value)] * 3

    def add(self, at_ms: float, value: float) -> float:
        """Add a sample and return the minimum of the window."""
        new = Sample(at_ms, value)
        best = self.best
        if value <= best[0].value or at_ms - best[2].at_ms > self.window_ms:
            # The lowest yet, or the only one in the window.
            self.best = [new, new, new]
            return value
        if value <= best[1].value:
            best[1] = new
            best[2] = new
        elif value <= best[2].value:
            best[2] = new
        self._expire(new)
        return self.best[0].value

    def _expire(self, new: Sample) -> None:
        """Replace a minimum older than the window; later parts of it give the next candidates."""
        best = self.best
        age_ms = new.at_ms - best[0].at_ms
        if age_ms > self.window_ms:
            best = [best[1], best[2], new]
            if new.at_ms - best[0].at_ms > self.window_ms:
                best = [best[1], best[2], new]
            self.best = best
        elif best[1] is best[0] and age_ms > self.window_ms / 4:
            best[1] = new
            best[2] = new
        elif best[2] is best[1] and age_ms > self.window_ms / 2:
            best[2] = new

    @property
    def value(self) -> float:
        """The minimum of the window, as of the last sample."""
        return self.best[0].value


class NetworkDelays:
    """The network delay to each engine."""

    __slots__ = ("engines",)

    def __init__(self) -> None:
        self.engines: dict[str, WindowedMin] = {}

    def observe(self, engine: str, at_ms: float, round_trip_ms: float) -> None:
        """Add a round trip that includes no query work: of a health check or a receipt."""
        if not 0.0 <= round_trip_ms <= MAX_ROUND_TRIP_MS:
            return
        minimum = self.engines.get(engine)
        if minimum is not None:
            minimum.add(at_ms, round_trip_ms)
            return
        if len(self.engines) >= MAX_ENGINES:
            self.engines.pop(next(iter(self.engines)))
        self.engines[engine] = WindowedMin(MINIMUM_WINDOW_MS, at_ms, round_trip_ms)

    def forget(self, engine: str) -> None:
        """Forget the delay to an engine: another process or another machine has its id now."""
        self.engines.pop(engine, None)

    def allowance_ms(self, engine: str) -> float:
        """Return an upper bound of the delay to an engine when no data precedes the request."""
        minimum = self.engines.get(engine)
        return (UNKNOWN_DELAY_MS if minimum is None else minimum.value) + DELAY_MARGIN_MS


@dataclass(slots=True)
class ConnectionDelay:
    """The round trips of one connection: the latest one, and since when one is pending."""

    round_trip_ms: float = 0.0
    measured_ms: float = -1e12
    pending_since_ms: float | None = None
    """When the oldest unanswered health check was written."""

    def probe_sent(self, at_ms: float) -> None:
        """Record that a health check, which engines answer at once, was written."""
        if self.pending_since_ms is None:
            self.pending_since_ms = at_ms

    def probe_answered(self, at_ms: float, round_trip_ms: float) -> None:
        """Record the response to a health check."""
        self.round_trip_ms = min(round_trip_ms, MAX_ROUND_TRIP_MS)
        self.measured_ms = at_ms
        self.pending_since_ms = None

    def delay_ms(self, now_ms: float) -> float:
        """Return the latest round trip, or how long one has been pending if that is longer."""
        is_recent = now_ms - self.measured_ms <= RECENT_ROUND_TRIP_MS
        delay_ms = self.round_trip_ms if is_recent else 0.0
        if self.pending_since_ms is not None:
            delay_ms = max(delay_ms, now_ms - self.pending_since_ms)
        return min(delay_ms, MAX_CONNECTION_DELAY_MS)
