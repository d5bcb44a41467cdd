"""Guards against a service that is computed with other weights than the site's."""

from __future__ import annotations

import pytest

from umberusher.checker.events import Outcome
from umberusher.replay.score import Score


def test_score_weighs_whole_run_worst_window_and_worst_class():
    score = Score()
    for second in range(20):
        for number in range(10):
            score.add(
                "lookup",
                second * 1000.0,
                Outcome.SERVED if second >= 10 or number < 5 else Outcome.FAILED,
                400.0,
                50.0,
            )
    score.add("report", 500.0, Outcome.SERVED, 9_000.0, 100.0)  # late: earns 0.4 of its weight
    score.add("lookup", 500.0, Outcome.DISCONNECTED, 10.0, 50.0)  # disconnected by its own choice
    overall, worst_window, worst_class = 154 / 210, 54 / 110, 0.4
    assert score.service() == pytest.approx(
        100 * (0.5 * overall + 0.15 * worst_window + 0.35 * worst_class)
    )
    assert score.document()["left_early"] == 1 and score.document()["requests"] == 201
