"""Scenes in which engines or brokers are lost and return."""

from __future__ import annotations

import gc
from collections.abc import Callable

from umberusher.scale.broker_settings import ORDINARY_TYPE, zone_name
from umberusher.scale.endpoint_list import deleted
from umberusher.scale.plan import ScenePlan
from umberusher.scale.scenes.base import SCENE_LEAD_S, Scene
from umberusher.scale.stage import Simulation
from umberusher.simulated_fleet.update_history import EndpointEntry

# A region's brokers restart after the memory of the stopped ones has been freed.
GARBAGE_COLLECTION_S = 1.5 * SCENE_LEAD_S
RESTART_S = 2 * SCENE_LEAD_S


class ZoneLost(Scene):
    """All engines of a zone stop responding; discovery deletes them later; then they return.

    The engines that return were restarted: they are warming up and have new names.
    """

    def __init__(self, simulation: Simulation, plan: ScenePlan) -> None:
        super().__init__(simulation, plan)
        self._zone = plan.count("zone")
        self._lost_count = 0

    def schedule(self) -> None:
        """Schedule the loss, its publication and the return."""
        self.at(SCENE_LEAD_S, self._lose)
        self.at(SCENE_LEAD_S + self.fields["told_after"], self._publish_loss)
        self.at(SCENE_LEAD_S + self.fields["back_after"], self._restore)

    def _zone_entries(self) -> list[EndpointEntry]:
        name = zone_name(self._zone)
        return [
            entry
            for entry in self.simulation.published.entries.values()
            if entry.zone == name and entry.machine_type == ORDINARY_TYPE
        ]

    def _lose(self) -> None:
        self._lost_count = len(self._zone_entries())
        self.simulation.engines.lost_zones.add(self._zone)

    def _publish_loss(self) -> None:
        self.simulation.published.publish([deleted(entry) for entry in self._zone_entries()])

    def _restore(self) -> None:
        published = self.simulation.published
        self.simulation.engines.lost_zones.discard(self._zone)
        published.publish(
            [
                published.entry(f"{self.plan.name}-{number}", self._zone, age_ms=0.0)
                for number in range(self._lost_count)
            ]
        )


class RegionRestart(Scene):
    """All brokers of a region stop, and all start at the same moment."""

    def schedule(self) -> None:
        """Schedule stops and starts, and ordinary changes."""
        fleet = self.simulation.fleet
        region = self.plan.count("region")
        positions = [
            position for position in fleet.positions if fleet.region_of(position) == region
        ]
        fleet.incarnation += 1
        for position in positions:
            self.at(SCENE_LEAD_S, self._stop(position))
        self.at(GARBAGE_COLLECTION_S, _collect_garbage)
        for position in positions:
            self.at(RESTART_S, self._start(position))
        self.schedule_changes(self.fields["changes"], SCENE_LEAD_S, self.changes_end_s)

    def _stop(self, position: int) -> Callable[[], None]:
        return lambda: self.simulation.fleet.stop(position)

    def _start(self, position: int) -> Callable[[], None]:
        return lambda: self.simulation.fleet.start(position)


def _collect_garbage() -> None:
    gc.collect()
