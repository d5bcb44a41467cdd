"""Statistics of a plan: rates, burstiness, class mix and work; without I/O.

The index of dispersion for counts is the variance of the arrivals in windows of equal width,
divided by their mean (Cox and Lewis, 1966). It is 1 for a Poisson process and grows with
burstiness. It is computed for several widths, since a burst shows only at its own time scale.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Sequence
from itertools import pairwise
from typing import Any

from umberusher.traces.plan import Plan

DISPERSION_WIDTHS_S = (0.1, 1.0, 10.0)
DEFAULT_QUANTILES = (0.5, 0.9, 0.99, 1.0)
MIN_DURATION_S = 1e-6


def arrival_counts(plan: Plan, width_s: float) -> list[int]:
    """Return the number of arrivals in each window of the given width."""
    windows = [0] * max(math.ceil(plan.seconds / width_s), 1)
    width_us = width_s * 1e6
    for at_us in plan.columns["at_us"]:
        windows[min(int(at_us / width_us), len(windows) - 1)] += 1
    return windows


def dispersion(series: list[int]) -> float | None:
    """Return the variance of counts divided by their mean.

    None where there are fewer than two windows or no arrivals.
    """
    if len(series) < 2 or not sum(series):
        return None
    mean = sum(series) / len(series)
    return sum((each - mean) ** 2 for each in series) / (len(series) - 1) / mean


def quantiles(
    values: list[float], points: tuple[float, ...] = DEFAULT_QUANTILES
) -> dict[str, float]:
    """Return quantiles by rank; an empty dict for no values."""
    if not values:
        return {}
    ordered = sorted(values)
    last = len(ordered) - 1
    return {
        f"p{100 * point:g}": round(ordered[min(int(point * len(ordered)), last)], 3)
        for point in points
    }


def work_by_class(plan: Plan) -> dict[str, list[float]]:
    """Return the work of the requests of each class, ms."""
    work: dict[str, list[float]] = {name: [] for name in plan.classes}
    columns = plan.columns
    for work_ms, number in zip(columns["work_ms"], columns["query_class"], strict=True):
        work[plan.classes[number]].append(work_ms)
    return work


def plan_statistics(plan: Plan) -> dict[str, Any]:
    """Return all statistics as a JSON document."""
    total = len(plan)
    duration_s = max(plan.seconds, MIN_DURATION_S)
    mean_per_s = total / duration_s
    peak_per_s = max(arrival_counts(plan, 1.0))
    times_us = plan.columns["at_us"]
    most_common = Counter(times_us).most_common(1)
    return {
        "requests": total,
        "seconds": round(duration_s, 3),
        "mean_per_s": round(mean_per_s, 2),
        "peak_per_s": peak_per_s,
        "peak_to_mean": round(peak_per_s / mean_per_s, 2),
        "dispersion": {
            f"{width_s:g}s": _dispersion(plan, width_s) for width_s in DISPERSION_WIDTHS_S
        },
        "gap_variation": _gap_variation(times_us),
        "most_at_once": most_common[0][1] if most_common else 0,
        "offered_threads": round(sum(plan.columns["work_ms"]) / 1e3 / duration_s, 1),
        "jobs": len(set(plan.columns["job"])),
        "keys": len(plan.keys) - 1,
        "machines": len(plan.machines),
        "by_class": {
            name: _class_statistics(work_ms, total) for name, work_ms in work_by_class(plan).items()
        },
    }


def _dispersion(plan: Plan, width_s: float) -> float | None:
    value = dispersion(arrival_counts(plan, width_s))
    return None if value is None else round(value, 2)


def _gap_variation(times_us: Sequence[int]) -> float | None:
    """Return the coefficient of variation of the gaps between arrivals."""
    gaps_ms = [(late - early) / 1e3 for early, late in pairwise(times_us)]
    if not gaps_ms:
        return None
    mean_ms = sum(gaps_ms) / len(gaps_ms)
    if not mean_ms:
        return None
    deviation_ms = math.sqrt(sum((gap - mean_ms) ** 2 for gap in gaps_ms) / len(gaps_ms))
    return round(deviation_ms / mean_ms, 2)


def _class_statistics(work_ms: list[float], total: int) -> dict[str, Any]:
    return {
        "requests": len(work_ms),
        "share": round(len(work_ms) / total, 4) if total else 0.0,
        "work_ms": quantiles(work_ms),
        "mean_work_ms": round(sum(work_ms) / len(work_ms), 1) if work_ms else 0.0,
    }
