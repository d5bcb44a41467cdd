"""Azure Functions 2019: expands invocations per minute into arrivals with random durations."""

from __future__ import annotations

import bisect
import random
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from umberusher.traces.hashing import hash_text
from umberusher.traces.layouts import AZURE_DURATIONS, AZURE_MEMORY, US_PER_MINUTE
from umberusher.traces.ordering import Row

DURATION_PERCENTILES = (0.0, 0.01, 0.25, 0.5, 0.75, 0.99, 1.0)
"""The percentiles in the durations table, in the order of its columns."""
PERCENTILE_COLUMNS = slice(7, 14)
AVERAGE_MEMORY_COLUMN = 3
IDENTITY_COLUMNS = slice(0, 4)  # owner, application, function, trigger


class FunctionId(NamedTuple):
    """Identifies a function within an owner's application."""

    owner: str
    app: str
    function: str


class AppId(NamedTuple):
    """Identifies an application of an owner."""

    owner: str
    app: str


class Invocation(NamedTuple):
    """One arrival, and the quantile from 0 to 1 at which its duration is read."""

    at_us: int
    duration_quantile: float


@dataclass(slots=True)
class LookupTables:
    """The tables that invocations are joined with.

    Their size is bounded by the number of functions and applications in the trace.
    """

    durations_ms: dict[FunctionId, list[float]] = field(default_factory=dict)
    memory_mb: dict[AppId, float] = field(default_factory=dict)

    def add(self, row: Row) -> bool:
        """Store a row of a lookup table; return False for a row of invocations."""
        values = row.values
        if row.table is AZURE_DURATIONS:
            self.durations_ms[FunctionId(*values[:3])] = sorted(values[PERCENTILE_COLUMNS])
        elif row.table is AZURE_MEMORY:
            self.memory_mb[AppId(*values[:2])] = values[AVERAGE_MEMORY_COLUMN]
        else:
            return False
        return True

    def duration_ms(self, function: FunctionId, quantile: float) -> float | None:
        """Return the duration at a quantile, by linear interpolation between the percentiles.

        None where the durations table lacks the function.
        """
        points = self.durations_ms.get(function)
        if points is None:
            return None
        upper = min(
            bisect.bisect_right(DURATION_PERCENTILES, quantile), len(DURATION_PERCENTILES) - 1
        )
        low = DURATION_PERCENTILES[upper - 1]
        high = DURATION_PERCENTILES[upper]
        fraction = (quantile - low) / (high - low)
        return points[upper - 1] + fraction * (points[upper] - points[upper - 1])


def draw_invocations(row: Row, seed: int, window_us: tuple[float, float]) -> Iterator[Invocation]:
    """Yield the arrivals of one row within a window.

    The same function and seed always give the same arrivals.
    """
    identity = "\0".join(row.values[IDENTITY_COLUMNS])
    rng = random.Random(hash_text(identity, seed))
    counts = row.values[len(row.table.columns) :]
    first_us, end_us = window_us
    for minute, count in enumerate(counts):
        start_us = minute * US_PER_MINUTE
        is_inside = first_us < start_us + US_PER_MINUTE and start_us < end_us
        # Random numbers are also drawn for arrivals outside the window, so that the arrivals inside
        # do not depend on the window.
        for _ in range(count):
            at_us = start_us + int(rng.random() * US_PER_MINUTE)
            duration_quantile = rng.random()
            if is_inside:
                yield Invocation(at_us, duration_quantile)
