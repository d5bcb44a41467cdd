"""Scenes in which the discovery service is lost partly or completely."""

from __future__ import annotations

from umberusher.scale.plan import ScenePlan
from umberusher.scale.scenes.base import SCENE_LEAD_S, Scene
from umberusher.scale.stage import Simulation


class ControlLost(Scene):
    """Control machines are lost.

    If all of them are lost, the changes of the whole loss are published when they return.
    """

    def __init__(self, simulation: Simulation, plan: ScenePlan) -> None:
        super().__init__(simulation, plan)
        self._machines = simulation.next_machines(plan.count("machines"))
        self._all_lost = len(self._machines) == len(simulation.service.machines)
        self._rate_per_s = plan.fields["changes"]
        self._played_s = plan.fields["played"]

    def schedule(self) -> None:
        """Schedule the loss, the return, and changes during and after it."""
        self.schedule_changes(self._rate_per_s, SCENE_LEAD_S, self._played_s)
        self.simulation.service.own_addresses = bool(self.fields["own_addresses"])
        self.at(SCENE_LEAD_S, lambda: self.simulation.service.lose_machines(self._machines))
        self.at(self._played_s, self._restore)
        self.schedule_changes_after_loss(self._rate_per_s, self._played_s)

    def _restore(self) -> None:
        simulation = self.simulation
        simulation.recorder.count_not_notified(simulation.fleet.running.values())
        simulation.service.own_addresses = False
        if self._all_lost:
            simulation.recorder.reconnected_at_s = [
                simulation.loop.now
            ] * simulation.plan.size.regions
            self.publish_backlog(self._rate_per_s, self.fields["lost_for"] - self._played_s)
        simulation.service.restore_machines(self._machines)


class RegionsApart(Scene):
    """No message passes between regions, and only the first region can publish changes."""

    def __init__(self, simulation: Simulation, plan: ScenePlan) -> None:
        super().__init__(simulation, plan)
        self._other_regions = set(range(1, simulation.plan.size.regions))
        self._rate_per_s = plan.fields["changes"]
        self._played_s = plan.fields["played"]

    def schedule(self) -> None:
        """Schedule the partition, its end, and changes during and after it."""
        self.at(SCENE_LEAD_S, self._partition)
        # Only the first region's share of the changes can be published.
        region_rate_per_s = self._rate_per_s / self.simulation.plan.size.regions
        self.schedule_changes(region_rate_per_s, SCENE_LEAD_S, self._played_s)
        self.at(self._played_s, self._reconnect)
        self.schedule_changes_after_loss(self._rate_per_s, self._played_s)

    def _partition(self) -> None:
        regions = range(self.simulation.plan.size.regions)
        self.simulation.service.isolated_regions |= self._other_regions
        self.simulation.engines.partitioned_regions = {
            (source, target) for source in regions for target in regions if source != target
        }

    def _reconnect(self) -> None:
        simulation = self.simulation
        simulation.recorder.count_not_notified(simulation.fleet.running.values())
        simulation.service.isolated_regions.clear()
        simulation.engines.partitioned_regions = set()
        for region in self._other_regions:
            simulation.recorder.reconnected_at_s[region] = simulation.loop.now
        self.publish_backlog(self._rate_per_s, self.fields["apart_for"] - self._played_s)
