"""Finds which group of tables a statement reads or writes.

The lexical rules are those of PostgreSQL ("Lexical Structure": constants, identifiers, comments).
Every repetition is possessive and no group is captured in one, so a text is scanned in linear time
and constant memory, whatever it contains.
"""

from __future__ import annotations

import re
import sys

# Maximum number of tokens that are read to find the group. Blanks, constants and comments between
# them are skipped within one match, so they don't count, however long they are.
MAX_TOKENS = 32_768
# Maximum number of blanks, constants, comments and signs that are skipped within one step.
MAX_SKIPPED_PER_STEP = 256

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
    rf"(?:\s++|[^\w\s'\"/$-]++|{_CONSTANT_OR_COMMENT}|{_SIGN}){{0,{MAX_SKIPPED_PER_STEP}}}+"
    rf"(?:{_NAMES}|(?P<end>))"
)
_LIST_TOKEN = re.compile(
    rf"(?:\s++|{_CONSTANT_OR_COMMENT}){{0,{MAX_SKIPPED_PER_STEP}}}+"
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

    Raises:
        StatementError: The text is not UTF-8, or a string, comment or name is not closed.
    """
    scan = TableGroupScan(body)
    while not scan.advance(MAX_TOKENS):
        pass
    return scan.group


class TableGroupScan:
    """Finds the group of tables that a statement names, in bounded steps.

    A name after FROM, JOIN, INTO or a similar keyword names a table. A dotted name elsewhere may be
    an alias with its column, so it is used only if no table name contains a numbered schema. Of a
    statement with more than ``MAX_TOKENS`` tokens only the beginning is read.

    Time is linear in the length of the text, and no memory is needed beyond the decoded text.

    Attributes:
        group: The number in a schema's name; None if none was found so far.
        step_count: Steps so far; each takes a short time.
    """

    __slots__ = (
        "_expects_table",
        "_in_list",
        "_position",
        "_text",
        "_tokens_left",
        "group",
        "step_count",
    )

    def __init__(self, body: bytes) -> None:
        """Begin a scan.

        Raises:
            StatementError: The text is not UTF-8.
        """
        try:
            self._text = body.decode("utf-8")
        except UnicodeDecodeError as error:
            raise StatementError("not text") from error
        self._position = 0
        self._tokens_left = MAX_TOKENS
        self._expects_table = False
        self._in_list = False
        self.group: int | None = None
        self.step_count = 0

    @property
    def text_bytes(self) -> int:
        """The memory of the decoded text."""
        return sys.getsizeof(self._text)

    def advance(self, max_steps: int) -> bool:
        """Take up to ``max_steps`` steps; return whether the scan is finished.

        Raises:
            StatementError: A string, comment or name is not closed.
        """
        text = self._text
        position = self._position
        expects_table = self._expects_table
        in_list = self._in_list
        tokens_left = self._tokens_left
        for step in range(max_steps):
            if not tokens_left:
                self.step_count += step
                return True
            tokens_left -= 1
            token = (_LIST_TOKEN if in_list else _TOKEN).match(text, position)
            assert token is not None  # both expressions match the empty text
            began_at = position
            position = token.end()
            kind = token.lastgroup
            if kind == "schema":
                group = _group_of_schema(token["schema"])
                if group is not None and expects_table:
                    self.group = group
                    self.step_count += step + 1
                    return True
                self.group = group if self.group is None else self.group
                expects_table = False
            elif kind == "word":
                word = token["word"].lower()
                expects_table = word in _BEFORE_TABLE
                in_list = expects_table or (in_list and word not in _ENDS_LIST)
            elif kind == "dollar_quote":
                position = _end_of_dollar_quote(text, position, token["dollar_quote"])
            elif kind == "end":
                if position == len(text):
                    self.step_count += step + 1
                    return True
                if position == began_at:
                    raise StatementError(NOT_CLOSED)
                tokens_left += 1  # only blanks, constants, comments and signs were skipped
            else:
                in_list = kind != "parenthesis"
                expects_table = kind == "comma"
        self.step_count += max_steps
        self._position = position
        self._expects_table = expects_table
        self._in_list = in_list
        self._tokens_left = tokens_left
        return False


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
