"""Measurements as stored in `measurements/`: their format and its checks.

No I/O: files are parsed elsewhere. The stored fit is compared with the points, which reveals points
that were edited by hand.
"""

from __future__ import annotations

import re
import statistics
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from umberusher.capacity.field_reader import FieldReader
from umberusher.capacity.line_fit import LineFit, Point, fit_line, relative_difference

FORMAT_VERSION = 1
ROLES = ("broker", "discovery", "engine", "client connection", "tools")
# The clock of the values: that of the machine, that of a scale run, or none, for counts such as
# bytes and messages.
CLOCKS = ("wall", "step", "counted")
# Accepted relative difference between a stored fit, which is rounded to six digits, and that of the
# points.
FIT_TOLERANCE = 1e-3
NAME_PATTERN = re.compile(r"[a-z0-9]+(-[a-z0-9]+)*")
COMMIT_PATTERN = re.compile(r"[0-9a-f]{40}")
FIT_FIELDS = {"base", "slope", "residuals", "linear_to"}


class MeasuredPoint(NamedTuple):
    """A size, and the values measured there, one per round."""

    x: float
    values: list[float]


class UnreachedPoint(NamedTuple):
    """A size at which the measurement did not succeed, and why."""

    x: float
    reason: str


@dataclass(slots=True)
class Measurement:
    """One cost measured at one or more sizes, with what is needed to repeat the measurement.

    Attributes:
        name: Lower-case words joined by ``-``.
        role: The role that has the cost.
        description: What was measured.
        size_label: What the sizes count.
        unit: The unit of the values.
        command: The command that repeats the measurement.
        commit: The commit of the measured program.
        clock: One of ``CLOCKS``.
        points: The measured points in order of size.
        fit: The line through the medians; None if there is only one point.
        dirty: Whether the measured program had uncommitted changes.
        measured_at: The time of the measurement, UTC.
        machine: The machine of the measurement.
        unreached: Sizes at which the measurement did not succeed.
    """

    name: str
    role: str
    description: str
    size_label: str
    unit: str
    command: str
    commit: str
    clock: str
    points: list[MeasuredPoint]
    fit: LineFit | None = None
    dirty: bool = False
    measured_at: str = ""
    machine: dict[str, Any] = field(default_factory=dict)
    unreached: list[UnreachedPoint] = field(default_factory=list)

    def medians(self) -> list[Point]:
        """Return each size with the median of its rounds."""
        return [Point(x, statistics.median(values)) for x, values in self.points]

    def spread(self) -> float:
        """Return the largest relative difference of a round from its point's median."""
        return max(
            abs(relative_difference(value, statistics.median(values)))
            for _, values in self.points
            for value in values
        )


def read_measurement(raw: object, file: str) -> Measurement:
    """Return a measurement from its parsed JSON.

    Raises:
        ValueError: The document is no valid measurement; one line ``file: field: reason``.
    """
    if not isinstance(raw, Mapping):
        raise ValueError(f"{file}: v: must be an object with the fields of a measurement")
    reader = FieldReader(raw, file)
    if reader.required("v") != FORMAT_VERSION:
        raise reader.error("v", f"must be {FORMAT_VERSION}, is {raw['v']!r}")
    name = reader.matching_text("name", NAME_PATTERN, "lower-case words joined by -")
    role = reader.text("role", ROLES)
    clock = reader.text("clock", CLOCKS)
    description = reader.text("what")
    size_label = reader.text("by")
    unit = reader.text("unit")
    command = reader.text("command")
    measured_at = reader.text("at")
    commit = reader.matching_text(
        "commit", COMMIT_PATTERN, "a whole commit of 40 hexadecimal digits"
    )
    for required in ("dirty", "machine", "rounds"):
        reader.required(required)
    dirty = reader.boolean("dirty")
    machine = _read_machine(reader)
    rounds = reader.positive_count("rounds")
    measurement = Measurement(
        name=name,
        role=role,
        description=description,
        size_label=size_label,
        unit=unit,
        command=command,
        commit=commit,
        clock=clock,
        points=_read_points(reader, rounds),
        dirty=dirty,
        measured_at=measured_at,
        machine=machine,
        unreached=_read_unreached(reader),
    )
    measurement.fit = _read_fit(reader, measurement.medians())
    return measurement


