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

ANY_TIME = frozenset(["NoticeResponse", "ParameterStatus", "NotificationResponse"])
ENDS = {
    "Parse": ("ParseComplete",),
    "Bind": ("BindComplete",),
    "Close": ("CloseComplete",),
    "Describe": ("RowDescription", "NoData"),
    "Execute": ("CommandComplete", "EmptyQueryResponse", "PortalSuspended"),
    "Sync": ("ReadyForQuery",),
    "Query": ("ReadyForQuery",),
}
INSIDE = {
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
COPY = frozenset(["CopyInResponse", "CopyOutResponse", "CopyBothResponse"])


class Reach(IntEnum):
    """How far a group had come."""

    NOTHING = 0
    PARTLY = 1  # sent, without its end
    WHOLE = 2  # its Sync or Query is with the kernel
    ANSWERED = 3


class Phase(Enum):
    """Where the session stands."""

    STARTING = "starting"
    READY = "ready"
    OPEN = "open"  # a group's answers are to come
    OVER = "over"


@dataclass(slots=True)
class Due:
    """What is to come for one message that was sent, or ``made`` here in its place."""

    what: str
    swallow: bool = False
    made: bytes = b""
    text: str | None = None  # that a Parse of the broker's own prepares


@dataclass(slots=True, frozen=True)
class Pass:
    """Bytes for the client; ``found`` is the message where it is whole."""

    data: bytes
    found: Message | None = None


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
        self.hello = message(Side.FRONT, "StartupMessage", version=196_608, options=dict(options))
        self.parameters: dict[str, str] = {}
        self.key: tuple[int, bytes] | None = None
        self.due: deque[Due] = deque()
        self.reach = Reach.NOTHING
        self.fresh: dict[str, str] = {}  # prepared by this group, by the client's names
        self.gone: set[str] = set()  # closed by this group
        self.skipping = False  # behind an error, until the answer to Sync

    # -- To the server

    def send(self, parts: list[Message], statements: Mapping[str, Message]) -> bytes:
        """The bytes for messages of a client's group; ``statements`` are those that the client has prepared."""
        self.phase = Phase.OPEN
        made: list[bytes] = []
        for part in parts:
            name = part.name.removesuffix(" done")
            call = getattr(self, f"_send_{name.lower()}", None)
            if call:
                call(part, statements, made)
            else:
                made.append(part.raw)
                if name in ENDS:
                    self.due.append(Due(name))
        self.reach = max(self.reach, Reach.PARTLY)
        return b"".join(made)

    def written(self, whole: bool) -> None:
        """What was sent is with the kernel; ``whole`` where the group's end was in it."""
        if whole:
            self.reach = max(self.reach, Reach.WHOLE)

    @property
    def may_have_run(self) -> bool:
        """Whether the open group may have run."""
        return self.reach >= Reach.WHOLE

    def _send_parse(
        self, part: Message, statements: Mapping[str, Message], made: list[bytes]
    ) -> None:
        name, text = part.fields["name"], _key(part)
        if not name:  # the unnamed statement is the group's own: it goes as it is
            made.append(part.raw)
            self.due.append(Due("Parse"))
            return
        if name in self.fresh or name in statements and name not in self.gone:
            # The client has that name already: the server refuses it in its own words, by the name that it has here.
            made.append(
                message(
                    Side.FRONT,
                    "Parse",
                    name=self._name(name, statements, made),
                    text=part.fields["text"],
                    types=part.fields["types"],
                )
            )
            self.due.append(Due("Parse"))
            return
        self.fresh[name] = text
        if self.session.has(text):
            self.due.append(Due("Parse", made=message(Side.BACK, "ParseComplete")))
        else:
            self._prepare(text, part, made, swallow=False)

    def _prepare(self, text: str, parse: Message, made: list[bytes], swallow: bool) -> str:
        ours, old = self.session.prepare(text)
        if old is not None:
            made.append(message(Side.FRONT, "Close", what="S", name=old))
            self.due.append(Due("Close", swallow=True))
        made.append(
            message(
                Side.FRONT,
                "Parse",
                name=ours,
                text=parse.fields["text"],
                types=parse.fields["types"],
            )
        )
        self.due.append(Due("Parse", swallow, text=text))
        return ours

    def _name(self, name: str, statements: Mapping[str, Message], made: list[bytes]) -> str:
        """The broker's name here for a client's statement, prepared anew where this server lacks it."""
        if not name:
            return ""
        parse = None if name in self.gone else statements.get(name)
        text = self.fresh.get(name) or (_key(parse) if parse else None)
        if text is None:
            return name  # the client has no such statement: the server says so in its own words
        found = self.session.has(text)
        return found if found or parse is None else self._prepare(text, parse, made, swallow=True)

    def _send_bind(
        self, part: Message, statements: Mapping[str, Message], made: list[bytes]
    ) -> None:
        ours = self._name(part.fields["statement"], statements, made)
        made.append(message(Side.FRONT, "Bind", **(part.fields | {"statement": ours})))
        self.due.append(Due("Bind"))

    def _send_describe(
        self, part: Message, statements: Mapping[str, Message], made: list[bytes]
    ) -> None:
        if part.fields["what"] == "S":
            ours = self._name(part.fields["name"], statements, made)
            made.append(message(Side.FRONT, "Describe", what="S", name=ours))
        else:
            made.append(part.raw)
        self.due.append(Due("Describe"))

    def _send_close(
        self, part: Message, statements: Mapping[str, Message], made: list[bytes]
    ) -> None:
        if (
            part.fields["what"] == "S" and part.fields["name"]
        ):  # kept here: the next client of that text has it ready
            self.fresh.pop(part.fields["name"], None)
            self.gone.add(part.fields["name"])
            self.due.append(Due("Close", made=message(Side.BACK, "CloseComplete")))
        else:
            made.append(part.raw)
            self.due.append(Due("Close"))

    # -- From the server

    def feed(self, data: bytes) -> list[Pass | Ready | Broken]:
        """Take bytes of the server; what comes of them, in order."""
        self.decoder.feed(data)
        made: list[Pass | Ready | Broken] = []
        while self.phase is not Phase.OVER:
            self._make(made)
            found = self.decoder.next(stream=self.phase is Phase.OPEN and not self._swallows())
            if found is None:
                return made
            if isinstance(found, Unreadable):
                self._break(f"unreadable: {found.reason}", made)
            elif isinstance(found, Piece):
                self._piece(found, made)
            else:
                self._take(found, made)
        return made

    def _swallows(self) -> bool:
        return bool(self.due) and self.due[0].swallow

    def _make(self, made: list[Pass | Ready | Broken]) -> None:
        """Answers that are made here and whose turn has come."""
        while self.due and self.due[0].made and not self.skipping:
            data = self.due.popleft().made
            made.append(
                Pass(
                    data,
                    Message("ParseComplete" if data[:1] == b"1" else "CloseComplete", {}, data),
                )
            )

    def _break(self, reason: str, made: list[Pass | Ready | Broken]) -> None:
        self.phase = Phase.OVER
        made.append(Broken(reason))

    def _piece(self, found: Piece, made: list[Pass | Ready | Broken]) -> None:
        if not self.due or found.name not in INSIDE.get(self.due[0].what, ()) or self.skipping:
            self._break(f"{found.name} out of its place", made)
            return
        self.reach = Reach.ANSWERED
        made.append(Pass(found.raw))

    def _take(self, found: Message, made: list[Pass | Ready | Broken]) -> None:
        if found.name in ANY_TIME:
            if found.name == "ParameterStatus":
                self.parameters[found.fields["name"]] = found.fields["value"]
            if self.phase is Phase.OPEN:
                made.append(Pass(found.raw, found))
        elif found.name == "ErrorResponse" and found.fields["fields"].get(
            "V", found.fields["fields"].get("S")
        ) in ("FATAL", "PANIC"):
            if self.phase is Phase.OPEN:
                made.append(Pass(found.raw, found))
            self._break(f"the server ends it: {found.fields['fields'].get('M', '')[:80]}", made)
        elif self.phase is Phase.STARTING:
            self._starting(found, made)
        elif self.phase is Phase.OPEN:
            self._answer(found, made)
        else:
            self._break(f"{found.name} with nothing asked", made)

    def _starting(self, found: Message, made: list[Pass | Ready | Broken]) -> None:
        if found.name == "Authentication" and found.fields["code"] == 0:
            return
        if found.name == "BackendKeyData":
            self.key = found.fields["pid"], found.fields["secret"]
        elif found.name == "ReadyForQuery":
            self.phase = Phase.READY
            made.append(Ready(found.fields["state"]))
        elif found.name != "NegotiateProtocolVersion":
            self._break(
                f"{found.name} at the start", made
            )  # a password that is not configured, or an error

    def _answer(self, found: Message, made: list[Pass | Ready | Broken]) -> None:
        if not self.due:
            self._break(f"{found.name} with nothing due", made)
            return
        if found.name in COPY:
            # Guards the stream: the server now speaks COPY, and no client here was told how.
            self._break("the server began a COPY", made)
            return
        due = self.due[0]
        if found.name == "ErrorResponse" and due.what != "Query":
            self._error(found, made)
            return
        if self.skipping and due.what != "Sync":
            self._break(f"{found.name} behind an error", made)
            return
        self.reach = Reach.ANSWERED
        if found.name in ENDS[due.what]:
            self.due.popleft()
        elif found.name not in INSIDE.get(due.what, ()):
            self._break(f"{found.name} where {due.what} is due", made)
            return
        if not due.swallow:
            made.append(Pass(found.raw, found))
        if found.name == "ReadyForQuery":
            self.skipping, self.reach = False, Reach.NOTHING
            self.fresh.clear()
            self.gone.clear()
            if not self.due:
                self.phase = Phase.READY
                made.append(Ready(found.fields["state"]))

    def _error(self, found: Message, made: list[Pass | Ready | Broken]) -> None:
        """What is left of the group is skipped by the server, answers that would be made here with it."""
        self.reach = Reach.ANSWERED
        made.append(Pass(found.raw, found))
        self.skipping = True
        while self.due and self.due[0].what != "Sync":
            due = self.due.popleft()
            if due.text is not None:
                self.session.unprepared(due.text)  # it did not take it, or did not come to it


def _key(parse: Message) -> str:
    """What makes two Parses the same: the text and the types that were stated."""
    types = ",".join(map(str, parse.fields["types"]))
    return f"{types};{parse.fields['text']}"
