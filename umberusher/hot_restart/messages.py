"""Messages between the processes of one broker, and their encoding on the wire.

Each message is one line of JSON, an object with the message's name as its key. The endpoint list
may be megabytes long: its lines are written in pieces, and a received list stays JSON until it is
known to be newer than the local one.

Version 2 of the messages added ``notice`` (one endpoint update) and ``ask`` (a request for the
whole list). A process that announces no version reads version 1 and is sent the whole list,
``known``, at each change. Version 3 added ``claim``, ``claimed`` and ``release`` for order keys.

The messages are named tuples: dataclasses would take twice the memory in each broker.
"""

from __future__ import annotations

import base64
import json
import math
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

from umberusher.protocol.discovery import WatchEvent, encode_watch_event, read_document

if TYPE_CHECKING:
    from umberusher.hot_restart.interfaces import Message

MESSAGE_VERSION = 4
"""The newest version of the messages that this program reads."""

FIRST_VERSION = 1
"""The version of a process that announces none."""

JsonObject = dict[str, Any]


@dataclass(frozen=True, slots=True)
class ResourceUsage:
    """Usage of the limits that all processes of one broker share."""

    memory_mb: float = 0.0
    client_count: int = 0
    engine_connection_count: int = 0

    def __add__(self, other: ResourceUsage) -> ResourceUsage:
        """Return the sum of both."""
        return ResourceUsage(
            self.memory_mb + other.memory_mb,
            self.client_count + other.client_count,
            self.engine_connection_count + other.engine_connection_count,
        )


class UsageReport(NamedTuple):
    """``use``: the resource usage of the sender and of its other peers."""

    usage: ResourceUsage

    def to_json(self) -> JsonObject:
        """Return ``{"use": [memory_mb, client_count, engine_connection_count]}``."""
        usage = self.usage
        memory_mb = round(usage.memory_mb, 1)
        return {"use": [memory_mb, usage.client_count, usage.engine_connection_count]}

    @classmethod
    def from_json(cls, fields: JsonObject) -> UsageReport:
        """Read the message."""
        memory_mb, client_count, engine_count = fields["use"]
        return cls(ResourceUsage(float(memory_mb), int(client_count), int(engine_count)))


class VersionAnnouncement(NamedTuple):
    """``reads``: the newest version of the messages that the sender reads."""

    version: int

    def to_json(self) -> JsonObject:
        """Return ``{"reads": version}``."""
        return {"reads": self.version}

    @classmethod
    def from_json(cls, fields: JsonObject) -> VersionAnnouncement:
        """Read the message."""
        return cls(announced_version(fields))


class EndpointSnapshot(NamedTuple):
    """``known``: the whole endpoint list, as the discovery service would send it."""

    document: Any

    @classmethod
    def from_json(cls, fields: JsonObject) -> EndpointSnapshot:
        """Read the message; the document is validated when it is applied."""
        return cls(fields["known"])


class EndpointChange(NamedTuple):
    """``notice``: one watch event, with the revision of the list that it ``follows``."""

    watch_event: Any
    follows: int

    @classmethod
    def from_json(cls, fields: JsonObject) -> EndpointChange:
        """Read the message; the watch event is validated when it is applied."""
        return cls(fields["notice"], int(fields["follows"]))


class SnapshotRequest(NamedTuple):
    """``ask``: a request for the whole list; a change after this revision is missing."""

    revision: int = 0

    def to_json(self) -> JsonObject:
        """Return ``{"ask": revision}``."""
        return {"ask": self.revision}

    @classmethod
    def from_json(cls, _fields: JsonObject) -> SnapshotRequest:
        """Read the message; the whole list is sent whatever revision it names."""
        return cls()


class ManualDrainChange(NamedTuple):
    """``ban``: a manual drain began at this Unix time, in milliseconds, or ended (None)."""

    engine: str
    since_unix_ms: float | None

    def to_json(self) -> JsonObject:
        """Return ``{"ban": [engine, since_unix_ms]}``."""
        return {"ban": [self.engine, self.since_unix_ms]}

    @classmethod
    def from_json(cls, fields: JsonObject) -> ManualDrainChange:
        """Read the message."""
        engine, since_unix_ms = fields["ban"]
        return cls(str(engine), None if since_unix_ms is None else float(since_unix_ms))


class CallAnswer(NamedTuple):
    """``answer``: the frame to write to a handed-over client as the answer of one call."""

    client_number: int
    sequence_id: int
    frame: bytes

    def to_json(self) -> JsonObject:
        """Return ``{"answer": [client_number, sequence_id, frame in base64]}``."""
        frame = base64.b64encode(self.frame).decode()
        return {"answer": [self.client_number, self.sequence_id, frame]}

    @classmethod
    def from_json(cls, fields: JsonObject) -> CallAnswer:
        """Read the message."""
        client_number, sequence_id, frame = fields["answer"]
        return cls(int(client_number), int(sequence_id), base64.b64decode(frame, validate=True))


