"""Records with several figures for one size: scale runs by scene, and observed real brokers.

A record has a digest of the figures from the step clock, which reveals figures that were edited by
hand.
"""

from __future__ import annotations

import statistics
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from umberusher.capacity.units import is_number
from umberusher.scale.figures import digest

# The scene of real brokers; it runs on the wall clock and is not part of the digest.
REAL_SCENE = "real"
# Units of observed figures by the suffix of their names; the first match applies.
UNITS_BY_SUFFIX = {"kb_s": "KB/s", "_mb": "MB", "_ms": "ms", "share": "% of a core", "_s": "s"}


class RecordedFigure(NamedTuple):
    """A figure of a record, in the record's unit."""

    value: float
    unit: str


@dataclass(slots=True, frozen=True)
class ScaleRecord:
    """The figures of a run, and the size of its fleet.

    Attributes:
        figures: The figures by ``scene: name``.
        brokers: The number of simulated brokers; None if one real broker was observed.
        engines: The number of engines in the endpoint list.
        unreached_reason: Why there are no figures; empty if there are some.
    """

    figures: Mapping[str, RecordedFigure]
    brokers: float | None
    engines: float
    unreached_reason: str = ""


def is_real_broker_figure(figure: str) -> bool:
    """Return whether a figure is of real brokers, and thus was measured on the wall clock."""
    return figure.startswith(f"{REAL_SCENE}: ")


def read_watched_brokers(raw: Mapping[str, Any], file: str) -> dict[str, ScaleRecord]:
    """Return the records of real brokers of several versions that were observed in one run.

    The figures are medians over rounds, with units by the suffixes of their names. If any round of
    a version has no figures, the version's record has the reason in place of figures.

    Returns:
        The records by version.

    Raises:
        ValueError: The record is malformed; one line ``file: field: reason``.
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
        ValueError: It is invalid or was edited; one line ``file: field: reason``.
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
