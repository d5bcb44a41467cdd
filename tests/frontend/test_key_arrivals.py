"""The record of the latest arrival of each order key."""

from __future__ import annotations

import pytest

from umberusher.frontend.key_arrivals import KeyArrivals


@pytest.mark.parametrize(
    ("after_s", "by_s", "client", "admitted"),
    [
        (9.0, 11.0, "b", False),  # may have arrived a second before the other
        (9.0, 11.0, "a", True),  # a connection keeps the order of its own calls
        (9.96, 11.0, "b", True),  # closer than clients write requests of one key
        (10.2, 10.2, "b", True),
    ],
)
def test_key_arrivals_admit_call_unless_it_may_precede_the_latest(after_s, by_s, client, admitted):
    arrivals = KeyArrivals()
    assert arrivals.admits("k", "a", 10.0, 10.0)
    assert arrivals.admits("k", client, after_s, by_s) is admitted


def test_key_arrivals_keep_the_latest_time_of_a_key():
    arrivals = KeyArrivals()
    assert arrivals.admits("k", "a", 10.0, 10.0)
    assert arrivals.admits("k", "a", 5.0, 6.0)
    assert not arrivals.admits("k", "b", 9.0, 11.0)


def test_key_arrivals_forget_old_keys():
    arrivals = KeyArrivals()
    for number in range(100):
        arrivals.admits(f"k{number}", "a", number, number)
    arrivals.forget_before(90.0)
    assert len(arrivals) == 10


def test_frontend_forgets_arrivals_after_a_second(rig):
    rig = rig()
    rig.send_request(rig.client(), "load", obj="k", budget="20000")
    assert len(rig.broker.frontend.key_arrivals) == 1
    rig.advance_ms(1500)
    assert not len(rig.broker.frontend.key_arrivals)
