"""Bad query plans: some attempts of class ``report`` take a multiple of their work, by chance."""

from __future__ import annotations

import xxhash

RUNAWAY_CLASS = "report"
MIN_RUNAWAY_FACTOR = 9
MAX_RUNAWAY_FACTOR = 25
_FRACTION_STEPS = 1_000  # resolution of the draw


class QueryPlans:
    """Draws the plans of one engine, by a hash of its name, the request and the attempt number."""

    __slots__ = ("_attempt_count", "_engine", "_runaway_fraction", "runaway_count")

    def __init__(self, engine: str, runaway_fraction: float) -> None:
        self._engine = engine
        self._runaway_fraction = runaway_fraction
        self._attempt_count = 0
        self.runaway_count = 0

    def work_factor(self, request_id: str, query_class: str) -> float:
        """Return the factor by which an attempt's work is multiplied."""
        self._attempt_count += 1
        draw = xxhash.xxh3_64_intdigest(
            f"{self._engine}/{request_id}/{self._attempt_count}".encode()
        )
        if query_class != RUNAWAY_CLASS:
            return 1.0
        if draw % _FRACTION_STEPS >= _FRACTION_STEPS * self._runaway_fraction:
            return 1.0
        self.runaway_count += 1
        return MIN_RUNAWAY_FACTOR + (draw >> 16) % (MAX_RUNAWAY_FACTOR - MIN_RUNAWAY_FACTOR + 1)
