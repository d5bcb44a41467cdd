"""Mapping scripts, which convert a trace's row to a request, or give the reason to skip the row.

A row on which a mapping fails is rejected; a mapping that can't be used at all raises ScriptError.

    classes = ["lookup", "report", "load"]      # must be classes of the settings
    def keep(row): ...          # True, or a text: the reason to skip the row (default True)
    def query_class(row): ...   # one of the classes
    def work_ms(row): ...       # milliseconds of one thread, over 0
    def memory_mb(row): ...     # 0 or more (default 0)
    def key(row): ...           # text, for classes whose requests are ordered by key (default none)
    def group(row): ...         # number of a group of tables (default 0)
    def job(row): ...           # text; thinning keeps or drops complete jobs (default: the row)
    def machine(row): ...       # for machine events: kind of engine, or None to leave it out
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from umberusher.traces.layouts import ColumnKind
from umberusher.traces.ordering import Row
from umberusher.traces.scripts import Script, ScriptError

REQUIRED_FUNCTIONS = ("query_class", "work_ms")
DEFAULT_RESULTS = {
    "keep": "True",
    "memory_mb": "0.0",
    "key": "None",
    "group": "0",
    "job": "None",
}
"""The optional functions, each with the expression that is used where it is not defined."""

MIN_WORK_MS = 0.001
MAX_WORK_MS = 1e8
MAX_MEMORY_MB = 1e6
MAX_GROUP = 65_535
MAX_TEXT_CHARS = 200
MAX_SHOWN_CHARS = 40  # of an invalid value, in error messages


@dataclass(slots=True, frozen=True)
class MappedRow:
    """The request that a row is mapped to."""

    query_class: str
    work_ms: float
    memory_mb: float
    key: str
    group: int
    job: str


@dataclass(slots=True, frozen=True)
class SkippedRow:
    """A row that the mapping skips, with the reason."""

    reason: str


class Mapping:
    """A loaded mapping script."""

    def __init__(self, script: Script, classes: Sequence[str] | None) -> None:
        """Check a script.

        Args:
            script: The script, with ``mapped_row`` as its epilogue.
            classes: The classes of the settings; None accepts any class.

        Raises:
            ScriptError: The script names unknown classes or lacks a required function.
        """
        self.script = script
        script_classes = script.get("classes")
        self.classes = tuple(classes or script_classes or ())
        unknown = [name for name in script_classes or () if name not in self.classes]
        if unknown:
            listed = ", ".join(map(repr, unknown))
            raise ScriptError(f"{script.name}: classes: the settings lack {listed}")
        missing = [name for name in REQUIRED_FUNCTIONS if not script.has(name)]
        if missing:
            raise ScriptError(f"{script.name}: lacks {', '.join(missing)}")

    @classmethod
    def load(cls, path: str, classes: Sequence[str] | None) -> Mapping:
        """Load a file; ``classes`` are those of the settings, and None accepts any class."""
        script = Script.load(path)
        calls = {
            name: f"{name}(row)" if script.has(name) else default
            for name, default in DEFAULT_RESULTS.items()
        }
        keep = calls.pop("keep")
        # One call per row: a call into the interpreter costs more than the work of these functions.
        epilogue = (
            f"def mapped_row(row):\n"
            f"    kept = {keep}\n"
            f"    if kept != True:\n"
            f"        return [kept]\n"
            f"    return [query_class(row), work_ms(row), {', '.join(calls.values())}]\n"
        )
        return cls(Script.load(path, epilogue=epilogue, values=("classes",)), classes)

    def map(self, row: Row, joined: dict[str, Any] | None = None) -> MappedRow | SkippedRow:
        """Return the request of a row, or why it is skipped; ``joined`` adds values to the row.

        Raises:
            ScriptError: The mapping fails on the row.
        """
        result = self.script.call("mapped_row", named_values(row) | (joined or {}))
        if len(result) == 1:
            return SkippedRow(result[0] if isinstance(result[0], str) else "left out")
        query_class, work_ms, memory_mb, key, group, job = result
        if query_class not in self.classes:
            raise ScriptError(
                f"{self.script.name}: query_class gave {_format_value(query_class)}, "
                f"the settings have {', '.join(self.classes)}"
            )
        return MappedRow(
            query_class,
            _number(work_ms, "work_ms", MIN_WORK_MS, MAX_WORK_MS),
            _number(memory_mb, "memory_mb", 0.0, MAX_MEMORY_MB),
            _text(key, "key"),
            int(_number(group, "group", 0.0, MAX_GROUP)),
            _text(job, "job") or f"{row.file}:{row.line}",
        )


def named_values(row: Row) -> dict[str, Any]:
    """Return the row that a mapping is called with.

    It holds the columns by name, events by their names instead of numbers, and ``time_us``.
    """
    values: dict[str, Any] = {"time_us": row.time_us}
    for column, value in zip(row.table.columns, row.values, strict=False):
        is_event = column.known_values and column.kind is ColumnKind.INT
        if is_event and column.known_values and value is not None:
            values[column.name] = column.known_values[value]
        else:
            values[column.name] = value
    return values


def _format_value(value: object) -> str:
    return repr(str(value)[:MAX_SHOWN_CHARS])


def _number(value: object, name: str, low: float, high: float) -> float:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or not low <= value <= high:  # type: ignore[arg-type,operator]
        raise ScriptError(
            f"{name} gave {_format_value(value)}, expected a number from {low:g} to {high:g}"
        )
    return float(value)  # type: ignore[arg-type]


def _text(value: object, name: str) -> str:
    if value is None:
        return ""
    is_integer = isinstance(value, int) and not isinstance(value, bool)
    text = str(value) if is_integer else value
    if not isinstance(text, str) or len(text) > MAX_TEXT_CHARS:
        raise ScriptError(
            f"{name} gave {_format_value(text)}, expected a text of at most {MAX_TEXT_CHARS}"
        )
    return text
