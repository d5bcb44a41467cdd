"""Guards against a checker that misses a breach, or that reports what is allowed.

Each test passes it a short sequence of events, written by hand.
"""

from __future__ import annotations

import pytest

from umberusher.checker.checker import Checker
from umberusher.checker.counts import Count
from umberusher.checker.events import Outcome
from umberusher.checker.settings import RuleSettings

RULES = RuleSettings(frozenset({"load"}), frozenset({"load"}))


def check_events(*events) -> Checker:
    checker = Checker(RULES)
    for event in events:
        checker.feed(*event)
    checker.finish(events[-1][0] + 1_000)
    return checker


REQUEST_SENT = (0, "ask", "b0", "r1", "load", "k", 9000, "0")


@pytest.mark.parametrize(
    "rule, events",
    [
        ("answered once", [REQUEST_SENT]),
        ("answered once", [REQUEST_SENT, (5, "lost", "b0", "r1")]),
        ("answered once", [REQUEST_SENT, (9500, "answer", "b0", "r1", "failed", "", "")]),
        (
            "served what an engine made",
            [REQUEST_SENT, (5, "answer", "b0", "r1", "served", "d", "")],
        ),
        (
            "unsafe work once",
            [
                REQUEST_SENT,
                (1, "req", "n", 1, "r1", "load", 9),
                (2, "gone", "n", 1),
                (3, "answer", "b0", "r1", "refused", "", ""),
            ],
        ),
        (
            "one attempt at a time",
            [
                REQUEST_SENT,
                (1, "req", "n", 1, "r1", "load", 9),
                (9, "req", "m", 1, "r1", "load", 9),
            ],
        ),
        (
            "nothing after the end",
            [REQUEST_SENT, (1, "left", "b0", "r1", "left"), (80, "req", "n", 1, "r1", "load", 9)],
        ),
        ("known requests", [(1, "req", "n", 1, "r9", "load", 9)]),
        (
            "key order",
            [
                REQUEST_SENT,
                (1, "ask", "b0", "r2", "load", "k", 9000, "0"),
                (2, "req", "n", 1, "r2", "load", 9),
            ],
        ),
        (
            "key order",
            [
                REQUEST_SENT,
                (1, "req", "n", 1, "r1", "load", 9),
                (2, "gone", "n", 1),
                (2, "answer", "b0", "r1", "failed", "", ""),
                (3, "ask", "b0", "r2", "load", "k", 9000, "0"),
                (300, "req", "n", 2, "r2", "load", 9),
            ],
        ),
        (
            "drains",
            [
                REQUEST_SENT,
                (1, "told", "b0", "n", "DRAINING"),
                (400, "req", "n", 1, "r1", "load", 9),
            ],
        ),
        (
            "ration",
            [
                (0, "ask", "b0", "r", "lookup", "", 9000, "0"),
                *[
                    event
                    for number in range(9)
                    for event in (
                        (number, "req", "n", number, "r", "lookup", 9),
                        (number, "reply", "n", number, "r", "SHED", 0, ""),
                    )
                ],
            ],
        ),
    ],
)
def test_checker_finds_breach_of_each_rule(rule, events):
    assert rule in check_events(*events).breaches.counts


def test_checker_finds_no_breach_when_suspicion_clears_up_within_slack():
    checker = check_events(
        REQUEST_SENT,
        (1, "req", "n", 1, "r1", "load", 9),
        (2, "req", "m", 1, "r1", "load", 9),
        (3, "reply", "n", 1, "r1", "SHED", 0, ""),
        (9, "reply", "m", 1, "r1", "HIT", 1, "d"),
        (10, "answer", "b0", "r1", "served", "d", ""),
    )
    assert not checker.breaches.counts and checker.counts[Outcome.SERVED] == 1


def test_checker_does_not_check_time_of_sending_when_engine_reads_slowly():
    read_after_end = check_events(
        REQUEST_SENT,
        (1, "left", "b0", "r1", "left"),
        (900, "dripped", "n", 1, "r1", "load", 9),
        (901, "stop", "n", 1, "r1"),
        (902, "ask", "b0", "r2", "load", "k", 9000, "0"),
        (903, "req", "m", 1, "r2", "load", 9),
        (950, "reply", "m", 1, "r2", "HIT", 1, "d"),
        (951, "answer", "b0", "r2", "served", "d", ""),
    )
    assert not read_after_end.breaches.counts and read_after_end.counts[Count.READ_AFTER_END] == 1
    run_twice = check_events(
        REQUEST_SENT,
        (1, "dripped", "n", 1, "r1", "load", 9),
        (2, "begun", "n", "r1"),
        (3, "req", "m", 1, "r1", "load", 9),
        (4, "begun", "m", "r1"),
    )
    assert (
        "unsafe work once" in run_twice.breaches.counts
    )  # an engine reports its work however slowly it reads


def test_checker_removes_requests_some_time_after_their_end():
    checker = Checker(RULES)
    for number in range(5_000):
        at_ms = number * 10.0
        checker.feed(at_ms, "ask", "b0", f"r{number}", "load", f"k{number}", 900, "0")
        checker.feed(at_ms + 1, "req", "n", 1, f"r{number}", "load", 9)
        checker.feed(at_ms + 2, "reply", "n", 1, f"r{number}", "HIT", 1, "d")
        checker.feed(at_ms + 3, "answer", "b0", f"r{number}", "served", "d", "")
    assert (
        not checker.breaches.counts
        and len(checker.requests.by_id) < 300
        and not checker.key_order.queues
        and len(checker.key_order.cool_downs) < 10
    )
