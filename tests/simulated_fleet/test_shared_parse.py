"""Tests that parsing each answer once for all brokers of a process changes no result."""

from __future__ import annotations

from tests.scale.small_runs import play_here, scene, small_plan
from umberusher.scale.scene_figures import scene_metrics
from umberusher.scale.world import SceneRunner


def test_shared_parse_changes_no_metric():
    plan = small_plan(scene("ordinary"))
    shared = [scene_metrics(counts) for counts in play_here(plan).values()]
    runner = SceneRunner(plan, 0, 1)
    separate = [scene_metrics(runner.play(each)) for each in plan.scenes]
    runner.close()
    assert shared == separate
