"""Costs at the planned size, and whether they meet their budgets.

Guards against figures that look better known than they are: extrapolated ones shown as measured,
ones read in the wrong unit, and a size that was never reached counted as within its budget.
"""

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


def test_interpolate_reports_how_a_figure_was_obtained():
    straight = read_measurement(measurement_document(), "made-up")
    assert interpolate(straight, 8_000) == (80.0, Basis.MEASURED)
    assert interpolate(straight, 8_010)[1] is Basis.MEASURED
    assert interpolate(straight, 4_000) == (pytest.approx(40.0), Basis.CALCULATED)
    assert interpolate(straight, 64_000) == (pytest.approx(640.0), Basis.EXTRAPOLATED)
    assert interpolate(straight, 10) == (10.0, Basis.EXTRAPOLATED)  # never below the nearest point
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
    )  # between its neighbours, since the points bend there
    assert interpolate(bent, 3) == (
        pytest.approx(3.0),
        Basis.CALCULATED,
    )  # also here, since the line through all points is below 0
    assert interpolate(bent, 32) == (
        pytest.approx(700.0),
        Basis.EXTRAPOLATED,
    )  # on the line through the last two points
    single_point = read_measurement(measurement_document(points=((7, 3.0),)), "made-up")
    assert interpolate(single_point, 7) == (3.0, Basis.MEASURED)
    with pytest.raises(UnitError, match="measured at 7 engines listed alone, not at 8"):
        interpolate(single_point, 8)


def test_estimate_is_as_certain_as_its_least_certain_operand():
    measured_costs = MeasuredCosts(
        capacity.load_plan(str(PLAN)), capacity.PROGRAM_CONSTANTS, read_all(measurement_document())
    )
    cost = measured_costs.cost(
        MeasurementSource("made-up", "engines listed", "us", "core us/change/broker"),
        measured_costs.plan.engines,
    )
    assert cost.basis is Basis.MEASURED
    assert cost.sources == ("made-up",)
    rate = cost * measured_costs.plan.changes
    assert rate.basis is Basis.CALCULATED
    assert rate.value.to("% core/broker") == pytest.approx(320e-6 * 49e5 / 86_400)
    assert (rate * measured_costs.plan.brokers).basis is Basis.EXTRAPOLATED
    absent = measured_costs.cost(
        MeasurementSource("other", "engines listed", "us", "core us/change/broker"),
        measured_costs.plan.engines,
    )
    combined = cost + absent
    assert combined.value is None
    assert combined.absent == ("other",)
    with pytest.raises(UnitError):
        _ = cost + rate
    assert (
        Estimate(measured_costs.plan.brokers) * measured_costs.plan.engines
    ).basis is Basis.PLANNED


def test_cost_reads_the_newest_version_when_the_current_one_was_not_measured():
    older, newer = (
        measurement_document(points=((32_000, 1.0),), at=f"2026-12-02T0{hour}:00:00Z")
        for hour in (4, 5)
    )
    earlier = measurement_document(points=((32_000, 9.0),), at="2026-12-02T06:00:00Z")
    stored = (
        read_all(older, suffix=".1234567")
        | read_all(newer, suffix=".abcdef0")
        | read_all(earlier, suffix=EARLIER_VERSION)
    )
    source = MeasurementSource("made-up", "engines listed", "us", "core us")

    def sources_read(measurements):
        return (
            MeasuredCosts(capacity.load_plan(str(PLAN)), {}, measurements)
            .cost(source, 32_000)
            .sources
        )

    assert sources_read(stored) == ("made-up.abcdef0",)
    assert sources_read(stored | read_all(measurement_document())) == ("made-up",)
    assert sources_read(read_all(earlier, suffix=EARLIER_VERSION)) == ()


def test_budget_is_exceeded_when_a_size_was_never_reached():
    document = measurement_document(
        "broker-control-cpu", "% of a core", unreached=[{"x": 64_000, "why": "polls in a loop"}]
    )
    measured_costs = MeasuredCosts(
        capacity.load_plan(str(PLAN)), capacity.PROGRAM_CONSTANTS, read_all(document)
    )
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
    (row,) = evaluate([role], measured_costs, EARLIER_VERSION)
    assert row.verdict == Verdict.EXCEEDED
    assert row.format_estimate(row.current_estimate) == "not reached: polls in a loop"


@pytest.mark.parametrize(
    "unit, by, message",
    [
        ("ms", "engines listed", "made-up: unit: is 'ms', 'us' is read here"),
        ("us", "brokers", "made-up: by: is 'brokers', 'engines listed' is read here"),
    ],
)
def test_cost_raises_when_a_measurement_has_another_unit_or_size_label(unit, by, message):
    measured_costs = MeasuredCosts(
        capacity.load_plan(str(PLAN)),
        capacity.PROGRAM_CONSTANTS,
        read_all(measurement_document(unit=unit, by=by)),
    )
    with pytest.raises(UnitError) as caught:
        measured_costs.cost(
            MeasurementSource("made-up", "engines listed", "us", "core us"),
            measured_costs.plan.engines,
        )
    assert str(caught.value) == message


def test_evaluate_names_the_row_when_its_formula_gives_another_unit():
    measured_costs = MeasuredCosts(capacity.load_plan(str(PLAN)), capacity.PROGRAM_CONSTANTS, {})
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
        evaluate([role], measured_costs, EARLIER_VERSION)
