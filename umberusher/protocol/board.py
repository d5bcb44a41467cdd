"""The notice board's codec: a long poll over HTTP/1.1 (h11), and its notices as news of engines."""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import h11

from umberusher import interface as api

MAX_BODY = 1 << 22  # bytes of an answer: some 20,000 engines
STATES = {"SERVING": api.EngineState.UP, "DRAINING": api.EngineState.DRAINING, "DELETED": api.EngineState.GONE}


@dataclass(slots=True)
class BoardFault:
    """A poll that brought nothing that can be read."""

    why: str


@dataclass(slots=True)
class Notice:
    """One numbered event of the board."""

    rev: int
    complete: bool
    entries: tuple[api.EngineEntry, ...]
    addresses: dict[str, tuple[str, int] | None]  # None where it is told of no address and needs none
    skipped: int = 0  # entries that could not be read


def address(text: str) -> tuple[str, int]:
    """``host:port`` as a pair; ValueError where it is none."""
    host, mark, port = text.rpartition(":")
    if not mark or not host or not 0 < int(port) < 65536:
        raise ValueError(f"expected host:port, got {text[:60]!r}")
    return host, int(port)


def _entry(item: dict) -> tuple[api.EngineEntry, tuple[str, int] | None]:
    name = item["instanceId"]
    if not isinstance(name, str) or not name:
        raise ValueError("expected an instance id")
    # What is beside the state costs only itself where it makes no sense: a drain must be heard all the same.
    entry = api.EngineEntry(
        name, STATES[item["lifecycle"]], kind=_of(item, "machineType", str), zone=_of(item, "zone", str),
        cell=_of(item, "cell", int, str), weight=_of(item, "weight", float, int),
        started_ms=_of(item, "startedAtMs", float, int) or None)
    try:
        return entry, address(item["hostPort"])
    except (KeyError, TypeError, ValueError, AttributeError):
        if entry.state is api.EngineState.UP:
            raise
        return entry, None


def _of(item: dict, name: str, *kinds: type) -> Any:
    """A field of one of these types; None where it is absent or makes no sense."""
    value = item.get(name)
    if isinstance(value, bool) or not isinstance(value, kinds):
        return None
    if float in kinds:
        return float(value) if 0 <= value < math.inf else None
    return value


def notices(document: object, after: int) -> list[Notice] | BoardFault:
    """The notices that are newer than ``after``, in order."""
    try:
        found = []
        for item in document["notices"]:
            if int(item["rev"]) <= after:
                continue
            entries, addresses, skipped = [], {}, 0
            for raw in item["pool"]["instances"]:
                try:
                    entry, addresses[raw["instanceId"]] = _entry(raw)
                    entries.append(entry)
                except (KeyError, TypeError, ValueError, AttributeError):
                    skipped += 1
            found.append(Notice(int(item["rev"]), bool(item["pool"].get("reset")), tuple(entries),
                                addresses, skipped))
    except (KeyError, TypeError, ValueError, AttributeError) as error:
        return BoardFault(f"notices: {type(error).__name__} {error}")
    return sorted(found, key=lambda notice: notice.rev)


def document(rev: int, entries: Iterable[tuple[api.EngineEntry, tuple[str, int]]]) -> dict[str, Any]:
    """A whole list as the one notice numbered ``rev``, in the form that ``notices`` reads."""
    words = {state: word for word, state in STATES.items()}
    made = [{"instanceId": entry.engine, "hostPort": f"{host}:{port}", "zone": entry.zone, "machineType": entry.kind,
             "cell": entry.cell, "lifecycle": words[entry.state], "weight": entry.weight,
             "startedAtMs": entry.started_ms or 0} for entry, (host, port) in entries]
    return {"rev": rev, "notices": [{"rev": rev, "pool": {"reset": True, "instances": made}}]}


class PollClient:
    """The client side of one HTTP connection: a poll at a time."""

    def __init__(self, host: str) -> None:
        self.host = host
        self._http = h11.Connection(h11.CLIENT)
        self._body = bytearray()
        self._status = 0

    def poll(self, watch: int, linger_ms: int) -> bytes:
        """The bytes that ask for what came after ``watch``."""
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        self._body.clear()
        ask = h11.Request(method="GET", target=f"/board/poll?watch={watch}&linger={linger_ms}",
                          headers=[("Host", self.host), ("Accept", "application/json")])
        return self._http.send(ask) + self._http.send(h11.EndOfMessage())

    def feed(self, data: bytes) -> object | BoardFault | None:
        """Take bytes (none: the end); the answer's JSON, None while it is not whole."""
        try:
            self._http.receive_data(data)
            while (event := self._http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
                if isinstance(event, h11.Response):
                    self._status = event.status_code
                elif isinstance(event, h11.Data):
                    self._body += event.data
                    if len(self._body) > MAX_BODY:
                        return BoardFault(f"an answer of over {MAX_BODY:,} bytes")
                elif isinstance(event, h11.ConnectionClosed):
                    return BoardFault("closed")
                elif isinstance(event, h11.EndOfMessage):
                    if self._status != 200:
                        return BoardFault(f"status {self._status}")
                    return json.loads(bytes(self._body))
        except (h11.ProtocolError, ValueError) as error:
            return BoardFault(str(error))
        return None

    @property
    def reusable(self) -> bool:
        """Whether a further poll may go over this connection."""
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