class CallDisconnect(NamedTuple):
    """``leave``: the client of a handed-over connection no longer waits for one call."""

    client_number: int
    sequence_id: int

    def to_json(self) -> JsonObject:
        """Return ``{"leave": [client_number, sequence_id]}``."""
        return {"leave": [self.client_number, self.sequence_id]}

    @classmethod
    def from_json(cls, fields: JsonObject) -> CallDisconnect:
        """Read the message."""
        client_number, sequence_id = fields["leave"]
        return cls(int(client_number), int(sequence_id))


class KeyClaim(NamedTuple):
    """``claim``: a successor wants to run calls of an order key.

    The first of them arrived between two times of the loop's clock, in seconds.
    """

    number: int
    key: str
    after_s: float
    by_s: float

    def to_json(self) -> JsonObject:
        """Return ``{"claim": [number, key, after_s, by_s]}``; no lower bound is None."""
        after_s = None if math.isinf(self.after_s) else self.after_s
        return {"claim": [self.number, self.key, after_s, self.by_s]}

    @classmethod
    def from_json(cls, fields: JsonObject) -> KeyClaim:
        """Read the message."""
        number, key, after_s, by_s = fields["claim"]
        lower_s = -math.inf if after_s is None else float(after_s)
        return cls(int(number), str(key), lower_s, float(by_s))


class KeyClaimAnswer(NamedTuple):
    """``claimed``: whether a claim was granted."""

    number: int
    granted: bool

    def to_json(self) -> JsonObject:
        """Return ``{"claimed": [number, granted]}``."""
        return {"claimed": [self.number, self.granted]}

    @classmethod
    def from_json(cls, fields: JsonObject) -> KeyClaimAnswer:
        """Read the message."""
        number, granted = fields["claimed"]
        return cls(int(number), granted is True)


class KeyRelease(NamedTuple):
    """``release``: a claim is given up, or its key is no longer needed."""

    number: int

    def to_json(self) -> JsonObject:
        """Return ``{"release": number}``."""
        return {"release": self.number}

    @classmethod
    def from_json(cls, fields: JsonObject) -> KeyRelease:
        """Read the message."""
        return cls(int(fields["release"]))


class IdClaim(NamedTuple):
    """``claim_id``: a successor wants to run a non-idempotent request."""

    number: int
    request_id: str

    def to_json(self) -> JsonObject:
        """Return ``{"claim_id": [number, id]}``."""
        return {"claim_id": [self.number, self.request_id]}

    @classmethod
    def from_json(cls, fields: JsonObject) -> IdClaim:
        """Read the message."""
        number, request_id = fields["claim_id"]
        return cls(int(number), str(request_id))


class IdClaimAnswer(NamedTuple):
    """``claimed_id``: whether the request may run."""

    number: int
    granted: bool

    def to_json(self) -> JsonObject:
        """Return ``{"claimed_id": [number, granted]}``."""
        return {"claimed_id": [self.number, self.granted]}

    @classmethod
    def from_json(cls, fields: JsonObject) -> IdClaimAnswer:
        """Read the message."""
        number, granted = fields["claimed_id"]
        return cls(int(number), granted is True)


class IdReport(NamedTuple):
    """``ids``: non-idempotent requests that run, or have run, in the predecessor."""

    request_ids: list[str]

    def to_json(self) -> JsonObject:
        """Return ``{"ids": [id, ...]}``."""
        return {"ids": self.request_ids}

    @classmethod
    def from_json(cls, fields: JsonObject) -> IdReport:
        """Read the message."""
        return cls([str(each) for each in fields["ids"]])


class TeamBudgets(NamedTuple):
    """``teams``: the state of the teams' budgets, where there are contracts."""

    state: JsonObject

    def to_json(self) -> JsonObject:
        """Return ``{"teams": state}``."""
        return {"teams": self.state}

    @classmethod
    def from_json(cls, fields: JsonObject) -> TeamBudgets | None:
        """Read the message; None if it holds no state."""
        state = fields["teams"]
        return cls(state) if isinstance(state, dict) else None


class SuccessorReady(NamedTuple):
    """``ready``: the successor accepts clients from now on."""

    def to_json(self) -> JsonObject:
        """Return ``{"ready": true}``."""
        return {"ready": True}

    @classmethod
    def from_json(cls, fields: JsonObject) -> SuccessorReady | None:
        """Read the message; None if the sender is not ready."""
        return cls() if fields["ready"] is True else None


class Greeting(NamedTuple):
    """``hello``: the predecessor's state besides the endpoint list."""

    delisted_engines: list[str]
    """Engines that are known and no longer listed."""

    manual_drains: dict[str, float]
    """When manual drains that are in effect began, by engine, Unix time in milliseconds."""

    manual_drain_ends: dict[str, float]
    """When past manual drains ended, by engine, Unix time in milliseconds."""

    teams: JsonObject
    """The state of the teams' budgets; empty without contracts, or from an older version."""

    version: int = MESSAGE_VERSION
    """The newest version of the messages that the predecessor reads."""

    def to_json(self) -> JsonObject:
        """Return the fields, all but the endpoint list."""
        return {
            "seen": self.delisted_engines,
            "banned": self.manual_drains,
            "fresh": self.manual_drain_ends,
            "teams": self.teams,
            "reads": self.version,
        }

    @classmethod
    def from_json(cls, fields: JsonObject) -> Greeting:
        """Read the fields, all but the endpoint list.

        Raises:
            KeyError, TypeError, ValueError, AttributeError, OverflowError: A field is malformed.
        """
        teams = fields.get("teams")
        return cls(
            delisted_engines=[str(engine) for engine in fields["seen"]],
            manual_drains=_times_by_engine(fields["banned"]),
            manual_drain_ends=_times_by_engine(fields["fresh"]),
            teams=teams if isinstance(teams, dict) else {},
            version=announced_version(fields),
        )


