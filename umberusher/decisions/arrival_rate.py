"""The rate at which requests arrive at this broker."""

from __future__ import annotations

import math

# Least weight of a new gap in the mean; the first gaps weigh more.
GAP_WEIGHT = 0.05
# Longer gaps count as this, so that the mean recovers quickly after a quiet hour; also the initial
# gap.
MAX_GAP_MS = 1_000.0


class ArrivalRate:
    """Moving average of the time between two arrivals at this broker."""

    __slots__ = ("_arrival_count", "_last_arrival_at", "mean_gap_ms")

    def __init__(self) -> None:
        self.mean_gap_ms = MAX_GAP_MS
        self._arrival_count = 0
        self._last_arrival_at = -math.inf

    def observe_arrival(self, now_ms: float) -> None:
        """Count a request that arrives now."""
        self._arrival_count += 1
        gap_ms = min(now_ms - self._last_arrival_at, MAX_GAP_MS)
        weight = max(GAP_WEIGHT, 1 / self._arrival_count)
        self.mean_gap_ms += weight * (gap_ms - self.mean_gap_ms)
        self._last_arrival_at = now_ms
