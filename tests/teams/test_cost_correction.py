"""Tests of the corrections of estimated costs.

They guard against charging teams for a slowdown that affects all of them, and against a team that
gains work by estimating too low.
"""

from __future__ import annotations

import pytest

from umberusher.teams.cost_correction import MIN_OBSERVATIONS, CostCorrections


def test_common_slowdown_is_charged_to_no_team_and_a_low_estimate_is_corrected():
    costs = CostCorrections()
    for _ in range(200):
        costs.observe("honest", "lookup", 100.0, 300.0)  # the whole fleet is overloaded
        costs.observe("low", "lookup", 10.0, 300.0)
        charged = costs.observe("third", "lookup", 100.0, 300.0)
    assert charged == pytest.approx(100.0, rel=0.05)
    assert costs.factor("honest", "lookup") == pytest.approx(1.0, rel=0.05)
    assert costs.factor("low", "lookup") == pytest.approx(10.0, rel=0.05)
    assert costs.factor("low", "report") == 1.0
    two_teams = CostCorrections()
    for _ in range(50):
        two_teams.observe("honest", "lookup", 100.0, 100.0)
        two_teams.observe("low", "lookup", 10.0, 100.0)
    assert (
        two_teams.factor("honest", "lookup") == pytest.approx(1.0, rel=0.05)
        and two_teams.factor("low", "lookup") > 9
    )


def test_number_of_ratios_is_bounded_and_a_successor_restores_them():
    costs = CostCorrections()
    for number in range(3_000):
        costs.observe(f"t{number}", "lookup", 1.0, 1.0)
    assert len(costs.norms["lookup"].ratios) <= 256
    successor = CostCorrections()
    for _ in range(MIN_OBSERVATIONS):
        costs.observe("a", "lookup", 1.0, 7.0)
    successor.restore(costs.state())
    assert successor.factor("a", "lookup") == costs.factor("a", "lookup")
