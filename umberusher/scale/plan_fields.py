"""The fields of a scale run's plan: units, bounds and defaults, and how a value is read.

A value carries its unit: ``ms``, ``s``, ``minutes``, ``hours`` for times, ``per_s`` and
``per_day`` for rates, ``mb`` and ``gb`` for memory. Counts are plain numbers. They are
read into s, events a second and MB.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, NamedTuple

from umberusher.errors import UsageError


class PlanError(UsageError):
    """A plan is invalid; the message is one line that names file and field."""


class Quantity(StrEnum):
    """The physical quantity of a field."""

    TIME = "time"
    RATE = "rate"
    MEMORY = "memory"
    COUNT = "count"


class Unit(NamedTuple):
    """A unit's quantity, and its factor to the unit that the program uses."""

    quantity: Quantity
    factor: float


UNITS = {
    "ms": Unit(Quantity.TIME, 0.001),
    "s": Unit(Quantity.TIME, 1.0),
    "minutes": Unit(Quantity.TIME, 60.0),
    "hours": Unit(Quantity.TIME, 3600.0),
    "per_s": Unit(Quantity.RATE, 1.0),
    "per_day": Unit(Quantity.RATE, 1 / 86_400),
    "mb": Unit(Quantity.MEMORY, 1.0),
    "gb": Unit(Quantity.MEMORY, 1000.0),
}
EXPECTED_VALUES = {
    Quantity.TIME: "a time, as s(5) or ms(20)",
    Quantity.RATE: "a rate, as per_s(0.57)",
    Quantity.MEMORY: "an amount, as mb(256)",
    Quantity.COUNT: "a whole number",
}
BOUND_SUFFIXES = {
    Quantity.TIME: " s",
    Quantity.RATE: " a second",
    Quantity.MEMORY: " MB",
    Quantity.COUNT: "",
}
SHOWN_VALUE_MAX = 40  # characters of a wrong value in a message


@dataclass(frozen=True, slots=True)
class Field:
    """A field's bounds, its default (None: it must be given), and its attribute in the program."""

    quantity: Quantity
    min_value: float
    max_value: float
    default: float | None
    attribute: str = ""


def time_field(
    default: float | None,
    min_value: float = 0.0,
    max_value: float = 3_600.0,
    attribute: str = "",
) -> Field:
    """Return a field for a time in s."""
    return Field(Quantity.TIME, min_value, max_value, default, attribute)


def count_field(
    default: int | None, min_value: int = 0, max_value: int = 100_000, attribute: str = ""
) -> Field:
    """Return a field for a whole number."""
    return Field(Quantity.COUNT, min_value, max_value, default, attribute)


def rate_field(default: float | None, max_value: float = 1e5, attribute: str = "") -> Field:
    """Return a field for a rate a second."""
    return Field(Quantity.RATE, 0.0, max_value, default, attribute)


