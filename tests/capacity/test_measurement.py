"""The checks of a measurement's document.

Guard against files that lack what is needed to repeat the measurement, and against points that were
edited by hand: their fit no longer agrees with them.
"""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from umberusher.capacity.measurement import read_measurement

MEASUREMENTS_FOLDER = Path(__file__).resolve().parents[2] / "measurements"


def document(**overrides: Any) -> dict[str, Any]:
    """Return a valid document of a measurement on the line 10 + 0.5 x."""
    return {
        "v": 1,
        "name": "broker-change-cpu",
        "role": "broker",
        "what": "processor time for a change",
        "unit": "us",
        "by": "engines listed",
        "command": "python scripts/measure_slopes.py broker-change-cpu",
        "commit": "0123456789" * 4,
        "dirty": False,
        "clock": "wall",
        "machine": {"cores": 8},
        "at": "2026-01-02T03:04:05Z",
        "rounds": 3,
        "points": [
            {"x": x, "values": [10 + 0.5 * x, 9.0 + 0.5 * x, 12 + 0.5 * x]}
            for x in (2, 20, 40, 60, 80)
        ],
        "fit": {"base": 10, "slope": 0.5, "residuals": [0, 0, 0, 0, 0], "linear_to": 80},
    } | overrides


def test_read_measurement_returns_medians_and_fit():
    found = read_measurement(document(), "a.json")
    assert found.medians()[0] == (2, 11)
    assert found.points[0][1] == [11, 10, 13]
    assert found.fit.slope == pytest.approx(0.5)
    assert found.fit.linear_to == 80
    assert found.unreached == []
    assert found.spread() == pytest.approx(2 / 13)


def test_read_measurement_has_no_fit_with_one_point():
    single = document(points=[{"x": 6, "values": [1, 2, 3]}], fit=None)
    assert read_measurement(single, "a.json").fit is None
    with pytest.raises(ValueError, match=r"a.json: fit: must be left out"):
        read_measurement(single | {"fit": document()["fit"]}, "a.json")


def test_read_measurement_returns_unreached_sizes_apart_from_the_points():
    found = read_measurement(
        document(unreached=[{"x": 32_000, "why": "not settled within 30 s"}]), "a.json"
    )
    assert found.unreached == [(32_000, "not settled within 30 s")]
    assert len(found.points) == 5


OMITTED = object()  # the field is left out
POINTS = document()["points"]
INVALID_FIELDS = [
    ("unit", OMITTED, "unit: missing"),
    ("unit", "", "unit: must be one line"),
    ("unit", "u\ns", "unit: must be one line"),
    ("v", 2, "v: must be 1"),
    ("v", OMITTED, "v: missing"),
    ("name", "Broker CPU", "name: must be lower-case"),
    ("role", "cook", "role: must be one of broker, discovery"),
    ("clock", "sun", "clock: must be one of wall"),
    ("command", OMITTED, "command: missing"),
    ("by", 3, "by: must be one line"),
    ("what", OMITTED, "what: missing"),
    ("at", OMITTED, "at: missing"),
    ("commit", "70bc7e5", "commit: must be a whole commit"),
    ("dirty", 0, "dirty: must be"),
    ("machine", {}, "machine: must tell"),
    ("rounds", 0, "rounds: must be a count"),
    ("rounds", True, "rounds: must be a count"),
    ("rounds", 4, r"points[0].values: must be a list of 4"),
    ("points", [], "points: must be a list of 1"),
    ("points", [{"x": 1}], "points[0]: must have x and values"),
    ("points", POINTS[::-1], "points[1].x: must rise, 60 follows 80"),
    ("points", [POINTS[0], POINTS[0]], "points[1].x: must rise, 2 follows 2"),
    ("points", [{"x": -1, "values": [1, 1, 1]}], "points[0].x: must not be negative"),
    ("points", [{"x": 1, "values": [1, "1", 1]}], "points[0].values: must be a number"),
    ("points", [{"x": 1, "values": [1, float("nan"), 1]}], "points[0].values: must be a number"),
    ("points", [{"x": 1, "values": [1, True, 1]}], "points[0].values: must be a number"),
    ("fit", OMITTED, "fit: must have base"),
    ("fit", None, "fit: must have base"),
    ("fit", document()["fit"] | {"slope": 0.6}, "fit.slope: is 0.6, the points give 0.5"),
    ("fit", document()["fit"] | {"base": 11}, "fit.base: is 11, the points give 10"),
    ("fit", document()["fit"] | {"linear_to": 60}, "fit.linear_to: is 60, the points give 80"),
    ("fit", document()["fit"] | {"residuals": [0, 0, 0, 0]}, "fit.residuals: must be a list of 5"),
    ("fit", document()["fit"] | {"residuals": [0, 0, 0, 0, 0.2]}, "fit.residuals: has 0.2"),
    ("unreached", [{"x": 1}], "unreached[0]: must have x and why"),
    ("unreached", [{"x": 1, "why": ""}], "unreached[0].why: must be text"),
]


@pytest.mark.parametrize(("name", "value", "message"), INVALID_FIELDS)
def test_read_measurement_names_an_invalid_field_in_one_line(name, value, message):
    bad = document(**{name: value})
    if value is OMITTED:
        del bad[name]
    with pytest.raises(ValueError) as caught:
        read_measurement(bad, "m/a.json")
    assert str(caught.value).startswith(f"m/a.json: {message}")
    assert "\n" not in str(caught.value)


@pytest.mark.parametrize("wrong", [None, [], "text", 3])
def test_read_measurement_raises_when_the_document_is_no_object(wrong):
    with pytest.raises(ValueError, match=r"^a\.json: v: must be an object"):
        read_measurement(wrong, "a.json")


def test_read_measurement_raises_when_a_point_was_edited_without_the_fit():
    bad = document()
    bad["points"][4]["values"] = [70, 70, 70]
    with pytest.raises(ValueError, match=r"a.json: fit\."):
        read_measurement(bad, "a.json")


def test_read_measurement_reads_each_stored_measurement():
    for path in sorted(MEASUREMENTS_FOLDER.glob("*.json")):
        found = read_measurement(json.loads(path.read_text()), path.name)
        assert path.name.split(".")[0] == found.name and not found.dirty, path.name
