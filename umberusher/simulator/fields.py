"""Parses the fields of a line ``name TAB key=value TAB key=value``; errors name the field."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import TypeVar

Fields = dict[str, str]
_Item = TypeVar("_Item")

# The one field whose value may hold tabs: it runs to the end of its line.
SETTINGS_FIELD = "conf"
# Maximum length of a malformed value as quoted by an error.
MAX_QUOTED_CHARACTERS = 40


class WireError(Exception):
    """The input violates the protocol of the text wire."""


def quoted(value: str) -> str:
    """Return a malformed value as an error quotes it: shortened, with quotes."""
    return repr(value[:MAX_QUOTED_CHARACTERS])


def split_line(line: str) -> tuple[str, Fields]:
    """Return the name of a message and its fields.

    Raises:
        WireError: A field has no equals sign.
    """
    name, *parts = line.split("\t")
    fields: Fields = {}
    for index, part in enumerate(parts):
        key, equals, value = part.partition("=")
        if not equals:
            raise WireError(f"expected name=value after a tab, got {quoted(part)}")
        if key == SETTINGS_FIELD:
            fields[key] = "\t".join([value, *parts[index + 1 :]])
            break
        fields[key] = value
    return name, fields


def text(fields: Fields, name: str) -> str:
    """Return the value of a required field."""
    value = fields.get(name)
    if not value:
        raise WireError(f"expected field {name}")
    return value


def parse_number(value: str, name: str) -> float:
    """Return a text as a finite number; errors refer to it by ``name``."""
    try:
        result = float(value)
    except ValueError:
        raise WireError(f"expected a number in {name}, got {quoted(value)}") from None
    if not math.isfinite(result):
        raise WireError(f"expected a finite number in {name}, got {quoted(value)}")
    return result


def number(fields: Fields, name: str) -> float:
    """Return the number in a required field."""
    return parse_number(text(fields, name), name)


def optional_number(fields: Fields, name: str) -> float | None:
    """Return the number in a field; None if the field is missing or empty."""
    return number(fields, name) if fields.get(name) else None


def optional_integer(fields: Fields, name: str) -> int | None:
    """Return the number in a field, truncated; None if the field is missing or empty."""
    value = optional_number(fields, name)
    return None if value is None else int(value)


def integer(fields: Fields, name: str) -> int:
    """Return the whole number in a required field."""
    value = text(fields, name)
    try:
        return int(value)
    except ValueError:
        raise WireError(f"expected a whole number in {name}, got {quoted(value)}") from None


def flag(fields: Fields, name: str) -> bool:
    """Return whether a flag is set; a missing flag is not set."""
    value = fields.get(name, "0")
    if value not in ("0", "1"):
        raise WireError(f"expected 0 or 1 in {name}, got {quoted(value)}")
    return value == "1"


def one_of(table: Mapping[str, _Item], fields: Fields, name: str) -> _Item:
    """Return the table's value for the word in a required field."""
    value = text(fields, name)
    if value not in table:
        words = ", ".join(table)
        raise WireError(f"expected {name} to be one of {words}, got {quoted(value)}")
    return table[value]
