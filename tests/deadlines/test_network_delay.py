"""Estimates of the network delay."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from umberusher.deadlines.network_delay import (
    DELAY_MARGIN_MS,
    MAX_CONNECTION_DELAY_MS,
    UNKNOWN_DELAY_MS,
    ConnectionDelay,
    NetworkDelays,
    WindowedMin,
)


@settings(max_examples=100, deadline=None, derandomize=True)
@given(st.lists(st.tuples(st.floats(0, 12_000), st.floats(0, 100)), min_size=1, max_size=60))
def test_the_windowed_minimum_is_a_sample_of_the_window_and_near_its_least(samples):
    now, seen, found = 0.0, [], None
    for gap, value in samples:
        now += gap
        seen.append((now, value))
        if found is None:
            found = WindowedMin(30_000.0, now, value)
        else:
            found.add(now, value)
        window = [v for at, v in seen if now - at <= 30_000.0]
        recent = [v for at, v in seen if now - at <= 7_500.0]
        assert found.value in window and min(window) <= found.value <= max(min(recent), min(window))


def test_network_delay_is_bounded_per_engine_and_per_connection():
    delays = NetworkDelays()
    assert delays.allowance_ms("a") == UNKNOWN_DELAY_MS + DELAY_MARGIN_MS
    for at, round_trip_ms in enumerate((9.0, 3.0, 40.0, -1.0, 99_999.0)):
        delays.observe("a", at, round_trip_ms)
    assert delays.allowance_ms("a") == 3.0 + DELAY_MARGIN_MS
    for number in range(9_000):
        delays.observe(f"e{number}", 0.0, 1.0)
    assert 1_024 <= len(delays.engines) <= 4_096
    connection = ConnectionDelay()
    assert connection.delay_ms(0.0) == 0.0
    connection.probe_sent(0.0)
    assert (
        connection.delay_ms(80.0) == 80.0
        and connection.delay_ms(9_000.0) == MAX_CONNECTION_DELAY_MS
    )
    connection.probe_answered(90.0, 90.0)
    assert connection.delay_ms(500.0) == 90.0 and connection.delay_ms(5_100.0) == 0.0
