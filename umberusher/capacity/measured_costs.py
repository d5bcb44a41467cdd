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

# Suffix of the measurements of the program before it was made for this size.
EARLIER_VERSION = ".70bc7e5"
# Relative: a point this near to a size is at the size.
SAME_SIZE_TOLERANCE = 0.005


@dataclass(slots=True, frozen=True)
class MeasurementSource:
    """Which measurement is read, and as what.

    Attributes:
        name: The measurement's name.
        by: What its sizes count, as its file has it.
        raw_unit: Its unit, as its file has it.
        unit: What that unit means here.
    """

    name: str
    size_label: str
    raw_unit: str
    unit: str


@dataclass(slots=True, frozen=True)
class SceneSource:
    """Which figure of a scale run is read, and as what.

    Attributes:
        name: The run's name.
        figure: Scene and figure, as the record has them.
        raw_unit: The figure's unit, as the record has it.
        unit: What that unit means here.
    """

    name: str
    figure: str
    raw_unit: str
    unit: str


class InterpolatedCost(NamedTuple):
    """A measurement's figure at a size, and how it is known."""

    value: float
    basis: Basis


def is_same_size(one: float, other: float) -> bool:
    """Return whether two sizes count as the same."""
    return abs(one - other) <= SAME_SIZE_TOLERANCE * max(one, other)


def interpolate(measurement: Measurement, x: float) -> InterpolatedCost:
    """Return a measurement's figure at a size: the measured point, else its fit.

    Where not all points lie on one line, it is the line between the two points beside it, or
    through the two last ones. Beyond the ends a figure never falls under that of the nearest
    point: guards against a line that runs below 0.

    Raises:
        UnitError: It was measured at one other size only.
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
    """Return the figure on the line between the two points beside a size."""
    low, high = next(pair for pair in pairwise(points) if pair[1].x >= x)
    return low.y + (high.y - low.y) / (high.x - low.x) * (x - low.x)


class MeasuredCosts:
    """Reads measurements at the plan's sizes.

    Args:
        plan: The numbers to plan with.
        program: The program's constants by name.
        measurements: The measurements by key.
        records: The scale runs by key.
        version: The suffix of the measurements that are read; empty for the program of now.
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
        """Return the same costs of another version's measurements."""
        return MeasuredCosts(self.plan, self.program, self.measurements, self.records, version)

    def budget(self, name: str) -> Quantity | None:
        """Return a number of the plan or a constant of the program; None without a name."""
        if not name:
            return None
        return self.plan.values[name] if name in self.plan.values else self.program[name]

    def _measurement_key(self, name: str) -> str:
        """Return the key of a measurement of this version.

        Where the program of now has none, it is the newest since the earlier version.
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
        """Return what a measurement gives at a size, in the units of what it counts by.

        Args:
            source: Which measurement to read.
            size: The size; None is its largest.

        Raises:
            UnitError: Its file measures in another unit, or by something else, than is read here.
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
        """Return a figure of a scale run; none where that scene, or this size, was not played.

        Raises:
            UnitError: The record has the figure in another unit than is read here.
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
