"""Helpers of the capacity tests: documents of measurements with made-up figures."""

from __future__ import annotations

from pathlib import Path

from umberusher.capacity.line_fit import fit_line
from umberusher.capacity.measurement import read_measurement

ROOT = Path(__file__).parents[2]
PLAN = ROOT / "deploy/capacity/size-to-plan-with.star"

POINTS = (1_000, 10.0), (8_000, 80.0), (32_000, 320.0)


def measurement_document(
    name="made-up", unit="us", by="engines listed", points=POINTS, **overrides
):
    """Return a measurement's document with made-up figures."""
    fit = fit_line(points) if len(points) > 1 else None
    return {
        "v": 1,
        "name": name,
        "role": "broker",
        "what": "made up",
        "by": by,
        "unit": unit,
        "command": "none",
        "commit": "0123456789" * 4,
        "dirty": False,
        "clock": "wall",
        "machine": {"cores": 1},
        "rounds": 1,
        "at": "2026-12-02T04:00:00Z",
        "points": [{"x": x, "values": [y]} for x, y in points],
        "fit": fit
        and {
            "base": fit.base,
            "slope": fit.slope,
            "residuals": fit.residuals,
            "linear_to": fit.linear_to,
        },
    } | overrides


def read_all(*documents, suffix=""):
    return {each["name"] + suffix: read_measurement(each, each["name"]) for each in documents}
