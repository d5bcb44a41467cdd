"""The numbers to plan with: the fields that a plan's file must set, each with its unit.

An error in any field rejects the plan; each error is one line that names file, line and field.
"""

from __future__ import annotations

import re
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from umberusher.capacity.units import SHOWN_VALUE_MAX_CHARS, Quantity, UnitError, format_quantity
from umberusher.errors import UsageError

PRELUDE = """
def plan(**fields):
    return fields
def of(value, unit):
    return {"is": "said", "value": value, "unit": unit, "why": ""}
def assumed(value, unit, why):
    return {"is": "assumed", "value": value, "unit": unit, "why": why}
"""
GIVEN = "said"
ASSUMED = "assumed"


class Field(NamedTuple):
    """The unit in which a number is shown, and its description."""

    unit: str
    description: str


FIELDS: dict[str, Field] = {
    "brokers": Field("broker", "brokers"),
    "engines": Field("engine", "databases"),
    "connections": Field("connection", "client connections"),
    "statements": Field("statement/s", "statements"),
    "primary_changes": Field("change/day", "changes of primary"),
    "primary_within": Field("s", "a change of primary is over within"),
    "regions": Field("region", "regions"),
    "zones": Field("zone", "zones, in all regions together"),
    "changes": Field("change/day", "changes of configuration"),
    "in_force_within": Field("s", "a change is in force everywhere within"),
    "control_processor": Field("% core/broker", "for control: processor time"),
    "control_memory": Field("MB/broker", "for control: memory"),
    "control_bytes": Field("KB/s/broker", "for control: bytes"),
    "control_machines": Field("machine", "for control: machines set aside"),
    "failures": Field("machine/day", "machines that fail"),
    "replacements": Field("machine/day", "machines that are restarted or replaced"),
    "regions_apart": Field("h", "regions lose each other for"),
    "lump": Field("change", "changes that come at once, at the most"),
    "ready_within": Field("s", "a broker that starts is ready within"),
    "engines_compared": Field("engine", "databases of the fleet that costs are compared with"),
    "arrival_ratio": Field("times", "processor time of an arrival, at the size over that fleet"),
    "change_ratio": Field(
        "times", "processor time of a change of one entry, at the size over that fleet"
    ),
    "engine_imbalance": Field("times", "brokers that hold an engine, largest over mean"),
    "rack": Field("engine", "databases in a rack"),
    "broker_cores": Field("core/broker", "processor of a broker"),
    "settle_after_doubt": Field("ms", "a key rests after an attempt that may have run"),
    "repeat_part": Field("times", "further attempts for each request"),
    "counted_over": Field("s", "time over which further attempts are counted"),
    "warm_within": Field("s", "an engine that has started is warm within"),
}


class PlanError(UsageError):
    """A plan is invalid; the message has a line for each error."""

    message_prefix = "plan: "


@dataclass(slots=True, frozen=True)
class Plan:
    """The numbers of a plan.

    Each field of ``FIELDS`` is an attribute too: ``plan.engines``.

    Attributes:
        file: The plan's file, for messages.
        values: The numbers by field.
        assumed: The reasons of the assumed numbers, by field.
    """

    file: str
    values: Mapping[str, Quantity]
    assumed: Mapping[str, str]

    def __getattr__(self, name: str) -> Quantity:
        try:
            return self.values[name]
        except KeyError:
            raise AttributeError(name) from None

    def format(self, name: str) -> str:
        """Return a number as the page shows it."""
        return format_quantity(self.values[name], FIELDS[name].unit)


def read_plan(file: str, text: str, given: object) -> Plan:
    """Return the plan that a file defines.

    Args:
        file: The file's name, for messages.
        text: The file's text, to find the lines of fields.
        given: The value that the file gives to ``size``.

    Raises:
        PlanError: The plan is invalid; a line for each error, with file, line and field.
    """
    if not isinstance(given, dict) or "is" in given:
        raise PlanError(f"{file}: size must be set by plan(...)")
    errors: list[str] = []
    values: dict[str, Quantity] = {}
    assumed: dict[str, str] = {}
    for name, raw in given.items():
        place = f"{file}{_line_suffix(text, name)}"
        if name not in FIELDS:
            errors.append(f"{place}: {name[:SHOWN_VALUE_MAX_CHARS]}: there is no such field")
            continue
        try:
            values[name] = _read_value(name, raw)
        except UnitError as error:
            errors.append(f"{place}: {name}: {error}")
            continue
        if raw["is"] == ASSUMED:
            assumed[name] = raw["why"].strip()
    errors += [f"{file}: {name}: missing" for name in FIELDS if name not in given]
    if errors:
        raise PlanError("\n".join(errors))
    return Plan(file, values, assumed)


def _line_suffix(text: str, name: str) -> str:
    """Return ``:N`` for the line that sets a field, or an empty text if none does."""
    pattern = re.compile(rf"\s*{re.escape(name)}\s*=")
    for number, line in enumerate(text.splitlines(), 1):
        if pattern.match(line):
            return f":{number}"
    return ""


def _read_value(name: str, raw: object) -> Quantity:
    """Return the number of one field; raise UnitError with the reason if it is invalid."""
    if not isinstance(raw, dict) or raw.get("is") not in (GIVEN, ASSUMED):
        raise UnitError(
            "must be made by of(number, unit) or assumed(number, unit, why), "
            f"not {str(raw)[:SHOWN_VALUE_MAX_CHARS]!r}"
        )
    if not isinstance(raw["unit"], str):
        raise UnitError(
            f"its unit must be a text, not {str(raw['unit'])[:SHOWN_VALUE_MAX_CHARS]!r}"
        )
    if raw["is"] == ASSUMED and (not isinstance(raw["why"], str) or not raw["why"].strip()):
        raise UnitError("is assumed without a reason")
    quantity = Quantity.of(raw["value"], raw["unit"])
    # Raises UnitError if the quantity has another dimension.
    quantity.to(FIELDS[name].unit)
    if quantity.value <= 0:
        raise UnitError(f"must be over 0, not {raw['value']}")
    return quantity
