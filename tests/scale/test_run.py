"""Tests runs with worker processes: their results, exceeded bounds and failed workers."""

from __future__ import annotations

import multiprocessing
import subprocess
import sys
from pathlib import Path

import pytest

from tests.scale.small_runs import play_here, scene, small_plan
from umberusher.scale import run
from umberusher.scale.figures import digest
from umberusher.scale.plan import ScenePlan
from umberusher.scale.scene_figures import scene_metrics

ROOT = Path(__file__).parents[2]


def test_play_gives_the_same_metrics_as_scene_runners_in_this_process():
    plan = small_plan(scene("ordinary"))
    result = run.play(plan)
    assert result.not_run == []
    assert result.stop_reason == ""
    expected = {name: scene_metrics(counts) for name, counts in play_here(plan).items()}
    assert result.digest == digest(expected)
    assert result.scenes == expected


@pytest.mark.parametrize(
    ("bound", "reason"),
    [({"wall_time_max_s": 0.01}, "wall time: over 0 s"), ({"memory_max_mb": 1.0}, "memory: ")],
)
def test_play_stops_its_workers_and_reports_unfinished_scenes_when_a_bound_is_exceeded(
    bound, reason
):
    result = run.play(small_plan(scene("ordinary"), **bound))
    assert result.stop_reason.startswith(reason)
    assert result.not_run[-1] == "ordinary"
    assert not multiprocessing.active_children()


def test_play_reports_the_error_when_a_worker_fails():
    result = run.play(small_plan(ScenePlan("unknown", "unknown", {"lasts": 1.0})))
    assert "KeyError: 'unknown'" in result.stop_reason
    assert result.not_run[-1] == "unknown"
    assert not multiprocessing.active_children()


def test_serve_imports_no_scale_run_modules():
    code = (
        "import sys, umberusher.commands.serve; "
        "packages = ('umberusher.simulated_fleet', 'umberusher.scale'); "
        "sys.exit(any(name.startswith(packages) for name in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT).returncode == 0
