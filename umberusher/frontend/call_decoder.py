"""Decoding of a call's fields to a request, within what the settings allow.

A call that the settings don't allow is rejected before the decisions see it. This protects the
learned latency estimates from absurd values, and engines from calls that they can't process.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING, NamedTuple

from umberusher.deadlines.budget import TimeBudget
from umberusher.decisions.events import RequestArrived
from umberusher.decisions.settings import Idempotency, QueryClass, Settings
from umberusher.pipeline.request import Request, ResponseSink

if TYPE_CHECKING:
    from umberusher.protocol.thrift import Execute

# A call's time budget may exceed its class's deadline by this much.
MAX_BUDGET_EXCESS_MS = 1_000.0
# Largest accepted work estimate, as a multiple of the class's deadline.
MAX_WORK_DEADLINE_MULTIPLE = 1_000.0
# Largest accepted memory estimate, as a multiple of the largest engine's memory.
MAX_MEMORY_MULTIPLE = 10.0
# Assumed memory of an engine where the settings give none.
DEFAULT_ENGINE_MEMORY_MB = 1e6
MAX_ORDER_KEY_CHARACTERS = 256
# A call that is not checked yet waits no longer than this, whatever its budget says.
MAX_WAIT_MS = 60_000.0

# The fields that a call may have.
CALL_FIELDS = frozenset(
    ["acct", "again", "budget", "est", "method", "obj", "ram", "rid", "team", "token"]
)

_REQUEST_ID = re.compile(r"[0-9a-fA-F]{16}")
# The key is one field of the line that an engine is sent: no comma and no equals sign.
_IDEMPOTENCY_KEY = re.compile(r"[!-+\--<>-~]{0,256}")
_NUMBER = re.compile(r"[0-9]{1,12}(\.[0-9]{1,20})?([eE][+-]?[0-9]{1,2})?")


class InvalidCallError(Exception):
    """A call has a field that the settings don't allow, or lacks one.

    Attributes:
        reason: What is wrong; the client is sent this text.
    """

    def __init__(self, reason: str) -> None:
        """Create the error."""
        super().__init__(reason)
        self.reason = reason


class NumberField(NamedTuple):
    """A numeric field of a call, with the range that is accepted."""

    name: str
    min: float
    max: float


class RequestSchema:
    """The query classes that calls may name, with the ranges of their numeric fields."""

    def __init__(self, settings: Settings) -> None:
        """Derive the schema from the settings."""
        self.classes = {cls.name: cls for cls in settings.classes}
        largest_engine_mb = max(
            (kind.memory_mb or DEFAULT_ENGINE_MEMORY_MB for kind in settings.engine_kinds),
            default=DEFAULT_ENGINE_MEMORY_MB,
        )
        max_memory_mb = MAX_MEMORY_MULTIPLE * largest_engine_mb
        self.number_fields = {
            cls.name: _number_fields(cls, max_memory_mb) for cls in settings.classes
        }


def _number_fields(cls: QueryClass, max_memory_mb: float) -> tuple[NumberField, ...]:
    max_work_ms = MAX_WORK_DEADLINE_MULTIPLE * max(cls.deadline_ms, 1.0)
    return (
        NumberField("budget", 1.0, cls.deadline_ms + MAX_BUDGET_EXCESS_MS),
        NumberField("est", 0.0, max_work_ms),
        NumberField("ram", 0.0, max_memory_mb),
    )


def waits_until_ms(fields: dict[str, str], arrived_ms: float) -> float:
    """Return until when the client of a call waits, as far as its fields can be read.

    Args:
        fields: The call's fields, which were not checked.
        arrived_ms: When the call arrived.
    """
    text = fields.get("budget", "")
    budget_ms = float(text) if _NUMBER.fullmatch(text) else 0.0
    return arrived_ms + min(budget_ms, MAX_WAIT_MS)


def decode_request(
    call: Execute, sink: ResponseSink, arrived_ms: float, schema: RequestSchema
) -> Request:
    """Return the request of a call whose statement is not read.

    Args:
        call: The call.
        sink: Receives the final answer.
        arrived_ms: When the call arrived: its time budget counts from then.
        schema: The classes and value ranges that the settings allow.

    Raises:
        InvalidCallError: A field is missing, malformed or out of range.
    """
    fields = call.fields
    request_id = fields.get("rid", "")
    if not _REQUEST_ID.fullmatch(request_id):
        raise InvalidCallError("field rid must be 16 hex digits")
    cls = schema.classes.get(fields.get("method", ""))
    if cls is None:
        raise InvalidCallError("field method must name a class")
    budget_ms, work_ms, memory_mb = _numbers(fields, schema.number_fields[cls.name])
    if budget_ms is None:
        raise InvalidCallError("field budget is missing")
    if fields.get("again", "0") not in ("0", "1"):
        raise InvalidCallError("field again must be 1 or absent")
    if cls.ordered_by_key and not 0 < len(fields.get("obj", "")) <= MAX_ORDER_KEY_CHARACTERS:
        raise InvalidCallError("field obj must name the key")
    if not _IDEMPOTENCY_KEY.fullmatch(fields.get("token", "")):
        raise InvalidCallError("field token can't be passed on")
    arrival = RequestArrived(
        request_id,
        cls.name,
        arrived_ms + budget_ms,
        work_ms=work_ms,
        memory_mb=memory_mb,
        key=fields.get("obj") or None,
        is_retry=fields.get("again") == "1",
        tenant=fields.get("acct") or None,
    )
    return Request(
        arrival,
        call.body,
        sink,
        TimeBudget(arrived_ms, arrival.deadline_ms),
        cls.idempotency is Idempotency.NON_IDEMPOTENT,
        idempotency_key=fields.get("token", ""),
    )


def _numbers(fields: dict[str, str], number_fields: tuple[NumberField, ...]) -> list[float | None]:
    """Return the numeric fields in the schema's order, None for each that is absent."""
    numbers: list[float | None] = []
    for name, low, high in number_fields:
        text = fields.get(name)
        if text is None:
            numbers.append(None)
            continue
        if not _NUMBER.fullmatch(text):
            raise InvalidCallError(f"field {name} must be a number")
        number = float(text)
        if not low <= number <= high:
            raise InvalidCallError(f"field {name} is out of range")
        numbers.append(number)
    return numbers
