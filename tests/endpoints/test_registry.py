"""Tests of the endpoint registry.

Guards against collections that grow with each instance id, and against decisions that know other
engines or states than the registry's subset after a sequence of changes.
"""

from __future__ import annotations

import random
from collections import Counter

import pytest

from tests.decisions.bench import keyed
from tests.endpoints.harness import (
    LOOKUP,
    ZONES,
    EndpointHarness,
    endpoint_update,
    fleet_settings,
    watch_event,
)
from umberusher.decisions.events import EndpointState
from umberusher.decisions.settings import DeduplicationScope, Idempotency, QueryClass
from umberusher.endpoints.manual_drains import MAX_REMOVED_IDS
from umberusher.endpoints.registry import EndpointRegistry


def test_registry_stays_bounded_when_thousands_of_ids_are_added_and_removed():
    harness = EndpointHarness(fleet_settings(2100, 1))
    harness.apply(map(endpoint_update, range(2000)), complete=True)
    for round_number in range(1, 21):
        harness.apply(
            [
                endpoint_update(
                    2000 * round_number + n,
                    zone=f"zone {round_number} {n}",
                    cell=round_number * 2000 + n,
                )
                for n in range(2000)
            ]
        )
        harness.apply(
            [
                endpoint_update(2000 * (round_number - 1) + n, EndpointState.REMOVED)
                for n in range(2000)
            ]
        )
    directory = harness.registry.directory
    harness.check_decisions_match_subset()
    assert len(directory.ids) <= 4001 and len(directory) == 2000 and directory.up_count == 2000
    assert (
        len(directory._shared_profiles) <= 4 * 4097
        and len(directory.up_count_by_group) == 2000
        and len(harness.registry.removed_ids) <= MAX_REMOVED_IDS
    )


def test_registry_publishes_the_same_start_when_an_engine_is_announced_again():
    """A second conversion of the same start time differed by the resolution of the clocks.

    The engine then appeared to have restarted.
    """
    settings, drift = fleet_settings(2), iter(range(10_000))
    events = []
    registry = EndpointRegistry(
        events.append, lambda: 5.0, lambda unix: unix + next(drift) / 1000, settings
    )
    registry.apply(watch_event(1, [endpoint_update(0, started_ms=7000.0)], complete=True))
    registry.apply(watch_event(2, [endpoint_update(0, started_ms=7000.0)], complete=True))
    registry.start_manual_drain("e00000")
    registry.end_manual_drain("e00000")
    registry.apply(watch_event(3, [endpoint_update(0, started_ms=7000.0)]))
    registry.apply(watch_event(4, [endpoint_update(0, started_ms=7000.0)]))
    starts = [event.entries[0].started_ms for event in events if event.entries]
    assert len(set(starts[:2])) == 1 and len(set(starts[-3:])) == 1


def test_registry_applies_the_last_entry_when_an_engine_is_named_twice():
    harness = EndpointHarness(fleet_settings(2))
    harness.apply(
        [endpoint_update(0), endpoint_update(1), endpoint_update(0, EndpointState.DRAINING)],
        complete=True,
    )
    assert harness.registry.find("e00000") is None and harness.registry.find("e00001")
    harness.apply([endpoint_update(1, EndpointState.REMOVED), endpoint_update(1)])
    assert harness.registry.find("e00001") and harness.known_engines() == {"e00000", "e00001"}
    harness.apply([endpoint_update(1), endpoint_update(1, EndpointState.REMOVED)])
    assert "e00001" not in harness.registry.directory
    harness.check_decisions_match_subset()


@pytest.mark.parametrize("seed", range(6))
def test_decisions_match_the_subset_over_random_changes(seed):
    generator = random.Random(seed)
    harness = EndpointHarness(
        fleet_settings(
            generator.choice([1, 30, 2100]),
            generator.choice([0, 17]),
            LOOKUP,
            keyed(DeduplicationScope.CELL),
            QueryClass("bound", 500, 2500, 1, Idempotency.IDEMPOTENT, zones=("z3",)),
        )
    )
    engine_count = generator.choice([40, 700, 3000])
    for _ in range(60):
        draw = generator.random()
        numbers = [
            generator.randrange(2 * engine_count)
            for _ in range(generator.choice([1, 3, engine_count // 4]))
        ]
        if draw < 0.1:
            harness.apply(
                map(endpoint_update, generator.sample(range(2 * engine_count), engine_count)),
                complete=True,
            )
        elif draw < 0.8:
            harness.apply(
                [
                    endpoint_update(
                        n, generator.choice(list(EndpointState)), zone=generator.choice(ZONES)
                    )
                    for n in numbers
                ]
            )
        elif draw < 0.9:
            (
                harness.registry.start_manual_drain
                if generator.random() < 0.5
                else harness.registry.end_manual_drain
            )(f"e{numbers[0]:05d}")
        else:
            harness.registry.include_companions(
                f"e{numbers[0]:05d}", generator.choice(list(DeduplicationScope)), 500
            )
        harness.now += generator.choice([0, 100, 1000])
        harness.check_decisions_match_subset()
    directory = harness.registry.directory
    up_endpoints = [directory[e] for e in directory if directory[e].state is EndpointState.UP]
    assert directory.up_count == len(up_endpoints) == sum(directory.up_count_by_group.values())
    assert directory.up_count_by_group == Counter(
        (m.last_update.zone, m.last_update.kind) for m in up_endpoints
    )
