"""The schema of a settings object: each field that is read, with its valid values.

A text in place of true or false is rejected: otherwise any text would count as true, and "no" would
enable a forbidden feature. Fields that are not listed here are ignored.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from typing import Any

from umberusher.decisions.settings import DeduplicationScope, Idempotency

# An error quotes at most this many characters of an invalid value.
MAX_QUOTED_CHARACTERS = 40


class SettingsError(Exception):
    """The settings object can't be read."""


class SettingsFieldError(SettingsError):
    """A field of the settings object does not match its schema.

    Attributes:
        place: Path of the field in the settings object.
        problem: What is wrong with it.
    """

    def __init__(self, place: str, problem: str) -> None:
        super().__init__(f"{place} {problem}")
        self.place = place
        self.problem = problem


class FieldSchema:
    """The valid values of a field, as a description and a predicate."""

    __slots__ = ("accepts", "description")

    def __init__(self, description: str, accepts: Callable[[Any], bool]) -> None:
        self.description = description
        self.accepts = accepts


def _quoted(value: object) -> str:
    return repr(str(value)[:MAX_QUOTED_CHARACTERS])


def _number(low: float, high: float = math.inf) -> FieldSchema:
    """Return the schema of a finite number within bounds."""

    def accepts(value: object) -> bool:
        return (
            isinstance(value, (int, float))
            and not isinstance(value, bool)
            and math.isfinite(value)
            and low <= value <= high
        )

    return FieldSchema(f"a number {_bounds(low, high)}", accepts)


def _integer(low: float) -> FieldSchema:
    """Return the schema of a whole number of at least ``low``."""
    number = _number(low)
    return FieldSchema(
        f"a whole number {_bounds(low, math.inf)}",
        lambda value: number.accepts(value) and value == int(value),
    )


def _bounds(low: float, high: float) -> str:
    return f"of at least {low:g}" if high == math.inf else f"from {low:g} to {high:g}"


def _one_of(*values: str) -> FieldSchema:
    """Return the schema of one of several words."""
    return FieldSchema(f"one of {', '.join(values)}", lambda value: value in values)


def _list_of(item: FieldSchema) -> FieldSchema:
    """Return the schema of a list whose items match one schema."""
    return FieldSchema(
        f"a list, each of it {item.description}",
        lambda value: isinstance(value, list) and all(map(item.accepts, value)),
    )


_FLAG = FieldSchema("true or false", lambda value: isinstance(value, bool))
_TEXT = FieldSchema(
    "a text that is not empty", lambda value: isinstance(value, str) and bool(value)
)
_FROM_0 = _number(0)
_FROM_0_TO_1 = _number(0, 1)

# In the order in which they are checked: the error names the first invalid field.
_FIELD_SCHEMAS: dict[str, FieldSchema] = {
    "grades[].name": _TEXT,
    "grades[].aim_ms": _FROM_0,
    "grades[].deadline_ms": _FROM_0,
    "grades[].points": _FROM_0,
    "grades[].effect": _one_of(*(each.value for each in Idempotency)),
    "grades[].aim_stretch": _FROM_0,
    "grades[].late_worth": _FROM_0_TO_1,
    "grades[].stream": _FLAG,
    "grades[].memory_span_ms": _FROM_0,
    "grades[].keep_order": _FLAG,
    "grades[].group": _one_of(*(each.value for each in DeduplicationScope)),
    "grades[].stays_in": _list_of(_TEXT),
    "grades[].machine_types_allowed": _list_of(_TEXT),
    "machine_types": _list_of(_TEXT),
    "zone": _TEXT,
    "fleet_size": _integer(1),
    "position": _integer(0),
    "round_ms": _FROM_0,
    "membership_mode": _TEXT,
    "counted_by": _TEXT,
    "over_share_worth": _FROM_0_TO_1,
    "accounts[].name": _TEXT,
    "accounts[].quota_per_s": _FROM_0,
    "domain.size_cores": _list_of(_number(0.001)),
    "domain.ram_of_kind_mb": _list_of(_FROM_0),
    "domain.parallelism": _list_of(_FROM_0),
    "domain.holds_tables": _list_of(_FLAG),
    "domain.class_waits": _list_of(_FLAG),
    "domain.lanes_count": _FLAG,
    "domain.tells_every_ms": _FROM_0,
    "limits.max_attempts": _integer(1),
    "limits.second_copies": _FLAG,
    "limits.cancel": _FLAG,
    "limits.probes": _FLAG,
    "limits.retry_after": _FLAG,
    "limits.max_retry_after_ms": _FROM_0,
    "limits.keepalive_ms": _number(1),
    "limits.connect_timeout_ms": _number(1),
    "contract.drain_grace_ms": _FROM_0,
    "contract.warm_within_ms": _FROM_0,
    "contract.tip_multiple": _FROM_0,
    "contract.fall_ms": _FROM_0,
    "contract.settle_after_doubt_ms": _FROM_0,
    "contract.spare_attempts": _FROM_0,
    "contract.repeat_ratio": _FROM_0,
    "contract.counted_over_ms": _FROM_0,
    "contract.ask_within_ms": _FROM_0,
    "contract.cold_from": _FROM_0_TO_1,
    "prices.probe": _FROM_0,
    "prices.waste": _FROM_0,
    "prices.late_fail": _FROM_0,
    "prices.cross_zone": _FROM_0,
}
_REQUIRED = frozenset(
    (
        "accounts[].name",
        "grades[].name",
        "grades[].aim_ms",
        "grades[].deadline_ms",
        "grades[].points",
        "grades[].effect",
    )
)


def _find(value: object, names: list[str], place: str) -> Iterator[tuple[str, Any]]:
    """Yield the location and the value of each field that a path matches."""
    if not names:
        yield place, value
        return
    if not isinstance(value, dict):
        raise SettingsFieldError(place or "settings", f"must be an object, not {_quoted(value)}")
    name = names[0].removesuffix("[]")
    inner = value.get(name)
    inner_place = f"{place}.{name}".lstrip(".")
    if name == names[0]:
        if inner is not None or len(names) == 1:
            yield from _find(inner, names[1:], inner_place)
    elif isinstance(inner, list):
        for index, item in enumerate(inner):
            yield from _find(item, names[1:], f"{inner_place}[{index}]")
    elif inner is not None:
        raise SettingsFieldError(inner_place, f"must be a list, not {_quoted(inner)}")


def check(raw: object) -> None:
    """Check every field of a settings object.

    Raises:
        SettingsFieldError: A field is missing or invalid; the error names the first one.
    """
    for path, schema in _FIELD_SCHEMAS.items():
        for place, value in _find(raw, path.split("."), ""):
            if value is None:
                if path in _REQUIRED:
                    raise SettingsFieldError(place, "is missing")
            elif not schema.accepts(value):
                problem = f"must be {schema.description}, not {_quoted(value)}"
                raise SettingsFieldError(place, problem)
