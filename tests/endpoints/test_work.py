"""The cost of a broker's endpoint list, measured in executed lines.

Guards against work per request or per change that grows with the length of the list. The count is
the same on every machine, and each iteration of a loop adds its lines.
"""

from __future__ import annotations

import sys
from collections.abc import Callable

import pytest

from tests.endpoints.harness import EndpointHarness, endpoint_update, fleet_settings
from umberusher.decisions.events import EndpointState, RequestArrived


def count_executed_lines(action: Callable[[], None]) -> int:
    """Return the number of lines of this project that an action executes."""
    count = 0

    def trace(frame, event, arg):
        nonlocal count
        if "umberusher" not in frame.f_globals.get("__name__", ""):
            return None
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        action()
    finally:
        sys.settrace(before)
    return count


def make_harness(engines: int) -> EndpointHarness:
    harness = EndpointHarness(fleet_settings(2100, 7))
    harness.apply(map(endpoint_update, range(engines)), complete=True)
    return harness


@pytest.fixture(scope="module")
def small() -> EndpointHarness:
    return make_harness(1000)


@pytest.fixture(scope="module")
def large() -> EndpointHarness:
    return make_harness(32_000)


def handle_requests(harness: EndpointHarness) -> Callable[[], None]:
    """Return an action that handles forty arrivals of requests, 0.16 ms apart."""

    def action() -> None:
        for number in range(40):
            harness.now += 0.16
            harness.balancer.handle(
                harness.now,
                RequestArrived(f"r{harness.revision}-{number}", "lookup", harness.now + 2500),
            )

    return action


def test_request_runs_nearly_as_many_lines_with_32000_engines_as_with_1000(small, large):
    """At 70bc7e5 an arrival took 143 us with 1,000 listed, 1,713 us with 16,000, 4,106 us with 32,000."""
    assert count_executed_lines(handle_requests(large)) <= 1.3 * count_executed_lines(
        handle_requests(small)
    )


def change_entries(harness: EndpointHarness) -> Callable[[], None]:
    """Return an action in which forty engines drain and come up again in single events."""

    def action() -> None:
        for number in range(40):
            for state in (EndpointState.DRAINING, EndpointState.UP):
                harness.apply([endpoint_update(number * 23, state)])

    return action


def test_change_of_one_entry_runs_at_most_twice_as_many_lines_with_32000_engines(small, large):
    """At 70bc7e5 a change took 0.24 ms with 1,000 listed engines, and 14.9 ms with 32,000."""
    assert count_executed_lines(change_entries(large)) <= 2 * count_executed_lines(
        change_entries(small)
    )


def test_first_list_runs_lines_in_proportion_to_its_length():
    """At 70bc7e5 a first list of 4,000 engines took 0.09 s, and one of 16,000 took 3 s.

    Above 4,096 ids, each id caused a scan of all of them.
    """

    def first(engines: int) -> int:
        return count_executed_lines(lambda: make_harness(engines))

    assert first(16_000) <= 1.2 * 4 * first(4000)


def test_added_and_removed_ids_run_at_most_twice_as_many_lines_above_the_removed_ids_limit(
    small, large
):
    def add_and_remove_ids(harness: EndpointHarness, first: int) -> int:
        return count_executed_lines(
            lambda: [
                harness.apply(
                    [endpoint_update(first + n), endpoint_update(first + n, EndpointState.REMOVED)]
                )
                for n in range(50)
            ]
        )

    lines_below_limit = add_and_remove_ids(small, 40_000)
    for number in range(5000):
        large.apply(
            [
                endpoint_update(41_000 + number),
                endpoint_update(41_000 + number, EndpointState.REMOVED),
            ]
        )
    assert add_and_remove_ids(large, 50_000) <= 2 * lines_below_limit
