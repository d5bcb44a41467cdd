"""Simulated engines: state only, without sockets or queued work.

The time of an answer is drawn by hashing the statement's and the engine's name, so that it is the
same in every worker process that plays the statement.
"""

from __future__ import annotations

import math
from array import array

import xxhash

ANSWER_TIME_MAX_MEANS = 8.0  # bounds the tail of the exponential distribution
ANSWER_TIME_MIN_MS = 0.2
HASH_RANGE = 2.0**64


class SimulatedEngines:
    """All engines of one worker process; an engine's number is its index in the arrays.

    Args:
        mean_answer_ms: The mean time of an answer.
        in_flight: The requests in flight in every load report.
        region_of_zone: The region of each zone, by the zone's number.
    """

    __slots__ = (
        "in_flight",
        "lost_zones",
        "mean_answer_ms",
        "numbers",
        "partitioned_regions",
        "region_of_zone",
        "statements",
        "zones",
    )

    def __init__(
        self, mean_answer_ms: float, in_flight: float, region_of_zone: dict[int, int]
    ) -> None:
        self.mean_answer_ms = mean_answer_ms
        self.in_flight = in_flight
        self.region_of_zone = region_of_zone
        self.numbers: dict[str, int] = {}
        self.zones: list[int] = []
        # Statements received since the last reset, by engine number.
        self.statements = array("L")
        self.lost_zones: set[int] = set()
        # Pairs of regions (from, to) between which no message passes.
        self.partitioned_regions: set[tuple[int, int]] = set()

    def add(self, engine: str, zone: int) -> None:
        """Add an engine; do nothing if it is known already."""
        if engine in self.numbers:
            return
        self.numbers[engine] = len(self.numbers)
        self.zones.append(zone)
        self.statements.append(0)

    def reachable(self, number: int, region: int) -> bool:
        """Return whether a message from ``region`` reaches the engine with this number."""
        zone = self.zones[number]
        if zone in self.lost_zones:
            return False
        return (region, self.region_of_zone[zone]) not in self.partitioned_regions

    def answer_time_ms(self, statement: str, engine: str) -> float:
        """Return how long the engine takes for the statement: exponential about the mean."""
        draw = xxhash.xxh3_64_intdigest(f"{statement}@{engine}".encode()) / HASH_RANGE
        means = min(-math.log(1.0 - draw), ANSWER_TIME_MAX_MEANS)
        return means * self.mean_answer_ms + ANSWER_TIME_MIN_MS

    def reset_counts(self) -> None:
        """Count statements from zero again."""
        self.statements = array("L", bytes(self.statements.itemsize * len(self.statements)))
