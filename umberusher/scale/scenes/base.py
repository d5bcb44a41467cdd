"""The base class of scenes: times within the scene, and ordinary changes of the endpoint list."""

from __future__ import annotations

import random
from abc import ABC, abstractmethod
from collections.abc import Callable

from umberusher.scale.plan import ScenePlan
from umberusher.scale.stage import Simulation

# Time from a scene's start to its first event.
SCENE_LEAD_S = 1.0
# Time without changes at a scene's end, so that all changes come into force within the scene.
SETTLE_S = 15.0
# Time between the end of a loss and the ordinary changes after it.
RECOVERY_S = 1.0


class Scene(ABC):
    """One scene; ``schedule`` puts all of its events on the simulation's clock.

    Args:
        simulation: The brokers, the discovery service and the engines.
        plan: The scene's fields.
    """

    def __init__(self, simulation: Simulation, plan: ScenePlan) -> None:
        self.simulation = simulation
        self.plan = plan
        self.fields = plan.fields
        self.duration_s = plan.duration_s
        # Changes end here, in s of the scene.
        self.changes_end_s = self.duration_s - min(SETTLE_S, self.duration_s / 2)

    @abstractmethod
    def schedule(self) -> None:
        """Schedule the scene's events; the scene starts now."""

    def at(self, second: float, callback: Callable[[], None]) -> None:
        """Call back at a second of the scene; only valid within ``schedule``."""
        self.simulation.loop.call_later(1000 * second, callback)

    def random_source(self, purpose: str) -> random.Random:
        """Return the scene's random source for one purpose."""
        return self.simulation.random_source(self.plan.name, purpose)

    def schedule_changes(self, rate_per_s: float, from_s: float, until_s: float) -> None:
        """Schedule ordinary changes, equally spaced."""
        published = self.simulation.published
        random_source = self.random_source("changes")

        def change() -> None:
            published.publish([published.ordinary_change(random_source)])

        for number in range(round(rate_per_s * (until_s - from_s))):
            self.at(from_s + number / rate_per_s, change)

    def schedule_changes_after_loss(self, rate_per_s: float, loss_end_s: float) -> None:
        """Schedule ordinary changes from the end of a loss on, if there is time for any."""
        until_s = self.duration_s - SETTLE_S
        from_s = loss_end_s + RECOVERY_S
        if until_s > from_s:
            self.schedule_changes(rate_per_s, from_s, until_s)

    def publish_backlog(self, rate_per_s: float, duration_s: float) -> None:
        """Publish at once the ordinary changes of a period that is not played."""
        count = round(rate_per_s * max(duration_s, 0))
        self.simulation.published.publish_backlog(count, self.random_source("backlog"))
