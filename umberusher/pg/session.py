"""A client's session as a machine of states, without I/O: bytes in, replies and requests out.

Owns what a client may do when, and what one request is. START -> (SSL) -> AUTH -> IDLE -> GROUP -> ... -> OVER.

A group is all up to Sync, or one Query. It becomes a request once the client wants an answer: at its Sync, or at a
Flush before that (asyncpg describes a statement and waits before it binds). What comes behind belongs to the same
request until Sync. Groups of a pipeline wait in order; the next one is asked for when the one before is ready. What
comes behind an error up to Sync is the server's to skip where the group went to one, and the session's where it did
not.
"""

from __future__ import annotations

import hmac
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from umberusher.pg.codec import Decoder, Message, Unreadable, message
from umberusher.pg.messages import Side

MAX_GROUPS = 64  # of a pipeline that wait, before the client is read no more
MAX_GROUP_BYTES = 4 << 20  # of one group: guards memory against a Sync that never comes
MAX_PREPARED_STATEMENTS, MAX_STATEMENT_BYTES = (
    16_384,
    16 << 20,
)  # prepared in one session; their texts together
MAX_ENCRYPTION_REQUESTS = (
    2  # requests for encryption before the start: one of each kind, as libpq may ask
)
PROTOCOL_MAJOR = 3


class State(Enum):
    """Where a session stands."""

    START = "start"
    AUTH = "authentication"
    IDLE = "idle"
    GROUP = "group"
    OVER = "over"


class Answered(Enum):
    """What a request that brought no result tells its client: SQLSTATE, text, whether doubt is left."""

    REFUSED = ("53300", "the broker is full", False)
    EXPIRED = ("57014", "the time was over before it was sent", False)
    EXPIRED_MAY_HAVE_RUN = ("57014", "the time was over", True)
    FAILED = ("08006", "failed", False)
    FAILED_MAY_HAVE_RUN = ("08007", "the connection to the server was lost", True)
    UNSUPPORTED = ("0A000", "not supported here", False)
    LIMIT = ("54000", "a limit of the broker is reached", False)
    PROTOCOL = ("08P01", "protocol violation", False)
    AUTH = ("28P01", "password authentication failed", False)


def error(
    answered: Answered, text: str = "", retry_ms: float | None = None, severity: str = "ERROR"
) -> bytes:
    """An ErrorResponse; the hint tells never-ran from may-have-run, and how long to stay away."""
    code, default_text, may_have_run = answered.value
    hint = "may have run" if may_have_run else "never ran"
    if retry_ms is not None:
        hint += f"; retry after {round(retry_ms)} ms"
    return message(
        Side.BACK,
        "ErrorResponse",
        fields={"S": severity, "V": severity, "C": code, "M": text or default_text, "H": hint},
    )


@dataclass(slots=True)
class Group:
    """One request: its messages, as they came."""

    parts: list[Message] = field(default_factory=list)
    size_bytes: int = 0
    whole: bool = False  # its Sync, or its Query, is here
    asked: bool = False
    forwarded: int = 0  # parts that were handed on
    failed: bool = False  # answered with an error here: what is left of it is skipped

    @property
    def simple(self) -> bool:
        """Whether it is one Query."""
        return bool(self.parts) and self.parts[0].name == "Query"

    def texts(self, statements: Mapping[str, Message]) -> list[str]:
        """The texts that it runs or prepares, by which it is classed."""
        found = []
        for part in self.parts:
            if part.name in ("Query", "Parse"):
                found.append(part.fields["text"])
            elif part.name == "Bind" and part.fields["statement"] in statements:
                found.append(statements[part.fields["statement"]].fields["text"])
        return found


# What a session gives its owner.


@dataclass(slots=True, frozen=True)
class Write:
    """Bytes for the client."""

    data: bytes


@dataclass(slots=True, frozen=True)
class Encrypt:
    """The client wants TLS: the owner answers ``S`` and shakes hands, or ``N``; ``gss`` is always ``N``."""

    gss: bool


