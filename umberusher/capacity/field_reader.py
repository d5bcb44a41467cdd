"""Reads fields of a measurement's JSON; each error is one line that names file and field."""

from __future__ import annotations

import re
from collections.abc import Mapping, Sequence
from typing import Any

from umberusher.capacity.units import is_number


class FieldReader:
    """Reads and checks the fields of a mapping.

    Args:
        raw: The parsed JSON.
        file: The file's name, for messages.
    """

    __slots__ = ("file", "raw")

    def __init__(self, raw: Mapping[str, Any], file: str) -> None:
        self.raw = raw
        self.file = file

    def error(self, name: str, reason: str) -> ValueError:
        """Return the error for an invalid field."""
        return ValueError(f"{self.file}: {name}: {reason}")

    def required(self, name: str) -> object:
        """Return the value of a mandatory field."""
        if name not in self.raw:
            raise self.error(name, "missing")
        return self.raw[name]

    def text(self, name: str, allowed: Sequence[str] = ()) -> str:
        """Return a field of one non-empty line of text; with ``allowed`` it is one of these."""
        value = self.required(name)
        if not isinstance(value, str) or not value.strip() or "\n" in value:
            raise self.error(name, f"must be one line of text, is {value!r}")
        if allowed and value not in allowed:
            raise self.error(name, f"must be one of {', '.join(allowed)}, is {value!r}")
        return value

    def matching_text(self, name: str, pattern: re.Pattern[str], description: str) -> str:
        """Return a text field that matches a pattern as a whole."""
        value = self.text(name)
        if not pattern.fullmatch(value):
            raise self.error(name, f"must be {description}, is {value!r}")
        return value

    def boolean(self, name: str) -> bool:
        """Return a boolean field."""
        value = self.required(name)
        if not isinstance(value, bool):
            raise self.error(name, f"must be true or false, is {value!r}")
        return value

    def positive_count(self, name: str) -> int:
        """Return an integer field of 1 or more."""
        value = self.required(name)
        if isinstance(value, bool) or not isinstance(value, int) or value < 1:
            raise self.error(name, f"must be a count of 1 or more, is {value!r}")
        return value

    def items(self, name: str, min_count: int) -> list[Any]:
        """Return a list field of at least ``min_count`` items."""
        value = self.required(name)
        if not isinstance(value, list) or len(value) < min_count:
            raise self.error(name, f"must be a list of {min_count} or more")
        return value

    def number(self, value: object, name: str) -> float:
        """Return a value as a finite number; ``name`` is its field, for messages."""
        if not is_number(value):
            raise self.error(name, f"must be a number, is {value!r}")
        return float(value)

    def non_negative(self, value: object, name: str) -> float:
        """Return a value as a finite number that is not negative."""
        number = self.number(value, name)
        if number < 0:
            raise self.error(name, f"must not be negative, is {value!r}")
        return number
