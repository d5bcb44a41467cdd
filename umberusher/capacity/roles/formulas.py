"""Formulas of rows: costs at the planned size, and figures of scale runs."""

from __future__ import annotations

from collections.abc import Callable

from umberusher.capacity.budget_rows import Formula
from umberusher.capacity.estimates import Estimate
from umberusher.capacity.measured_costs import MeasuredCosts, MeasurementSource, SceneSource
from umberusher.capacity.scale_records import REAL_SCENE
from umberusher.capacity.units import Quantity


def planned(get: Callable[[MeasuredCosts], Quantity]) -> Formula:
    """Return a formula that uses the plan and the program's constants alone."""
    return lambda costs: Estimate(get(costs))


def size_ratio(source: MeasurementSource) -> Formula:
    """Return the formula of a cost at the planned size over that at ``plan.engines_compared``."""
    return lambda costs: costs.cost(source, costs.plan.engines) / costs.cost(
        source, costs.plan.engines_compared
    )


def scene_figure(
    scene: str, figure: str, raw_unit: str, unit: str, run: str = "scale-fleet"
) -> Formula:
    """Return the formula of a figure of a scale run.

    Args:
        scene: The scene.
        figure: The figure's name in the record.
        raw_unit: Its unit in the record.
        unit: The unit that the formula uses for it.
        run: The run's name.
    """
    return lambda costs: costs.scene_figure(SceneSource(run, f"{scene}: {figure}", raw_unit, unit))


def real_figure(figure: str, raw_unit: str, unit: str) -> Formula:
    """Return the formula of a figure of real brokers in a scale run."""
    return scene_figure(REAL_SCENE, figure, raw_unit, unit, "scale-real")


def watched_figure(figure: str, raw_unit: str, unit: str) -> Formula:
    """Return the formula of a figure of one observed broker with the complete endpoint list."""
    return scene_figure(REAL_SCENE, figure, raw_unit, unit, "long-list")


def at_planned_size(source: MeasurementSource) -> Formula:
    """Return the formula of a cost with as many engines listed as planned."""
    return lambda costs: costs.cost(source, costs.plan.engines)
