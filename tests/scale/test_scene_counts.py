"""Tests that merged counts and their metrics do not depend on the order of the workers."""

from __future__ import annotations

from array import array
from collections import Counter

import pytest

from umberusher.scale.scene_counts import MachineSecond, SceneCounts, merge
from umberusher.scale.scene_figures import scene_metrics
from umberusher.simulated_fleet.control_machine import MachineTraffic


def worker_counts(slowest_us: int, second: int) -> SceneCounts:
    return SceneCounts(
        duration_s=2.0,
        brokers=2,
        slowest_us={1: slowest_us},
        brokers_applied=Counter({1: 2}),
        serving_engines=[0, 1],
        machine_traffic={MachineSecond(0, second): MachineTraffic(1, 10, 0)},
        outcomes_by_second=[Counter(served=1)],
        control_bytes=[second * 1000],
        statements=array("L", [1, 2]),
        connections=array("L", [1, 0]),
        known_to_brokers=array("L", [2, 2]),
        in_subset_of_brokers=array("L", [2, 2]),
        outcomes=Counter(served=3),
        largest_state_counts={"listed": slowest_us},
    )


def test_merge_adds_counts_and_keeps_the_largest_values():
    merged = merge([worker_counts(5, 0), worker_counts(7, 1)])
    assert merged.slowest_us == {1: 7}
    assert merged.brokers_applied == {1: 4}
    assert merged.statements == array("L", [2, 4])
    assert merged.machine_traffic == {
        (0, 0): MachineTraffic(1, 10, 0),
        (0, 1): MachineTraffic(1, 10, 0),
    }
    assert merged.largest_state_counts == {"listed": 7}


def test_scene_metrics_do_not_depend_on_the_order_in_which_workers_report():
    metrics = scene_metrics(merge([worker_counts(5, 0), worker_counts(7, 1)]))
    assert metrics["statements an engine, largest over mean"]["value"] == pytest.approx(
        4 / 3, abs=1e-4
    )
    assert metrics["control bytes of a broker, largest"] == {"value": 0.5, "unit": "KB/s"}
    assert scene_metrics(merge([worker_counts(7, 1), worker_counts(5, 0)])) == metrics


def test_merge_raises_when_workers_have_not_played_the_same_script():
    with pytest.raises(ValueError, match="same script"):
        merge([worker_counts(5, 0), SceneCounts(duration_s=3.0, serving_engines=[0, 1])])
