"""Guards against comparisons that combine the wrong replays or accept invalid settings."""

from __future__ import annotations

import pytest

from umberusher.errors import UsageError
from umberusher.replay.compare import parse, summary, variations
from umberusher.replay.options import ReplayOptions


def test_comparison_gives_difference_and_standard_error():
    varied = parse(["nodes=3,5", "seed=1,2,3"])
    chosen_variations = variations(ReplayOptions(), varied)
    assert (
        len(chosen_variations) == 6
        and chosen_variations[-1].options.engine_count == 5
        and chosen_variations[-1].options.seed == 3
    )
    results = [
        {
            "service": 50.0 + options.engine_count * 2 + options.seed,
            "worst_10s": 1,
            "attempts": 3,
            "played": 3,
            "wasted_ms": 0,
            "rules_broken": [],
            "by_class": {"lookup": {"service": 9.0}},
        }
        for options in (each.options for each in chosen_variations)
    ]
    rows = summary([each.settings for each in chosen_variations], results)
    assert [row["service"] for row in rows] == [58.0, 62.0] and rows[1]["difference"] == 4.0
    assert rows[1]["error"] == pytest.approx((2 / 3) ** 0.5)
    for invalid in (["size=3"], ["nodes"], ["nodes=x"], ["nodes=1", "nodes=2"]):
        with pytest.raises(UsageError, match="--vary"):
            parse(invalid)
