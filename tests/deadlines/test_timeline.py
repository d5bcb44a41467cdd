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


@pytest.mark.parametrize("step_s", [-3600.0, -7.0, 7.0, 3600.0])
@pytest.mark.parametrize("is_stepped_elsewhere", [False, True])
def test_engine_that_has_just_started_looks_just_started_after_a_step_of_the_clock(
    step_s, is_stepped_elsewhere
):
    """After a step ahead by an hour a cold engine looked warm, and was sent its full share."""
    mono, unix = [100.0], [1_700_000_000.0]
    time = Timeline(lambda: mono[0], lambda: unix[0])
    mono[0] += 50.0
    unix[0] += 50.0 + step_s
    started_unix_ms = unix[0] * 1000
    if not is_stepped_elsewhere:
        started_unix_ms -= step_s * 1000
    assert time.from_unix_ms(started_unix_ms) == pytest.approx(time.now_ms(), rel=0, abs=1.0)


def test_engine_that_started_long_ago_looks_warm_while_the_clock_has_not_been_stepped():
    mono, unix = [100.0], [1_700_000_000.0]
    time = Timeline(lambda: mono[0], lambda: unix[0])
    assert time.from_unix_ms(1_699_999_000_000.0) == pytest.approx(
        time.now_ms() - 1_000_000, rel=0, abs=1.0
    )
