"""Converts a row's texts to values.

A generated function converts the rows of each table quickly; ``diagnose`` finds the reason of a
rejected row, slowly.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from umberusher.traces.defects import Defect, DefectReason
from umberusher.traces.layouts import Column, ColumnKind, Table

MAX_SHOWN_CHARS = 40  # of a rejected text, in the details of a defect
MAX_SHOWN_NUMBER_CHARS = 20

Converter = Callable[[list[str]], list[Any]]
"""Returns the values of a row; raises ValueError where a value is not accepted."""


def make_converter(table: Table) -> Converter:
    """Generate the converter of a table.

    It is one function without a loop over the columns: a loop takes three times as long
    (docs/traces.md).
    """
    variables = [f"c{number}" for number in range(len(table.columns))]
    names = table.column_names
    scope: dict[str, Any] = {}
    body = [
        "def convert(row):",
        f"    if len(row) != {table.width}: raise ValueError",
        f"    ({', '.join(variables)}, *rest) = row",
    ]
    for variable, column in zip(variables, table.columns, strict=True):
        if column.kind is ColumnKind.TEXT and column.known_values:
            scope[f"words_{variable}"] = frozenset(column.known_values)
        body += _conversion(variable, column)
    for first, second in table.spans:
        start = variables[names.index(first)]
        end = variables[names.index(second)]
        body.append(f"    if {end} and {end} < {start}: raise ValueError")
    if table.repeated_count:
        body.append("    rest = [int(each) for each in rest]")
        body.append("    if min(rest) < 0: raise ValueError")
    body.append(f"    return [{', '.join(variables)}, *rest]")
    exec("\n".join(body), scope)  # The source depends on the layout only, never on a file's text.
    converter: Converter = scope["convert"]
    return converter


def _conversion(variable: str, column: Column) -> list[str]:
    """Return the source lines that convert and check one column."""
    is_text = column.kind is ColumnKind.TEXT
    conversion = "pass" if is_text else f"{variable} = {column.kind}({variable})"
    condition = _acceptance(variable, column)
    check = f"if not ({condition}): raise ValueError" if condition else "pass"
    if column.optional:
        return [
            f"    if {variable}:",
            f"        {conversion}",
            f"        {check}",
            f"    else: {variable} = None",
        ]
    presence_check = [f"    if not {variable}: raise ValueError"] if is_text else []
    return [*presence_check, f"    {conversion}", f"    {check}"]


def _acceptance(variable: str, column: Column) -> str:
    """Return the expression that is true for accepted values; empty if all values are accepted."""
    if column.kind is ColumnKind.TEXT:
        return f"{variable} in words_{variable}" if column.known_values else ""
    low, high = _bounds(column)
    if low is not None and high is not None:
        return f"{low!r} <= {variable} <= {high!r}"
    if low is not None:
        return f"{low!r} <= {variable}"
    if high is not None:
        return f"{variable} <= {high!r}"
    return ""


def _bounds(column: Column) -> tuple[float | None, float | None]:
    if column.known_values:
        return 0, len(column.known_values) - 1
    return column.low, column.high


def diagnose(table: Table, row: list[str]) -> Defect:
    """Return what is wrong with a row that its converter rejected."""
    if len(row) != table.width:
        detail = f"{len(row)} columns, expected {table.width}"
        return Defect(DefectReason.WRONG_COLUMN_COUNT, detail)
    column_texts = row[: len(table.columns)]
    for column, text in zip(table.columns, column_texts, strict=True):
        defect = _column_defect(column, text)
        if defect:
            return defect
    defect = _span_defect(table, dict(zip(table.column_names, column_texts, strict=True)))
    if defect:
        return defect
    for number, text in enumerate(row[len(table.columns) :], 1):
        defect = _column_defect(Column(str(number), ColumnKind.INT, low=0), text)
        if defect:
            return defect
    raise AssertionError("the converter rejected a row in which no defect was found")


def _span_defect(table: Table, texts: dict[str, str]) -> Defect | None:
    for first, second in table.spans:
        start = texts[first]
        end = texts[second]
        if end and float(end) < float(start):
            shown_end = end[:MAX_SHOWN_NUMBER_CHARS]
            shown_start = start[:MAX_SHOWN_NUMBER_CHARS]
            detail = f"{second} {shown_end} before {first} {shown_start}"
            return Defect(DefectReason.END_BEFORE_START, detail)
    return None


def _column_defect(column: Column, text: str) -> Defect | None:
    if not text:
        return None if column.optional else Defect(DefectReason.MISSING_FIELD, column.name)
    detail = f"{column.name} is {text[:MAX_SHOWN_CHARS]!r}"
    if column.kind is ColumnKind.TEXT:
        is_accepted = not column.known_values or text in column.known_values
        return None if is_accepted else Defect(column.defect, detail)
    try:
        value = int(text) if column.kind is ColumnKind.INT else float(text)
    except ValueError:
        return Defect(DefectReason.NOT_A_NUMBER, detail)
    low, high = _bounds(column)
    is_in_range = (
        math.isfinite(value) and (low is None or value >= low) and (high is None or value <= high)
    )
    return None if is_in_range else Defect(column.defect, detail)
