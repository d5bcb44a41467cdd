"""Tests that the checker reports each violated rule and allows the grace of a drain."""

from __future__ import annotations

from collections import Counter

import pytest

from umberusher.simulated_fleet.rule_checker import RuleChecker
from umberusher.simulated_fleet.update_history import EndpointEntry, EntryState, UpdateHistory

BROKER = "b0"
DRAIN_GRACE_MS = 250.0
NOTIFIED_MS = 1_000.0
SERVING = ("e", EntryState.SERVING)
DRAINING = ("e", EntryState.DRAINING)


def checker_after(*updates: tuple[str, EntryState]) -> RuleChecker:
    """Return a checker whose broker has been notified of some updates."""
    history = UpdateHistory()
    for engine, state in updates:
        history.add([EndpointEntry(engine, state, "z0", "k")], 0.0)
    checker = RuleChecker(history, DRAIN_GRACE_MS)
    checker.notified(BROKER, history.revision, NOTIFIED_MS)
    return checker


@pytest.mark.parametrize(
    ("rule", "steps"),
    [
        ("two out", [("attempt_started", "r", "e"), ("attempt_started", "r", "e")]),
        (
            "unsafe repeat",
            [
                ("attempt_started", "r", "e"),
                ("attempt_ended", "r", False),
                ("attempt_started", "r", "e"),
            ],
        ),
        ("answered", [("request_closed", "r"), ("attempt_started", "r", "e")]),
        ("second answer", [("request_closed", "r"), ("request_closed", "r")]),
        ("order", [("attempt_started", "later", "e")]),
        ("drain", [("attempt_started", "r", "gone")]),
        ("drain", [("attempt_started", "r", "never")]),
    ],
)
def test_checker_reports_the_violated_rule(rule, steps):
    checker = checker_after(
        SERVING,
        ("gone", EntryState.SERVING),
        ("gone", EntryState.DRAINING),
        ("gone", EntryState.DELETED),
    )
    for request in ("r", "later"):
        checker.request_received(BROKER, request, True, "key")
    for name, *values in steps:
        times = [2_000.0] if name == "attempt_started" else []
        getattr(checker, name)(BROKER, *values, *times)
    assert checker.violations == Counter({rule: 1})
    assert checker.descriptions[0].startswith(rule)


def test_checker_counts_but_allows_attempts_within_the_grace_of_a_drain():
    checker = checker_after(SERVING, DRAINING)
    checker.request_received(BROKER, "r", False, None)
    checker.attempt_started(BROKER, "r", "e", NOTIFIED_MS + DRAIN_GRACE_MS - 1.0)
    checker.attempt_ended(BROKER, "r", True)
    checker.attempt_started(BROKER, "r", "e", NOTIFIED_MS + DRAIN_GRACE_MS + 1.0)
    assert checker.attempts_to_closed == 2
    assert checker.violations == Counter({"drain": 1})
