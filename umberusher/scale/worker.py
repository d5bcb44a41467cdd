"""One worker process of a scale run, and the messages that it sends."""

from __future__ import annotations

import logging
import traceback
from dataclasses import dataclass
from multiprocessing.connection import Connection

from umberusher.scale.descriptors import ensure_descriptor_limit
from umberusher.scale.plan import FleetSize, Plan
from umberusher.scale.scene_counts import SceneCounts
from umberusher.scale.world import SceneRunner
from umberusher.simulated_fleet.shared_parse import shared_parse

# Descriptors of a worker in addition to those of its brokers.
SPARE_DESCRIPTORS = 256
# Of one broker: its listening socket, both ends of its connection, and both of a closing one.
BROKER_DESCRIPTORS = 5


@dataclass(frozen=True, slots=True)
class SceneFinished:
    """A worker has played a scene."""

    scene: str
    counts: SceneCounts


@dataclass(frozen=True, slots=True)
class WorkerFinished:
    """A worker has played all scenes, or has failed with a traceback."""

    error: str | None = None


WorkerMessage = SceneFinished | WorkerFinished


def needed_descriptors(size: FleetSize) -> int:
    """Return how many descriptors a worker needs."""
    brokers_per_worker = -(-size.brokers // size.workers)
    return SPARE_DESCRIPTORS + BROKER_DESCRIPTORS * brokers_per_worker


def run_worker(sink: Connection, plan: Plan, worker: int, workers: int) -> None:
    """Play all scenes with one worker's brokers and send the counts."""
    # At a lower level thousands of brokers would log each lost poll.
    logging.getLogger("umberusher").setLevel(logging.CRITICAL)
    try:
        ensure_descriptor_limit(needed_descriptors(plan.size))
        with shared_parse():
            runner = SceneRunner(plan, worker, workers)
            for scene in plan.scenes:
                sink.send(SceneFinished(scene.name, runner.play(scene)))
            sink.send(WorkerFinished())
    except BaseException:
        sink.send(WorkerFinished(traceback.format_exc()))
        raise
