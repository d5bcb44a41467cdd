"""Runs the worker processes of a scale run, monitors them and merges their counts.

The pool stops its workers when the run is over, when a worker fails, or when the plan's bounds of
wall time or memory are exceeded; scenes that not all workers have finished then count as not run.
It stops no other process.
"""

from __future__ import annotations

import multiprocessing
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from multiprocessing.connection import Connection, wait
from multiprocessing.process import BaseProcess

from umberusher.scale.descriptors import ensure_descriptor_limit
from umberusher.scale.figures import Metric, digest
from umberusher.scale.plan import Plan
from umberusher.scale.process_usage import resident_memory_mb
from umberusher.scale.scene_counts import SceneCounts, merge
from umberusher.scale.scene_figures import scene_metrics
from umberusher.scale.worker import (
    SceneFinished,
    WorkerFinished,
    WorkerMessage,
    needed_descriptors,
    run_worker,
)

# How often the bounds are checked.
CHECK_INTERVAL_S = 0.5
# Time for a worker to exit after it was terminated.
STOP_TIMEOUT_S = 5.0

SceneObserver = Callable[[str, SceneCounts], None]


@dataclass(slots=True)
class RunResult:
    """The result of a run.

    Attributes:
        scenes: The metrics of each scene that was played.
        counts: The counts behind them.
        digest: A digest of all metrics; the same seed gives the same digest.
        workers: How many workers played.
        not_run: Scenes that were not played to their end.
        stop_reason: Why the run stopped early; empty if it did not.
        resources: Wall time, memory and processor time of the run itself.
    """

    scenes: dict[str, dict[str, Metric]] = field(default_factory=dict)
    counts: dict[str, SceneCounts] = field(default_factory=dict)
    digest: str = ""
    workers: int = 0
    not_run: list[str] = field(default_factory=list)
    stop_reason: str = ""
    resources: dict[str, Metric] = field(default_factory=dict)


def play(plan: Plan, on_scene: SceneObserver | None = None) -> RunResult:
    """Play the scenes in worker processes.

    Args:
        plan: The run's plan.
        on_scene: Is called with each scene's name and counts once all workers have played it.

    Raises:
        UsageError: The system does not allow the descriptors that a worker needs.
    """
    workers = min(plan.size.workers, plan.size.brokers)
    ensure_descriptor_limit(needed_descriptors(plan.size))
    pool = WorkerPool(plan, workers, on_scene)
    try:
        pool.run()
    except KeyboardInterrupt:
        pool.stop_reason = "told to end"
    finally:
        pool.stop()
    played = [scene.name for scene in plan.scenes if scene.name in pool.counts]
    scenes = {name: scene_metrics(pool.counts[name]) for name in played}
    return RunResult(
        scenes=scenes,
        counts=pool.counts,
        digest=digest(scenes),
        workers=workers,
        not_run=[scene.name for scene in plan.scenes if scene.name not in pool.counts],
        stop_reason=pool.stop_reason.strip(),
        resources=pool.resources(),
    )


class WorkerPool:
    """The workers of a run.

    Args:
        plan: The run's plan.
        worker_count: How many workers to start.
        on_scene: Is called for each scene that all workers have played.
    """

    def __init__(self, plan: Plan, worker_count: int, on_scene: SceneObserver | None) -> None:
        self._plan = plan
        self._worker_count = worker_count
        self._on_scene = on_scene
        self._started_s = time.monotonic()
        self._processes: list[BaseProcess] = []
        # The open pipes, with the number of the worker that writes to each.
        self._pipes: dict[Connection, int] = {}
        self._worker_counts: dict[str, list[SceneCounts]] = {
            scene.name: [] for scene in plan.scenes
        }
        self._memory_max_mb = 0.0
        self.counts: dict[str, SceneCounts] = {}
        self.stop_reason = ""

    def run(self) -> None:
        """Start the workers and collect their counts until all are done or the run must stop."""
        self._start()
        while self._pipes and not self.stop_reason:
            for pipe in wait(list(self._pipes), CHECK_INTERVAL_S):
                assert isinstance(pipe, Connection)
                self._receive(pipe)
            self._check_bounds()

    def _start(self) -> None:
        context = multiprocessing.get_context("spawn")
        for worker in range(self._worker_count):
            source, sink = context.Pipe(duplex=False)
            process = context.Process(
                target=run_worker, args=(sink, self._plan, worker, self._worker_count), daemon=True
            )
            self._processes.append(process)
            process.start()
            sink.close()
            self._pipes[source] = worker

    def _receive(self, pipe: Connection) -> None:
        message: WorkerMessage
        try:
            message = pipe.recv()
        except EOFError:
            message = WorkerFinished(f"worker {self._pipes[pipe]} ended by itself")
        if isinstance(message, SceneFinished):
            self._add_worker_counts(message)
            return
        del self._pipes[pipe]
        if message.error:
            self.stop_reason = message.error

    def _add_worker_counts(self, message: SceneFinished) -> None:
        worker_counts = self._worker_counts[message.scene]
        worker_counts.append(message.counts)
        if len(worker_counts) < self._worker_count:
            return
        merged = merge(worker_counts)
        worker_counts.clear()
        self.counts[message.scene] = merged
        if self._on_scene is not None:
            self._on_scene(message.scene, merged)

    def _check_bounds(self) -> None:
        size = self._plan.size
        memory_mb = self._memory_mb()
        self._memory_max_mb = max(self._memory_max_mb, memory_mb)
        if self._memory_max_mb > size.memory_max_mb:
            self.stop_reason = (
                f"memory: {self._memory_max_mb:.0f} MB held, {size.memory_max_mb:.0f} allowed"
            )
        elif time.monotonic() - self._started_s > size.wall_time_max_s:
            self.stop_reason = f"wall time: over {size.wall_time_max_s:.0f} s"

    def _memory_mb(self) -> float:
        total_mb = 0.0
        for process in self._processes:
            try:
                total_mb += resident_memory_mb(process.pid or 0)
            except (OSError, IndexError):
                # The process has just exited.
                continue
        return total_mb

    def stop(self) -> None:
        """Stop the workers that still run."""
        for process in self._processes:
            if process.is_alive():
                process.terminate()
        for process in self._processes:
            process.join(STOP_TIMEOUT_S)
            if process.is_alive():
                process.kill()
                process.join()

    def resources(self) -> dict[str, Metric]:
        """Return the resources that the run has used so far."""
        cpu_s = sum(counts.cpu_s for counts in self.counts.values())
        return {
            "wall": _resource(time.monotonic() - self._started_s, "s"),
            "memory, largest": _resource(self._memory_max_mb, "MB"),
            "processor time": _resource(cpu_s, "s"),
        }


def _resource(value: float, unit: str) -> Metric:
    return {"value": round(value, 1), "unit": unit}
