"""Figures with what is known of them: a sum is as sure as the least sure of its parts.

What was not measured stays so in every sum that it is a part of.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from umberusher.capacity.units import Quantity


class Basis(IntEnum):
    """How a figure is known, the surest first.

    Attributes:
        PLANNED: Of the plan and the program's constants alone.
        RAN: Measured at this size.
        PLAYED: At this size, by simulated brokers and engines on the step clock.
        SUMMED: Of what was measured in this range.
        EXTRAPOLATED: Beyond what was measured, or from one process to many.
    """

    PLANNED = 0
    MEASURED = 1
    SIMULATED = 2
    CALCULATED = 3
    EXTRAPOLATED = 4


BASIS_TEXTS = {
    Basis.PLANNED: "reckoned",
    Basis.MEASURED: "ran",
    Basis.SIMULATED: "played",
    Basis.CALCULATED: "summed",
    Basis.EXTRAPOLATED: "extrapolated",
}


class Operands(NamedTuple):
    """The values of two estimates."""

    left: Quantity
    right: Quantity


@dataclass(slots=True, frozen=True)
class Estimate:
    """A figure with its basis.

    Attributes:
        value: The figure; None where a part was not measured, or not reached when measured.
        basis: How it is known.
        sources: Keys of the measurements that it is made of.
        absent: Keys of measurements that do not exist.
        unreached_reason: Why it was not reached when measured.
    """

    value: Quantity | None
    basis: Basis = Basis.PLANNED
    sources: tuple[str, ...] = ()
    absent: tuple[str, ...] = ()
    unreached_reason: str = ""

    def _combined(
        self, other: Estimate | Quantity, value: Quantity | None, basis_floor: Basis
    ) -> Estimate:
        """Return an estimate made of this and another, at most as sure as ``basis_floor``."""
        right = other if isinstance(other, Estimate) else Estimate(other)
        basis = max(self.basis, right.basis)
        if self.sources or right.sources:
            basis = max(basis, basis_floor)
        return Estimate(
            value,
            basis,
            _unique(self.sources + right.sources),
            _unique(self.absent + right.absent),
            self.unreached_reason or right.unreached_reason,
        )

    def _operands(self, other: Estimate | Quantity) -> Operands | None:
        """Return both values, or None if one is not known."""
        value = other.value if isinstance(other, Estimate) else other
        if self.value is None or value is None:
            return None
        return Operands(self.value, value)

    def __add__(self, other: Estimate | Quantity) -> Estimate:
        operands = self._operands(other)
        value = operands and operands.left + operands.right
        return self._combined(other, value, Basis.CALCULATED)

    def __mul__(self, other: Estimate | Quantity) -> Estimate:
        """Return the product.

        What is measured on one broker and multiplied by brokers is extrapolated: many share what
        they use.
        """
        operands = self._operands(other)
        value = operands and operands.left * operands.right
        by_brokers = isinstance(other, Quantity) and ("broker", 1) in other.dimension
        return self._combined(other, value, Basis.EXTRAPOLATED if by_brokers else Basis.CALCULATED)

    def __truediv__(self, other: Estimate | Quantity) -> Estimate:
        operands = self._operands(other)
        value = operands and operands.left / operands.right
        return self._combined(other, value, Basis.CALCULATED)


def _unique(keys: tuple[str, ...]) -> tuple[str, ...]:
    return tuple(dict.fromkeys(keys))


def smaller(one: Estimate, other: Estimate) -> Estimate:
    """Return the smaller of two bounds, or one that is not known."""
    if one.value is None:
        return one
    if other.value is None:
        return other
    return one if one.value <= other.value else other
