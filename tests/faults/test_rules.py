"""The rule checker sees each broken rule, and none where the terms allow what happened."""

from __future__ import annotations

import pytest

from tests.faults.announcements import Announcements
from tests.faults.rules import EngineRun, RuleChecker, SentRequest, StateChange

GRACE_S = 0.25


@pytest.fixture
def checker():
    announcements = Announcements()
    announcements.change(1, 10.0)
    made = RuleChecker(announcements, GRACE_S)
    made.changes.append(StateChange(1, "s-0", is_open=False))
    return made


def rules(checker: RuleChecker) -> list[str]:
    return [breach.rule for breach in checker.breaches()]


@pytest.mark.parametrize(("first_s", "expected"), [(17.29, []), (17.31, ["drain"])])
def test_attempt_after_the_grace_breaks_the_rule_on_drains(checker, first_s, expected):
    checker.runs.append(EngineRun("s-0", "a", first_s, 1.0))
    assert rules(checker) == expected


def test_attempt_at_an_engine_that_has_returned_is_allowed(checker):
    checker._announcements.change(2, 17.0)
    checker.changes.append(StateChange(2, "s-0", is_open=True))
    checker.runs.append(EngineRun("s-0", "a", 17.5, 1.0))
    assert rules(checker) == []


@pytest.mark.parametrize(
    ("fields", "expected"),
    [
        ({"answers": [(21.0, "served")]}, []),
        ({"answers": [(22.6, "served")]}, ["lost"]),
        ({"answers": [(21.0, "served"), (21.1, "served")]}, ["lost"]),
        ({}, ["lost"]),
        ({"closed_s": 20.04}, []),
        ({"closed_s": 20.04, "is_first": True}, ["lost"]),
        ({"closed_s": 20.06}, ["lost"]),
        ({"left_s": 20.5}, []),
        ({"may_be_cut": True}, []),
    ],
)
def test_request_without_its_answer_is_lost(checker, fields, expected):
    checker.requests["a"] = SentRequest("a", "lookup", 20.0, 2.0, **fields)
    assert rules(checker) == expected


def test_attempt_after_its_client_has_left_breaks_the_rule(checker):
    checker.requests["a"] = SentRequest("a", "lookup", 20.0, 2.0, left_s=20.5)
    checker.runs += [EngineRun("s-1", "a", 20.59, 1.0), EngineRun("s-1", "a", 20.61, 1.0)]
    assert rules(checker) == ["gone"]


def test_limit_longer_than_what_the_client_has_left_breaks_the_rule(checker):
    answers = [(21.0, "served")]
    checker.requests["a"] = SentRequest("a", "lookup", 20.0, 2.0, answers=answers)
    checker.runs += [EngineRun("s-1", "a", 20.5, 1.64), EngineRun("s-1", "a", 20.5, 1.66)]
    assert rules(checker) == ["ttl"]


def test_load_that_begins_twice_breaks_the_rule(checker):
    answers = [(21.0, "served")]
    checker.requests["a"] = SentRequest("a", "load", 20.0, 2.0, answers=answers)
    checker.runs += [EngineRun("s-1", "a", 20.1, 1.0), EngineRun("s-2", "a", 20.2, 1.0)]
    assert rules(checker) == ["duplicate"]
