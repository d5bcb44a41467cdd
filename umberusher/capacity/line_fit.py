"""Fits a line to points measured at several sizes, and finds where the points leave it."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise
from typing import NamedTuple

# Relative difference above which a point is off the line: larger than the spread between rounds on
# one machine, smaller than the doubling that is seen at a bend.
BEND_TOLERANCE = 0.25


class Point(NamedTuple):
    """A size and the median of the values measured there."""

    x: float
    y: float


class Line(NamedTuple):
    """``base + slope * x``."""

    base: float
    slope: float

    def at(self, x: float) -> float:
        """Return the line's value at a size."""
        return self.base + self.slope * x


@dataclass(slots=True)
class LineFit:
    """A least-squares line in the unit of the measured values.

    Attributes:
        base: Its value at 0.
        slope: Its rise per unit of size.
        residuals: For each point, its relative difference from the line; 0.1 is a tenth above it.
        linear_to: The largest size up to which each point lies on the line through the points
            below it.
    """

    base: float
    slope: float
    residuals: list[float]
    linear_to: float

    def at(self, x: float) -> float:
        """Return the line's value; beyond the largest measured size it is extrapolated."""
        return Line(self.base, self.slope).at(x)


def relative_difference(measured: float, expected: float) -> float:
    """Return how far one figure is above another, relative to the larger: finite if one is 0."""
    size = max(abs(measured), abs(expected))
    return (measured - expected) / size if size else 0.0


def _least_squares(points: Sequence[tuple[float, float]]) -> Line:
    mean_x = statistics.fmean(x for x, _ in points)
    mean_y = statistics.fmean(y for _, y in points)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in points)
    slope = covariance / sum((x - mean_x) ** 2 for x, _ in points)
    return Line(mean_y - slope * mean_x, slope)


def fit_line(points: Sequence[tuple[float, float]], tolerance: float = BEND_TOLERANCE) -> LineFit:
    """Return the line through points (size, median), and the size up to which they are linear.

    Raises:
        ValueError: There are fewer than two points, or their sizes do not rise.
    """
    if len(points) < 2:
        raise ValueError(f"{len(points)} points define no line; at least two are needed")
    for (low, _), (high, _) in pairwise(points):
        if high <= low:
            raise ValueError(f"x must rise, {high:g} follows {low:g}")
    line = _least_squares(points)
    residuals = [relative_difference(y, line.at(x)) for x, y in points]
    return LineFit(line.base, line.slope, residuals, _linear_to(points, tolerance))


def _linear_to(points: Sequence[tuple[float, float]], tolerance: float) -> float:
    """Return the size of the last point before the first that is off the line of those below."""
    # Any two points lie on a line.
    linear_to = points[1][0]
    for count in range(2, len(points)):
        x, y = points[count]
        expected = _least_squares(points[:count]).at(x)
        if abs(relative_difference(y, expected)) > tolerance:
            break
        linear_to = x
    return linear_to
