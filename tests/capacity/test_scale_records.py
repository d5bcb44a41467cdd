"""Records of scale runs and of observed real brokers.

Guards against figures that were edited after the run, that belong to a smaller fleet, or that hide a
round in which a broker failed.
"""

from __future__ import annotations

import pytest

from tests.capacity.documents import PLAN, measurement_document
from umberusher.capacity.estimates import Basis
from umberusher.capacity.measured_costs import EARLIER_VERSION, MeasuredCosts, SceneSource
from umberusher.capacity.scale_records import read_scale_record, read_watched_brokers
from umberusher.capacity.units import UnitError
from umberusher.commands import capacity
from umberusher.scale.figures import digest


def scale_document(figures, brokers=2_100, engines=32_000, **overrides):
    """Return a scale run's record with made-up figures."""
    scenes = {}
    for name, each in figures.items():
        scene, _, figure_name = name.partition(": ")
        if scene != "real":
            scenes.setdefault(scene, {})[figure_name] = each
    return (
        measurement_document(
            "scale-made-up",
            "s",
            "brokers",
            ((brokers, 3.0),),
            figures=figures,
            digest=digest(scenes),
            size={"brokers": brokers, "engines": engines},
        )
        | overrides
    )


FIGURES = {
    "zone_lost: in force: largest": {"value": 3.0, "unit": "s"},
    "real: in force": {"value": 2.0, "unit": "s"},
}


def test_scene_figure_is_read_by_scene_and_only_at_planned_size():
    plan = capacity.load_plan(str(PLAN))

    def scene_figure(document, figure, unit="s"):
        return MeasuredCosts(
            plan, {}, {}, {"scale-made-up": read_scale_record(document, "x.json")}
        ).scene_figure(SceneSource("scale-made-up", figure, unit, "s"))

    found = scene_figure(scale_document(FIGURES), "zone_lost: in force: largest")
    assert found.value.to("s") == 3.0
    assert found.basis is Basis.SIMULATED
    assert found.sources == ("scale-made-up",)
    assert scene_figure(scale_document(FIGURES), "real: in force").basis is Basis.MEASURED
    assert scene_figure(scale_document(FIGURES), "lumps: in force").absent == (
        "scale-made-up: lumps: in force",
    )
    assert scene_figure(scale_document(FIGURES, brokers=200), "real: in force").absent == (
        "scale-made-up at the size",
    )
    assert scene_figure(scale_document(FIGURES, engines=60), "real: in force").value is None
    with pytest.raises(UnitError, match="is in 's', 'ms' is read here"):
        scene_figure(scale_document(FIGURES), "real: in force", "ms")


@pytest.mark.parametrize(
    "overrides, message",
    [
        (
            {"figures": FIGURES | {"zone_lost: in force: largest": {"value": 2.0, "unit": "s"}}},
            "x.json: digest: is ",
        ),
        (
            {"figures": FIGURES | {"real: in force": {"value": "2", "unit": "s"}}},
            "figures: 'real: in force' must be a",
        ),
        (
            {"figures": FIGURES | {"real: in force": 2.0}},
            "figures: 'real: in force' must be a number with its unit",
        ),
        ({"figures": []}, "x.json: figures: must stand beside"),
        ({"size": {"brokers": 2}}, "x.json: size: must name"),
    ],
)
def test_read_scale_record_raises_when_a_record_was_edited_or_is_malformed(overrides, message):
    with pytest.raises(ValueError, match=message):
        read_scale_record(scale_document(FIGURES) | overrides, "x.json")


def test_read_watched_brokers_returns_each_version_or_why_a_round_has_no_figures():
    found = read_watched_brokers(
        {
            "plays": [
                {
                    "version": "before",
                    "listed": 32_000,
                    "plays": [{"ready_s": 1.0}, {"not_good": "not good within 15 s"}],
                },
                {
                    "version": "now",
                    "listed": 32_000,
                    "plays": [
                        {"ready_s": 1.0, "lump_kb_s": 7.0, "share": 0.3, "peak_mb": 40},
                        {"ready_s": 3.0, "lump_kb_s": 9.0},
                        {"ready_s": 2.0, "lump_kb_s": 8.0, "lump_wait_ms": "none"},
                    ],
                },
            ]
        },
        "x.json",
    )
    assert found["now"].figures == {"real: ready_s": (2.0, "s"), "real: lump_kb_s": (8.0, "KB/s")}
    costs = MeasuredCosts(
        capacity.load_plan(str(PLAN)),
        {},
        {},
        {"w": found["now"], f"w{EARLIER_VERSION}": found["before"]},
    )
    source = SceneSource("w", "real: ready_s", "s", "s")
    assert costs.scene_figure(source).basis is Basis.MEASURED
    assert (
        costs.of_version(EARLIER_VERSION).scene_figure(source).unreached_reason
        == "not good within 15 s"
    )
    for wrong in (
        {"plays": [{}]},
        {"plays": 3},
        {"plays": [{"version": "now", "listed": "x", "plays": []}]},
    ):
        with pytest.raises(ValueError, match="x.json: plays: "):
            read_watched_brokers(wrong, "x.json")
