"""Tests of the subset of the endpoint list that a broker uses.

Guards against engines that too few brokers use, against requests and changes whose cost grows with
the length of the list, and against changes that replace more of the subset than they need to.
"""

from __future__ import annotations

from collections import Counter

import pytest

from tests.decisions.bench import keyed
from tests.endpoints.harness import (
    LOOKUP,
    EndpointHarness,
    brokers_by_engine,
    endpoint_update,
    fleet_settings,
)
from umberusher.decisions.actions import StartAttempt
from umberusher.decisions.balancer import LoadBalancer
from umberusher.decisions.events import AttemptEnded, AttemptOutcome, EndpointState, RequestArrived
from umberusher.decisions.settings import DeduplicationScope, Idempotency, QueryClass
from umberusher.endpoints import subset_ring
from umberusher.endpoints.manual_drains import MAX_REMOVED_IDS
from umberusher.endpoints.subset import (
    MAX_TEMPORARY_MEMBERS,
    MIN_COMPANIONS,
    MIN_ENGINES_PER_CONSTRAINT,
    MIN_UP_FRACTION,
    EndpointSubset,
    endpoint_constraints,
)
from umberusher.endpoints.subset_ring import MIN_BROKERS_PER_ENGINE, SLICES, SUBSET_SIZE, SubsetRing


@pytest.mark.parametrize("brokers", [1, 2, 8, 200])
def test_subset_covers_a_small_fleet_for_all_brokers(brokers):
    harness = EndpointHarness(fleet_settings(brokers, brokers - 1))
    harness.apply(map(endpoint_update, range(200)), complete=True)
    assert len(harness.known_engines()) == 200 and harness.registry.subset.covers_all
    assert {engine.broker_count for engine in harness.balancer.engines.values()} == {brokers}


def test_subsets_of_few_brokers_cover_every_engine():
    harnesses = [EndpointHarness(fleet_settings(4, n)) for n in range(4)]
    for harness in harnesses:
        harness.apply(map(endpoint_update, range(1000)), complete=True)
        assert len(harness.known_engines()) == 1000
    assert min(brokers_by_engine(20, 1000).values()) >= MIN_BROKERS_PER_ENGINE - 1


class DrawCountingBalancer(LoadBalancer):
    """Counts the random numbers that the decisions draw: one for each compared engine."""

    draws = 0

    def __init__(self, *args) -> None:
        super().__init__(*args)
        draw = self.random.random

        def count_draw() -> float:
            self.draws += 1
            return draw()

        self.random.random = count_draw


@pytest.mark.parametrize("engines", [1000, 32_000])
def test_request_draws_for_the_subset_and_not_for_the_list(engines):
    """Without subsets each request drew a number for every engine: 4.1 ms with 32,000 listed."""
    harness = EndpointHarness(fleet_settings(2100, 7))
    harness.balancer = DrawCountingBalancer(fleet_settings(2100, 7), 1)
    harness.apply(map(endpoint_update, range(engines)), complete=True)
    harness.balancer.draws = 0
    for number in range(20):
        harness.now += 0.16
        harness.balancer.handle(
            harness.now, RequestArrived(f"r{number}", "lookup", harness.now + 2500)
        )
    assert harness.balancer.draws <= 20 * 2 * SUBSET_SIZE
    assert SUBSET_SIZE / 2 <= len(harness.balancer.up) <= 2 * SUBSET_SIZE


def count_work(monkeypatch) -> Counter[str]:
    """Count the membership updates of the subset and the hashes of ids from now on."""
    work: Counter[str] = Counter()
    update_membership, hash_bits = EndpointSubset._update_membership, subset_ring.hash_bits

    def count_update(self, *args):
        work["updated"] += 1
        return update_membership(self, *args)

    def count_hash(*args):
        work["hashed"] += 1
        return hash_bits(*args)

    monkeypatch.setattr(EndpointSubset, "_update_membership", count_update)
    monkeypatch.setattr(subset_ring, "hash_bits", count_hash)
    return work


