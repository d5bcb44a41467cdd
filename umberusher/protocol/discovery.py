"""Codec of the discovery service's JSON: reads watch events and writes endpoint lists.

The names of the wire format (``notices``, ``pool``, ``instances``, ``lifecycle`` ...) are used in
this module only. The HTTP side of a poll is in :mod:`umberusher.protocol.discovery_poll`.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from sys import intern
from typing import Any

from umberusher.decisions.events import EndpointState, EndpointUpdate

# Fraction of the memory limit that the longest list may use while it is read: the remainder is for
# the program and the requests.
LIST_MEMORY_FRACTION = 0.3
# Peak memory for each byte of an answer: its bytes, its text and its entries. It is 4.1 at 32,000
# entries, and 6.9 if a single character makes the text use four bytes per character.
PEAK_BYTES_PER_ANSWER_BYTE = 7.0
DEFAULT_MEMORY_MB = 192.0  # the configuration's own default
# Number of endpoints that are encoded as one piece of text of some 50 KB.
ENDPOINTS_PER_PIECE = 256
# Largest number that is accepted: a JSON integer may be too large for a float.
MAX_NUMBER = 1e300

STATE_BY_WIRE_NAME = {
    "SERVING": EndpointState.UP,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}
WIRE_NAME_BY_STATE = {state: name for name, state in STATE_BY_WIRE_NAME.items()}
# Created once, since a handover message has thousands of entries.
ENCODE_JSON = json.JSONEncoder(separators=(",", ":")).encode
# Exceptions that reading a malformed entry may raise.
MALFORMED_ENTRY = (KeyError, TypeError, ValueError, AttributeError, OverflowError)

Address = tuple[str, int] | None
"""Host and port; None if the entry has no valid address, which only an engine that is up needs."""

Entry = tuple[EndpointUpdate, Address]
"""An entry of the list with the engine's address, which the decisions don't need."""


class DiscoveryProtocolError(ValueError):
    """An answer of the discovery service can't be used.

    Attributes:
        reason: Description of the fault for the log.
        cause: The kind of fault; it is the same for all faults of a kind, whatever the ``reason``.
        costly: Whether the answer was long, so that another poll costs as much again.
    """

    def __init__(self, reason: str, cause: str, costly: bool = False) -> None:
        super().__init__(reason)
        self.reason = reason
        self.cause = cause
        self.costly = costly


@dataclass(slots=True)
class WatchEvent:
    """One numbered change of the endpoint list, or the whole list if it is ``complete``.

    Attributes:
        revision: Number of the event; later events have higher numbers.
        complete: Whether engines that are not named have been removed.
        entries: One update for each engine named.
        addresses: Addresses by engine, for each engine named.
        skipped: Number of entries that could not be read.
        repeated: Number of entries superseded by a later one of the same engine.
    """

    revision: int
    complete: bool
    entries: tuple[EndpointUpdate, ...]
    addresses: dict[str, Address]
    skipped: int = 0
    repeated: int = 0


def max_answer_bytes(memory_mb: float) -> int:
    """Return the maximum size of an answer, in bytes, for a broker with this memory limit."""
    return int(memory_mb * 1e6 * LIST_MEMORY_FRACTION / PEAK_BYTES_PER_ANSWER_BYTE)


DEFAULT_MAX_ANSWER_BYTES = max_answer_bytes(DEFAULT_MEMORY_MB)


# -- Reading


def parse_address(text: str) -> tuple[str, int]:
    """Return host and port of ``host:port``.

    Raises:
        ValueError: The text is not ``host:port``, or the port is out of range.
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not 0 < int(port) < 65536:
        raise ValueError(f"expected host:port, got {text[:60]!r}")
    return intern(host), int(port)


def read_document(text: str) -> Any:
    """Parse a JSON text; its endpoint entries become :data:`Entry` pairs at once.

    Raises:
        ValueError: The text is not JSON, or nested too deep.
    """
    try:
        return json.loads(text, object_hook=_read_object)
    except RecursionError:
        raise ValueError("nested too deep") from None


def watch_events(document: Any, after_revision: int) -> list[WatchEvent]:
    """Return the watch events of an answer that are newer than a revision, in order.

    Raises:
        DiscoveryProtocolError: The document is malformed, or no entry of its last complete list
            can be read.
    """
    try:
        events = [
            _read_event(item) for item in document["notices"] if int(item["rev"]) > after_revision
        ]
    except MALFORMED_ENTRY as error:
        raise DiscoveryProtocolError(
            f"notices: {type(error).__name__} {error}", "malformed document"
        ) from error
    events.sort(key=lambda event: event.revision)
    _check_last_complete_list(events)
    return events


