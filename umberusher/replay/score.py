"""The service of a replay, as the site counts it; no I/O.

Weight earned over weight requested: an answer within its latency objective earns all of its class's
weight, a later one the class's fraction for late ones. A client's retries belong to its first
attempt. Half of the service is the whole run, 15% its worst 10 s, 35% its worst class.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from umberusher.checker.events import Outcome
from umberusher.replay import site
from umberusher.traces.stats import quantiles

MAX_LATENCY_SAMPLES = 200_000  # kept for each class


class Ending(StrEnum):
    """How a request counts; the values are written to result files."""

    SERVED = "served"
    LATE = "late"
    REJECTED = "refused"
    FAILED = "failed"
    EXPIRED = "expired"


_ENDINGS = {
    Outcome.SERVED: Ending.SERVED,
    Outcome.REJECTED: Ending.REJECTED,
    Outcome.FAILED: Ending.FAILED,
    Outcome.EXCEPTION: Ending.FAILED,
    Outcome.LOST: Ending.FAILED,
    Outcome.EXPIRED: Ending.EXPIRED,
}


@dataclass(slots=True)
class ClassScore:
    """The sums of one class; weights are in the class's points."""

    requested: float = 0.0
    earned: float = 0.0
    requests: int = 0
    ends: Counter[str] = field(default_factory=Counter)
    latencies_ms: list[float] = field(default_factory=list)

    def document(self) -> dict[str, Any]:
        """Return the scores as JSON."""
        service = round(100 * self.earned / self.requested, 2) if self.requested else None
        return {
            "requests": self.requests,
            "service": service,
            "ends": dict(sorted(self.ends.items())),
            "latency_ms": quantiles(self.latencies_ms),
        }


class Score:
    """Adds up requests and their outcomes; ``document`` returns the scores."""

    def __init__(self) -> None:
        self._by_class = {name: ClassScore() for name in site.CLASS_NAMES}
        # Each by the second of arrival.
        self._requested: list[float] = []
        self._earned: list[float] = []
        self._arrivals: list[int] = []
        self._ends: dict[Ending, list[int]] = {ending: [] for ending in Ending}
        self._disconnected_count = 0

    def add(
        self,
        query_class: str,
        arrived_ms: float,
        outcome: Outcome,
        duration_ms: float,
        work_ms: float,
    ) -> None:
        """Count a request, with its client's retries as a part of it.

        Args:
            query_class: Its class.
            arrived_ms: When it arrived, since the replay's start.
            outcome: Its final outcome.
            duration_ms: Time from its arrival to its end.
            work_ms: Its true work.
        """
        score = self._by_class[query_class]
        if outcome is Outcome.DISCONNECTED:
            # Its client chose to disconnect, so no answer was due.
            self._disconnected_count += 1
            score.ends[outcome.value] += 1
            return
        weight = site.CLASS_BY_NAME[query_class]["points"]
        ending = _ENDINGS[outcome]
        earned = 0.0
        if ending is Ending.SERVED:
            if len(score.latencies_ms) < MAX_LATENCY_SAMPLES:
                score.latencies_ms.append(duration_ms)
            earned = weight
            if duration_ms > _objective_ms(query_class, work_ms):
                ending = Ending.LATE
                earned = weight * site.CLASS_BY_NAME[query_class]["late_worth"]
        score.requests += 1
        score.requested += weight
        score.earned += earned
        score.ends[ending.value] += 1
        second = self._extend_to(arrived_ms)
        self._requested[second] += weight
        self._earned[second] += earned
        self._arrivals[second] += 1
        self._ends[ending][second] += 1

    def worst_window(self) -> float:
        """Return the fraction earned in the worst 10 s; short runs count as one window."""
        width = min(site.WORST_WINDOW_S, len(self._requested))
        fractions = []
        for start in range(len(self._requested) - width + 1):
            requested = sum(self._requested[start : start + width])
            if requested:
                fractions.append(sum(self._earned[start : start + width]) / requested)
        return min(fractions, default=0.0)

    def service(self) -> float:
        """Return the service, from 0 to 100."""
        requested = sum(self._requested)
        if not requested:
            return 0.0
        overall = sum(self._earned) / requested
        worst_class = min(
            (each.earned / each.requested for each in self._by_class.values() if each.requested),
            default=0.0,
        )
        mix = site.SCORING_MIX
        return 100.0 * (
            mix["whole"] * overall
            + mix["worst_window"] * self.worst_window()
            + mix["worst_class"] * worst_class
        )

    def document(self) -> dict[str, Any]:
        """Return the scores as JSON."""
        requested = sum(self._requested)
        return {
            "service": round(self.service(), 1),
            "requests": sum(each.requests for each in self._by_class.values()),
            "whole": round(100 * sum(self._earned) / requested, 2) if requested else 0.0,
            "worst_10s": round(100 * self.worst_window(), 2),
            "left_early": self._disconnected_count,
            "by_class": {name: each.document() for name, each in self._by_class.items()},
            "by_second": {
                "arrivals": self._arrivals,
                "earned": [round(each, 2) for each in self._earned],
                "asked": [round(each, 2) for each in self._requested],
                **{ending.value: counts for ending, counts in self._ends.items()},
            },
        }

    def _extend_to(self, arrived_ms: float) -> int:
        """Extend all series to the second of an arrival; return that second."""
        second = max(int(arrived_ms / 1000.0), 0)
        all_series: list[list[Any]] = [
            self._requested,
            self._earned,
            self._arrivals,
            *self._ends.values(),
        ]
        for series in all_series:
            if len(series) <= second:
                series.extend([0] * (second + 1 - len(series)))
        return second


def _objective_ms(query_class: str, work_ms: float) -> float:
    """Return the latency objective of a request by its work."""
    settings = site.CLASS_BY_NAME[query_class]
    stretched_ms = settings["aim_stretch"] * work_ms / site.THREADS_BY_CLASS[query_class]
    return float(settings["aim_ms"] + stretched_ms)
