"""The rows of the capacity page: what each role needs, its budget, and whether it is met."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import StrEnum

from umberusher.capacity.estimates import Estimate
from umberusher.capacity.measured_costs import MeasuredCosts
from umberusher.capacity.units import Quantity, UnitError, format_quantity

NOT_MEASURED = "not measured"
NO_BUDGET = "-"

Formula = Callable[[MeasuredCosts], Estimate]


class Verdict(StrEnum):
    """Whether a budget is met; the value is the text on the page."""

    MET = "held"
    EXCEEDED = "passed"
    UNKNOWN = NOT_MEASURED
    UNBOUNDED = NO_BUDGET


class Resource(StrEnum):
    """The resource that a row is about; the value is the text on the page."""

    STATE = "state"
    MESSAGES = "messages"
    PROCESSOR = "processor"
    MEMORY = "memory"
    TIME = "time"


class Moment(StrEnum):
    """The situation that a row describes; the value is the text on the page."""

    ORDINARY = "ordinary"
    RACK_LOST = "a rack"
    ZONE_LOST = "a zone at once"
    REGION_START = "all brokers of a region start"
    REGIONS_APART = "regions apart and back"
    UPDATE_BURST = "a lump"
    BROKER_START = "its own start"
    CONTROL_THIRD_LOST = "a third of control lost"
    CONTROL_ALL_LOST = "all control lost"
    CONTROL_ONE_LOST = "a control machine lost"


@dataclass(slots=True, frozen=True)
class RowDefinition:
    """One need of a role.

    Attributes:
        resource: The resource that is needed.
        moment: The situation in which it is needed.
        description: What is needed, in words.
        unit: The unit in which the figure and its budget are shown.
        formula: Computes the figure from the costs.
        budget: The name of a plan field or program constant; empty if the figure has no limit.
        mechanism: The mechanism of the program that provides for the need.
        missing_mechanism: The mechanism that the program lacks; shown if the budget is exceeded
            or ``mechanism`` is empty.
    """

    resource: Resource
    moment: Moment
    description: str
    unit: str
    formula: Formula
    budget: str = ""
    mechanism: str = ""
    missing_mechanism: str = ""


@dataclass(slots=True, frozen=True)
class Role:
    """One role of the system, such as broker or engine.

    Attributes:
        name: The name of its block on the page.
        title: Its title on the page.
        rows: Its needs.
    """

    name: str
    title: str
    rows: tuple[RowDefinition, ...]


@dataclass(slots=True, frozen=True)
class Row:
    """A row with its figures, compared to its budget.

    Attributes:
        role: Its role.
        definition: Its definition.
        current_estimate: Its figure, from measurements of the current version.
        budget: The limit of its figure; None if it has none.
        verdict: Whether the current figure meets the budget.
        earlier_estimate: Its figure, from measurements of the earlier version.
    """

    role: Role
    definition: RowDefinition
    current_estimate: Estimate
    budget: Quantity | None
    verdict: Verdict
    earlier_estimate: Estimate

    def format_estimate(self, estimate: Estimate) -> str:
        """Return a figure as the page shows it."""
        if estimate.value is not None:
            return format_quantity(estimate.value, self.definition.unit)
        if estimate.unreached_reason:
            return f"not reached: {estimate.unreached_reason}"
        return NOT_MEASURED

    def format_budget(self) -> str:
        """Return the budget as the page shows it."""
        if self.budget is None:
            return NO_BUDGET
        return format_quantity(self.budget, self.definition.unit)

    def name(self) -> str:
        """Return the role, moment and description that identify the row."""
        definition = self.definition
        return f"{self.role.title}, {definition.moment}: {definition.description}"

    def mechanism(self) -> str:
        """Return the mechanism that provides for the row, or the missing one."""
        definition = self.definition
        if self.verdict != Verdict.EXCEEDED and definition.mechanism:
            return definition.mechanism
        if definition.missing_mechanism:
            return f"missing: {definition.missing_mechanism}"
        return "missing"


def compare_to_budget(estimate: Estimate, budget: Quantity | None) -> Verdict:
    """Return whether a figure meets its budget.

    A size that the measurement did not reach counts as an exceeded budget.
    """
    if budget is None:
        return Verdict.UNBOUNDED
    if estimate.value is None:
        return Verdict.EXCEEDED if estimate.unreached_reason else Verdict.UNKNOWN
    return Verdict.MET if estimate.value <= budget else Verdict.EXCEEDED


def evaluate(roles: Iterable[Role], costs: MeasuredCosts, earlier_version: str) -> list[Row]:
    """Return all rows of some roles.

    Args:
        roles: The roles.
        costs: The costs at the planned size.
        earlier_version: The key suffix of the measurements to compare with.

    Raises:
        UnitError: A row's formula returns a wrong unit; the message names the row.
    """
    earlier_costs = costs.of_version(earlier_version)
    rows = []
    for role in roles:
        for definition in role.rows:
            try:
                rows.append(_evaluate_row(role, definition, costs, earlier_costs))
            except UnitError as error:
                place = f"{role.title}, {definition.moment}: {definition.description}"
                raise UnitError(f"{place}: {error}") from None
    return rows


def _evaluate_row(
    role: Role, definition: RowDefinition, costs: MeasuredCosts, earlier_costs: MeasuredCosts
) -> Row:
    current_estimate = definition.formula(costs)
    earlier_estimate = definition.formula(earlier_costs)
    budget = costs.budget(definition.budget)
    for quantity in (current_estimate.value, earlier_estimate.value, budget):
        if quantity is not None:
            # Raises UnitError if the quantity has another dimension.
            quantity.to(definition.unit)
    return Row(
        role,
        definition,
        current_estimate,
        budget,
        compare_to_budget(current_estimate, budget),
        earlier_estimate,
    )


def exceeded_rows(rows: Iterable[Row]) -> list[Row]:
    """Return the rows whose budget is exceeded."""
    return [row for row in rows if row.verdict == Verdict.EXCEEDED]
