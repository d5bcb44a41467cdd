"""The loop of the simulator's process: reads batches of events, and writes actions."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TextIO

from umberusher.decisions.balancer import LoadBalancer
from umberusher.decisions.events import EndpointUpdate, Event, Started
from umberusher.decisions.settings import Settings
from umberusher.decisions.settings_reader import read_settings
from umberusher.decisions.settings_schema import SettingsError
from umberusher.simulator.action_codec import encode
from umberusher.simulator.event_codec import DECODERS, endpoint_list_event, endpoint_update
from umberusher.simulator.fields import (
    SETTINGS_FIELD,
    Fields,
    WireError,
    integer,
    number,
    quoted,
    split_line,
    text,
)

BATCH_START = "batch"
BATCH_END = "over_to_you"
INSTANCE_START = "boot"
INSTANCE_END = "shutdown"
LIST_UPDATE = "update"
LIST_DEFINITION = "define_list"
LIST_ENTRY = "m"
_INSTANCE_MESSAGES = (INSTANCE_START, LIST_UPDATE, INSTANCE_END)


class Reply:
    """One line of a reply, and the instance that produced it."""

    __slots__ = ("instance", "line")

    def __init__(self, instance: str, line: str) -> None:
        self.instance = instance
        self.line = line


class ListDefinition:
    """A numbered endpoint list whose entries are being read."""

    __slots__ = ("entries", "number", "size")

    def __init__(self, number: int, size: int) -> None:
        self.number = number
        self.size = size
        self.entries: list[EndpointUpdate] = []

    def is_complete(self) -> bool:
        """Return whether all entries have been read."""
        return len(self.entries) >= self.size


class Host:
    """Runs many independent load balancers; each handles only the events of its own instance."""

    def __init__(self) -> None:
        self._balancers: dict[str, LoadBalancer] = {}
        self._lists: dict[int, tuple[EndpointUpdate, ...]] = {}
        self._definition: ListDefinition | None = None

    def handle_batch(self, now_ms: float, lines: Iterable[tuple[int, str]]) -> list[str]:
        """Return all actions that one batch causes, as lines.

        Args:
            now_ms: The time of the batch's events.
            lines: The batch's lines with their numbers in the input.

        Raises:
            WireError: A line is malformed; the error names its number.
        """
        replies: list[Reply] = []
        for line_number, line in lines:
            try:
                self._handle_line(now_ms, line, replies)
            except WireError as error:
                raise WireError(f"line {line_number}: {error}") from error
        if self._definition is not None:
            definition = self._definition
            raise WireError(f"list {definition.number}: expected {definition.size} entries")
        return [reply.line for reply in replies]

    def _handle_line(self, now_ms: float, line: str, replies: list[Reply]) -> None:
        name, fields = split_line(line)
        if self._definition is not None or name == LIST_DEFINITION:
            self._define_list(name, fields)
            return
        if name not in DECODERS and name not in _INSTANCE_MESSAGES:
            raise WireError(f"expected a known message, got {quoted(name)}")
        instance = text(fields, "i")
        event: Event | None
        if name == INSTANCE_START:
            self._balancers[instance] = LoadBalancer(
                _settings(fields), integer(fields, "random_seed")
            )
            event = Started()
        elif instance not in self._balancers:
            raise WireError(f"expected an instance that has started, got {quoted(instance)}")
        elif name == INSTANCE_END:
            del self._balancers[instance]
            # Actions of an instance that ends in this batch are not carried out.
            replies[:] = [reply for reply in replies if reply.instance != instance]
            return
        elif name == LIST_UPDATE:
            event = endpoint_list_event(fields, self._lists)
        else:
            event = DECODERS[name](fields)
        if event is not None:
            actions = self._balancers[instance].handle(now_ms, event)
            replies.extend(Reply(instance, encode(instance, action)) for action in actions)

    def _define_list(self, name: str, fields: Fields) -> None:
        """Process a line of a list definition: its head, or one of its entries."""
        definition = self._definition
        if definition is None:
            definition = ListDefinition(integer(fields, "roster_id"), integer(fields, "elements"))
            self._definition = definition
        elif name == LIST_ENTRY:
            definition.entries.append(endpoint_update(fields))
        else:
            raise WireError(
                f"expected an entry {LIST_ENTRY} of list {definition.number}, got {quoted(name)}"
            )
        if definition.is_complete():
            self._lists[definition.number] = tuple(definition.entries)
            self._definition = None


def _settings(fields: Fields) -> Settings:
    try:
        return read_settings(text(fields, SETTINGS_FIELD))
    except SettingsError as error:
        raise WireError(str(error)) from error


class _Batch:
    """A batch that is being read: its head, and its lines with their numbers in the input."""

    __slots__ = ("lines", "now_ms", "number")

    def __init__(self, line_number: int, line: str) -> None:
        try:
            name, fields = split_line(line)
            if name != BATCH_START:
                raise WireError(f"expected {BATCH_START}, got {quoted(name)}")
            self.now_ms = number(fields, "now_ms")
            self.number = integer(fields, "turn")
        except WireError as error:
            raise WireError(f"line {line_number}: {error} (in the opening of a batch)") from error
        self.lines: list[tuple[int, str]] = []


def serve(source: Iterable[str], sink: TextIO) -> None:
    """Answer batches until the input ends.

    Raises:
        WireError: The input is malformed, or ends inside a batch.
    """
    host = Host()
    batch: _Batch | None = None
    for line_number, raw_line in enumerate(source, 1):
        line = raw_line.rstrip("\r\n")
        if batch is None:
            if line:
                batch = _Batch(line_number, line)
        elif line.partition("\t")[0] == BATCH_END:
            replies = host.handle_batch(batch.now_ms, batch.lines)
            replies.append(f"ack\tturn={batch.number}\n")
            sink.write("\n".join(replies))
            sink.flush()
            batch = None
        else:
            batch.lines.append((line_number, line))
    if batch is not None:
        raise WireError(f"input ended inside a batch: expected {BATCH_END}")
