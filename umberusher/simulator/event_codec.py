"""Decodes lines of the text wire into events."""

from __future__ import annotations

from collections.abc import Callable

from umberusher.decisions.events import (
    AttemptEnded,
    AttemptOutcome,
    AttemptProgress,
    ClientDisconnected,
    EndpointListFailed,
    EndpointListUpdate,
    EndpointState,
    EndpointUpdate,
    Event,
    HealthCheckEnded,
    LoadReport,
    ProgressKind,
    RequestArrived,
    ResponseStarted,
    TimerFired,
)
from umberusher.simulator.fields import (
    Fields,
    WireError,
    flag,
    integer,
    number,
    one_of,
    optional_integer,
    optional_number,
    parse_number,
    quoted,
    text,
)
from umberusher.wire import LOAD_REPORT_FIELDS

_OUTCOMES = {
    "completed": AttemptOutcome.SUCCEEDED,
    "errored": AttemptOutcome.ERROR,
    "saturated": AttemptOutcome.OVERLOADED,
    "overdue": AttemptOutcome.TIMED_OUT,
    "refused_conn": AttemptOutcome.NO_CONNECTION,
    "severed": AttemptOutcome.RESET,
    "recalled": AttemptOutcome.CANCELLED,
    "superseded": AttemptOutcome.WITHDRAWN,
}
_ENDPOINT_STATES = {
    "U": EndpointState.UP,
    "L": EndpointState.DRAINING,
    "D": EndpointState.REMOVED,
}
_PROGRESS_KINDS = {
    "1": ProgressKind.PROGRESS,
    "2": ProgressKind.SPILL,
    "3": ProgressKind.WAIT,
}
# Forms of an endpoint list: whether it is complete; None for a list that could not be retrieved.
_LIST_FORMS: dict[str, bool | None] = {"D": False, "F": True, "C": True, "X": None}
# ``stats`` packs two values: its quotient by this number is the work in ms, its remainder is the
# memory in steps of 4 MB.
_STATS_WORK_UNIT = 4096
_STATS_MEMORY_STEP_MB = 4
NO_REPORT = "-"


def _load_report(fields: Fields) -> LoadReport | None:
    pairs = fields.get("load")
    if not pairs or pairs == NO_REPORT:
        return None
    report = LoadReport()
    for pair in pairs.split(","):
        key, colon, value = pair.partition(":")
        if not colon:
            raise WireError(f"expected name:value in load, got {quoted(pair)}")
        amount = parse_number(value, f"load {key}")
        name = LOAD_REPORT_FIELDS.get(key)
        if name is not None:
            setattr(report, name, amount)
    return report


def _request_arrived(fields: Fields) -> RequestArrived:
    event = RequestArrived(
        group=optional_integer(fields, "tables"),
        request=text(fields, "msg_id"),
        query_class=text(fields, "cls"),
        deadline_ms=number(fields, "deadline_ms"),
        work_ms=optional_number(fields, "plan_cost_ms"),
        memory_mb=optional_number(fields, "want_mb"),
        key=fields.get("order_key") or None,
        tenant=fields.get("user_group") or None,
        is_retry=flag(fields, "resent"),
    )
    # Validated only: no decision depends on it.
    flag(fields, "is_write")
    return event


def _attempt_ended(fields: Fields) -> AttemptEnded:
    stats = integer(fields, "stats") if fields.get("stats") else 0
    return AttemptEnded(
        request=text(fields, "msg_id"),
        attempt=integer(fields, "n"),
        engine=text(fields, "node"),
        outcome=one_of(_OUTCOMES, fields, "disposition"),
        elapsed_ms=number(fields, "wait_time_ms"),
        request_closed=flag(fields, "terminal"),
        work_ms=stats // _STATS_WORK_UNIT if stats else None,
        memory_mb=stats % _STATS_WORK_UNIT * _STATS_MEMORY_STEP_MB if stats else None,
        report=_load_report(fields),
    )


def _attempt_progress(fields: Fields) -> AttemptProgress | None:
    kind = _PROGRESS_KINDS.get(text(fields, "sort"))
    if kind is None:
        integer(fields, "sort")
        return None
    return AttemptProgress(
        request=text(fields, "msg_id"),
        attempt=integer(fields, "n"),
        engine=text(fields, "node"),
        kind=kind,
        value=number(fields, "amount"),
    )


def _health_check_ended(fields: Fields) -> HealthCheckEnded:
    return HealthCheckEnded(
        engine=text(fields, "node"),
        outcome=one_of(_OUTCOMES, fields, "disposition"),
        elapsed_ms=number(fields, "wait_time_ms"),
        report=_load_report(fields),
    )


def _peer_message(fields: Fields) -> None:
    """Validate a message of another broker; it is no event, since brokers exchange no messages."""
    payload = text(fields, "msg")
    integer(fields, "author")
    try:
        bytes.fromhex(payload.replace("-", ""))
    except ValueError:
        raise WireError(f"expected hex digits in msg, got {quoted(payload)}") from None


def _client_disconnected(fields: Fields) -> ClientDisconnected:
    return ClientDisconnected(text(fields, "msg_id"))


def _timer_fired(fields: Fields) -> TimerFired:
    return TimerFired(text(fields, "tag"))


def _response_started(fields: Fields) -> ResponseStarted:
    return ResponseStarted(text(fields, "msg_id"), integer(fields, "n"), text(fields, "node"))


# Decoders by message name. A decoder returns None for a message that is valid and has no effect on
# the decisions.
DECODERS: dict[str, Callable[[Fields], Event | None]] = {
    "request": _request_arrived,
    "returned": _attempt_ended,
    "status_note": _attempt_progress,
    "health_result": _health_check_ended,
    "from_peer": _peer_message,
    "left": _client_disconnected,
    "due": _timer_fired,
    "started": _response_started,
}


def endpoint_update(fields: Fields) -> EndpointUpdate:
    """Return one entry of a numbered endpoint list."""
    cell = optional_integer(fields, "unit_group")
    started_ms = optional_number(fields, "boot_time_ms")
    return EndpointUpdate(
        engine=text(fields, "node"),
        state=one_of(_ENDPOINT_STATES, fields, "phase"),
        kind=fields.get("shape"),
        zone=fields.get("az"),
        cell=cell,
        weight=optional_number(fields, "units"),
        started_ms=started_ms or None,
    )


def endpoint_list_event(fields: Fields, lists: dict[int, tuple[EndpointUpdate, ...]]) -> Event:
    """Return the event of an update of the endpoint list.

    Args:
        fields: The line's fields.
        lists: The lists defined so far, by number.

    Raises:
        WireError: The line is malformed, or names a list that was not defined before it.
    """
    complete = one_of(_LIST_FORMS, fields, "form")
    if complete is None:
        return EndpointListFailed()
    list_number = integer(fields, "roster_id")
    if list_number not in lists:
        raise WireError(f"expected a list numbered {list_number} before this line")
    return EndpointListUpdate(lists[list_number], complete=complete)
