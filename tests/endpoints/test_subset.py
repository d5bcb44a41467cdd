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
    player = EndpointHarness(fleet_settings(brokers, brokers - 1))
    player.apply(map(endpoint_update, range(200)), complete=True)
    assert len(player.known_engines()) == 200 and player.registry.subset.covers_all
    assert {engine.broker_count for engine in player.balancer.engines.values()} == {brokers}


def test_subsets_of_few_brokers_leave_no_engine_out():
    players = [EndpointHarness(fleet_settings(4, n)) for n in range(4)]
    for player in players:
        player.apply(map(endpoint_update, range(1000)), complete=True)
        assert len(player.known_engines()) == 1000
    assert min(brokers_by_engine(20, 1000).values()) >= MIN_BROKERS_PER_ENGINE - 1


class DrawCountingBalancer(LoadBalancer):
    """Counts the engines that the decisions weigh for a statement, and those that they look at for a change."""

    draws = 0

    def __init__(self, *rest) -> None:
        super().__init__(*rest)
        random_ = self.random.random

        def counted() -> float:
            self.draws += 1
            return random_()

        self.random.random = counted


@pytest.mark.parametrize("engines", [1000, 32_000])
def test_request_draws_for_the_subset_and_not_for_the_list(engines):
    """Seen at 32,000 listed: each statement drew for every engine, 4.1 ms of it."""
    player = EndpointHarness(fleet_settings(2100, 7))
    player.balancer = DrawCountingBalancer(fleet_settings(2100, 7), 1)
    player.apply(map(endpoint_update, range(engines)), complete=True)
    player.balancer.draws = 0
    for number in range(20):
        player.now += 0.16
        player.balancer.handle(
            player.now, RequestArrived(f"r{number}", "lookup", player.now + 2500)
        )
    assert player.balancer.draws <= 20 * 2 * SUBSET_SIZE
    assert SUBSET_SIZE / 2 <= len(player.balancer.up) <= 2 * SUBSET_SIZE


def count_work(monkeypatch) -> Counter[str]:
    """Entries that the scope weighs, hashes and the walks over all."""
    work: Counter[str] = Counter()
    place, hashed = EndpointSubset._update_membership, subset_ring.hash_bits

    def placed(self, *rest):
        work["placed"] += 1
        return place(self, *rest)

    def scattered(*rest):
        work["hashed"] += 1
        return hashed(*rest)

    monkeypatch.setattr(EndpointSubset, "_update_membership", placed)
    monkeypatch.setattr(subset_ring, "hash_bits", scattered)
    return work


