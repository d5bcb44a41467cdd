"""Costs at the planned size, and the budgets they keep or pass."""

from __future__ import annotations

import pytest

from tests.capacity.documents import PLAN, measurement_document, read_all
from umberusher.capacity.budget_rows import Moment, Resource, Role, RowDefinition, Verdict, evaluate
from umberusher.capacity.estimates import Basis, Estimate
from umberusher.capacity.measured_costs import (
    EARLIER_VERSION,
    MeasuredCosts,
    MeasurementSource,
    interpolate,
)
from umberusher.capacity.measurement import read_measurement
from umberusher.capacity.units import UnitError
from umberusher.commands import capacity


def test_interpolate_says_whether_a_figure_ran_is_summed_or_extrapolated():
    straight = read_measurement(measurement_document(), "made-up")
    assert interpolate(straight, 8_000) == (80.0, Basis.MEASURED)
    assert interpolate(straight, 8_010)[1] is Basis.MEASURED
    assert interpolate(straight, 4_000) == (pytest.approx(40.0), Basis.CALCULATED)
    assert interpolate(straight, 64_000) == (pytest.approx(640.0), Basis.EXTRAPOLATED)
    assert interpolate(straight, 10) == (10.0, Basis.EXTRAPOLATED)  # never under the nearest point
    falling = read_measurement(
        measurement_document(points=((1, 9.0), (2, 8.0), (3, 7.0))), "made-up"
    )
    assert interpolate(falling, 30) == (7.0, Basis.EXTRAPOLATED)
    assert interpolate(falling, 0.5) == (
        9.5,
        Basis.EXTRAPOLATED,
    )
    bent = read_measurement(
        measurement_document(points=((1, 1.0), (2, 2.0), (4, 4.0), (8, 100.0), (16, 300.0))),
        "made-up",
    )
    assert bent.fit.linear_to == 4
    assert interpolate(bent, 6) == (
        pytest.approx(52.0),
        Basis.CALCULATED,
    )  # between its neighbours, not on a line that bends there
    assert interpolate(bent, 3) == (
        pytest.approx(3.0),
        Basis.CALCULATED,
    )  # nor on a line of all points, which runs below 0 there
    assert interpolate(bent, 32) == (
        pytest.approx(700.0),
        Basis.EXTRAPOLATED,
    )  # on along the two last points
    one = read_measurement(measurement_document(points=((7, 3.0),)), "made-up")
    assert interpolate(one, 7) == (3.0, Basis.MEASURED)
    with pytest.raises(UnitError, match="measured at 7 engines listed alone, not at 8"):
        interpolate(one, 8)


def test_estimate_is_as_sure_as_its_least_sure_part():
    sums = MeasuredCosts(
        capacity.load_plan(str(PLAN)), capacity.PROGRAM, read_all(measurement_document())
    )
    each = sums.cost(
        MeasurementSource("made-up", "engines listed", "us", "core us/change/broker"),
        sums.plan.engines,
    )
    assert each.basis is Basis.MEASURED
    assert each.sources == ("made-up",)
    rate = each * sums.plan.changes
    assert rate.basis is Basis.CALCULATED
    assert rate.value.to("% core/broker") == pytest.approx(320e-6 * 49e5 / 86_400)
    assert (rate * sums.plan.brokers).basis is Basis.EXTRAPOLATED
    absent = sums.cost(
        MeasurementSource("other", "engines listed", "us", "core us/change/broker"),
        sums.plan.engines,
    )
    both = each + absent
    assert both.value is None
    assert both.absent == ("other",)
    with pytest.raises(UnitError):
        _ = each + rate
    assert (Estimate(sums.plan.brokers) * sums.plan.engines).basis is Basis.PLANNED


def test_cost_reads_the_newest_version_when_the_program_of_now_was_not_measured():
    older, newer = (
        measurement_document(points=((32_000, 1.0),), at=f"2026-12-02T0{hour}:00:00Z")
        for hour in (4, 5)
    )
    first = measurement_document(points=((32_000, 9.0),), at="2026-12-02T06:00:00Z")
    kept = (
        read_all(older, suffix=".1234567")
        | read_all(newer, suffix=".abcdef0")
        | read_all(first, suffix=EARLIER_VERSION)
    )
    reading = MeasurementSource("made-up", "engines listed", "us", "core us")

    def source(measured):
        return (
            MeasuredCosts(capacity.load_plan(str(PLAN)), {}, measured).cost(reading, 32_000).sources
        )

    assert source(kept) == ("made-up.abcdef0",)
    assert source(kept | read_all(measurement_document())) == ("made-up",)
    assert source(read_all(first, suffix=EARLIER_VERSION)) == ()


def test_budget_is_passed_when_a_size_was_never_reached():
    document = measurement_document(
        "broker-control-cpu", "% of a core", unreached=[{"x": 64_000, "why": "asks in a circle"}]
    )
    sums = MeasuredCosts(capacity.load_plan(str(PLAN)), capacity.PROGRAM, read_all(document))
    role = Role(
        "broker",
        "broker",
        (
            RowDefinition(
                Resource.PROCESSOR,
                Moment.ORDINARY,
                "for control",
                "% core/broker",
                lambda costs: costs.cost(
                    MeasurementSource(
                        "broker-control-cpu", "engines listed", "% of a core", "% core/broker"
                    ),
                    64_000,
                ),
                "control_processor",
                missing_mechanism="a directory",
            ),
        ),
    )
    (line,) = evaluate([role], sums, EARLIER_VERSION)
    assert line.verdict == Verdict.EXCEEDED
    assert line.format_estimate(line.current_estimate) == "not reached: asks in a circle"


@pytest.mark.parametrize(
    "unit, by, message",
    [
        ("ms", "engines listed", "made-up: unit: is 'ms', 'us' is read here"),
        ("us", "brokers", "made-up: by: is 'brokers', 'engines listed' is read here"),
    ],
)
def test_cost_raises_when_a_measurement_is_in_another_unit(unit, by, message):
    sums = MeasuredCosts(
        capacity.load_plan(str(PLAN)),
        capacity.PROGRAM,
        read_all(measurement_document(unit=unit, by=by)),
    )
    with pytest.raises(UnitError) as caught:
        sums.cost(
            MeasurementSource("made-up", "engines listed", "us", "core us"), sums.plan.engines
        )
    assert str(caught.value) == message


def test_evaluate_names_the_row_when_its_formula_gives_another_unit():
    sums = MeasuredCosts(capacity.load_plan(str(PLAN)), capacity.PROGRAM, {})
    role = Role(
        "r",
        "role",
        (
            RowDefinition(
                Resource.STATE,
                Moment.ORDINARY,
                "brokers",
                "engine",
                lambda costs: Estimate(costs.plan.brokers),
            ),
        ),
    )
    with pytest.raises(UnitError, match="role, ordinary: brokers: expected 'engine', got 'broker'"):
        evaluate([role], sums, EARLIER_VERSION)
