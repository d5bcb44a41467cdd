"""The table by which a change of the endpoint list counts as announced."""

from __future__ import annotations

import pytest

from tests.faults.announcements import Announcements


def polled(service_delay_s: float = 0.0) -> Announcements:
    """Return a watch that was asked for 2 s at 10 s, and a change 0.5 s later."""
    announcements = Announcements(service_delay_s)
    announcements.poll("watch", 0, 2.0, 10.0)
    announcements.read("watch", 10.0)
    announcements.change(1, 10.5)
    return announcements


def test_change_counts_with_its_answer():
    announcements = polled()
    announcements.answer("watch", 1, 10.7)
    assert announcements.announced_at_s(1) == 10.7


@pytest.mark.parametrize("service_delay_s", [0.0, 1.6])
def test_change_counts_at_once_when_the_watch_is_asked_anew(service_delay_s):
    announcements = polled(service_delay_s)
    announcements.poll("other", 0, 0.02, 11.0)
    announcements.read("other", 11.0)
    assert announcements.announced_at_s(1) == 11.0 + service_delay_s


def test_change_does_not_count_when_the_poll_asks_for_later_ones():
    announcements = polled()
    announcements.poll("other", 1, 0.02, 11.0)
    announcements.read("other", 11.0)
    assert announcements.announced_at_s(1) == 17.5


def test_change_counts_2_s_after_a_break():
    announcements = polled()
    announcements.break_off("watch", 11.0)
    assert announcements.announced_at_s(1) == 13.0


def test_change_counts_2_s_after_the_wait_when_the_watch_stops():
    announcements = polled()
    announcements.stop("watch")
    announcements.change(2, 13.9)
    announcements.change(3, 14.1)
    assert [announcements.announced_at_s(revision) for revision in (1, 2, 3)] == [14.0, 14.0, 21.1]


def test_stop_does_not_count_once_the_broker_has_ended_the_watch():
    announcements = polled()
    announcements.stop("watch")
    announcements.close("watch", 13.9)
    assert announcements.announced_at_s(1) == 17.5


def test_stop_counts_when_the_broker_ends_the_watch_too_late():
    announcements = polled()
    announcements.stop("watch")
    announcements.close("watch", 14.1)
    assert announcements.announced_at_s(1) == 14.0


def test_change_counts_4_s_after_another_address():
    announcements = polled()
    announcements.reload(11.0)
    assert announcements.announced_at_s(1) == 15.0


def test_stop_of_an_earlier_watch_does_not_count_for_changes_after_a_poll_of_another_one():
    announcements = polled()
    announcements.stop("watch")
    announcements.break_off("watch", 11.0)
    announcements.poll("other", 0, 2.0, 11.0)
    announcements.read("other", 11.0)
    announcements.change(2, 11.5)
    announcements.stop("other")
    assert [announcements.announced_at_s(revision) for revision in (1, 2)] == [11.0, 15.0]
