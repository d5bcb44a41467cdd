"""Azure Functions 2019: counts of invocations a minute become arrivals with drawn durations."""

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
"""Those of the durations' table, in its order."""
PERCENTILE_COLUMNS = slice(7, 14)
AVERAGE_MEMORY_COLUMN = 3
IDENTITY_COLUMNS = slice(0, 4)  # owner, application, function, trigger


class FunctionId(NamedTuple):
    """A function of an owner's application."""

    owner: str
    app: str
    function: str


class AppId(NamedTuple):
    """An owner's application."""

    owner: str
    app: str


class Invocation(NamedTuple):
    """One arrival, and the draw that decides its duration."""

    at_us: int
    draw: float


@dataclass(slots=True)
class LookupTables:
    """The tables that invocations are joined with; bounded by the functions and applications."""

    durations_ms: dict[FunctionId, list[float]] = field(default_factory=dict)
    memory_mb: dict[AppId, float] = field(default_factory=dict)

    def add(self, row: Row) -> bool:
        """Keep a row of a look-up table; return False for invocations."""
        values = row.values
        if row.table is AZURE_DURATIONS:
            self.durations_ms[FunctionId(*values[:3])] = sorted(values[PERCENTILE_COLUMNS])
        elif row.table is AZURE_MEMORY:
            self.memory_mb[AppId(*values[:2])] = values[AVERAGE_MEMORY_COLUMN]
        else:
            return False
        return True

    def duration_ms(self, function: FunctionId, draw: float) -> float | None:
        """Return a duration by a function's percentiles, straight lines between them."""
        points = self.durations_ms.get(function)
        if points is None:
            return None
        upper = min(bisect.bisect_right(DURATION_PERCENTILES, draw), len(DURATION_PERCENTILES) - 1)
        low = DURATION_PERCENTILES[upper - 1]
        high = DURATION_PERCENTILES[upper]
        fraction = (draw - low) / (high - low)
        return points[upper - 1] + fraction * (points[upper] - points[upper - 1])


def draw_invocations(row: Row, seed: int, window_us: tuple[float, float]) -> Iterator[Invocation]:
    """Yield the arrivals of one row within a window, the same for the same function and seed."""
    identity = "\0".join(row.values[IDENTITY_COLUMNS])
    draw = random.Random(hash_text(identity, seed))
    counts = row.values[len(row.table.columns) :]
    first_us, end_us = window_us
    for minute, count in enumerate(counts):
        start_us = minute * US_PER_MINUTE
        is_inside = first_us < start_us + US_PER_MINUTE and start_us < end_us
        # Drawn also outside the window: the arrivals are the same whatever is cut out.
        for _ in range(count):
            at_us = start_us + int(draw.random() * US_PER_MINUTE)
            duration_draw = draw.random()
            if is_inside:
                yield Invocation(at_us, duration_draw)
