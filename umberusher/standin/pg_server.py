"""A stand-in PostgreSQL server's session, without I/O: both query modes, with generated results.

Written from the published protocol. A text is ``rows N`` (N rows of one column), ``begin``,
``commit``, ``rollback``, ``fail``, or anything else, which returns no rows. The session counts each
text that it runs when the protocol makes its execution final: at a Query's end, or at the Sync
after an Execute.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from typing import Any, cast

from umberusher.pg.codec import Decoder, Message, Unreadable, message
from umberusher.pg.messages import Side

RESULT_COLUMNS = [("n", 0, 0, 25, -1, -1, 0)]
"""One column of text (type 25), as RowDescription has it."""

MAX_ROWS = 100_000
MAX_TAG_CHARS = 20
ROWS_PREFIX = "rows "


class TransactionStatus(StrEnum):
    """The status that ReadyForQuery reports, in the protocol's letters."""

    IDLE = "I"
    IN_TRANSACTION = "T"
    FAILED = "E"


class SqlState(StrEnum):
    """The error codes that the session returns (PostgreSQL, Appendix A)."""

    PROTOCOL_VIOLATION = "08P01"
    DIVISION_BY_ZERO = "22012"
    IN_FAILED_TRANSACTION = "25P02"
    UNKNOWN_STATEMENT = "26000"
    UNKNOWN_PORTAL = "34000"
    DUPLICATE_STATEMENT = "42P05"


@dataclass(slots=True, frozen=True)
class PreparedStatement:
    """A statement's text and the types of its parameters."""

    text: str
    types: tuple[int, ...]


@dataclass(slots=True)
class Portal:
    """A bound statement and how many of its rows have been sent."""

    text: str
    sent_rows: int = 0


def _encode(name: str, /, **values: object) -> bytes:
    return message(Side.BACK, name, **values)


def _encode_error(code: SqlState, text: str) -> bytes:
    fields = {"S": "ERROR", "V": "ERROR", "C": code.value, "M": text}
    return _encode("ErrorResponse", fields=fields)


def _encode_rows(first: int, end: int) -> bytes:
    return b"".join(_encode("DataRow", values=[b"%d" % number]) for number in range(first, end))


def _row_count(text: str) -> int:
    """Return the number of rows that a ``rows N`` text returns."""
    return min(int(text.split()[1]), MAX_ROWS)


