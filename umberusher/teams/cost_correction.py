"""Corrects clients' cost estimates by the actual time of the team's requests of that class.

The time at an engine grows with all requests there, whichever team sent them; if it were charged as
measured, one team's surge would consume the budgets of the others. So each team's ratio of actual
to estimated time is divided by the lower median of all teams: a slowdown that affects all teams is
charged to none, and a team that estimates ten times too low is corrected by a factor of ten. The
lower median is used because of two teams the one with the larger ratio is the one that
underestimates.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

# Weight of each new request in the moving averages, which cover about 32 requests.
RATIO_GAIN = 1 / 32

# Number of requests from which on a ratio is used.
MIN_OBSERVATIONS = 8

MIN_FACTOR = 0.1
MAX_FACTOR = 20.0

# Number of requests of a class after which its median is recomputed.
NORM_INTERVAL = 16

# Number of requests of a class up to which its median is recomputed for each request.
NORM_WARM_UP = 4 * NORM_INTERVAL

# Lower bound of a median, which is a divisor.
MIN_NORM = 1e-3

# Number of ratios kept for a class, from which its median is computed: those of the teams with the
# latest requests.
MAX_TEAMS_PER_CLASS = 256

CorrectionState = dict[str, dict[str, list[float]]]
"""The averages for a successor: estimated, actual and observations, by class and team."""


@dataclass(slots=True)
class CostRatio:
    """Moving averages of one team and class."""

    estimated_ms: float = 0.0
    actual_ms: float = 0.0
    observations: int = 0

    @property
    def value(self) -> float:
        """The actual time divided by the estimated time."""
        return self.actual_ms / self.estimated_ms if self.estimated_ms > 0.0 else 1.0

    def add(self, estimated_ms: float, actual_ms: float) -> None:
        """Add a request."""
        if self.observations:
            self.estimated_ms += RATIO_GAIN * (estimated_ms - self.estimated_ms)
            self.actual_ms += RATIO_GAIN * (actual_ms - self.actual_ms)
        else:
            self.estimated_ms += estimated_ms
            self.actual_ms += actual_ms
        self.observations += 1


@dataclass(slots=True)
class ClassNorm:
    """The typical ratio of a class.

    Attributes:
        value: The lower median of the teams' ratios.
        since_update: Requests since the median was computed.
        observations: All requests of the class.
        ratios: The ratios by team; the team with the latest request is the last one.
    """

    value: float = 1.0
    since_update: int = 0
    observations: int = 0
    ratios: dict[str, CostRatio] = field(default_factory=dict)

    def median(self) -> float:
        """Return the lower median of the ratios with enough observations; 1 if there are none."""
        ratios = sorted(
            ratio.value for ratio in self.ratios.values() if ratio.observations >= MIN_OBSERVATIONS
        )
        return max(ratios[(len(ratios) - 1) // 2], MIN_NORM) if ratios else 1.0


class CostCorrections:
    """The ratios of all teams and classes."""

    __slots__ = ("norms",)

    def __init__(self) -> None:
        self.norms: dict[str, ClassNorm] = {}

    def observe(self, team: str, query_class: str, estimated_ms: float, actual_ms: float) -> float:
        """Add an ended request; return its time without the slowdown common to all teams."""
        norm = self.norms.setdefault(query_class, ClassNorm())
        ratio = norm.ratios.pop(team, None) or CostRatio()
        norm.ratios[team] = ratio
        if len(norm.ratios) > MAX_TEAMS_PER_CLASS:
            norm.ratios.pop(next(iter(norm.ratios)))
        ratio.add(estimated_ms, actual_ms)
        norm.since_update += 1
        norm.observations += 1
        if norm.since_update >= NORM_INTERVAL or norm.observations <= NORM_WARM_UP:
            norm.value = norm.median()
            norm.since_update = 0
        return actual_ms / norm.value

    def factor(self, team: str, query_class: str) -> float:
        """Return the factor by which a team's estimates are multiplied."""
        norm = self.norms.get(query_class)
        ratio = norm.ratios.get(team) if norm else None
        if norm is None or ratio is None or ratio.observations < MIN_OBSERVATIONS:
            return 1.0
        return min(max(ratio.value / norm.value, MIN_FACTOR), MAX_FACTOR)

    def state(self) -> CorrectionState:
        """Return the averages for a successor."""
        return {
            query_class: {
                team: [ratio.estimated_ms, ratio.actual_ms, ratio.observations]
                for team, ratio in norm.ratios.items()
            }
            for query_class, norm in self.norms.items()
        }

    def restore(self, state: Mapping[str, Mapping[str, list[float]]]) -> None:
        """Restore the averages of the predecessor."""
        for query_class, teams in state.items():
            norm = self.norms.setdefault(query_class, ClassNorm())
            for team, (estimated_ms, actual_ms, observations) in teams.items():
                norm.ratios[team] = CostRatio(
                    float(estimated_ms), float(actual_ms), int(observations)
                )
            norm.value = norm.median()
