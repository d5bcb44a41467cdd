"""The capacity page's tables as Markdown."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from umberusher.capacity.budget_rows import (
    NOT_MEASURED,
    Role,
    Row,
    Verdict,
    compare_to_budget,
    evaluate,
    exceeded_rows,
)
from umberusher.capacity.estimates import BASIS_TEXTS, Basis, Estimate
from umberusher.capacity.measured_costs import MeasuredCosts
from umberusher.capacity.measurement import Measurement
from umberusher.capacity.plan import FIELDS, Plan
from umberusher.capacity.scale_records import ScaleRecord, is_real_broker_figure
from umberusher.capacity.units import format_number

ROLE_COLUMNS = (
    "part",
    "moment",
    "what",
    "at the size",
    "budget",
    "",
    "known by",
    "before",
    "run",
    "carried by",
)
PLAN_COLUMNS = ("number", "", "from")
EXCEEDED_COLUMNS = ("role", "moment", "what", "at the size", "budget", "known by", "mechanism")
COUNTS_COLUMNS = (
    "role",
    "lines",
    NOT_MEASURED,
    "extrapolated",
    "budgets held",
    "budgets passed",
    "budgets not measured",
)
MEASUREMENT_COLUMNS = (
    "name",
    "what",
    "by",
    "points",
    "line",
    "worst residual",
    "linear to",
    "spread of rounds",
    "clock",
    "commit",
    "command",
)
EMPTY_CELL = "-"
COMMIT_DIGITS = 8


class PageTables(NamedTuple):
    """All tables of the page by the names of their blocks, and the rows that they show."""

    blocks: dict[str, list[str]]
    rows: list[Row]


def make_tables(roles: Iterable[Role], costs: MeasuredCosts, earlier_version: str) -> PageTables:
    """Return all tables of the page.

    Args:
        roles: The roles, with a table each.
        costs: The costs at the planned size.
        earlier_version: The key suffix of the measurements to compare with.

    Raises:
        UnitError: A row's formula returns a wrong unit.
    """
    roles = list(roles)
    rows = evaluate(roles, costs, earlier_version)
    blocks = {role.name: _role_table(role, rows, costs.measurements) for role in roles}
    blocks["plan"] = plan_table(costs.plan)
    blocks["passed"] = exceeded_table(rows)
    blocks["counts"] = counts_table(roles, rows)
    blocks["measurements"] = measurement_table(costs.measurements, costs.records)
    return PageTables(blocks, rows)


def _markdown(headers: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    cells = [[cell.replace("|", "/") for cell in row] for row in rows]
    return [
        "| " + " | ".join(headers) + " |",
        "| " + " | ".join("---" for _ in headers) + " |",
        *("| " + " | ".join(row) + " |" for row in cells),
    ]


def _percent(fraction: float) -> str:
    return f"{100 * fraction:.0f}%"


def _commit(measurement: Measurement) -> str:
    changes = " and changes" if measurement.dirty else ""
    return measurement.commit[:COMMIT_DIGITS] + changes


def _italic_if_extrapolated(text: str, estimate: Estimate) -> str:
    """Return a text, in italics if the estimate is extrapolated."""
    if estimate.basis is Basis.EXTRAPOLATED and estimate.value is not None:
        return f"*{text}*"
    return text


def _role_table(
    role: Role, rows: Iterable[Row], measurements: Mapping[str, Measurement]
) -> list[str]:
    return _markdown(
        ROLE_COLUMNS, [_role_row(row, measurements) for row in rows if row.role is role]
    )


def _role_row(row: Row, measurements: Mapping[str, Measurement]) -> list[str]:
    definition = row.definition
    current_estimate = row.current_estimate
    runs = [f"`{key}` @ {_commit(measurements[key])}" for key in current_estimate.sources]
    runs += [f"no `{key}`" for key in current_estimate.absent]
    return [
        definition.resource,
        definition.moment,
        definition.description,
        row.format_estimate(current_estimate),
        row.format_budget(),
        f"**{row.verdict}**" if row.verdict == Verdict.EXCEEDED else row.verdict,
        _italic_if_extrapolated(_basis_text(current_estimate), current_estimate),
        _earlier_cell(row),
        ", ".join(runs) or EMPTY_CELL,
        row.mechanism(),
    ]


def _basis_text(estimate: Estimate) -> str:
    if estimate.value is None and not estimate.unreached_reason:
        return NOT_MEASURED
    return BASIS_TEXTS[estimate.basis]


def _earlier_cell(row: Row) -> str:
    """Return the table cell for the figure of the earlier version."""
    if row.current_estimate.basis is Basis.PLANNED:
        return (
            "the same"
            if row.earlier_estimate == row.current_estimate
            else row.format_estimate(row.earlier_estimate)
        )
    text = _italic_if_extrapolated(row.format_estimate(row.earlier_estimate), row.earlier_estimate)
    if compare_to_budget(row.earlier_estimate, row.budget) == Verdict.EXCEEDED:
        text += ", **passed**"
    return text


def plan_table(plan: Plan) -> list[str]:
    """Return the table of the numbers to plan with."""
    rows = []
    for name, field in FIELDS.items():
        reason = plan.assumed.get(name)
        source = "the users" if reason is None else f"assumed: {reason}"
        rows.append((field.description, plan.format(name), source))
    return _markdown(PLAN_COLUMNS, rows)


def exceeded_table(rows: Iterable[Row]) -> list[str]:
    """Return the table of exceeded budgets, each with the missing mechanism."""
    exceeded = exceeded_rows(rows)
    if not exceeded:
        return ["None of those that are measured."]
    return _markdown(
        EXCEEDED_COLUMNS,
        [
            (
                row.role.title,
                row.definition.moment,
                row.definition.description,
                row.format_estimate(row.current_estimate),
                row.format_budget(),
                BASIS_TEXTS[row.current_estimate.basis],
                row.mechanism(),
            )
            for row in exceeded
        ],
    )


def counts_table(roles: Iterable[Role], rows: Sequence[Row]) -> list[str]:
    """Return the table of how many rows of each role meet their budget, exceed it, or lack data."""
    return _markdown(
        COUNTS_COLUMNS,
        [_counts_row(role, [row for row in rows if row.role is role]) for role in roles],
    )


def _counts_row(role: Role, rows: Sequence[Row]) -> list[str]:
    estimates = [row.current_estimate for row in rows]
    not_measured = [
        estimate
        for estimate in estimates
        if estimate.value is None and not estimate.unreached_reason
    ]
    extrapolated = [
        estimate
        for estimate in estimates
        if estimate.basis is Basis.EXTRAPOLATED and estimate.value is not None
    ]
    verdicts = [row.verdict for row in rows]
    counts = [
        len(rows),
        len(not_measured),
        len(extrapolated),
        verdicts.count(Verdict.MET),
        verdicts.count(Verdict.EXCEEDED),
        verdicts.count(Verdict.UNKNOWN),
    ]
    return [role.title, *map(str, counts)]


def measurement_table(
    measurements: Mapping[str, Measurement], records: Mapping[str, ScaleRecord]
) -> list[str]:
    """Return the table of all measurements, with what is needed to repeat them."""
    if not measurements:
        return ["Nothing has been measured."]
    rows = []
    for key in sorted(measurements):
        measurement = measurements[key]
        record = records.get(key)
        if record is not None and record.brokers is not None:
            rows.append(_record_row(key, measurement, record, record.brokers))
        else:
            rows.append(_measurement_row(key, measurement))
    return _markdown(MEASUREMENT_COLUMNS, rows)


def _record_row(
    key: str, measurement: Measurement, record: ScaleRecord, brokers: float
) -> list[str]:
    clocks = sorted({"wall" if is_real_broker_figure(name) else "step" for name in record.figures})
    return [
        f"`{key}`",
        f"a scale run of {record.engines:,.0f} engines",
        f"brokers: {brokers:,.0f}",
        f"{len(record.figures)} figures",
        EMPTY_CELL,
        EMPTY_CELL,
        EMPTY_CELL,
        EMPTY_CELL,
        " and ".join(clocks),
        _commit(measurement),
        f"`{measurement.command}`",
    ]


def _measurement_row(key: str, measurement: Measurement) -> list[str]:
    points = measurement.medians()
    sizes = format_number(points[0].x)
    if len(points) > 1:
        sizes += f" to {format_number(points[-1].x)}"
    fit = measurement.fit
    line = format_number(points[0].y)
    worst_residual = EMPTY_CELL
    linear_to = EMPTY_CELL
    if fit is not None:
        line = f"{format_number(fit.base)} + {format_number(fit.slope)} each"
        worst_residual = _percent(max(map(abs, fit.residuals)))
        linear_to = format_number(fit.linear_to)
    return [
        f"`{key}`",
        f"{measurement.description}, {measurement.unit}",
        f"{measurement.size_label}: {sizes}",
        str(len(points)),
        line,
        worst_residual,
        linear_to,
        _percent(measurement.spread()),
        measurement.clock,
        _commit(measurement),
        f"`{measurement.command}`",
    ]