@dataclass(slots=True, frozen=True)
class Login:
    """A client has said who it is: the owner authenticates it and calls ``admit`` or ``reject``."""

    options: Mapping[str, str]


@dataclass(slots=True, frozen=True)
class AuthenticationResponse:
    """A message of authentication."""

    data: bytes


@dataclass(slots=True, frozen=True)
class Ask:
    """A request begins; the owner has it routed, and takes its messages by ``more``."""

    group: Group


@dataclass(slots=True, frozen=True)
class More:
    """The request that is open has further messages."""

    group: Group


@dataclass(slots=True, frozen=True)
class Cancel:
    """Not a session: a client wants a request of another one stopped."""

    pid: int
    secret: bytes


@dataclass(slots=True, frozen=True)
class End:
    """Close the connection once all is written."""

    reason: str


Event = Write | Encrypt | Login | AuthenticationResponse | Ask | More | Cancel | End
EXTENDED_QUERY_MESSAGES = frozenset(["Parse", "Bind", "Execute", "Describe", "Close"])
UNSUPPORTED_MESSAGES = {
    "FunctionCall": "function calls",
    "CopyData": "COPY",
    "CopyDone": "COPY",
    "CopyFail": "COPY",
}


class FrontSession:
    """One client. ``feed`` takes its bytes, the calls below are the owner's answers, ``events`` wait for the owner."""

    def __init__(self, pid: int, secret: bytes) -> None:
        self.decoder = Decoder(Side.FRONT, starting=True)
        self.state, self.pid, self.secret = State.START, pid, secret
        self.events: deque[Event] = deque()
        self.options: dict[str, str] = {}
        self.encryption_requests = 0  # requests for encryption
        self.waits = (
            False  # for the owner's word on encryption, authentication or the groups before
        )
        self.groups: deque[Group] = deque()  # the first is asked, if any is
        self.statements: dict[str, Message] = {}  # that are prepared, by the client's name
        self.statement_bytes = 0
        self.transaction_status = "I"  # as the last ReadyForQuery said

    # -- From the client

    def feed(self, data: bytes) -> None:
        """Take bytes of the client."""
        self.decoder.feed(data)
        self.process_input()

    @property
    def paused(self) -> bool:
        """Whether the client is to be read no more for now."""
        return self.state is State.OVER or len(self.groups) >= MAX_GROUPS

    def process_input(self) -> None:
        """Go on with what has come."""
        while self.state is not State.OVER and not self.waits and len(self.groups) < MAX_GROUPS:
            found = self.decoder.next()
            if found is None:
                return
            if isinstance(found, Unreadable):
                self._violation(found.reason)
            elif self.state is State.START:
                self._on_startup(found)
            elif self.state is State.AUTH:
                self._on_authentication(found)
            else:
                self._on_message(found)

    def _end(self, reason: str) -> None:
        self.state = State.OVER
        self.groups.clear()
        self.events.append(End(reason))

    def _violation(self, reason: str) -> None:
        """The stream makes no sense any more."""
        if (
            self.state is not State.START
        ):  # before that a client may speak anything: nothing is told to it
            self.events.append(
                Write(error(Answered.PROTOCOL, f"protocol violation: {reason}", severity="FATAL"))
            )
        self._end(reason)

    def _on_startup(self, found: Message) -> None:
        if found.name in ("SSLRequest", "GSSENCRequest"):
            self.encryption_requests += 1
            if self.encryption_requests > MAX_ENCRYPTION_REQUESTS or self.decoder.unread_bytes:
                # Bytes behind the request came unencrypted; taken as if they had been, they are an injection
                # (CVE-2021-23214).
                self._end("encryption is asked for again, or bytes came behind it")
                return
            self.waits = True
            self.events.append(Encrypt(found.name == "GSSENCRequest"))
        elif found.name == "CancelRequest":
            self.events.append(Cancel(found.fields["pid"], found.fields["secret"]))
            self._end("a cancel request")
        else:
            self._on_startup_message(found)

    def _on_startup_message(self, found: Message) -> None:
        major, minor = divmod(found.fields["version"], 1 << 16)
        if major != PROTOCOL_MAJOR:
            self.events.append(
                Write(
                    error(
                        Answered.PROTOCOL,
                        f"protocol {major}.{minor} is not spoken here, 3.0 is",
                        severity="FATAL",
                    )
                )
            )
            self._end("an unknown protocol")
            return
        options = found.fields["options"]
        unknown = [name for name in options if name.startswith("_pq_.")]
        if minor or unknown:
            self.events.append(
                Write(message(Side.BACK, "NegotiateProtocolVersion", minor=0, options=unknown))
            )
        if not options.get("user"):
            self.events.append(Write(error(Answered.AUTH, "no user is named", severity="FATAL")))
            self._end("no user")
            return
        if options.get("replication", "false").lower() not in ("false", "off", "no", "0"):
            self.events.append(
                Write(
                    error(
                        Answered.UNSUPPORTED, "replication is not supported here", severity="FATAL"
                    )
                )
            )
            self._end("replication")
            return
        self.options = {name: value for name, value in options.items() if name not in unknown}
        self.decoder.finish_startup()
        self.state, self.waits = State.AUTH, True
        self.events.append(Login(self.options))

    def _on_authentication(self, found: Message) -> None:
        if found.name == "Password":
            self.waits = True
            self.events.append(AuthenticationResponse(found.fields["data"]))
        elif found.name == "Terminate":
            self._end("terminated")
        else:
            self._violation(f"{found.name} during authentication")

    def _on_message(self, found: Message) -> None:
        name = found.name
        if name == "Terminate":
            self._end("terminated")
            return
        if name == "Password":
            self._violation("Password outside of authentication")
            return
        group = self._current_group()
        if group.failed:
            self._skip_message(group, name)
            return
        if name in UNSUPPORTED_MESSAGES:
            if name != "FunctionCall":  # what is left of a COPY that was turned away
                return
            group.whole = True
            self._fail(
                group,
                error(Answered.UNSUPPORTED, f"{UNSUPPORTED_MESSAGES[name]} is not supported here"),
            )
            return
        if name == "Query" and group.parts:
            self._violation("Query inside a group")
            return
        group.parts.append(found)
        group.size_bytes += len(found.raw)
        if group.size_bytes > MAX_GROUP_BYTES:
            self._fail(
                group, error(Answered.LIMIT, "a group of messages without a Sync is too large")
            )
            return
        group.whole = name in ("Sync", "Query")
        if name == "Parse" and not self._within_statement_limits(found):
            self._fail(group, error(Answered.LIMIT, "too many prepared statements"))
            return
        if group.whole or name == "Flush":
            self._request_group(group)

    def _current_group(self) -> Group:
        """The group that messages now belong to."""
        if not self.groups or self.groups[-1].whole:
            self.groups.append(Group())
            self.state = State.GROUP
        return self.groups[-1]

    def _within_statement_limits(self, parse: Message) -> bool:
        replaced = self.statements.get(parse.fields["name"])
        count = len(self.statements) + (replaced is None)
        size = self.statement_bytes + len(parse.raw) - (len(replaced.raw) if replaced else 0)
        return count <= MAX_PREPARED_STATEMENTS and size <= MAX_STATEMENT_BYTES

    def _skip_message(self, group: Group, name: str) -> None:
        if name == "Sync":
            group.whole = True
            if self.groups[0] is group:
                self._send_ready()

    def _request_group(self, group: Group) -> None:
        """The client waits for an answer to what has come of a group."""
        if self.groups[0] is not group:
            return  # it is asked for once those before it are over
        if group.asked:
            self.events.append(More(group))
        elif not any(
            part.name in EXTENDED_QUERY_MESSAGES or part.name == "Query" for part in group.parts
        ):
            if group.whole:  # Sync alone, as a client's way to ask whether anyone is there
                self._send_ready()
        else:
            group.asked = True
            self.events.append(Ask(group))

    # -- From the owner

    def encrypted(self) -> None:
        """The word on encryption was written, and hands were shaken where it was yes."""
        self.waits = False
        self.process_input()

    def admit(self, parameters: Mapping[str, str]) -> None:
        """The client is who it says."""
        output = [message(Side.BACK, "Authentication", code=0, data=b"")]
        output += [
            message(Side.BACK, "ParameterStatus", name=name, value=value)
            for name, value in parameters.items()
        ]
        output.append(message(Side.BACK, "BackendKeyData", pid=self.pid, secret=self.secret))
        output.append(message(Side.BACK, "ReadyForQuery", state="I"))
        self.events.append(Write(b"".join(output)))
        self.state, self.waits = State.IDLE, False
        self.process_input()

    def challenge(self, code: int, data: bytes) -> None:
        """Authentication goes on."""
        self.events.append(Write(message(Side.BACK, "Authentication", code=code, data=data)))
        self.waits = False
        self.process_input()

    def reject(self, text: str = "") -> None:
        """The client is not let in."""
        self.events.append(Write(error(Answered.AUTH, text, severity="FATAL")))
        self._end("not let in")

    def more(self) -> list[Message]:
        """Messages of the open request that were not handed on yet; none where they went with those before."""
        if not self.groups or not self.groups[0].asked:
            return []
        group = self.groups[0]
        found, group.forwarded = group.parts[group.forwarded :], len(group.parts)
        return found

    def record_forwarded(self, found: Message) -> None:
        """A message of the server went to the client; completes what the session must know of it."""
        if not self.groups:
            return
        if found.name == "ParseComplete":
            self._on_parse_complete()
        elif found.name == "CloseComplete":
            self._on_close_complete()
        elif found.name == "ReadyForQuery":
            self.transaction_status = found.fields["state"]
            self._finish_group()

    def _on_parse_complete(self) -> None:
        """The first Parse of the group that was not seen done yet is."""
        parse = self._complete_first("Parse")
        if parse is not None:
            name = parse.fields["name"]
            replaced = self.statements.pop(name, None)
            self.statement_bytes += len(parse.raw) - (len(replaced.raw) if replaced else 0)
            self.statements[name] = parse

    def _on_close_complete(self) -> None:
        close = self._complete_first("Close")
        if close is not None and close.fields["what"] == "S":
            removed = self.statements.pop(close.fields["name"], None)
            self.statement_bytes -= len(removed.raw) if removed else 0

    def _complete_first(self, name: str) -> Message | None:
        group = self.groups[0]
        for number, part in enumerate(group.parts):
            if part.name == name:
                # Done: it must not be found for the next completion. Its place stays, so that ``forwarded`` holds.
                group.parts[number] = part._replace(name=f"{name} done")
                return part
        return None

    def fail(self, answered: Answered, text: str = "", retry_ms: float | None = None) -> None:
        """The open request has an answer that is no server's; the client may go on behind its Sync."""
        if self.groups:
            self._fail(self.groups[0], error(answered, text, retry_ms))

    def _fail(self, group: Group, error_response: bytes) -> None:
        group.failed = True
        group.parts, group.forwarded = [], 0
        if self.groups[0] is not group:  # those before it are answered first
            group.parts = [Message("ErrorResponse", {}, error_response)]
            return
        self.events.append(Write(error_response))
        if group.whole:
            self._send_ready()

    def _send_ready(self) -> None:
        """ReadyForQuery of the session's own; a failed transaction on a server is told by the server itself."""
        self.events.append(
            Write(message(Side.BACK, "ReadyForQuery", state=self.transaction_status))
        )
        self._finish_group()

    def _finish_group(self) -> None:
        """The first group is over: go on with the one behind it."""
        self.groups.popleft()
        self.state = State.GROUP if self.groups else State.IDLE
        if self.groups:
            group = self.groups[0]
            if group.failed:
                error_response, group.parts = group.parts[0].raw, []
                self.events.append(Write(error_response))
                if group.whole:
                    self._send_ready()
            elif group.whole or any(part.name == "Flush" for part in group.parts):
                self._request_group(group)
        self.process_input()

    def matches(self, secret: bytes) -> bool:
        """Whether a cancel request is this session's; in constant time, for the secret is all that guards it."""
        return hmac.compare_digest(self.secret, secret)
