"""The broker's timeline."""

from __future__ import annotations

import pytest

from umberusher.deadlines.timeline import Timeline


def test_step_of_the_unix_clock_affects_only_times_from_outside():
    mono, unix = [100.0], [1_700_000_000.0]
    time = Timeline(lambda: mono[0], lambda: unix[0])
    before = time.now_ms()
    assert before == unix[0] * 1000
    for step in (10.0, -25.0):
        unix[0] += step
        assert time.now_ms() == before
        assert time.from_unix_ms(time.unix_ms()) == pytest.approx(before)
    mono[0], unix[0] = 101.0, unix[0] + 1.0
    assert time.now_ms() == pytest.approx(before + 1000) and time.drift_ms() == pytest.approx(
        -15_000
    )
