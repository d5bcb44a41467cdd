"""Finds which group of tables a statement reads or writes."""

from __future__ import annotations

import re

_SKIPPED = (
    r"--[^\n]*|/\*.*?\*/"
    r"|(?<![\w$])[eE]'(?:[^'\\]|''|\\.)*'|'(?:[^']|'')*'"
    r"|\$(?P<tag>\w*)\$.*?\$(?P=tag)\$"
)
_NAME = r'(?:"(?:[^"]|"")+"|[^\W\d][\w$]*)'
_TOKEN = re.compile(
    rf"(?P<skip>{_SKIPPED})"
    rf"|(?P<schema>{_NAME})\s*\.\s*{_NAME}(?:\s*\.\s*{_NAME})?|(?P<word>{_NAME})"
    r"|(?P<open>'|/\*|\")|(?P<other>.)",
    re.S,
)
_NUMBERED = re.compile(r"_(\d{1,9})$")
_BEFORE_TABLE = frozenset(["from", "join", "into", "update", "table", "using", "copy", "only"])
_ENDS_LIST = frozenset(
    [
        "select",
        "where",
        "set",
        "on",
        "group",
        "order",
        "having",
        "limit",
        "values",
        "union",
        "returning",
    ]
)
# The schema of staging tables, which belongs to no group.
STAGING_SCHEMA = "staging"


class StatementError(ValueError):
    """A text can't be read as a statement.

    Attributes:
        reason: Description of the fault.
    """

    def __init__(self, reason: str) -> None:
        """Create the error."""
        super().__init__(reason)
        self.reason = reason


def table_group(body: bytes) -> int | None:
    """Return the number in a schema's name; None if the statement names no numbered schema.

    A name after FROM, JOIN, INTO or a similar keyword names a table. A dotted name elsewhere may be
    an alias with its column, so it is used only if no table name contains a numbered schema.

    Raises:
        StatementError: The text is not UTF-8, or a string, comment or name is not closed.
    """
    try:
        text = body.decode("utf-8")
    except UnicodeDecodeError as error:
        raise StatementError("not text") from error
    elsewhere = None
    expects_table = False
    in_list = False
    for token in _TOKEN.finditer(text):
        if token["open"]:
            raise StatementError("a string, comment or name is not closed")
        if token["skip"]:
            continue
        if token["schema"]:
            group = _group_of_schema(token["schema"])
            if group is not None and expects_table:
                return group
            elsewhere = group if elsewhere is None else elsewhere
            expects_table = False
        elif token["word"]:
            word = token["word"].lower()
            expects_table = word in _BEFORE_TABLE
            in_list = expects_table or (in_list and word not in _ENDS_LIST)
        elif not token["other"].isspace():
            in_list = in_list and token["other"] != "("
            expects_table = in_list and token["other"] == ","
    return elsewhere


def _group_of_schema(schema: str) -> int | None:
    name = schema.strip('"').lower()
    if name == STAGING_SCHEMA:
        return None
    number = _NUMBERED.search(name)
    return int(number[1]) if number else None
