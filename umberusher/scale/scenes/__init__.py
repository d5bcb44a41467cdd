"""The scenes of a scale run, by their names in plans."""

from umberusher.scale.scenes.base import Scene
from umberusher.scale.scenes.control_losses import ControlLost, RegionsApart
from umberusher.scale.scenes.fleet_losses import RegionRestart, ZoneLost
from umberusher.scale.scenes.list_changes import (
    EmptyList,
    EngineChurn,
    OrdinaryChanges,
    RepeatedEntries,
    Start,
    UpdateBursts,
)
from umberusher.scale.scenes.primary_change import PrimaryChange

SCENES: dict[str, type[Scene]] = {
    "start": Start,
    "ordinary": OrdinaryChanges,
    "lumps": UpdateBursts,
    "zone_lost": ZoneLost,
    "region_start": RegionRestart,
    "control_lost": ControlLost,
    "regions_apart": RegionsApart,
    "primary_change": PrimaryChange,
    # Single changes at shorter intervals than a poll's round trip.
    "hail": OrdinaryChanges,
    "ids": EngineChurn,
    "twice": RepeatedEntries,
    "nothing": EmptyList,
}
