"""The settings of a scale run's brokers, and the names of its zones and machine types."""

from __future__ import annotations

import json

from umberusher.decisions.settings import Settings
from umberusher.decisions.settings_reader import read_settings
from umberusher.replay import site
from umberusher.scale.plan import FleetSize

ORDINARY_TYPE = "std-8"
# The machine type of the one engine that is primary.
PRIMARY_TYPE = "primary-8"
PRIMARY_CLASS = "primary"
PRIMARY_CORES = 64
PRIMARY_MEMORY_MB = 65_536.0
# The class of statements that only the primary serves, as the platform's settings write it.
PRIMARY_CLASS_SETTINGS = {
    "name": PRIMARY_CLASS,
    "aim_ms": 2_000.0,
    "aim_stretch": 2.0,
    "deadline_ms": 9_000.0,
    "effect": "unsafe",
    "group": "all",
    "points": 1.0,
    "late_worth": 0.6,
    "keep_order": True,
    "machine_types_allowed": [PRIMARY_TYPE],
}


def zone_name(zone: int) -> str:
    """Return a zone's name in the endpoint list."""
    return f"z{zone}"


def zone_number(name: str) -> int:
    """Return the zone for which ``zone_name`` gave this name."""
    return int(name[1:])


def broker_settings(size: FleetSize, position: int) -> Settings:
    """Return the settings of the broker at a position, as the program reads them."""
    raw = site.settings(size.brokers, position)
    raw["zone"] = zone_name(position % size.zones)
    raw["zones"] = [zone_name(zone) for zone in range(size.zones)]
    raw["grades"].append(PRIMARY_CLASS_SETTINGS)
    raw["machine_types"].append(PRIMARY_TYPE)
    domain = raw["domain"]
    domain["size_cores"].append(PRIMARY_CORES)
    domain["ram_of_kind_mb"].append(PRIMARY_MEMORY_MB)
    domain["class_waits"].append(False)
    domain["holds_tables"].append(False)
    domain["parallelism"].append(1)
    return read_settings(json.dumps(raw))
