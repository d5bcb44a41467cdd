"""Tests the wall-clock part with one real broker: no change or statement is lost, no process stays."""

from __future__ import annotations

import multiprocessing

from tests.scale.small_runs import small_plan
from umberusher.scale.plan import RealBrokersPlan
from umberusher.scale.real_brokers import play_real


def test_play_real_applies_all_changes_while_statements_are_served():
    real = RealBrokersPlan(
        brokers=1,
        engines=20,
        duration_s=1.5,
        changes_per_s=4.0,
        burst_entries=10,
        statements_per_s=20.0,
    )
    metrics = play_real(small_plan(), real)
    assert metrics["real brokers ready"]["value"] == 1
    for phase in ("ordinary changes", "a lump", "statements and a lump"):
        assert metrics[f"{phase}: not in force after 5 s"]["value"] == 0
    assert metrics["statements alone: statements served"] == metrics["statements alone: statements"]
    assert metrics["ordinary changes: a real broker's control bytes"]["value"] > 0
    assert not multiprocessing.active_children()
