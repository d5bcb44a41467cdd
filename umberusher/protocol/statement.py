"""Finds which group of tables a statement reads or writes.

The lexical rules are those of PostgreSQL ("Lexical Structure": constants, identifiers, comments).
Every repetition is possessive and no group is captured in one, so a text is scanned in linear time
and constant memory, whatever it contains.
"""

from __future__ import annotations

import re

# Maximum number of tokens that are read to find the group. Blanks, constants and comments between
# them are skipped within one match, so they don't count, however long they are.
MAX_TOKENS = 32_768

# The letter of an escape string is not the end of a name or a number.
_ESCAPE_STRING_START = r"(?<![\w$])[eE]'"
_CONSTANT_OR_COMMENT = (
    rf"'(?:[^']++|'')*+'|{_ESCAPE_STRING_START}(?s:[^'\\]++|''|\\.)*+'|--[^\n]*+|/\*(?s:.*?)\*/"
)
_DOLLAR_QUOTE = r"\$(?:[^\W\d]\w*+)?+\$"
# A sign that begins no comment and no dollar quote. ``$1`` is a parameter.
_SIGN = rf"\$?+\d++|(?:/(?!\*))++|-(?!-)|(?!{_DOLLAR_QUOTE})\$"
_NAME = rf"(?:(?!{_ESCAPE_STRING_START})[^\W\d][\w$]*+|\"(?:[^\"]++|\"\")++\")"
_DOT = r"\s*+\.\s*+"
_NAMES = (
    rf"(?P<schema>{_NAME}){_DOT}{_NAME}(?:{_DOT}{_NAME})?+"
    rf"|(?P<word>{_NAME})"
    rf"|(?P<dollar_quote>{_DOLLAR_QUOTE})"
)
# The next token that matters, after all that does not; the end of the text, or a construct that is
# not closed, matches as ``end``. Separators matter only within a list of tables.
_TOKEN = re.compile(
    rf"(?:\s++|[^\w\s'\"/$-]++|{_CONSTANT_OR_COMMENT}|{_SIGN})*+(?:{_NAMES}|(?P<end>))"
)
_LIST_TOKEN = re.compile(
    rf"(?:\s++|{_CONSTANT_OR_COMMENT})*+"
    rf"(?:{_NAMES}|(?P<comma>,)|(?P<parenthesis>\()|(?P<sign>[^\w\s'\"/$(,-]++|{_SIGN})|(?P<end>))"
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
NOT_CLOSED = "a string, comment or name is not closed"


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
    an alias with its column, so it is used only if no table name contains a numbered schema. Of a
    statement with more than ``MAX_TOKENS`` tokens only the beginning is read.

    Time is linear in the length of the text, and no memory is needed beyond the decoded text.

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
    position = 0
    for _ in range(MAX_TOKENS):
        token = (_LIST_TOKEN if in_list else _TOKEN).match(text, position)
        assert token is not None  # both expressions match the empty text
        position = token.end()
        kind = token.lastgroup
        if kind == "schema":
            group = _group_of_schema(token["schema"])
            if group is not None and expects_table:
                return group
            elsewhere = group if elsewhere is None else elsewhere
            expects_table = False
        elif kind == "word":
            word = token["word"].lower()
            expects_table = word in _BEFORE_TABLE
            in_list = expects_table or (in_list and word not in _ENDS_LIST)
        elif kind == "dollar_quote":
            position = _end_of_dollar_quote(text, position, token["dollar_quote"])
        elif kind == "end":
            if position < len(text):
                raise StatementError(NOT_CLOSED)
            break
        else:
            in_list = kind != "parenthesis"
            expects_table = kind == "comma"
    return elsewhere


def _end_of_dollar_quote(text: str, position: int, quote: str) -> int:
    """Return where a dollar-quoted string ends whose content begins at ``position``."""
    closing = text.find(quote, position)
    if closing < 0:
        raise StatementError(NOT_CLOSED)
    return closing + len(quote)


def _group_of_schema(schema: str) -> int | None:
    name = schema.strip('"').lower()
    if name == STAGING_SCHEMA:
        return None
    number = _NUMBERED.search(name)
    return int(number[1]) if number else None