def document_revision(document: Any) -> int | None:
    """Return the service's revision that an answer names; None if it names none."""
    revision = document.get("rev") if isinstance(document, dict) else None
    if isinstance(revision, int) and not isinstance(revision, bool):
        return revision
    return None


def _check_last_complete_list(events: list[WatchEvent]) -> None:
    """Reject a complete list none of whose entries can be read: it would remove every engine."""
    for event in reversed(events):
        if event.complete:
            if event.skipped and not event.entries:
                raise DiscoveryProtocolError(
                    f"notice {event.revision}: none of its {event.skipped} entries can be read",
                    "malformed document",
                )
            return


def _read_event(item: dict[str, Any]) -> WatchEvent:
    entries: dict[str, EndpointUpdate] = {}
    addresses: dict[str, Address] = {}
    read = 0
    skipped = 0
    for raw in item["pool"]["instances"]:
        try:
            entry, address = raw if raw.__class__ is tuple else _read_entry(raw)
        except MALFORMED_ENTRY:
            skipped += 1
            continue
        read += 1
        entries[entry.engine] = entry
        addresses[entry.engine] = address
    return WatchEvent(
        revision=int(item["rev"]),
        complete=bool(item["pool"].get("reset")),
        entries=tuple(entries.values()),
        addresses=addresses,
        skipped=skipped,
        repeated=read - len(entries),
    )


def _read_object(item: dict[str, Any]) -> Entry | dict[str, Any]:
    """Convert an entry as soon as it is parsed.

    The dictionaries of a long list are then never in memory at the same time.
    """
    if "instanceId" in item and "lifecycle" in item and "instances" not in item:
        try:
            return _read_entry(item)
        except MALFORMED_ENTRY:
            return item  # counted as skipped with its event
    return item


def _read_entry(item: dict[str, Any]) -> Entry:
    """Read one entry.

    Its strings are interned, so that brokers of one process share them, and entries share zones and
    kinds. A malformed field other than id and state is ignored, so that a drain is still noticed.
    """
    get = item.get
    name = item["instanceId"]
    if name.__class__ is not str or not name:
        raise ValueError("expected an instance id")
    state = STATE_BY_WIRE_NAME[item["lifecycle"]]
    kind = get("machineType")
    zone = get("zone")
    cell: Any = get("cell")  # a string is accepted too, since cells are only compared
    if cell.__class__ is not int:
        cell = intern(cell) if cell.__class__ is str else None
    started = get("startedAtMs")
    entry = EndpointUpdate(
        intern(name),
        state,
        intern(kind) if kind.__class__ is str else None,
        intern(zone) if zone.__class__ is str else None,
        cell,
        _read_number(get("weight")),
        _read_number(started) if started else None,
    )
    try:
        return entry, parse_address(item["hostPort"])
    except (KeyError, TypeError, ValueError, AttributeError):
        if state is EndpointState.UP:
            raise
        return entry, None


def _read_number(value: Any) -> float | None:
    """Return a number of at least 0; None if it is absent or out of range."""
    if value.__class__ is int or value.__class__ is float:
        return float(value) if 0 <= value <= MAX_NUMBER else None
    return None


# -- Writing


def encode_watch_event(revision: int, complete: bool, entries: Iterable[Entry]) -> Iterator[str]:
    """Yield a watch event as JSON text in pieces.

    The dictionaries of a long list are then never in memory at the same time.
    """
    yield f'{{"rev":{revision},"pool":{{"reset":{json.dumps(complete)},"instances":['
    piece: list[str] = []
    separator = ""
    for entry, address in entries:
        piece.append(ENCODE_JSON(_entry_fields(entry, address)))
        if len(piece) == ENDPOINTS_PER_PIECE:
            yield separator + ",".join(piece)
            piece = []
            separator = ","
    if piece:
        yield separator + ",".join(piece)
    yield "]}}"


def encode_endpoint_list(revision: int, entries: Iterable[Entry]) -> Iterator[str]:
    """Yield an answer that holds the whole list as one watch event: JSON text in pieces."""
    yield f'{{"rev":{revision},"notices":['
    yield from encode_watch_event(revision, True, entries)
    yield "]}"


def _entry_fields(entry: EndpointUpdate, address: Address) -> dict[str, Any]:
    """Return an entry's known fields by their names on the wire."""
    fields = {
        "instanceId": entry.engine,
        "lifecycle": WIRE_NAME_BY_STATE[entry.state],
        "zone": entry.zone,
        "machineType": entry.kind,
        "cell": entry.cell,
        "weight": entry.weight,
        "startedAtMs": entry.started_ms,
    }
    known = {name: value for name, value in fields.items() if value is not None}
    if address and address[1]:
        known["hostPort"] = f"{address[0]}:{address[1]}"
    return known