SIZE_FIELDS: dict[str, Field] = {
    "brokers": count_field(None, 1, 4_096, attribute="brokers"),
    "engines": count_field(None, 1, 65_536, attribute="engines"),
    "regions": count_field(3, 1, 16, attribute="regions"),
    "zones": count_field(8, 1, 64, attribute="zones"),
    "control_machines": count_field(19, 1, 256, attribute="control_machines"),
    "workers": count_field(8, 1, 8, attribute="workers"),
    "seed": count_field(1, attribute="seed"),
    "memory_most": Field(Quantity.MEMORY, 64.0, 12_000.0, 12_000.0, "memory_max_mb"),
    "wall_most": time_field(900.0, 1.0, attribute="wall_time_max_s"),
    "spread_most": time_field(0.8, 0.0, 10.0, attribute="propagation_max_s"),
}
LOAD_FIELDS: dict[str, Field] = {
    "rate": rate_field(6_190.0, attribute="rate_per_s"),
    "stretch": time_field(0.025, 0.0, 10.0, attribute="burst_s"),
    "every": time_field(10.0, 0.1, 600.0, attribute="burst_interval_s"),
    "answer": time_field(0.005, 0.0, 1.0, attribute="answer_s"),
    "held": count_field(4, attribute="in_flight"),
}
REAL_FIELDS: dict[str, Field] = {
    "brokers": count_field(4, 1, 8, attribute="brokers"),
    "engines": count_field(None, 1, 65_536, attribute="engines"),
    "lasts": time_field(60.0, 5.0, 300.0, attribute="duration_s"),
    "changes": rate_field(0.57, attribute="changes_per_s"),
    "lump": count_field(4_000, attribute="burst_entries"),
    "statements": rate_field(50.0, 500.0, attribute="statements_per_s"),
}
_DURATION = time_field(60.0, 1.0, 1_800.0)
_CHANGES = rate_field(0.57, 1_000.0)
# The fields of each kind of scene.
SCENE_FIELDS: dict[str, dict[str, Field]] = {
    "start": {"lasts": time_field(20.0, 5.0, 600.0)},
    "ordinary": {"lasts": _DURATION, "changes": _CHANGES},
    "lumps": {"lasts": _DURATION, "entries": count_field(4_000, 1), "every": time_field(20.0, 0.1)},
    "zone_lost": {
        "lasts": _DURATION,
        "zone": count_field(0),
        "told_after": time_field(5.0),
        "back_after": time_field(40.0),
    },
    "region_start": {"lasts": _DURATION, "region": count_field(0), "changes": _CHANGES},
    "control_lost": {
        "lasts": _DURATION,
        "machines": count_field(1, 1),
        "lost_for": time_field(3_600.0, 1.0, 7_200.0),
        "played": time_field(30.0, 1.0),
        "changes": _CHANGES,
        # 1: each broker knows one machine's address, not the region's.
        "own_addresses": count_field(0, 0, 1),
    },
    "regions_apart": {
        "lasts": _DURATION,
        "apart_for": time_field(3_600.0, 1.0, 7_200.0),
        "played": time_field(30.0, 1.0),
        "changes": _CHANGES,
    },
    "primary_change": {
        "lasts": _DURATION,
        "keys": count_field(64, 1),
        "rate": rate_field(20.0, 2_000.0),
        "entry_after": time_field(2.0),
        "gone_after": time_field(1.0),
    },
    "hail": {"lasts": _DURATION, "changes": rate_field(100.0, 1_000.0)},
    "ids": {"lasts": _DURATION, "entries": count_field(5_000, 1), "every": time_field(10.0, 0.1)},
    "twice": {"lasts": _DURATION, "entries": count_field(100, 1)},
    "nothing": {"lasts": _DURATION, "empty_for": time_field(10.0)},
}


def format_value(value: object) -> str:
    """Return a value as a message shows it: with its unit, or truncated to a few characters."""
    if isinstance(value, dict) and "unit" in value:
        return f"{value['unit']}({value['value']})"
    return repr(value)[:SHOWN_VALUE_MAX]


def read_fields(
    place: str, given: Mapping[str, Any], fields: Mapping[str, Field]
) -> dict[str, float]:
    """Return the value of each field.

    Args:
        place: The position of the fields in the plan, for messages.
        given: The values of the plan.
        fields: The known fields.

    Raises:
        PlanError: A field is unknown, missing, of another unit or out of bounds.
    """
    for name in given:
        if name not in fields:
            raise PlanError(f"{place}.{name} is not known; fields are {', '.join(fields)}")
    return {
        name: _read_field(f"{place}.{name}", field, given, name) for name, field in fields.items()
    }


def _read_field(place: str, field: Field, given: Mapping[str, Any], name: str) -> float:
    if name not in given:
        if field.default is None:
            raise PlanError(f"{place} is missing")
        return field.default
    value = _read_value(place, field.quantity, given[name])
    if not field.min_value <= value <= field.max_value:
        raise PlanError(
            f"{place} must be from {field.min_value:g} to {field.max_value:g}"
            f"{BOUND_SUFFIXES[field.quantity]}, not {value:g}"
        )
    return value


def _read_value(place: str, quantity: Quantity, value: object) -> float:
    """Return a value in the program's unit; raise PlanError if it has another quantity."""
    error = PlanError(f"{place} must be {EXPECTED_VALUES[quantity]}, not {format_value(value)}")
    if quantity is Quantity.COUNT:
        return _read_count(value, error)
    if not isinstance(value, dict):
        raise error
    unit = UNITS.get(value.get("unit", ""))
    if unit is None or unit.quantity is not quantity:
        raise error
    number = value["value"]
    if isinstance(number, bool) or not isinstance(number, int | float) or not math.isfinite(number):
        raise error
    return number * unit.factor


def _read_count(value: object, error: PlanError) -> int:
    if isinstance(value, float) and math.isfinite(value) and value == int(value):
        return int(value)
    if isinstance(value, bool) or not isinstance(value, int):
        raise error
    return value
