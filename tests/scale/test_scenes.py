"""Tests each scene at a small size: all changes come into force and no rule is violated."""

from __future__ import annotations

import pytest

from tests.scale.small_runs import BROKERS, ENGINES, play_here, play_one, scene, small_plan
from umberusher.decisions.events import AttemptOutcome, EndpointState
from umberusher.endpoints.registry import EndpointRegistry
from umberusher.protocol.discovery import WatchEvent
from umberusher.scale.figures import digest
from umberusher.scale.plan import ScenePlan
from umberusher.scale.scene_counts import SceneCounts
from umberusher.scale.scene_figures import scene_metrics

# A change must be in force at the last broker within this time.
CHANGE_LIMIT_US = 14_000_000


def assert_no_rule_violations(counts: SceneCounts) -> None:
    """Check the conditions that hold after every scene."""
    assert not counts.violations, counts.descriptions
    assert not counts.behind
    assert not counts.list_differs
    assert not counts.overdue
    assert not counts.attempts_to_closed
    assert not counts.not_ready
    assert counts.outcomes["served"]


def test_same_seed_gives_the_same_metrics_with_one_worker_and_with_two():
    kinds = (
        "ordinary",
        "zone_lost",
        "region_start",
        "control_lost",
        "regions_apart",
        "primary_change",
        "hail",
    )
    scenes = [scene(kind) for kind in kinds]

    def played_digest(workers: int, seed: int = 1) -> str:
        counts = play_here(small_plan(*scenes, seed=seed), workers)
        return digest({name: scene_metrics(each) for name, each in counts.items()})

    assert played_digest(1) == played_digest(1) == played_digest(2) != played_digest(1, seed=2)


def test_ordinary_changes_are_in_force_at_every_broker_in_time():
    counts = play_one("ordinary")
    assert_no_rule_violations(counts)
    # 2 a second for 9 s.
    assert len(counts.slowest_us) == 18
    assert set(counts.brokers_applied.values()) == {BROKERS}
    assert max(counts.slowest_us.values()) <= 800_000 + 1000


@pytest.mark.parametrize("kind", ["lumps", "hail", "ids", "twice", "nothing"])
def test_state_of_brokers_stays_bounded_whatever_the_list_names(kind):
    counts = play_one(kind, **({"changes": 100.0} if kind == "hail" else {}))
    assert_no_rule_violations(counts)
    assert max(counts.slowest_us.values()) <= CHANGE_LIMIT_US
    assert set(counts.brokers_applied.values()) == {BROKERS}
    largest = counts.largest_state_counts
    assert largest["listed"] <= ENGINES + 1
    assert largest["engines of the module"] <= ENGINES + 1
    assert largest["statements"] <= 40
    assert largest["attempts"] <= 40
    assert largest["lines of keys"] <= 64
    # No broker polls in a loop.
    requests = sum(traffic.requests for traffic in counts.machine_traffic.values())
    assert requests < BROKERS * 20 * (110 if kind == "hail" else 6)


def test_empty_list_leaves_no_engine_to_send_to_and_the_next_list_restores_all():
    counts = play_one("nothing")
    assert_no_rule_violations(counts)
    known = [counts.known_to_brokers[number] for number in counts.serving_engines]
    assert known == [BROKERS] * ENGINES


def test_lost_zone_affects_only_statements_in_flight_and_its_engines_return():
    counts = play_one("zone_lost", zone=3.0)
    assert_no_rule_violations(counts)
    no_connection = counts.attempt_outcomes[AttemptOutcome.NO_CONNECTION.value]
    cancelled = counts.attempt_outcomes[AttemptOutcome.CANCELLED.value]
    assert no_connection + cancelled > 0
    assert len(counts.serving_engines) == ENGINES
    assert counts.outcomes["served"] > 0.9 * sum(counts.outcomes.values())


def test_restarted_brokers_of_a_region_are_ready_in_time():
    counts = play_one("region_start")
    assert_no_rule_violations(counts)
    # Brokers 0 and 3, of zones 0 and 3.
    assert len(counts.ready_us) == 2
    assert max(counts.ready_us) < 10_000_000


@pytest.mark.parametrize(
    ("machines", "own_addresses", "not_notified"), [(1, 0, 0), (3, 0, 0), (6, 0, 6), (3, 1, 4)]
)
def test_control_loss_stops_updates_only_where_no_machine_remains(
    machines, own_addresses, not_notified
):
    """There are six machines, two in each region; the first three are in different regions."""
    lost = scene(
        "control_lost", machines=machines, own_addresses=own_addresses, played=12.0, lasts=30.0
    )
    counts = play_here(small_plan(lost, control_machines=6))["control_lost"]
    assert_no_rule_violations(counts)
    assert counts.not_notified == not_notified
    assert set(counts.brokers_applied.values()) == {BROKERS}
    if own_addresses:  # changes made meanwhile wait for the machine
        assert max(counts.slowest_us.values()) > 10_000_000
    else:
        assert max(counts.slowest_us.values()) <= CHANGE_LIMIT_US


def test_repeated_control_loss_selects_machines_that_have_brokers():
    """A machine that was lost has no brokers afterwards, since long polls do not move back to it."""
    fields = scene("control_lost", played=12.0, lasts=30.0, machines=3.0).fields
    scenes = [
        ScenePlan("control_lost", name, fields | {"own_addresses": float(own_addresses)})
        for own_addresses, name in enumerate(("first", "second"))
    ]
    counts = play_here(small_plan(*scenes, control_machines=6))
    assert counts["first"].not_notified == 0
    assert counts["second"].not_notified == 6


def test_partitioned_regions_receive_all_changes_after_reconnecting():
    counts = play_one("regions_apart")
    assert_no_rule_violations(counts)
    assert counts.not_notified == 4
    assert max(counts.slowest_us.values()) <= CHANGE_LIMIT_US
    assert set(counts.brokers_applied.values()) == {BROKERS}
    assert len(counts.slowest_us) > 100


def test_primary_change_finishes_in_time_and_keyed_statements_are_served():
    counts = play_one("primary_change", lasts=30.0)
    assert_no_rule_violations(counts)
    assert len(counts.switchover_us) == BROKERS
    assert not counts.not_switched_over
    assert max(counts.switchover_us) <= 9_000_000
    assert not counts.outcomes["failed"]
    assert not counts.outcomes["expired"]


def test_zone_lost_breaks_the_drain_rule_when_the_list_ignores_drains(monkeypatch):
    apply = EndpointRegistry.apply

    def apply_open_entries(self: EndpointRegistry, update: WatchEvent) -> None:
        up_entries = tuple(entry for entry in update.entries if entry.state is EndpointState.UP)
        apply(self, WatchEvent(update.revision, update.complete, up_entries, update.addresses))

    monkeypatch.setattr(EndpointRegistry, "apply", apply_open_entries)
    counts = play_one("zone_lost", zone=3.0)
    assert counts.violations["drain"]
    assert counts.attempts_to_closed
    assert counts.list_differs
