"""Codec of the engines' line protocol.

A line consists of words and ends with CR LF. A request or a result page follows its line as a
body: the line's last word is the body's length in bytes, and CR LF ends the body. The words of the
wire format are used in this module only; callers use reply kinds and typed values.
"""

from __future__ import annotations

import math
import re
from enum import StrEnum
from typing import NamedTuple

from umberusher.decisions.events import LoadReport, ProgressKind
from umberusher.net.ring import RingBuffer
from umberusher.wire import LOAD_REPORT_FIELDS

MAX_LINE_BYTES = 4_096
# Maximum size of one result page; a reply that declares more is malformed.
MAX_BODY_BYTES = 6_000
# Maximum length of a number: one with more digits is outside every range in this protocol.
MAX_DIGITS = 8
# Maximum length of the part of a malformed field that is quoted in a log line.
MAX_QUOTED_CHARACTERS = 20

# Possessive, so that a page of any content is scanned once and needs no memory for backtracking.
_COLUMN = rb"[^\t\n\x00-\x08\x0b-\x1f\x7f]*+"
_ROWS = re.compile(rb"(?:%b\t%b\t%b\n)*+" % (_COLUMN, _COLUMN, _COLUMN))


class ReplyKind(StrEnum):
    """Kind of an engine's line; the value is its word on the wire."""

    RESULT = "HIT"
    PAGE = "PART"
    OVERLOADED = "SHED"
    EXPIRED = "LATE"
    ERROR = "FAULT"
    PROGRESS = "INFO"
    HEALTHY = "PONG"
    UNHEALTHY = "SICK"


_KINDS = {kind.value: kind for kind in ReplyKind}
_KINDS_WITH_BODY = ("HIT", "PART")
# Load report fields by the names that operators use; settings may also use the names on the wire.
_REPORT_FIELDS = LOAD_REPORT_FIELDS | {
    "inflight": "in_flight",
    "queue": "queued",
    "util": "utilization",
    "latency_ms": None,
    "qps": None,
    "eps": None,
}
# The fields with an engine's load report and with a query's cost.
_REPORT_FIELD_NAMES = ("rep", "ticks", "footprint")
_PROGRESS_KINDS = {
    "done": ProgressKind.PROGRESS,
    "spills": ProgressKind.SPILL,
    "waits": ProgressKind.WAIT,
}


class Reply:
    """One line of an engine, with its body.

    Attributes:
        id: Id of the request that it answers, or tag of a health check.
        kind: Kind of the line.
        fields: Its named values, as text.
        body: A page of rows; empty for a line without a body.
    """

    __slots__ = ("body", "fields", "id", "kind")

    def __init__(self, reply_id: str, kind: ReplyKind, fields: dict[str, str], body: bytes) -> None:
        self.id = reply_id
        self.kind = kind
        self.fields = fields
        self.body = body


class QueryCost(NamedTuple):
    """The resources that a query used, as far as its engine reports them."""

    work_ms: float | None
    memory_mb: float | None


class Progress:
    """The progress of a running query."""

    __slots__ = ("kind", "value")

    def __init__(self, kind: ProgressKind, value: float) -> None:
        self.kind = kind
        self.value = value


_UNKNOWN_COST = QueryCost(None, None)


class MalformedReplyError(Exception):
    """The bytes of an engine's connection violate the protocol; no bytes after them can be read."""

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


# -- Commands to engines


def request(
    request_id: str,
    query_class: str,
    ttl_ms: float,
    statement: bytes,
    priority: int | None = None,
    idempotency_key: str = "",
) -> bytes:
    """Return the command that starts a query.

    Args:
        request_id: Identifies the query in all further lines about it.
        query_class: The query's class, as named in the settings.
        ttl_ms: Time that the engine may spend, counted from its receipt of the command.
        statement: The query's text.
        priority: Order among the engine's waiting queries; not sent if None.
        idempotency_key: Key by which engines drop duplicates; not sent if empty.
    """
    fields = f"lane={query_class},ttl={max(int(ttl_ms), 1)}"
    if priority is not None:
        fields += f",order={priority}"
    if idempotency_key:
        fields += f",dedupe={idempotency_key}"
    head = f"REQ {request_id} {fields} {len(statement)}\r\n".encode()
    return head + statement + b"\r\n"


def cancel(request_id: str) -> bytes:
    """Return the command that withdraws a query; engines don't answer it."""
    return f"STOP {request_id}\r\n".encode()


def set_priority(request_id: str, priority: int) -> bytes:
    """Return the command that changes the priority of a query that waits or runs."""
    return f"NICE {request_id} {priority}\r\n".encode()


def fetch_page(request_id: str, number: int) -> bytes:
    """Return the command that requests a further page of a result."""
    return f"FETCH {request_id} {number}\r\n".encode()


def release_result(request_id: str) -> bytes:
    """Return the command that frees a result's pages at the engine."""
    return f"END {request_id}\r\n".encode()


def ping(tag: str) -> bytes:
    """Return the command that engines answer immediately, without a load report."""
    return f"HELO {tag}\r\n".encode()


def query_load(tag: str) -> bytes:
    """Return the command that requests an engine's load report."""
    return f"STAT {tag}\r\n".encode()


# -- Replies of engines