def _times_by_engine(value: JsonObject) -> dict[str, float]:
    """Return Unix times in milliseconds by engine."""
    return {str(engine): float(unix_ms) for engine, unix_ms in value.items()}


ReceivedMessage = (
    UsageReport
    | VersionAnnouncement
    | EndpointSnapshot
    | EndpointChange
    | SnapshotRequest
    | ManualDrainChange
    | CallAnswer
    | CallDisconnect
    | KeyClaim
    | KeyClaimAnswer
    | KeyRelease
    | IdClaim
    | IdClaimAnswer
    | IdReport
    | TeamBudgets
    | SuccessorReady
)

# In the order in which the messages of one line take effect.
_DECODERS: dict[str, Callable[[JsonObject], ReceivedMessage | None]] = {
    "use": UsageReport.from_json,
    "reads": VersionAnnouncement.from_json,
    "known": EndpointSnapshot.from_json,
    "notice": EndpointChange.from_json,
    "ask": SnapshotRequest.from_json,
    "ban": ManualDrainChange.from_json,
    "answer": CallAnswer.from_json,
    "leave": CallDisconnect.from_json,
    "claim": KeyClaim.from_json,
    "claimed": KeyClaimAnswer.from_json,
    "release": KeyRelease.from_json,
    "claim_id": IdClaim.from_json,
    "claimed_id": IdClaimAnswer.from_json,
    "ids": IdReport.from_json,
    "teams": TeamBudgets.from_json,
    "ready": SuccessorReady.from_json,
}


def announced_version(fields: JsonObject) -> int:
    """Return the version of the messages that the sender reads; older programs announce none."""
    version = fields.get("reads", FIRST_VERSION)
    return version if isinstance(version, int) else FIRST_VERSION


def decode(line: bytes | bytearray) -> list[ReceivedMessage]:
    """Return the messages of one line; what this version does not know is ignored.

    Raises:
        KeyError, TypeError, ValueError, AttributeError, OverflowError: The line is malformed.
    """
    fields = read_document(line.decode())
    if not isinstance(fields, dict):
        raise TypeError("expected a JSON object")
    decoded = [decoder(fields) for name, decoder in _DECODERS.items() if name in fields]
    return [message for message in decoded if message is not None]


def encode(message: Message) -> bytes:
    """Return a short message as one line."""
    return json.dumps(message.to_json()).encode() + b"\n"


def encode_greeting(greeting: Greeting, endpoint_list: Iterable[str]) -> Iterator[bytes]:
    """Yield the greeting with the endpoint list, given as pieces of JSON, in front."""
    other_fields = json.dumps(greeting.to_json())
    yield from _line_in_pieces('{"hello":{"known":', endpoint_list, f",{other_fields[1:]}}}")


def encode_endpoint_snapshot(endpoint_list: Iterable[str]) -> Iterator[bytes]:
    """Yield the whole endpoint list, given as pieces of JSON, as one line."""
    yield from _line_in_pieces('{"known":', endpoint_list, "}")


def encode_endpoint_change(watch_event: WatchEvent, follows: int) -> Iterator[bytes]:
    """Yield a watch event that was applied to the list of revision ``follows`` as one line."""
    entries = ((entry, watch_event.addresses[entry.engine]) for entry in watch_event.entries)
    pieces = encode_watch_event(watch_event.revision, False, entries)
    yield from _line_in_pieces(f'{{"follows":{follows},"notice":', pieces, "}")


def _line_in_pieces(head: str, pieces: Iterable[str], tail: str) -> Iterator[bytes]:
    """Yield one line as bytes: a list of thousands must not be held in memory twice."""
    yield head.encode()
    for piece in pieces:
        yield piece.encode()
    yield f"{tail}\n".encode()


class ClientPacket(NamedTuple):
    """The packet with a client's connection: its number on this link, and its open calls."""

    client_number: int
    open_sequence_ids: list[int]

    def encode(self) -> bytes:
        """Return the packet."""
        return json.dumps({"client": self.client_number, "open": self.open_sequence_ids}).encode()

    @classmethod
    def decode(cls, packet: bytes) -> ClientPacket:
        """Read a packet.

        Raises:
            KeyError, TypeError, ValueError: The packet is malformed.
        """
        fields = json.loads(packet)
        sequence_ids = [int(sequence_id) for sequence_id in fields["open"]]
        return cls(int(fields["client"]), sequence_ids)
