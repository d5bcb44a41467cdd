"""Costs at the planned size, read from measurements and scale runs."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from itertools import pairwise
from typing import NamedTuple

from umberusher.capacity.estimates import Basis, Estimate
from umberusher.capacity.line_fit import LineFit, Point
from umberusher.capacity.measurement import Measurement
from umberusher.capacity.plan import Plan
from umberusher.capacity.scale_records import ScaleRecord, is_real_broker_figure
from umberusher.capacity.units import Quantity, UnitError, parse_unit

# Key suffix of the measurements of the version that was not yet designed for the planned size.
EARLIER_VERSION = ".70bc7e5"
# Largest relative difference between two sizes that count as the same.
SAME_SIZE_TOLERANCE = 0.005


@dataclass(slots=True, frozen=True)
class MeasurementSource:
    """A measurement to read, and the unit that formulas use for it.

    Attributes:
        name: The measurement's name.
        size_label: What its sizes count, as written in its file.
        raw_unit: Its unit, as written in its file.
        unit: The unit that formulas use for it.
    """

    name: str
    size_label: str
    raw_unit: str
    unit: str


@dataclass(slots=True, frozen=True)
class SceneSource:
    """A figure of a scale run to read, and the unit that formulas use for it.

    Attributes:
        name: The run's name.
        figure: Scene and figure, as written in the record.
        raw_unit: The figure's unit, as written in the record.
        unit: The unit that formulas use for it.
    """

    name: str
    figure: str
    raw_unit: str
    unit: str


class InterpolatedCost(NamedTuple):
    """A measurement's figure at a size, and how it was obtained."""

    value: float
    basis: Basis


def is_same_size(one: float, other: float) -> bool:
    """Return whether two sizes count as the same."""
    return abs(one - other) <= SAME_SIZE_TOLERANCE * max(one, other)


def interpolate(measurement: Measurement, x: float) -> InterpolatedCost:
    """Return a measurement's figure at a size: that of the measured point, else of the fit.

    If not all points lie on one line, the line between the two neighbouring points replaces the
    fit within the measured range, and the line through the last two points above it. Outside the
    range a figure is never below that of the nearest point, since a line may run below 0.

    Raises:
        UnitError: The measurement has a single point, at another size.
    """
    points = measurement.medians()
    for point in points:
        if is_same_size(point.x, x):
            return InterpolatedCost(point.y, Basis.MEASURED)
    fit = measurement.fit
    if fit is None:
        raise UnitError(
            f"{measurement.name}: measured at {points[0].x:g} {measurement.size_label} alone, "
            f"not at {x:g}"
        )
    if x < points[0].x:
        return InterpolatedCost(max(fit.at(x), points[0].y), Basis.EXTRAPOLATED)
    if x > points[-1].x:
        return InterpolatedCost(_extrapolate_above(points, fit, x), Basis.EXTRAPOLATED)
    if fit.linear_to >= points[-1].x:
        return InterpolatedCost(max(fit.at(x), 0.0), Basis.CALCULATED)
    return InterpolatedCost(_interpolate_between(points, x), Basis.CALCULATED)


def _extrapolate_above(points: list[Point], fit: LineFit, x: float) -> float:
    """Return the figure above the largest measured size."""
    low, last = points[-2:]
    if fit.linear_to >= last.x:
        return max(fit.at(x), last.y)
    slope = (last.y - low.y) / (last.x - low.x)
    return max(last.y + slope * (x - last.x), last.y)


def _interpolate_between(points: list[Point], x: float) -> float:
    """Return the figure on the line between the two points next to a size."""
    low, high = next(pair for pair in pairwise(points) if pair[1].x >= x)
    return low.y + (high.y - low.y) / (high.x - low.x) * (x - low.x)


