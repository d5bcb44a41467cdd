"""Metrics of a run, each a value with its unit, and the statistics behind them."""

from __future__ import annotations

import hashlib
import json
import math
from collections.abc import Mapping, Sequence
from typing import Any, TypedDict

DECIMALS = 4  # decimals to which a metric is rounded
DIGEST_CHARACTERS = 16
# Above this mean the sum of Poisson probabilities would underflow; there the normal approximation
# is accurate to well below a thousandth.
NORMAL_APPROXIMATION_MIN_MEAN = 1e4


class Metric(TypedDict):
    """A value with its unit, as results contain it."""

    value: float
    unit: str


def metric(value: float, unit: str) -> Metric:
    """Return a value with its unit, rounded to four decimals."""
    return {"value": round(value, DECIMALS) if isinstance(value, float) else value, "unit": unit}


def quantile(values: Sequence[float], fraction: float) -> float:
    """Return the smallest value that at least this fraction of the values does not exceed."""
    ordered = sorted(values)
    return ordered[max(math.ceil(fraction * len(ordered)) - 1, 0)]


def poisson_largest_over_mean(mean: float, count: int) -> float:
    """Return the largest over the mean that chance alone gives among ``count`` equal shares.

    It is the Poisson quantile at ``1 - 1 / count``.
    """
    if mean <= 0 or count < 2:
        return 1.0
    if mean > NORMAL_APPROXIMATION_MIN_MEAN:
        return 1 + math.sqrt(2 * math.log(count)) / math.sqrt(mean)
    wanted_probability = 1 - 1 / count
    log_mean = math.log(mean)
    # Ends the loop if rounding keeps the sum below the wanted probability.
    limit = 20 * mean + 100
    cumulated = 0.0
    number = 0
    while True:
        cumulated += math.exp(number * log_mean - mean - math.lgamma(number + 1))
        if cumulated >= wanted_probability or number > limit:
            return max(number, 1) / mean
        number += 1


def digest(scenes: Mapping[str, Any]) -> str:
    """Return a digest of all metrics of the step clock; the same seed gives the same digest."""
    text = json.dumps(scenes, sort_keys=True)
    return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_CHARACTERS]
