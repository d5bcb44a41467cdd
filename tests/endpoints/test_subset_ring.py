"""Guards against engines that too few or too many brokers use, and against an unstable width."""

from __future__ import annotations

from collections import Counter

import pytest

from tests.endpoints.harness import (
    brokers_by_engine,
)
from umberusher.endpoints.subset_ring import MIN_BROKERS_PER_ENGINE, SLICES, SubsetRing


@pytest.mark.parametrize(
    ("brokers", "engines", "max_imbalance"),
    [(1024, 3000, 1.0), (1100, 2000, 1.05), (300, 2000, 1.1), (40, 1000, 1.15), (12, 400, 1.25)],
)
def test_subset_ring_balances_brokers_per_engine(brokers, engines, max_imbalance):
    counts = brokers_by_engine(brokers, engines)
    mean = sum(counts.values()) / engines
    assert max(counts.values()) / mean <= max_imbalance + 0.001
    assert (
        min(counts.values()) >= min(MIN_BROKERS_PER_ENGINE, brokers) - 1
        and min(counts.values()) > 0
    )
    bound = SubsetRing(brokers, 0, "").brokers_per_engine(
        SubsetRing(brokers, 0, "").width(engines, SLICES)
    )
    assert (
        max(counts.values()) <= bound <= 1.1 * max(counts.values()) + 1
    )  # the value that is published to the decisions


def test_subset_ring_covers_all_engines_when_positions_are_unknown():
    engines = [f"e{n:05d}" for n in range(1000)]
    counts: Counter[str] = Counter()
    for number in range(300):
        ring = SubsetRing(300, None, f"broker-{number}")
        counts.update(
            engine for engine in engines if ring.distance(engine) < ring.width(1000, SLICES)
        )
    assert len(counts) == 1000 and sorted(counts.values())[980] <= SubsetRing(
        300, None, ""
    ).brokers_per_engine(SubsetRing(300, None, "").width(1000, SLICES))


def test_subset_ring_keeps_its_width_when_the_list_size_fluctuates_around_a_step():
    ring = SubsetRing(2100, 3, "")
    width = ring.width(32_000, SLICES)
    widths = {width := ring.width(n, width) for n in [28_600, 28_400, 28_700, 28_500] * 5}
    assert len(widths) == 1