class ModelServer:
    """One session; ``feed`` accepts a client's bytes and returns the answers."""

    def __init__(self, ran: Counter[str] | None = None) -> None:
        """Create a session.

        Args:
            ran: Counts the texts whose execution is final; sessions may share it.
        """
        self.ran: Counter[str] = Counter() if ran is None else ran
        self.statements: dict[str, PreparedStatement] = {}
        self.portals: dict[str, Portal] = {}
        self.state: str = TransactionStatus.IDLE
        self.closed = False
        self._decoder = Decoder(Side.FRONT, starting=True)
        # Texts that were run since the last Sync.
        self._pending: list[str] = []
        # After an error all messages up to the next Sync are skipped.
        self._skipping = False
        self._handlers: dict[str, Callable[[dict[str, Any]], bytes]] = {
            "Parse": self._on_parse,
            "Bind": self._on_bind,
            "Describe": self._on_describe,
            "Close": self._on_close,
            "Flush": self._on_flush,
            "Execute": self._on_execute,
            "Query": self._on_query,
        }

    def feed(self, data: bytes) -> bytes:
        """Return the answers to some bytes; none once the session is closed."""
        self._decoder.feed(data)
        answers = b""
        while not self.closed:
            found = self._decoder.next()
            if found is None:
                return answers
            if isinstance(found, Unreadable):
                self.closed = True
                return answers + _encode_error(SqlState.PROTOCOL_VIOLATION, found.reason)
            # Only a decoder that streams rows returns pieces of them.
            answers += self._handle(cast(Message, found))
        return answers

    def _handle(self, found: Message) -> bytes:
        if found.name == "StartupMessage":
            return self._on_startup()
        if found.name == "Sync":
            return self._on_sync()
        if self._skipping:
            return b""
        return self._handlers[found.name](found.fields)

    def _on_startup(self) -> bytes:
        self._decoder.finish_startup()
        return (
            _encode("Authentication", code=0, data=b"")
            + _encode("BackendKeyData", pid=1, secret=b"abcd")
            + _encode("ReadyForQuery", state=str(TransactionStatus.IDLE))
        )

    def _on_sync(self) -> bytes:
        self._skipping = False
        self.ran.update(self._pending)
        self._pending = []
        if self.state == TransactionStatus.IDLE:
            self.portals.clear()
        return self._ready()

    def _on_parse(self, fields: dict[str, Any]) -> bytes:
        name = fields["name"]
        if name and name in self.statements:
            return self._fail(SqlState.DUPLICATE_STATEMENT, "it is there already")
        self.statements[name] = PreparedStatement(fields["text"], tuple(fields["types"]))
        return _encode("ParseComplete")

    def _on_bind(self, fields: dict[str, Any]) -> bytes:
        statement = self.statements.get(fields["statement"])
        if statement is None:
            return self._fail(SqlState.UNKNOWN_STATEMENT, "there is no such statement")
        self.portals[fields["portal"]] = Portal(statement.text)
        return _encode("BindComplete")

    def _on_describe(self, fields: dict[str, Any]) -> bytes:
        name = fields["name"]
        if fields["what"] == "S":
            statement = self.statements.get(name)
            if statement is None:
                return self._fail(SqlState.UNKNOWN_STATEMENT, "there is no such statement")
            parameters = _encode("ParameterDescription", types=list(statement.types))
            return parameters + self._describe_result(statement.text)
        portal = self.portals.get(name)
        if portal is None:
            return self._fail(SqlState.UNKNOWN_PORTAL, "there is no such portal")
        return self._describe_result(portal.text)

    @staticmethod
    def _describe_result(text: str) -> bytes:
        if text.startswith(ROWS_PREFIX):
            return _encode("RowDescription", columns=RESULT_COLUMNS)
        return _encode("NoData")

    def _on_close(self, fields: dict[str, Any]) -> bytes:
        if fields["what"] == "S":
            self.statements.pop(fields["name"], None)
        else:
            self.portals.pop(fields["name"], None)
        return _encode("CloseComplete")

    def _on_flush(self, _fields: dict[str, Any]) -> bytes:
        return b""

    def _on_execute(self, fields: dict[str, Any]) -> bytes:
        portal = self.portals.get(fields["portal"])
        if portal is None:
            return self._fail(SqlState.UNKNOWN_PORTAL, "there is no such portal")
        error = self._check_allowed(portal.text)
        if error:
            return error
        self._pending.append(portal.text)
        if not portal.text:
            return _encode("EmptyQueryResponse")
        if not portal.text.startswith(ROWS_PREFIX):
            return self._run(portal.text)
        return self._send_rows(portal, fields["rows"])

    def _send_rows(self, portal: Portal, max_rows: int) -> bytes:
        """Return the next rows of a portal; ``max_rows`` of 0 requests all."""
        row_count = _row_count(portal.text)
        first = portal.sent_rows
        end = min(row_count, first + max_rows) if max_rows > 0 else row_count
        portal.sent_rows = end
        rows = _encode_rows(first, end)
        if end < row_count:
            return rows + _encode("PortalSuspended")
        return rows + _encode("CommandComplete", tag=f"SELECT {end}")

    def _on_query(self, fields: dict[str, Any]) -> bytes:
        text = fields["text"]
        error = self._check_allowed(text)
        if error:
            self._skipping = False
            return error + self._ready()
        self.ran[text] += 1
        return self._query_answer(text) + self._ready()

    def _query_answer(self, text: str) -> bytes:
        if not text:
            return _encode("EmptyQueryResponse")
        if not text.startswith(ROWS_PREFIX):
            return self._run(text)
        row_count = _row_count(text)
        return (
            _encode("RowDescription", columns=RESULT_COLUMNS)
            + _encode_rows(0, row_count)
            + _encode("CommandComplete", tag=f"SELECT {row_count}")
        )

    def _check_allowed(self, text: str) -> bytes:
        """Return the error for a text; empty if it may run."""
        if text == "fail":
            return self._fail(SqlState.DIVISION_BY_ZERO, "asked to")
        if self.state == TransactionStatus.FAILED and text not in ("rollback", "commit"):
            return self._fail(SqlState.IN_FAILED_TRANSACTION, "the transaction is aborted")
        return b""

    def _fail(self, code: SqlState, text: str) -> bytes:
        self._skipping = True
        self._pending = []
        if self.state == TransactionStatus.IN_TRANSACTION:
            self.state = TransactionStatus.FAILED
        return _encode_error(code, text)

    def _run(self, text: str) -> bytes:
        if text == "begin":
            self.state = TransactionStatus.IN_TRANSACTION
        elif text in ("commit", "rollback"):
            self.state = TransactionStatus.IDLE
        return _encode("CommandComplete", tag=text.upper()[:MAX_TAG_CHARS])

    def _ready(self) -> bytes:
        return _encode("ReadyForQuery", state=str(self.state))
