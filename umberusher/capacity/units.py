"""Quantities with units: sums and products in which a wrong unit raises an error.

Counted things (brokers, engines, changes) are units like seconds, so that a cost per broker cannot
be compared with a budget for all brokers. Processor time is ``core`` times time; ``core`` alone is
processor time per time.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import NamedTuple, TypeGuard

COUNTED_UNITS = (
    "attempt",
    "broker",
    "call",
    "change",
    "connection",
    "descriptor",
    "engine",
    "holding",
    "id",
    "machine",
    "message",
    "poll",
    "probe",
    "region",
    "statement",
    "zone",
)
# The number of characters of a rejected value that error messages show.
SHOWN_VALUE_MAX_CHARS = 40
SIGNIFICANT_DIGITS = 3
VOWELS = "aei"


class Unit(NamedTuple):
    """A unit's scale to its base unit; the base of a plain number is empty."""

    scale: float
    base: str


UNITS: dict[str, Unit] = {
    "s": Unit(1.0, "s"),
    "ms": Unit(1e-3, "s"),
    "us": Unit(1e-6, "s"),
    "min": Unit(60.0, "s"),
    "h": Unit(3600.0, "s"),
    "day": Unit(86_400.0, "s"),
    "core": Unit(1.0, "core"),
    "%": Unit(0.01, ""),
    "times": Unit(1.0, ""),
    "1": Unit(1.0, ""),
    "B": Unit(1.0, "B"),
    "KB": Unit(1e3, "B"),
    "MB": Unit(1e6, "B"),
    "GB": Unit(1e9, "B"),
    **{unit: Unit(1.0, unit) for unit in COUNTED_UNITS},
}


class UnitError(ValueError):
    """A unit does not exist, or quantities of different dimensions are summed or compared."""


# Exponents other than 0 by base unit, sorted by unit.
Dimension = tuple[tuple[str, int], ...]


class ParsedUnit(NamedTuple):
    """A compound unit: its scale to base units, and its dimension."""

    scale: float
    dimension: Dimension


def _multiply_dimensions(one: Dimension, other: Dimension, sign: int) -> Dimension:
    """Return the dimension of a product (``sign`` 1) or a quotient (-1)."""
    exponents = dict(one)
    for base, power in other:
        exponents[base] = exponents.get(base, 0) + sign * power
    return tuple(sorted((base, power) for base, power in exponents.items() if power))


def parse_unit(text: str) -> ParsedUnit:
    """Return a unit such as ``% core/broker`` in base units.

    Raises:
        UnitError: The text contains an unknown unit or an empty part.
    """
    scale = 1.0
    dimension: Dimension = ()
    for place, factors in enumerate(text.split("/")):
        sign = -1 if place else 1
        words = factors.split()
        if not words:
            raise UnitError(f"{text!r} is no unit")
        for word in words:
            if word not in UNITS:
                raise UnitError(f"{word[:SHOWN_VALUE_MAX_CHARS]!r} is no unit")
            unit = UNITS[word]
            scale = scale / unit.scale if place else scale * unit.scale
            if unit.base:
                dimension = _multiply_dimensions(dimension, ((unit.base, 1),), sign)
    return ParsedUnit(scale, dimension)


def dimension_text(dimension: Dimension) -> str:
    """Return a dimension as error messages show it."""
    above = [base for base, power in dimension for _ in range(power)]
    below = [base for base, power in dimension for _ in range(-power)]
    return "/".join([" ".join(above) or "1", *below])


def is_number(value: object) -> TypeGuard[float]:
    """Return whether a value is a finite number; a boolean is not a number."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return math.isfinite(value)


@dataclass(slots=True, frozen=True)
class Quantity:
    """A number in base units."""

    value: float
    dimension: Dimension = ()

    @classmethod
    def of(cls, value: float, unit: str) -> Quantity:
        """Return the quantity that is ``value`` times a unit.

        Raises:
            UnitError: The number is not finite, or there is no such unit.
        """
        if not is_number(value):
            raise UnitError(f"{str(value)[:SHOWN_VALUE_MAX_CHARS]!r} is no number")
        parsed = parse_unit(unit)
        return cls(value * parsed.scale, parsed.dimension)

    def to(self, unit: str) -> float:
        """Return the quantity's number in a unit.

        Raises:
            UnitError: The unit has another dimension.
        """
        parsed = parse_unit(unit)
        if parsed.dimension != self.dimension:
            raise UnitError(f"expected {unit!r}, got {dimension_text(self.dimension)!r}")
        return self.value / parsed.scale

    def _check_same_dimension(self, other: Quantity) -> None:
        if self.dimension != other.dimension:
            raise UnitError(
                f"{dimension_text(self.dimension)!r} and {dimension_text(other.dimension)!r} "
                "can't be summed or compared"
            )

    def __add__(self, other: Quantity) -> Quantity:
        self._check_same_dimension(other)
        return Quantity(self.value + other.value, self.dimension)

    def __sub__(self, other: Quantity) -> Quantity:
        self._check_same_dimension(other)
        return Quantity(self.value - other.value, self.dimension)

    def __mul__(self, other: Quantity) -> Quantity:
        return Quantity(
            self.value * other.value, _multiply_dimensions(self.dimension, other.dimension, 1)
        )

    def __truediv__(self, other: Quantity) -> Quantity:
        if not other.value:
            raise UnitError("division by zero")
        return Quantity(
            self.value / other.value, _multiply_dimensions(self.dimension, other.dimension, -1)
        )

    def __le__(self, other: Quantity) -> bool:
        self._check_same_dimension(other)
        return self.value <= other.value


def format_number(value: float) -> str:
    """Return a number with three significant digits and commas between thousands."""
    if value == 0:
        return "0"
    decimals = SIGNIFICANT_DIGITS - 1 - math.floor(math.log10(abs(value)))
    rounded = round(value, decimals)
    if decimals <= 0 or rounded == int(rounded):
        return f"{rounded:,.0f}"
    return f"{rounded:,.{decimals}f}".rstrip("0")


def _unit_words(unit: str, singular: bool) -> str:
    """Return a unit's numerator as the page shows it."""
    words = unit.split()
    if not words or unit in ("1", "%"):
        return ""
    if len(words) > 1:
        # Processor time and processor share name the core last, as in "us of a core".
        if words[0] == "core":
            return " ".join([*words[1:], "of a core"])
        if words[0] == "%":
            return "of a core"
    if not singular and unit in (*COUNTED_UNITS, "core", "day"):
        return f"{unit}s"
    return unit


def _article(noun: str) -> str:
    return "an" if noun[0] in VOWELS else "a"


def format_quantity(quantity: Quantity, unit: str) -> str:
    """Return a quantity as the page shows it, in a given unit.

    Raises:
        UnitError: The unit has another dimension.
    """
    head, *below = unit.split("/")
    number = format_number(quantity.to(unit))
    words = _unit_words(head, number == "1")
    # A time in the denominator is shown as a rate ("/s"), a counted unit as an owner ("a broker").
    rate = "".join(f"/{word}" for word in below if word not in COUNTED_UNITS)
    owners = "".join(f" {_article(word)} {word}" for word in below if word in COUNTED_UNITS)
    percent = "%" if head.startswith("%") else ""
    space = " " if words else ""
    return f"{number}{percent}{space}{words}{rate}{owners}"