@pytest.mark.parametrize("engines", [1000, 32_000])
def test_subset_updates_one_entry_when_one_entry_changes(engines, monkeypatch):
    """A change of one entry once took 14.9 ms with 32,000 listed engines, and 0.06 ms with 100."""
    harness = EndpointHarness(fleet_settings(2100, 7))
    harness.apply(map(endpoint_update, range(engines)), complete=True)
    work, published_before = count_work(monkeypatch), len(harness.events)
    states = [EndpointState.DRAINING, EndpointState.REMOVED, EndpointState.UP]
    for number in range(90):  # thirty engines drain, are removed and return
        harness.apply([endpoint_update(number // 3 * 7, states[number % 3])])
    assert work["updated"] <= 90 and work["hashed"] <= 90
    inside = sum(harness.registry.subset.in_subset)
    assert (
        len(harness.events) - published_before <= 90 * (inside / engines) * 3 + 12
    )  # the decisions are not notified of most changes
    assert all(len(event.entries) <= 1 for event in harness.events[published_before:])


def test_subset_updates_each_entry_once_on_a_first_list(monkeypatch):
    work = count_work(monkeypatch)
    for engines in (4000, 16_000):
        work.clear()
        harness = EndpointHarness(fleet_settings(2100, 7))
        harness.apply(map(endpoint_update, range(engines)), complete=True)
        assert work["hashed"] == engines and work["updated"] <= engines
        assert harness.registry.subset.full_scan_count <= 1 and not harness.registry.removed_ids
    for number in range(6000):  # removed ids cost no more above their limit than below it
        harness.apply(
            [
                endpoint_update(20_000 + number),
                endpoint_update(20_000 + number, EndpointState.REMOVED),
            ]
        )
    assert len(harness.registry.removed_ids) == MAX_REMOVED_IDS and work["updated"] <= 16_000


def test_subset_changes_little_when_an_engine_or_broker_is_added_or_removed():
    harnesses = [EndpointHarness(fleet_settings(512, n)) for n in range(64)]
    for harness in harnesses:
        harness.apply(map(endpoint_update, range(2000)), complete=True)
    before = [harness.known_engines() for harness in harnesses]
    for harness in harnesses:
        harness.apply([endpoint_update(17, EndpointState.REMOVED), endpoint_update(5000)])
    gained = sum(
        len(harness.known_engines() - old) for harness, old in zip(harnesses, before, strict=True)
    )
    lost = sum(
        len(old - harness.known_engines()) for harness, old in zip(harnesses, before, strict=True)
    )
    expected_users = len(harnesses) * SUBSET_SIZE / 2000
    assert 0 < gained <= 2 * expected_users and 0 < lost <= 2 * expected_users
    # Another fleet size changes a broker's subset only if each engine would have too few brokers.
    assert SubsetRing(512, 7, "").distance("e1") == SubsetRing(513, 7, "").distance("e1")
    assert SubsetRing(512, 7, "").width(2000, SLICES) == SubsetRing(600, 7, "").width(2000, SLICES)


def test_subset_refills_when_zones_are_removed_and_shrinks_when_they_return():
    harness = EndpointHarness(fleet_settings(2100, 11))
    harness.apply(map(endpoint_update, range(8000)), complete=True)
    initial_count = len(harness.balancer.up)
    harness.apply(
        [endpoint_update(n, EndpointState.REMOVED) for n in range(8000) if n % 8 in (1, 2)]
    )
    harness.check_decisions_match_subset()
    assert len(harness.balancer.up) > 0.85 * initial_count and all(
        e.zone not in ("z1", "z2") for e in harness.balancer.up
    )
    harness.apply([endpoint_update(n) for n in range(8000) if n % 8 in (1, 2)])
    harness.check_decisions_match_subset()
    assert abs(len(harness.balancer.up) - initial_count) < 0.15 * initial_count


def test_subset_spreads_over_zones_and_kinds():
    harness = EndpointHarness(fleet_settings(2100, 2099))
    harness.apply(map(endpoint_update, range(16_000)), complete=True)
    zones, kinds = (
        Counter(getattr(e, name) for e in harness.balancer.up) for name in ("zone", "kind")
    )
    assert (
        len(zones) == 8
        and min(zones.values()) > SUBSET_SIZE / 8 / 2.5
        and min(kinds.values()) > SUBSET_SIZE / 2 / 1.5
    )


def test_subset_includes_rare_engines_that_a_class_is_bound_to():
    """A subset would contain none of 5 engines in 8,000, and the class could never be served."""
    bound = QueryClass("bound", 500, 2500, 1, Idempotency.IDEMPOTENT, kinds=("rare",))
    harness = EndpointHarness(fleet_settings(2100, 5, LOOKUP, bound))
    harness.apply(
        [endpoint_update(n, kind="rare" if n < 5 else "std-8") for n in range(8000)], complete=True
    )
    rare = [e for e in harness.balancer.up if e.kind == "rare"]
    assert len(rare) == 5 <= MIN_ENGINES_PER_CONSTRAINT and {e.broker_count for e in rare} == {2100}
    assert {e.broker_count for e in harness.balancer.up if e.kind != "rare"} == {
        66.0
    }  # 16 of 512 slices, over 2,100 brokers
    actions = harness.balancer.handle(harness.now, RequestArrived("r", "bound", harness.now + 2500))
    sent = next(a for a in actions if isinstance(a, StartAttempt))
    assert sent.engine in {e.id for e in rare}
    harness.balancer.handle(
        harness.now,
        AttemptEnded("r", 0, sent.engine, AttemptOutcome.SUCCEEDED, 5.0, request_closed=True),
    )
    harness.apply([endpoint_update(n, EndpointState.REMOVED, kind="rare") for n in range(4)])
    harness.check_decisions_match_subset()


@pytest.mark.parametrize("scope", [DeduplicationScope.CELL, DeduplicationScope.ZONE])
def test_subset_adds_companions_for_a_retry_bound_to_a_cell_or_zone(scope):
    harness = EndpointHarness(fleet_settings(2100, 5, keyed(scope)))
    zone = {} if scope is DeduplicationScope.CELL else {"zone": "small"}
    harness.apply(
        [endpoint_update(n, **(zone if n < 10 else {})) for n in range(8000)], complete=True
    )
    subset, directory = harness.registry.subset, harness.registry.directory
    inside = next(
        (
            e
            for e in sorted(harness.known_engines())
            if zone == {} or directory[e].last_update.zone == "small"
        ),
        "e00003",
    )
    harness.registry.include_companions(inside, scope, 2000)
    companions = [
        e
        for e in harness.known_engines()
        if e != inside
        and (
            directory[e].last_update.cell == directory[inside].last_update.cell
            if scope is DeduplicationScope.CELL
            else directory[e].last_update.zone == "small"
        )
    ]
    assert len(companions) >= MIN_COMPANIONS
    assert 0 < len(subset.temporary_members) <= MIN_COMPANIONS
    harness.check_decisions_match_subset()
    harness.registry.include_companions(
        inside, scope, 2000
    )  # again: the present companions suffice
    assert len(subset.temporary_members) <= MIN_COMPANIONS
    harness.now += 2001
    harness.apply([endpoint_update(7999)])
    assert not subset.temporary_members
    harness.check_decisions_match_subset()


def test_subset_bounds_temporary_members():
    harness = EndpointHarness(fleet_settings(2100, 5, keyed(DeduplicationScope.CELL)))
    harness.apply(map(endpoint_update, range(8000)), complete=True)
    for engine in sorted(harness.known_engines())[:100]:
        harness.registry.include_companions(engine, DeduplicationScope.CELL, 60_000)
    assert (
        MAX_TEMPORARY_MEMBERS - MIN_COMPANIONS
        <= len(harness.registry.subset.temporary_members)
        <= MAX_TEMPORARY_MEMBERS
    )
    harness.check_decisions_match_subset()


def test_subset_stays_bounded_when_the_whole_list_drains_or_empties():
    harness = EndpointHarness(fleet_settings(2100, 1))
    harness.apply(map(endpoint_update, range(8000)), complete=True)
    harness.apply([endpoint_update(n, EndpointState.DRAINING) for n in range(8000)])
    harness.check_decisions_match_subset()
    assert (
        not harness.balancer.up
        and len(harness.known_engines()) <= 1.5 * SUBSET_SIZE / MIN_UP_FRACTION
    )
    harness.apply([], complete=True)
    assert (
        not harness.known_engines()
        and not len(harness.registry.directory)
        and len(harness.closed) == 16_000
    )
    harness.apply(map(endpoint_update, range(50)), complete=True)
    harness.check_decisions_match_subset()
    assert len(harness.balancer.up) == 50


def test_endpoint_constraints_is_empty_for_an_unbound_class():
    assert endpoint_constraints([LOOKUP]) == []


@pytest.mark.parametrize("engines", [300, 500, 1000, 3000])
def test_subset_keeps_the_other_engines_when_one_is_added_or_removed(engines):
    """With 300 listed engines each change altered the width by a slice or two.

    The whole subset was then published again.
    """
    harness = EndpointHarness(fleet_settings(200, 3))
    harness.apply(map(endpoint_update, range(engines)), complete=True)
    before, published_before = harness.known_engines(), len(harness.events)
    for number in range(engines, engines + 10):
        harness.apply([endpoint_update(number)])
        harness.apply([endpoint_update(number - engines, EndpointState.REMOVED)])
    assert sum(len(event.entries) for event in harness.events[published_before:]) <= 20
    assert len(harness.known_engines() ^ before) <= 20
    harness.check_decisions_match_subset()
