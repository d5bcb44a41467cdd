"""Figures with how they were obtained: a result is as certain as its least certain operand.

A result with an operand that was not measured counts as not measured.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum
from typing import NamedTuple

from umberusher.capacity.units import Quantity


class Basis(IntEnum):
    """How a figure was obtained, the most certain way first.

    Attributes:
        PLANNED: Computed from the plan and the program's constants alone.
        MEASURED: Measured at this size.
        SIMULATED: Measured at this size with simulated brokers and engines on the step clock.
        CALCULATED: Calculated from measurements, within their range of sizes.
        EXTRAPOLATED: Beyond the measured range of sizes, or from one process to many.
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
        value: The figure; None if an operand was not measured, or its size was not reached.
        basis: How the figure was obtained.
        sources: Keys of the measurements that it is computed from.
        absent: Keys of measurements that it needs and that do not exist.
        unreached_reason: Why a measurement did not reach the size; empty if all did.
    """

    value: Quantity | None
    basis: Basis = Basis.PLANNED
    sources: tuple[str, ...] = ()
    absent: tuple[str, ...] = ()
    unreached_reason: str = ""

    def _combined(
        self, other: Estimate | Quantity, value: Quantity | None, basis_floor: Basis
    ) -> Estimate:
        """Return the combination with another; with measured data no surer than ``basis_floor``."""
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
        """Return both values, or None if one is unknown."""
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

        A cost of one broker multiplied by a number of brokers is extrapolated: many brokers share
        resources that the measured one had to itself.
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
    """Return the smaller of two estimates, or one that is unknown."""
    if one.value is None:
        return one
    if other.value is None:
        return other
    return one if one.value <= other.value else other
