"""Small plans, and their scenes played in this process."""

from __future__ import annotations

from dataclasses import replace

from umberusher.scale.plan import FleetSize, Plan, ScenePlan, StatementLoad, from_fields
from umberusher.scale.plan_fields import LOAD_FIELDS, SCENE_FIELDS, SIZE_FIELDS
from umberusher.scale.scene_counts import SceneCounts, merge
from umberusher.scale.world import SceneRunner
from umberusher.simulated_fleet.shared_parse import shared_parse

BROKERS = 6
ENGINES = 48
SIZE_VALUES = {name: field.default for name, field in SIZE_FIELDS.items()} | {
    "brokers": BROKERS,
    "engines": ENGINES,
    "workers": 2,
}
LOAD_VALUES = {name: field.default for name, field in LOAD_FIELDS.items()} | {
    "stretch": 0.004,
    "every": 4.0,
}
# Field values that make scenes short.
SHORT_VALUES = {
    "lasts": 20.0,
    "entries": 12.0,
    "every": 2.0,
    "back_after": 8.0,
    "told_after": 3.0,
    "played": 6.0,
    "empty_for": 3.0,
    "changes": 2.0,
    "rate": 4.0,
    "lost_for": 60.0,
    "apart_for": 60.0,
}


def scene(kind: str, **more: float) -> ScenePlan:
    """Return a short scene."""
    fields = {
        name: SHORT_VALUES.get(name, field.default) for name, field in SCENE_FIELDS[kind].items()
    }
    return ScenePlan(kind, kind, fields | more)


def small_plan(*scenes: ScenePlan, **size: float) -> Plan:
    """Return a plan that starts a small fleet and plays some scenes."""
    return Plan(
        "test.star",
        replace(from_fields(FleetSize, SIZE_FIELDS, SIZE_VALUES), **size),
        from_fields(StatementLoad, LOAD_FIELDS, LOAD_VALUES),
        [scene("start", lasts=5.0), *scenes],
        None,
    )


def play_here(plan: Plan, workers: int = 1) -> dict[str, SceneCounts]:
    """Play all scenes with the scene runners of ``workers`` workers, one after another."""
    scenes_by_worker = []
    for worker in range(workers):
        with shared_parse():
            runner = SceneRunner(plan, worker, workers)
            scenes_by_worker.append([runner.play(each) for each in plan.scenes])
            runner.close()
    return {
        each.name: merge(counts)
        for each, counts in zip(plan.scenes, zip(*scenes_by_worker, strict=True), strict=True)
    }


def play_one(kind: str, **more: float) -> SceneCounts:
    """Play one short scene after the start, and return its counts."""
    return play_here(small_plan(scene(kind, **more)))[kind]
