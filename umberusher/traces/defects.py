"""Defects of rows: the reason, the number of rows and the first locations of each.

After reading, ``rows = kept + rejected`` holds. Memory is bounded by the number of reasons, not by
the number of rows.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any

from umberusher.errors import UsageError

MAX_EXAMPLES = 5  # locations that are kept for each reason


class DefectReason(StrEnum):
    """Why a row is rejected; the values appear in the output of ``trace check``."""

    MISSING_FIELD = "missing field"
    NOT_A_NUMBER = "not a number"
    OUT_OF_RANGE = "out of range"
    TIMESTAMP_OUT_OF_RANGE = "timestamp out of range"
    WRONG_COLUMN_COUNT = "wrong column count"
    UNREADABLE = "unreadable bytes"
    UNKNOWN_EVENT = "unknown event"
    END_BEFORE_START = "end before start"
    DUPLICATE = "duplicate"
    OUT_OF_ORDER = "out of order"
    QUOTE_NOT_CLOSED = "quote not closed"
    STREAM_CUT_OFF = "stream cut off"
    STREAM_CORRUPT = "stream corrupt"
    MAPPING_FAILED = "mapping failed"
    TOO_LONG = "too long"


@dataclass(slots=True, frozen=True)
class Defect:
    """What is wrong with a record."""

    reason: DefectReason
    detail: str


class StrictError(UsageError):
    """Raised at the first defect in strict mode."""


@dataclass(slots=True)
class Tally:
    """Row counts of one reader; ``kept`` includes the ``reordered`` rows."""

    strict: bool = False
    rows: int = 0
    kept: int = 0
    reordered: int = 0
    rejected: Counter[str] = field(default_factory=Counter)
    examples: dict[str, list[dict[str, Any]]] = field(default_factory=dict)

    def reject(self, reason: DefectReason, file: str, line: int, detail: str) -> None:
        """Count a rejected row.

        Raises:
            StrictError: The tally is strict, so that no defect is accepted.
        """
        self.rejected[reason.value] += 1
        places = self.examples.setdefault(reason.value, [])
        if len(places) < MAX_EXAMPLES:
            places.append({"file": file, "line": line, "what": detail})
        if self.strict:
            raise StrictError(f"{file}:{line}: {reason}: {detail}")

    @property
    def rejected_fraction(self) -> float:
        """Fraction of the rows that are rejected."""
        return sum(self.rejected.values()) / self.rows if self.rows else 0.0

    @property
    def balanced(self) -> bool:
        """Whether each row is counted exactly once, as kept or as rejected."""
        return self.rows == self.kept + sum(self.rejected.values())

    def document(self) -> dict[str, Any]:
        """Return the counts as JSON, as ``trace check --json`` writes them."""
        return {
            "rows": self.rows,
            "kept": self.kept,
            "reordered": self.reordered,
            "rejected": dict(sorted(self.rejected.items())),
            "examples": dict(sorted(self.examples.items())),
        }
