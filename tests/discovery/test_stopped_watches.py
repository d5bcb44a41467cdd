"""Watches that stop while they stay open, under a list that changes often.

The terms count a change as announced 2 s after the wait that the stopped watch was asked for.
"""

from __future__ import annotations

import errno
from collections.abc import Callable

import pytest

from tests.discovery.faulty_discovery import FaultyDiscovery
from umberusher.net.ring import RingBuffer

# Engines may still be sent new work for a grace of a tenth of a second and more.
MAX_LATENESS_S = 0.1
STOPS = 5


@pytest.fixture
def faulty():
    made = []

    def make(max_delay_s: float = 0.0) -> FaultyDiscovery:
        made.append(FaultyDiscovery(max_delay_s))
        made[-1].client.start()
        return made[-1]

    yield make
    for each in made:
        each.close()


def run_with_changes(
    service: FaultyDiscovery, seconds: float, interval_s: float, between: Callable[[], None]
) -> None:
    """Change the list at an interval, and call ``between`` halfway from one change to the next."""
    end_s = service.now + seconds
    while service.now < end_s:
        service.run(interval_s / 2)
        between()
        service.run(interval_s / 2)
        service.change()


@pytest.mark.parametrize("interval_s", [0.4, 0.9, 1.9, 6.0, 30.0])
def test_client_notices_each_of_several_stopped_watches_in_time_whatever_the_list_changes(
    faulty, interval_s
):
    """Only an answer without changes brought the time allowed for an answer back down."""
    service = faulty()
    service.run(3.0)
    for _ in range(STOPS):
        run_with_changes(service, 2.0, interval_s, lambda: None)
        service.stop_watches()
        run_with_changes(service, 7.0, interval_s, lambda: None)
    assert service.lateness_s() <= MAX_LATENESS_S


def test_client_notices_stopped_watches_in_time_after_a_slow_time(faulty):
    service = faulty()
    service.delay_s = 3.0
    service.run(20.0)
    service.delay_s = 0.0
    run_with_changes(service, 5.0, 0.9, lambda: None)
    changes_before = len(service.applied_at_s)
    service.stop_watches()
    run_with_changes(service, 9.0, 0.9, lambda: None)
    late_s = [
        applied_at_s - service.announcements.announced_at_s(revision)
        for revision, applied_at_s in service.applied_at_s.items()
        if revision > changes_before
    ]
    assert late_s and max(late_s) <= MAX_LATENESS_S


@pytest.mark.parametrize("max_delay_s", [0.6, 1.6, 2.5, 4.0])
def test_client_hears_each_change_in_time_when_answers_are_late_by_turns(faulty, max_delay_s):
    """A poll that was given up at its time took the late answer with it."""
    service = faulty(max_delay_s)
    delays_s = [0.0, max_delay_s, max_delay_s / 2, 0.0, 0.0, max_delay_s]

    def turn() -> None:
        delays_s.append(delays_s.pop(0))
        service.delay_s = delays_s[0]

    run_with_changes(service, 60.0, 0.9, turn)
    service.run(8.0)
    assert service.lateness_s() <= MAX_LATENESS_S


def test_client_hears_each_change_in_time_when_watches_break(faulty):
    service = faulty()
    run_with_changes(service, 30.0, 0.9, service.break_watches)
    service.run(8.0)
    assert service.lateness_s() <= MAX_LATENESS_S


@pytest.mark.parametrize("failing_write", [1, 2, 3])
def test_client_goes_on_when_the_connection_breaks_while_a_poll_is_written(
    faulty, monkeypatch, failing_write
):
    """The retry was cancelled by the wait for the answer to a poll that could not be written."""
    service = faulty()
    write_through = RingBuffer.write_through
    writes = []

    def failing_write_through(ring, sock, data):
        writes.append(data)
        if len(writes) == failing_write:
            raise ConnectionResetError(errno.ECONNRESET, "reset")
        return write_through(ring, sock, data)

    monkeypatch.setattr(RingBuffer, "write_through", failing_write_through)
    run_with_changes(service, 10.0, 0.9, lambda: None)
    service.run(1.0)
    assert len(writes) > failing_write and service.lateness_s() <= MAX_LATENESS_S