@pytest.mark.parametrize("engines", [1000, 32_000])
def test_subset_places_one_entry_when_one_entry_changes(engines, monkeypatch):
    """Seen at 32,000 listed: 14.9 ms for a change of one entry, 0.06 ms at 100."""
    player = EndpointHarness(fleet_settings(2100, 7))
    player.apply(map(endpoint_update, range(engines)), complete=True)
    work, told = count_work(monkeypatch), len(player.events)
    states = [EndpointState.DRAINING, EndpointState.REMOVED, EndpointState.UP]
    for number in range(90):  # thirty engines drain, go and come again
        player.apply([endpoint_update(number // 3 * 7, states[number % 3])])
    assert work["placed"] <= 90 and work["hashed"] <= 90
    inside = sum(player.registry.subset.in_subset)
    assert (
        len(player.events) - told <= 90 * (inside / engines) * 3 + 12
    )  # of most changes the decisions hear nothing
    assert all(len(event.entries) <= 1 for event in player.events[told:])


def test_subset_places_each_entry_once_on_a_first_list(monkeypatch):
    work = count_work(monkeypatch)
    for engines in (4000, 16_000):
        work.clear()
        player = EndpointHarness(fleet_settings(2100, 7))
        player.apply(map(endpoint_update, range(engines)), complete=True)
        assert work["hashed"] == engines and work["placed"] <= engines
        assert player.registry.subset.full_scan_count <= 1 and not player.registry.removed_ids
    for number in range(6000):  # ids once listed are as cheap over their bound as below it
        player.apply(
            [
                endpoint_update(20_000 + number),
                endpoint_update(20_000 + number, EndpointState.REMOVED),
            ]
        )
    assert len(player.registry.removed_ids) == MAX_REMOVED_IDS and work["placed"] <= 16_000


def test_subset_changes_little_when_an_engine_or_broker_comes_or_goes():
    players = [EndpointHarness(fleet_settings(512, n)) for n in range(64)]
    for player in players:
        player.apply(map(endpoint_update, range(2000)), complete=True)
    before = [player.known_engines() for player in players]
    for player in players:
        player.apply([endpoint_update(17, EndpointState.REMOVED), endpoint_update(5000)])
    gained = sum(
        len(player.known_engines() - old) for player, old in zip(players, before, strict=True)
    )
    lost = sum(
        len(old - player.known_engines()) for player, old in zip(players, before, strict=True)
    )
    share = len(players) * SUBSET_SIZE / 2000
    assert 0 < gained <= 2 * share and 0 < lost <= 2 * share
    # A broker's part is its own: another fleet size moves it only where each engine would have too few brokers.
    assert SubsetRing(512, 7, "").distance("e1") == SubsetRing(513, 7, "").distance("e1")
    assert SubsetRing(512, 7, "").width(2000, SLICES) == SubsetRing(600, 7, "").width(2000, SLICES)


def test_subset_refills_when_zones_go_and_shrinks_when_they_return():
    player = EndpointHarness(fleet_settings(2100, 11))
    player.apply(map(endpoint_update, range(8000)), complete=True)
    begun = len(player.balancer.up)
    player.apply(
        [endpoint_update(n, EndpointState.REMOVED) for n in range(8000) if n % 8 in (1, 2)]
    )
    player.check_in_step()
    assert len(player.balancer.up) > 0.85 * begun and all(
        e.zone not in ("z1", "z2") for e in player.balancer.up
    )
    player.apply([endpoint_update(n) for n in range(8000) if n % 8 in (1, 2)])
    player.check_in_step()
    assert abs(len(player.balancer.up) - begun) < 0.15 * begun


def test_subset_spreads_over_zones_and_kinds():
    player = EndpointHarness(fleet_settings(2100, 2099))
    player.apply(map(endpoint_update, range(16_000)), complete=True)
    zones, kinds = (
        Counter(getattr(e, name) for e in player.balancer.up) for name in ("zone", "kind")
    )
    assert (
        len(zones) == 8
        and min(zones.values()) > SUBSET_SIZE / 8 / 2.5
        and min(kinds.values()) > SUBSET_SIZE / 2 / 1.5
    )


def test_subset_includes_rare_engines_that_a_class_is_bound_to():
    """Of 5 engines in 8,000 a scope would hold none, and the class could never be served."""
    bound = QueryClass("bound", 500, 2500, 1, Idempotency.IDEMPOTENT, kinds=("rare",))
    player = EndpointHarness(fleet_settings(2100, 5, LOOKUP, bound))
    player.apply(
        [endpoint_update(n, kind="rare" if n < 5 else "std-8") for n in range(8000)], complete=True
    )
    rare = [e for e in player.balancer.up if e.kind == "rare"]
    assert len(rare) == 5 <= MIN_ENGINES_PER_CONSTRAINT and {e.broker_count for e in rare} == {2100}
    assert {e.broker_count for e in player.balancer.up if e.kind != "rare"} == {
        66.0
    }  # 16 of 512 slices, over 2,100 brokers
    actions = player.balancer.handle(player.now, RequestArrived("r", "bound", player.now + 2500))
    sent = next(a for a in actions if isinstance(a, StartAttempt))
    assert sent.engine in {e.id for e in rare}
    player.balancer.handle(
        player.now,
        AttemptEnded("r", 0, sent.engine, AttemptOutcome.SUCCEEDED, 5.0, request_closed=True),
    )
    player.apply([endpoint_update(n, EndpointState.REMOVED, kind="rare") for n in range(4)])
    player.check_in_step()


@pytest.mark.parametrize("by", [DeduplicationScope.CELL, DeduplicationScope.ZONE])
def test_subset_adds_companions_for_a_retry_bound_to_a_cell_or_zone(by):
    player = EndpointHarness(fleet_settings(2100, 5, keyed(by)))
    zone = {} if by is DeduplicationScope.CELL else {"zone": "small"}
    player.apply(
        [endpoint_update(n, **(zone if n < 10 else {})) for n in range(8000)], complete=True
    )
    scope, members = player.registry.subset, player.registry.directory
    inside = next(
        (
            e
            for e in sorted(player.known_engines())
            if zone == {} or members[e].last_update.zone == "small"
        ),
        "e00003",
    )
    player.registry.include_companions(inside, by, 2000)
    same = [
        e
        for e in player.known_engines()
        if e != inside
        and (
            members[e].last_update.cell == members[inside].last_update.cell
            if by is DeduplicationScope.CELL
            else members[e].last_update.zone == "small"
        )
    ]
    assert len(same) >= MIN_COMPANIONS
    assert 0 < len(scope.temporary_members) <= MIN_COMPANIONS
    player.check_in_step()
    player.registry.include_companions(inside, by, 2000)  # again: those that are there do
    assert len(scope.temporary_members) <= MIN_COMPANIONS
    player.now += 2001
    player.apply([endpoint_update(7999)])
    assert not scope.temporary_members
    player.check_in_step()


def test_subset_bounds_temporary_members():
    player = EndpointHarness(fleet_settings(2100, 5, keyed(DeduplicationScope.CELL)))
    player.apply(map(endpoint_update, range(8000)), complete=True)
    for engine in sorted(player.known_engines())[:100]:
        player.registry.include_companions(engine, DeduplicationScope.CELL, 60_000)
    assert (
        MAX_TEMPORARY_MEMBERS - MIN_COMPANIONS
        <= len(player.registry.subset.temporary_members)
        <= MAX_TEMPORARY_MEMBERS
    )
    player.check_in_step()


def test_subset_stays_bounded_when_the_whole_list_drains_or_empties():
    player = EndpointHarness(fleet_settings(2100, 1))
    player.apply(map(endpoint_update, range(8000)), complete=True)
    player.apply([endpoint_update(n, EndpointState.DRAINING) for n in range(8000)])
    player.check_in_step()
    assert (
        not player.balancer.up
        and len(player.known_engines()) <= 1.5 * SUBSET_SIZE / MIN_UP_FRACTION
    )
    player.apply([], complete=True)
    assert (
        not player.known_engines()
        and not len(player.registry.directory)
        and len(player.closed) == 16_000
    )
    player.apply(map(endpoint_update, range(50)), complete=True)
    player.check_in_step()
    assert len(player.balancer.up) == 50


def test_endpoint_constraints_is_empty_for_an_unbound_class():
    assert endpoint_constraints([LOOKUP]) == []


@pytest.mark.parametrize("engines", [300, 500, 1000, 3000])
def test_subset_moves_no_other_engine_when_one_comes_or_goes(engines):
    """Found by reading: at 300 listed each change moved the width by a slice or two, and all in scope was told anew."""
    player = EndpointHarness(fleet_settings(200, 3))
    player.apply(map(endpoint_update, range(engines)), complete=True)
    before, told = player.known_engines(), len(player.events)
    for number in range(engines, engines + 10):
        player.apply([endpoint_update(number)])
        player.apply([endpoint_update(number - engines, EndpointState.REMOVED)])
    assert sum(len(event.entries) for event in player.events[told:]) <= 20
    assert len(player.known_engines() ^ before) <= 20
    player.check_in_step()
