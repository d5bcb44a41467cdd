"""Records that hold more than one figure a size: scale runs by scene, and watched real brokers.

On the step clock a run's digest is that of its figures, so that one which was changed by hand
shows.
"""

from __future__ import annotations

import statistics
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from umberusher.capacity.units import is_number
from umberusher.scale.figures import digest

# The scene of real brokers: on the wall clock, and not in the digest.
REAL_SCENE = "real"
# The units of watched figures, by how their names end; the first that fits counts.
UNITS_BY_SUFFIX = {"kb_s": "KB/s", "_mb": "MB", "_ms": "ms", "share": "% of a core", "_s": "s"}


class RecordedFigure(NamedTuple):
    """A figure of a record, in the record's unit."""

    value: float
    unit: str


@dataclass(slots=True, frozen=True)
class ScaleRecord:
    """The figures of a run, and the size it was played at.

    Attributes:
        figures: By ``scene: name``.
        brokers: Brokers that were played; None where one real broker was watched.
        engines: Engines that were listed.
        unreached_reason: Why there are no figures; empty where there are.
    """

    figures: Mapping[str, RecordedFigure]
    brokers: float | None
    engines: float
    unreached_reason: str = ""


def is_real_broker_figure(figure: str) -> bool:
    """Return whether a figure is of real brokers, and so of the wall clock."""
    return figure.startswith(f"{REAL_SCENE}: ")


def read_watched_brokers(raw: Mapping[str, Any], file: str) -> dict[str, ScaleRecord]:
    """Return the records of real brokers of several versions, watched in one run.

    The figures are medians over rounds, their units go by their names' ends. A version of which a
    round has no figures has none, and the reason.

    Returns:
        The records by version.

    Raises:
        ValueError: The record's form is wrong; one line ``file: field: what is wrong``.
    """
    try:
        return {
            str(version_record["version"]): _read_version(version_record)
            for version_record in raw["plays"]
        }
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        raise ValueError(f"{file}: plays: {type(error).__name__} {error}") from None


def _read_version(version_record: Mapping[str, Any]) -> ScaleRecord:
    rounds = version_record["plays"]
    engines = float(version_record["listed"])
    for each in rounds:
        if "not_good" in each:
            return ScaleRecord({}, None, engines, str(each["not_good"]))
    figures = {}
    for name in sorted(set.intersection(*map(set, rounds))):
        unit = _unit_of(name)
        if unit is not None and all(type(each[name]) in (int, float) for each in rounds):
            median = statistics.median(each[name] for each in rounds)
            figures[f"{REAL_SCENE}: {name}"] = RecordedFigure(median, unit)
    return ScaleRecord(figures, None, engines)


def _unit_of(name: str) -> str | None:
    for suffix, unit in UNITS_BY_SUFFIX.items():
        if name.endswith(suffix):
            return unit
    return None


def read_scale_record(raw: Mapping[str, Any], file: str) -> ScaleRecord:
    """Return the record of a scale run.

    Raises:
        ValueError: It is none, or was changed; one line ``file: field: what is wrong``.
    """
    figures = raw.get("figures")
    size = raw.get("size")
    if not isinstance(figures, Mapping) or not isinstance(size, Mapping):
        raise ValueError(f"{file}: figures: must stand beside the size that was played")
    found: dict[str, RecordedFigure] = {}
    scenes: dict[str, dict[str, Any]] = {}
    for name, figure in figures.items():
        found[name] = _read_figure(figure, name, file)
        scene, _, figure_name = name.partition(": ")
        if scene != REAL_SCENE:
            scenes.setdefault(scene, {})[figure_name] = figure
    if scenes and digest(scenes) != raw.get("digest"):
        raise ValueError(
            f"{file}: digest: is {raw.get('digest')!r}, the figures give {digest(scenes)!r}"
        )
    try:
        return ScaleRecord(found, float(size["brokers"]), float(size["engines"]))
    except (KeyError, TypeError, ValueError):
        raise ValueError(f"{file}: size: must name brokers and engines") from None


def _read_figure(figure: object, name: str, file: str) -> RecordedFigure:
    if isinstance(figure, Mapping):
        value = figure.get("value")
        unit = figure.get("unit")
        if is_number(value) and isinstance(unit, str):
            return RecordedFigure(float(value), unit)
    raise ValueError(f"{file}: figures: {name!r} must be a number with its unit")
