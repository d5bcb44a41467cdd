"""Plays a plan's scenes one after another in one worker process."""

from __future__ import annotations

import resource

from umberusher.scale.plan import Plan, ScenePlan
from umberusher.scale.process_usage import resident_memory_mb
from umberusher.scale.scene_counts import SceneCounts
from umberusher.scale.scenes import SCENES
from umberusher.scale.stage import Simulation


class SceneRunner:
    """Plays the scenes of a plan with the brokers of one worker.

    Args:
        plan: The run's plan.
        worker: The worker's number.
        workers: How many workers play the run.
    """

    __slots__ = ("simulation",)

    def __init__(self, plan: Plan, worker: int, workers: int) -> None:
        brokers = plan.size.brokers
        positions = range(brokers * worker // workers, brokers * (worker + 1) // workers)
        self.simulation = Simulation(plan, positions)

    def play(self, scene_plan: ScenePlan) -> SceneCounts:
        """Play one scene, which starts when the previous one has ended, and return its counts."""
        simulation = self.simulation
        recorder = simulation.recorder
        loop = simulation.loop
        end_s = loop.now + scene_plan.duration_s
        cpu_before_s = _cpu_s()
        recorder.begin(scene_plan.duration_s)
        simulation.primary.first_served_s.clear()
        SCENES[scene_plan.kind](simulation, scene_plan).schedule()
        recorder.start_sampling()
        while loop.now < end_s:
            loop.step(1000 * (end_s - loop.now))
        counts = recorder.finish(simulation.fleet.running.values(), simulation.published)
        counts.cpu_s = _cpu_s() - cpu_before_s
        counts.memory_mb = resident_memory_mb("self")
        return counts

    def close(self) -> None:
        """Close all descriptors."""
        self.simulation.close()


def _cpu_s() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime
