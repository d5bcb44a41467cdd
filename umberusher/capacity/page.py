"""The capacity page: hand-written prose and, between markers, tables from measurements and plan.

The prose may not contain measured figures, only numbers of the plan and constants of the program.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from umberusher.capacity.budget_rows import Row, exceeded_rows
from umberusher.capacity.plan import Plan
from umberusher.capacity.units import COUNTED_UNITS, Quantity, UnitError

START_MARKER = re.compile(r"<!-- capacity: ([a-z-]+) -->")
END_MARKER = "<!-- end -->"
FIGURE = re.compile(
    r"(?<![\w.,/])(\d[\d,]*(?:\.\d+)?) ?(us|ms|s|min|h|KB/s|KB|MB|GB|%|cores?|times)(?![\w/])"
)
QUOTED_MEASUREMENT = re.compile(r"^\| `([a-z0-9.-]+)` \|")
# Accepted relative difference of a number in prose, where numbers of the plan may be rounded.
ROUNDING_TOLERANCE = 0.005
# Characters shown before and after the position where two lines differ.
EXCERPT_CHARS_BEFORE = 30
EXCERPT_CHARS_AFTER = 50
MISSING_LINE = "nothing"


class PageError(ValueError):
    """The page's markers are malformed; the message is one line that names the page's line."""


@dataclass(slots=True)
class Block:
    """The lines between two markers; ``first_line`` is the number of the first, counted from 1."""

    name: str
    first_line: int
    lines: list[str]


def read_blocks(text: str) -> list[Block]:
    """Return the blocks of a page.

    Raises:
        PageError: A marker has no counterpart, blocks are nested, or a name is used twice.
    """
    blocks: list[Block] = []
    current: Block | None = None
    for number, line in enumerate(text.splitlines(), 1):
        start = START_MARKER.fullmatch(line.strip())
        if start:
            if current:
                raise PageError(
                    f"line {number}: block {start[1]!r} begins inside of {current.name!r}"
                )
            if any(block.name == start[1] for block in blocks):
                raise PageError(f"line {number}: block {start[1]!r} is there twice")
            current = Block(start[1], number + 1, [])
        elif line.strip() == END_MARKER:
            if not current:
                raise PageError(f"line {number}: {END_MARKER} without a block")
            blocks.append(current)
            current = None
        elif current:
            current.lines.append(line)
    if current:
        raise PageError(f"line {current.first_line - 1}: block {current.name!r} does not end")
    return blocks


def render(text: str, tables: Mapping[str, list[str]]) -> str:
    """Return the page with the content of its blocks replaced by the tables.

    Raises:
        PageError: The page has a block for which there is no table.
    """
    lines = text.splitlines()
    for block in reversed(read_blocks(text)):
        if block.name not in tables:
            raise PageError(f"line {block.first_line - 1}: there is no table {block.name!r}")
        start = block.first_line - 1
        lines[start : start + len(block.lines)] = tables[block.name]
    return "\n".join(lines) + "\n"


def allowed_quantities(plan: Plan, program: Mapping[str, Quantity]) -> list[Quantity]:
    """Return the quantities that prose may state: numbers of the plan and program constants."""
    return [*plan.values.values(), *program.values()]


def find_faults(
    text: str,
    tables: Mapping[str, list[str]],
    rows: Iterable[Row],
    allowed: Sequence[Quantity],
) -> list[str]:
    """Return one line for each place where the page disagrees with measurements and plan.

    Args:
        text: The page.
        tables: The tables that it must have, by block.
        rows: The rows of the tables.
        allowed: The quantities that prose may state.
    """
    try:
        blocks = read_blocks(text)
    except PageError as error:
        return [str(error)]
    by_name = {block.name: block for block in blocks}
    faults = [f"there is no block {name!r}" for name in tables if name not in by_name]
    for block in blocks:
        faults += _block_faults(block, tables.get(block.name))
    if "measurements" in by_name:
        faults += _missing_measurement_faults(by_name["measurements"], tables["measurements"])
    faults += _exceeded_budget_faults(by_name.get("passed"), rows)
    try:
        faults += _disallowed_figures(text, blocks, allowed)
    except UnitError as error:
        faults.append(str(error))
    return faults


def _block_faults(block: Block, table: Sequence[str] | None) -> list[str]:
    """Return the first line in which a block differs from its table."""
    if table is None:
        return [f"line {block.first_line - 1}: there is no table {block.name!r}"]
    for number in range(max(len(table), len(block.lines))):
        found = block.lines[number] if number < len(block.lines) else MISSING_LINE
        expected = table[number] if number < len(table) else MISSING_LINE
        if found != expected:
            return [
                f"line {block.first_line + number}: block {block.name!r} has "
                f"{_excerpt(found, expected)}, expected {_excerpt(expected, found)}"
            ]
    return []


def _missing_measurement_faults(block: Block, table: Sequence[str]) -> list[str]:
    """Return a fault for each measurement that the page quotes and that does not exist."""
    rows = "\n".join(table)
    quoted = [match[1] for line in block.lines if (match := QUOTED_MEASUREMENT.match(line))]
    return [
        f"the page quotes {key!r}, and there is no such measurement"
        for key in quoted
        if f"| `{key}` |" not in rows
    ]


def _exceeded_budget_faults(block: Block | None, rows: Iterable[Row]) -> list[str]:
    """Return faults for exceeded budgets that the page omits or that name no missing mechanism."""
    faults = []
    lines = block.lines if block else []
    for row in exceeded_rows(rows):
        description = row.definition.description
        figure = row.format_estimate(row.current_estimate)
        if not any(description in line and figure in line for line in lines):
            faults.append(f"the page does not tell that a budget is passed: {row.name()}")
        if not row.definition.missing_mechanism:
            faults.append(f"no missing mechanism is told: {row.name()}")
    return faults


def _disallowed_figures(
    text: str, blocks: Iterable[Block], allowed: Sequence[Quantity]
) -> Iterator[str]:
    """Yield a fault for each figure of the prose that equals no allowed quantity."""
    table_lines = {
        number
        for block in blocks
        for number in range(block.first_line, block.first_line + len(block.lines))
    }
    for number, line in enumerate(text.splitlines(), 1):
        if number in table_lines:
            continue
        for match in FIGURE.finditer(line):
            value = float(match[1].replace(",", ""))
            quantity = Quantity.of(value, match[2].replace("cores", "core"))
            if not any(_is_same_number(quantity, each) for each in allowed):
                yield (
                    f"line {number}: {match[0]!r} stands outside of the tables, and is neither "
                    "a number of the plan nor a constant of the program"
                )


def _is_same_number(one: Quantity, other: Quantity) -> bool:
    """Return whether two quantities are equal, apart from counted units and cores."""
    if _without_counted_units(one) != _without_counted_units(other):
        return False
    return math.isclose(one.value, other.value, rel_tol=ROUNDING_TOLERANCE)


def _without_counted_units(quantity: Quantity) -> list[tuple[str, int]]:
    return [each for each in quantity.dimension if each[0] not in (*COUNTED_UNITS, "core")]


def _excerpt(line: str, other: str) -> str:
    """Return the part of a line around the first character that differs from another line."""
    place = min(len(line), len(other))
    for index, (one, two) in enumerate(zip(line, other, strict=False)):
        if one != two:
            place = index
            break
    return repr(line[max(0, place - EXCERPT_CHARS_BEFORE) : place + EXCERPT_CHARS_AFTER])