def next_reply(ring: RingBuffer) -> Reply | None:
    """Read the next complete reply from the buffer; return None while more bytes are needed.

    The fields are parsed only once the body is complete, however small the pieces in which it
    arrives: the cost of an incomplete reply must not grow with the number of its fields.

    Raises:
        MalformedReplyError: The bytes violate the protocol.
    """
    line_bytes = ring.find(b"\r\n", MAX_LINE_BYTES)
    if line_bytes < 0:
        if len(ring) >= MAX_LINE_BYTES:
            raise MalformedReplyError("line too long")
        return None
    reply_id, word, field_text, length = _split_line(ring.peek(line_bytes))
    kind = _KINDS.get(word)
    if kind is None or (length and not length.isdigit()):
        raise MalformedReplyError("line is not a valid reply")
    if not length:
        fields = _parse_fields(field_text)
        ring.discard(line_bytes + 2)
        return Reply(reply_id, kind, fields, b"")
    if len(length) > MAX_DIGITS + 1 or int(length) > MAX_BODY_BYTES:
        raise MalformedReplyError(f"body of {length[:MAX_QUOTED_CHARACTERS]} bytes")
    body_bytes = int(length)
    if len(ring) < line_bytes + 2 + body_bytes + 2:
        return None
    fields = _parse_fields(field_text)
    ring.discard(line_bytes + 2)
    body = ring.take(body_bytes)
    if ring.take(2) != b"\r\n":
        raise MalformedReplyError("body not closed by CR LF")
    return Reply(reply_id, kind, fields, body)


def _split_line(line: bytes) -> list[str]:
    """Return a line's four words: id, kind, fields and length, which is empty without a body."""
    try:
        words = line.decode("ascii").split()
    except UnicodeDecodeError as error:
        raise MalformedReplyError("line is not ASCII text") from error
    # A result must have a length: otherwise a truncated result would be read as an empty one.
    if len(words) == 3 and words[1] not in _KINDS_WITH_BODY:
        words.append("")
    if len(words) != 4:
        raise MalformedReplyError("line is not a valid reply")
    return words


def _parse_fields(text: str) -> dict[str, str]:
    if text == "-":
        return {}
    fields = {}
    for pair in text.split(","):
        name, separator, value = pair.partition("=")
        if not name or not separator:
            raise MalformedReplyError("field has no name")
        fields[name] = value
    return fields


def has_complete_rows(page: bytes) -> bool:
    """Return whether a page consists of complete rows of three text columns.

    Every intact page does; a page that was truncated or corrupted in transit seldom does.
    """
    try:
        page.decode("utf-8")
    except UnicodeDecodeError:
        return False
    return _ROWS.fullmatch(page) is not None


def page_count(fields: dict[str, str]) -> int:
    """Return the number of pages that a result declares; 0 if it is absent or no number."""
    text = fields.get("count", "")
    return int(text) if text.isdigit() and len(text) <= MAX_DIGITS else 0


def page_number(fields: dict[str, str]) -> int:
    """Return the position of a further page; 0 if it is absent or no number."""
    text = fields.get("pos", "")
    return int(text) if text.isdigit() and len(text) <= MAX_DIGITS else 0


def has_further_pages(reply: Reply) -> bool:
    """Return whether the engine keeps pages of this result until they are fetched or released."""
    return reply.fields.get("count") != "1"


def report_fields(fields: dict[str, str]) -> dict[str, str]:
    """Return the fields that a load report and a cost are read from.

    Names that an engine invents must not add up over the pages of a result.
    """
    return {name: fields[name] for name in _REPORT_FIELD_NAMES if name in fields}


def report(fields: dict[str, str]) -> LoadReport | None:
    """Return a reply's load report; None if it has no report with a readable field."""
    text = fields.get("rep")
    # Avoids an allocation for engines that report their load only in health checks.
    if not text:
        return None
    found = LoadReport()
    is_empty = True
    for pair in text.split(";"):
        name, _, value = pair.partition(":")
        if name in _REPORT_FIELDS:
            amount = _parse_amount(value)
            if amount is not None:
                is_empty = False
                field = _REPORT_FIELDS[name]
                if field is not None:
                    setattr(found, field, amount)
    return None if is_empty else found


def _parse_amount(text: str) -> float | None:
    """Return a finite amount of at least 0, else None: only the malformed field is ignored."""
    # Most replies have no amount; an exception for each would cost more time than all other code of
    # this module.
    if not text:
        return None
    try:
        amount = float(text)
    except ValueError:
        return None
    return amount if math.isfinite(amount) and amount >= 0 else None


def cost(fields: dict[str, str]) -> QueryCost:
    """Return the cost of a query that its reply reports; an amount of 0 counts as absent."""
    if "ticks" not in fields and "footprint" not in fields:
        return _UNKNOWN_COST
    work_ms = _parse_amount(fields.get("ticks", ""))
    memory_mb = _parse_amount(fields.get("footprint", ""))
    return QueryCost(work_ms or None, memory_mb or None)


def progress(fields: dict[str, str]) -> Progress | None:
    """Return the progress of a running query; None if the reply reports no known kind."""
    try:
        return Progress(_PROGRESS_KINDS[fields["why"]], float(fields["reading"]))
    except (KeyError, ValueError):
        return None