def _read_machine(reader: FieldReader) -> dict[str, Any]:
    machine = reader.required("machine")
    if not isinstance(machine, Mapping) or not machine:
        raise reader.error("machine", "must tell the machine it was measured on")
    return dict(machine)


def _read_points(reader: FieldReader, rounds: int) -> list[MeasuredPoint]:
    points: list[MeasuredPoint] = []
    for number, item in enumerate(reader.items("points", 1)):
        name = f"points[{number}]"
        if not isinstance(item, Mapping) or set(item) != {"x", "values"}:
            raise reader.error(name, "must have x and values, nothing else")
        x = reader.non_negative(item["x"], f"{name}.x")
        if points and x <= points[-1].x:
            raise reader.error(f"{name}.x", f"must rise, {x:g} follows {points[-1].x:g}")
        values = item["values"]
        if not isinstance(values, list) or len(values) != rounds:
            raise reader.error(f"{name}.values", f"must be a list of {rounds}, one per round")
        checked = [reader.non_negative(value, f"{name}.values") for value in values]
        points.append(MeasuredPoint(x, checked))
    return points


def _read_unreached(reader: FieldReader) -> list[UnreachedPoint]:
    if "unreached" not in reader.raw:
        return []
    points: list[UnreachedPoint] = []
    for number, item in enumerate(reader.items("unreached", 1)):
        name = f"unreached[{number}]"
        if not isinstance(item, Mapping) or set(item) != {"x", "why"}:
            raise reader.error(name, "must have x and why, nothing else")
        if not isinstance(item["why"], str) or not item["why"].strip():
            raise reader.error(f"{name}.why", "must be text")
        points.append(UnreachedPoint(reader.non_negative(item["x"], f"{name}.x"), item["why"]))
    return points


def _read_fit(reader: FieldReader, points: list[Point]) -> LineFit | None:
    """Return the fit of the points after a check that the stored one agrees with it.

    The check keeps points that were edited without their fit off the page.
    """
    stored = reader.raw.get("fit")
    if len(points) < 2:
        if stored is not None:
            raise reader.error("fit", "must be left out, one point gives no line")
        return None
    if not isinstance(stored, Mapping) or set(stored) != FIT_FIELDS:
        raise reader.error("fit", "must have base, slope, residuals and linear_to, nothing else")
    expected = fit_line(points)
    _check_line(reader, stored, expected, points)
    _check_residuals(reader, stored["residuals"], expected)
    return expected


def _check_line(
    reader: FieldReader, stored: Mapping[str, Any], expected: LineFit, points: list[Point]
) -> None:
    base_tolerance = FIT_TOLERANCE * max(abs(point.y) for point in points)
    slope_tolerance = base_tolerance / (points[-1].x - points[0].x)
    for name, value, tolerance in (
        ("base", expected.base, base_tolerance),
        ("slope", expected.slope, slope_tolerance),
        ("linear_to", expected.linear_to, 0.0),
    ):
        if abs(reader.number(stored[name], f"fit.{name}") - value) > tolerance:
            raise reader.error(f"fit.{name}", f"is {stored[name]!r}, the points give {value:.6g}")


def _check_residuals(reader: FieldReader, stored: object, expected: LineFit) -> None:
    name = "fit.residuals"
    count = len(expected.residuals)
    if not isinstance(stored, list) or len(stored) != count:
        raise reader.error(name, f"must be a list of {count}, one per point")
    for value, residual in zip(stored, expected.residuals, strict=True):
        if abs(reader.number(value, name) - residual) > FIT_TOLERANCE:
            raise reader.error(name, f"has {value!r}, the points give {residual:.6g}")
