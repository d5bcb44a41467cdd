"""The state machine of a session at a server, without I/O: encodes a client's groups, returns the server's responses.

This module decides what is sent for a group and which responses belong to the client. A client's statement names are
mapped to names of the broker, so that a statement is prepared on a server that lacks it and reused on one that has it.
Some messages are therefore sent that the client didn't send, and their responses are discarded; others aren't sent, and
their responses are generated here. A queue of expected responses keeps both in order.

A group may have run only if its Sync or Query was sent completely, as for the other protocol: a server doesn't run a
message whose last byte is missing, and what was executed before a Sync is rolled back if the Sync never arrives (the
implicit transaction of the extended query protocol).
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, IntEnum

from umberusher.pg.codec import Decoder, Message, Piece, Unreadable, message
from umberusher.pg.messages import Side
from umberusher.pg.pool import ServerSession

# A server may send these at any time.
ASYNCHRONOUS_MESSAGES = frozenset(["NoticeResponse", "ParameterStatus", "NotificationResponse"])
# The responses that complete a message, by the message.
FINAL_RESPONSES = {
    "Parse": ("ParseComplete",),
    "Bind": ("BindComplete",),
    "Close": ("CloseComplete",),
    "Describe": ("RowDescription", "NoData"),
    "Execute": ("CommandComplete", "EmptyQueryResponse", "PortalSuspended"),
    "Sync": ("ReadyForQuery",),
    "Query": ("ReadyForQuery",),
}
# The responses that may precede the final one.
INTERMEDIATE_RESPONSES = {
    "Describe": ("ParameterDescription",),
    "Execute": ("DataRow",),
    "Query": (
        "RowDescription",
        "DataRow",
        "CommandComplete",
        "EmptyQueryResponse",
        "ErrorResponse",
    ),
}
COPY_RESPONSES = frozenset(["CopyInResponse", "CopyOutResponse", "CopyBothResponse"])


class GroupProgress(IntEnum):
    """How far a group was sent and answered, in order."""

    NOT_SENT = 0
    PARTLY_SENT = 1  # without its Sync or Query
    FULLY_SENT = 2  # its Sync or Query was written to the socket
    RESPONSE_STARTED = 3


class Phase(Enum):
    """The phase of a session."""

    STARTING = "starting"
    READY = "ready"
    OPEN = "open"  # responses to a group are expected
    OVER = "over"


@dataclass(slots=True)
class ExpectedResponse:
    """The response expected to one message; ``local_response`` is generated here for a message that isn't sent."""

    request: str
    discard: bool = False
    local_response: bytes = b""
    statement_key: str | None = None  # of the statement that a Parse of the broker prepares


@dataclass(slots=True, frozen=True)
class ClientData:
    """Bytes for the client; ``message`` is set if they are a complete message."""

    data: bytes
    message: Message | None = None


@dataclass(slots=True, frozen=True)
class Ready:
    """The group is complete; ``state`` is the transaction status."""

    state: str


@dataclass(slots=True, frozen=True)
class Broken:
    """The session has failed; no further events follow."""

    reason: str


