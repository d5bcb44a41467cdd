"""A session at a server as a machine of states, without I/O: a client's groups in, the server's answers out.

Owns what is sent for a group and what of the answers is the client's. A client's statement names are its own; here
they become names of the broker's, prepared where this server lacks them and found again where it has them. So some
messages are sent that the client did not send, and their answers are swallowed; others are not sent, and their answers
are made here. Both are kept in order by a queue of what is to come.

Whether a group may have run is a proof, as for the other protocol: a server runs nothing of which it lacks the last
byte, and what is executed before a Sync is rolled back where the Sync never came (the implicit transaction of the
extended query protocol), so a group whose Sync or Query did not go out whole never ran.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, IntEnum

from umberusher.pg.codec import Decoder, Message, Piece, Unreadable, message
from umberusher.pg.messages import Side
from umberusher.pg.pool import ServerSession

ASYNCHRONOUS_MESSAGES = frozenset(["NoticeResponse", "ParameterStatus", "NotificationResponse"])
FINAL_RESPONSES = {
    "Parse": ("ParseComplete",),
    "Bind": ("BindComplete",),
    "Close": ("CloseComplete",),
    "Describe": ("RowDescription", "NoData"),
    "Execute": ("CommandComplete", "EmptyQueryResponse", "PortalSuspended"),
    "Sync": ("ReadyForQuery",),
    "Query": ("ReadyForQuery",),
}
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
    """How far a group had come."""

    NOT_SENT = 0
    PARTLY_SENT = 1  # sent, without its end
    FULLY_SENT = 2  # its Sync or Query is with the kernel
    RESPONSE_STARTED = 3


class Phase(Enum):
    """Where the session stands."""

    STARTING = "starting"
    READY = "ready"
    OPEN = "open"  # a group's answers are to come
    OVER = "over"


@dataclass(slots=True)
class ExpectedResponse:
    """What is to come for one message that was sent, or ``made`` here in its place."""

    request: str
    discard: bool = False
    local_response: bytes = b""
    statement_key: str | None = None  # that a Parse of the broker's own prepares


@dataclass(slots=True, frozen=True)
class ClientData:
    """Bytes for the client; ``found`` is the message where it is whole."""

    data: bytes
    message: Message | None = None


@dataclass(slots=True, frozen=True)
class Ready:
    """The group is over; the transaction's state."""

    state: str


@dataclass(slots=True, frozen=True)
class Broken:
    """Nothing more is to be had from this session."""

    reason: str


class ServerLink:
    """One session's protocol; ``session`` is what the pool knows of it."""

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
        self.parsed_in_group: dict[str, str] = {}  # prepared by this group, by the client's names
        self.closed_in_group: set[str] = set()  # closed by this group
        self.skipping = False  # behind an error, until the answer to Sync

    # -- To the server

    def send(self, parts: list[Message], statements: Mapping[str, Message]) -> bytes:
        """The bytes for messages of a client's group; ``statements`` are those that the client has prepared."""
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
        """What was sent is with the kernel; ``whole`` where the group's end was in it."""
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
        if not name:  # the unnamed statement is the group's own: it goes as it is
            output.append(part.raw)
            self.expected.append(ExpectedResponse("Parse"))
            return
        if name in self.parsed_in_group or name in statements and name not in self.closed_in_group:
            # The client has that name already: the server refuses it in its own words, by the name that it has here.
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
        """The broker's name here for a client's statement, prepared anew where this server lacks it."""
        if not name:
            return ""
        parse = None if name in self.closed_in_group else statements.get(name)
        statement_key = self.parsed_in_group.get(name) or (_statement_key(parse) if parse else None)
        if statement_key is None:
            return name  # the client has no such statement: the server says so in its own words
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
        if (
            part.fields["what"] == "S" and part.fields["name"]
        ):  # kept here: the next client of that text has it ready
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
        """Take bytes of the server; what comes of them, in order."""
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
        """Answers that are events here and whose turn has come."""
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
            self._fail(f"{found.name} out of its place", events)
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
            self._fail(f"the server ends it: {found.fields['fields'].get('M', '')[:80]}", events)
        elif self.phase is Phase.STARTING:
            self._handle_startup(found, events)
        elif self.phase is Phase.OPEN:
            self._handle_response(found, events)
        else:
            self._fail(f"{found.name} with nothing asked", events)

    def _handle_startup(self, found: Message, events: list[ClientData | Ready | Broken]) -> None:
        if found.name == "Authentication" and found.fields["code"] == 0:
            return
        if found.name == "BackendKeyData":
            self.backend_key = found.fields["pid"], found.fields["secret"]
        elif found.name == "ReadyForQuery":
            self.phase = Phase.READY
            events.append(Ready(found.fields["state"]))
        elif found.name != "NegotiateProtocolVersion":
            self._fail(
                f"{found.name} at the start", events
            )  # a password that is not configured, or an error

    def _handle_response(self, found: Message, events: list[ClientData | Ready | Broken]) -> None:
        if not self.expected:
            self._fail(f"{found.name} with nothing due", events)
            return
        if found.name in COPY_RESPONSES:
            # Guards the stream: the server now speaks COPY, and no client here was told how.
            self._fail("the server began a COPY", events)
            return
        expected = self.expected[0]
        if found.name == "ErrorResponse" and expected.request != "Query":
            self._handle_error(found, events)
            return
        if self.skipping and expected.request != "Sync":
            self._fail(f"{found.name} behind an error", events)
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
        """What is left of the group is skipped by the server, answers that would be events here with it."""
        self.progress = GroupProgress.RESPONSE_STARTED
        events.append(ClientData(found.raw, found))
        self.skipping = True
        while self.expected and self.expected[0].request != "Sync":
            expected = self.expected.popleft()
            if expected.statement_key is not None:
                self.session.forget_statement(
                    expected.statement_key
                )  # it did not take it, or did not come to it


def _statement_key(parse: Message) -> str:
    """What makes two Parses the same: the text and the types that were stated."""
    types = ",".join(map(str, parse.fields["types"]))
    return f"{types};{parse.fields['text']}"