class MeasuredCosts:
    """Reads measurements at the plan's sizes.

    Args:
        plan: The numbers to plan with.
        program: The program's constants by name.
        measurements: The measurements by key.
        records: The scale runs by key.
        version: The key suffix of the measurements to read; empty for the current version.
    """

    def __init__(
        self,
        plan: Plan,
        program: Mapping[str, Quantity],
        measurements: Mapping[str, Measurement],
        records: Mapping[str, ScaleRecord] | None = None,
        version: str = "",
    ) -> None:
        self.plan = plan
        self.program = program
        self.measurements = measurements
        self.records: Mapping[str, ScaleRecord] = records or {}
        self.version = version

    def of_version(self, version: str) -> MeasuredCosts:
        """Return the costs by another version's measurements."""
        return MeasuredCosts(self.plan, self.program, self.measurements, self.records, version)

    def budget(self, name: str) -> Quantity | None:
        """Return a plan field or program constant by name; None if the name is empty."""
        if not name:
            return None
        return self.plan.values[name] if name in self.plan.values else self.program[name]

    def _measurement_key(self, name: str) -> str:
        """Return the key of a measurement of this version.

        If the current version has none, it is the newest one apart from the earlier version's.
        """
        if self.version or name in self.measurements:
            return name + self.version
        others = [
            key
            for key in self.measurements
            if key.startswith(f"{name}.") and key != name + EARLIER_VERSION
        ]
        return max(others, key=lambda key: self.measurements[key].measured_at, default=name)

    def cost(self, source: MeasurementSource, size: Quantity | float | None = None) -> Estimate:
        """Return the cost that a measurement gives at a size, in the unit of its source.

        Args:
            source: The measurement to read.
            size: The size; None for the largest measured one.

        Raises:
            UnitError: The file has another unit or another size label than the source.
        """
        key = self._measurement_key(source.name)
        measurement = self.measurements.get(key)
        if measurement is None:
            return Estimate(None, Basis.MEASURED, (), (key,))
        _check_matches(key, "unit", measurement.unit, source.raw_unit)
        _check_matches(key, "by", measurement.size_label, source.size_label)
        x = measurement.points[-1].x if size is None else _size_value(size)
        for unreached in measurement.unreached:
            if is_same_size(unreached.x, x):
                return Estimate(None, Basis.MEASURED, (key,), (), unreached.reason)
        cost = interpolate(measurement, x)
        unit = parse_unit(source.unit)
        return Estimate(Quantity(cost.value * unit.scale, unit.dimension), cost.basis, (key,))

    def scene_figure(self, source: SceneSource) -> Estimate:
        """Return a figure of a scale run; without a value if scene or planned size were not run.

        Raises:
            UnitError: The record has the figure in another unit than the source.
        """
        key = self._measurement_key(source.name)
        record = self.records.get(key)
        if record is None:
            return Estimate(None, Basis.SIMULATED, (), (key,))
        if not self._is_planned_size(record):
            return Estimate(None, Basis.SIMULATED, (), (f"{key} at the size",))
        if record.unreached_reason:
            return Estimate(None, Basis.MEASURED, (key,), (), record.unreached_reason)
        figure = record.figures.get(source.figure)
        if figure is None:
            return Estimate(None, Basis.SIMULATED, (), (f"{key}: {source.figure}",))
        if figure.unit != source.raw_unit:
            raise UnitError(
                f"{key}: {source.figure}: is in {figure.unit!r}, {source.raw_unit!r} is read here"
            )
        unit = parse_unit(source.unit)
        basis = Basis.MEASURED if is_real_broker_figure(source.figure) else Basis.SIMULATED
        return Estimate(Quantity(figure.value * unit.scale, unit.dimension), basis, (key,))

    def _is_planned_size(self, record: ScaleRecord) -> bool:
        brokers = self.plan.brokers.value
        if record.brokers is not None and not _is_planned(record.brokers, brokers):
            return False
        return _is_planned(record.engines, self.plan.engines.value)


def _size_value(size: Quantity | float) -> float:
    return size.value if isinstance(size, Quantity) else size


def _is_planned(played: float, planned: float) -> bool:
    return abs(played - planned) <= SAME_SIZE_TOLERANCE * planned


def _check_matches(key: str, field: str, found: str, expected: str) -> None:
    if found != expected:
        raise UnitError(f"{key}: {field}: is {found!r}, {expected!r} is read here")