class ServerLink:
    """The protocol of one session; ``session`` is the pool's record of it."""

    def __init__(self, session: ServerSession, options: Mapping[str, str]) -> None:
        self.session, self.phase = session, Phase.STARTING
        self.decoder = Decoder(Side.BACK)
        self.startup_message = message(
            Side.FRONT, "StartupMessage", version=196_608, options=dict(options)
        )
        self.parameters: dict[str, str] = {}
        self.backend_key: tuple[int, bytes] | None = None
        self.expected: deque[ExpectedResponse] = deque()
        self.progress = GroupProgress.NOT_SENT
        self.parsed_in_group: dict[str, str] = {}  # statement keys by the client's names
        self.closed_in_group: set[str] = set()  # the client's names
        self.skipping = False  # after an error, until the response to Sync

    # -- To the server

    def send(self, parts: list[Message], statements: Mapping[str, Message]) -> bytes:
        """Return the bytes to send for messages of a client's group.

        ``statements`` are those that the client has prepared.
        """
        self.phase = Phase.OPEN
        output: list[bytes] = []
        for part in parts:
            name = part.name.removesuffix(" done")
            handler = getattr(self, f"_send_{name.lower()}", None)
            if handler:
                handler(part, statements, output)
            else:
                output.append(part.raw)
                if name in FINAL_RESPONSES:
                    self.expected.append(ExpectedResponse(name))
        self.progress = max(self.progress, GroupProgress.PARTLY_SENT)
        return b"".join(output)

    def mark_written(self, complete: bool) -> None:
        """Record that the bytes were written to the socket; ``complete`` if the group's end was among them."""
        if complete:
            self.progress = max(self.progress, GroupProgress.FULLY_SENT)

    @property
    def may_have_run(self) -> bool:
        """Whether the open group may have run."""
        return self.progress >= GroupProgress.FULLY_SENT

    def _send_parse(
        self, part: Message, statements: Mapping[str, Message], output: list[bytes]
    ) -> None:
        name, statement_key = part.fields["name"], _statement_key(part)
        if not name:  # the unnamed statement belongs to the group and is sent unchanged
            output.append(part.raw)
            self.expected.append(ExpectedResponse("Parse"))
            return
        if name in self.parsed_in_group or name in statements and name not in self.closed_in_group:
            # The client already uses this name: under its name on this server, the server itself reports the error.
            output.append(
                message(
                    Side.FRONT,
                    "Parse",
                    name=self._server_name(name, statements, output),
                    text=part.fields["text"],
                    types=part.fields["types"],
                )
            )
            self.expected.append(ExpectedResponse("Parse"))
            return
        self.parsed_in_group[name] = statement_key
        if self.session.prepared_name(statement_key):
            self.expected.append(
                ExpectedResponse("Parse", local_response=message(Side.BACK, "ParseComplete"))
            )
        else:
            self._prepare(statement_key, part, output, discard=False)

    def _prepare(
        self, statement_key: str, parse: Message, output: list[bytes], discard: bool
    ) -> str:
        server_name, evicted = self.session.prepare(statement_key)
        if evicted is not None:
            output.append(message(Side.FRONT, "Close", what="S", name=evicted))
            self.expected.append(ExpectedResponse("Close", discard=True))
        output.append(
            message(
                Side.FRONT,
                "Parse",
                name=server_name,
                text=parse.fields["text"],
                types=parse.fields["types"],
            )
        )
        self.expected.append(ExpectedResponse("Parse", discard, statement_key=statement_key))
        return server_name

    def _server_name(
        self, name: str, statements: Mapping[str, Message], output: list[bytes]
    ) -> str:
        """Return the broker's name for a client's statement; prepare the statement if this server lacks it."""
        if not name:
            return ""
        parse = None if name in self.closed_in_group else statements.get(name)
        statement_key = self.parsed_in_group.get(name) or (_statement_key(parse) if parse else None)
        if statement_key is None:
            return name  # the client has no such statement: the server itself reports the error
        found = self.session.prepared_name(statement_key)
        return (
            found
            if found or parse is None
            else self._prepare(statement_key, parse, output, discard=True)
        )

    def _send_bind(
        self, part: Message, statements: Mapping[str, Message], output: list[bytes]
    ) -> None:
        server_name = self._server_name(part.fields["statement"], statements, output)
        output.append(message(Side.FRONT, "Bind", **(part.fields | {"statement": server_name})))
        self.expected.append(ExpectedResponse("Bind"))

    def _send_describe(
        self, part: Message, statements: Mapping[str, Message], output: list[bytes]
    ) -> None:
        if part.fields["what"] == "S":
            server_name = self._server_name(part.fields["name"], statements, output)
            output.append(message(Side.FRONT, "Describe", what="S", name=server_name))
        else:
            output.append(part.raw)
        self.expected.append(ExpectedResponse("Describe"))

    def _send_close(
        self, part: Message, statements: Mapping[str, Message], output: list[bytes]
    ) -> None:
        # A named statement stays prepared on the server, for the next client with the same text.
        if part.fields["what"] == "S" and part.fields["name"]:
            self.parsed_in_group.pop(part.fields["name"], None)
            self.closed_in_group.add(part.fields["name"])
            self.expected.append(
                ExpectedResponse("Close", local_response=message(Side.BACK, "CloseComplete"))
            )
        else:
            output.append(part.raw)
            self.expected.append(ExpectedResponse("Close"))

    # -- From the server

    def feed(self, data: bytes) -> list[ClientData | Ready | Broken]:
        """Decode bytes of the server and return the resulting events in order."""
        self.decoder.feed(data)
        events: list[ClientData | Ready | Broken] = []
        while self.phase is not Phase.OVER:
            self._emit_local_responses(events)
            found = self.decoder.next(stream=self.phase is Phase.OPEN and not self._discards_next())
            if found is None:
                return events
            if isinstance(found, Unreadable):
                self._fail(f"unreadable: {found.reason}", events)
            elif isinstance(found, Piece):
                self._handle_piece(found, events)
            else:
                self._handle_message(found, events)
        return events

    def _discards_next(self) -> bool:
        return bool(self.expected) and self.expected[0].discard

    def _emit_local_responses(self, events: list[ClientData | Ready | Broken]) -> None:
        """Emit the locally generated responses that are next in order."""
        while self.expected and self.expected[0].local_response and not self.skipping:
            data = self.expected.popleft().local_response
            events.append(
                ClientData(
                    data,
                    Message("ParseComplete" if data[:1] == b"1" else "CloseComplete", {}, data),
                )
            )

    def _fail(self, reason: str, events: list[ClientData | Ready | Broken]) -> None:
        self.phase = Phase.OVER
        events.append(Broken(reason))

    def _handle_piece(self, found: Piece, events: list[ClientData | Ready | Broken]) -> None:
        if (
            not self.expected
            or found.name not in INTERMEDIATE_RESPONSES.get(self.expected[0].request, ())
            or self.skipping
        ):
            self._fail(f"{found.name} was not expected", events)
            return
        self.progress = GroupProgress.RESPONSE_STARTED
        events.append(ClientData(found.raw))

    def _handle_message(self, found: Message, events: list[ClientData | Ready | Broken]) -> None:
        if found.name in ASYNCHRONOUS_MESSAGES:
            if found.name == "ParameterStatus":
                self.parameters[found.fields["name"]] = found.fields["value"]
            if self.phase is Phase.OPEN:
                events.append(ClientData(found.raw, found))
        elif found.name == "ErrorResponse" and found.fields["fields"].get(
            "V", found.fields["fields"].get("S")
        ) in ("FATAL", "PANIC"):
            if self.phase is Phase.OPEN:
                events.append(ClientData(found.raw, found))
            self._fail(
                f"the server ended the session: {found.fields['fields'].get('M', '')[:80]}", events
            )
        elif self.phase is Phase.STARTING:
            self._handle_startup(found, events)
        elif self.phase is Phase.OPEN:
            self._handle_response(found, events)
        else:
            self._fail(f"{found.name} while no group is open", events)

    def _handle_startup(self, found: Message, events: list[ClientData | Ready | Broken]) -> None:
        if found.name == "Authentication" and found.fields["code"] == 0:
            return
        if found.name == "BackendKeyData":
            self.backend_key = found.fields["pid"], found.fields["secret"]
        elif found.name == "ReadyForQuery":
            self.phase = Phase.READY
            events.append(Ready(found.fields["state"]))
        elif found.name != "NegotiateProtocolVersion":
            # The server requests a password, and none is configured, or it reports an error.
            self._fail(f"{found.name} during start-up", events)

    def _handle_response(self, found: Message, events: list[ClientData | Ready | Broken]) -> None:
        if not self.expected:
            self._fail(f"{found.name} while no response is expected", events)
            return
        if found.name in COPY_RESPONSES:
            # The stream now follows the COPY protocol, and COPY isn't supported for clients here.
            self._fail("the server began a COPY", events)
            return
        expected = self.expected[0]
        if found.name == "ErrorResponse" and expected.request != "Query":
            self._handle_error(found, events)
            return
        if self.skipping and expected.request != "Sync":
            self._fail(f"{found.name} after an error, before the response to Sync", events)
            return
        self.progress = GroupProgress.RESPONSE_STARTED
        if found.name in FINAL_RESPONSES[expected.request]:
            self.expected.popleft()
        elif found.name not in INTERMEDIATE_RESPONSES.get(expected.request, ()):
            self._fail(f"{found.name} where {expected.request} is due", events)
            return
        if not expected.discard:
            events.append(ClientData(found.raw, found))
        if found.name == "ReadyForQuery":
            self.skipping, self.progress = False, GroupProgress.NOT_SENT
            self.parsed_in_group.clear()
            self.closed_in_group.clear()
            if not self.expected:
                self.phase = Phase.READY
                events.append(Ready(found.fields["state"]))

    def _handle_error(self, found: Message, events: list[ClientData | Ready | Broken]) -> None:
        """Skip the remaining messages of the group, as the server does, and drop their local responses too."""
        self.progress = GroupProgress.RESPONSE_STARTED
        events.append(ClientData(found.raw, found))
        self.skipping = True
        while self.expected and self.expected[0].request != "Sync":
            expected = self.expected.popleft()
            if expected.statement_key is not None:
                # The server rejected this Parse or skipped it.
                self.session.forget_statement(expected.statement_key)


def _statement_key(parse: Message) -> str:
    """Return the key that equal statements share: the text and the stated parameter types."""
    types = ",".join(map(str, parse.fields["types"]))
    return f"{types};{parse.fields['text']}"
