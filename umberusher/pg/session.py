"""The state machine of a client's session, without I/O: decodes the client's bytes, emits replies and requests.

This module decides which messages a client may send in which state, and which of them form one request. The states are
START -> (SSL) -> AUTH -> IDLE -> GROUP -> ... -> OVER.

A group is either all messages up to a Sync or one Query. It becomes a request once the client waits for a response: at
its Sync, or at an earlier Flush (asyncpg describes a statement and waits before it binds). Later messages up to the
Sync belong to the same request. Groups of a pipeline are queued in order; the request of the next one begins when the
previous group is complete. After an error the messages up to the Sync are skipped: by the server if the group was sent
to one, otherwise by the session.
"""

from __future__ import annotations

import hmac
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from umberusher.pg.codec import Decoder, Message, Unreadable, message
from umberusher.pg.messages import Side

# Reading from the client pauses while this many groups of a pipeline are pending.
MAX_GROUPS = 64
MAX_GROUP_BYTES = 4 << 20  # bounds memory if the Sync never arrives
# Limits of one session; the bytes are those of all its Parse messages together.
MAX_PREPARED_STATEMENTS, MAX_STATEMENT_BYTES = 16_384, 16 << 20
# Before the start-up message; libpq may send one request of each kind, SSL and GSS.
MAX_ENCRYPTION_REQUESTS = 2
PROTOCOL_MAJOR = 3


class State(Enum):
    """The state of a session."""

    START = "start"
    AUTH = "authentication"
    IDLE = "idle"
    GROUP = "group"
    OVER = "over"


class Answered(Enum):
    """The errors for requests without a result: SQLSTATE, text, and whether the request may have run."""

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
    """Encode an ErrorResponse; the hint says whether the request may have run, and after how long to retry."""
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
    """The messages of one request, in the order of their arrival."""

    parts: list[Message] = field(default_factory=list)
    size_bytes: int = 0
    whole: bool = False  # its Sync or Query has arrived
    asked: bool = False  # its request has begun
    forwarded: int = 0  # the number of parts that the owner has received
    failed: bool = False  # answered with an error here; its remaining messages are skipped

    @property
    def simple(self) -> bool:
        """Whether the group is one Query."""
        return bool(self.parts) and self.parts[0].name == "Query"

    def texts(self, statements: Mapping[str, Message]) -> list[str]:
        """Return the texts that the group runs or prepares; the request is classified by them."""
        found = []
        for part in self.parts:
            if part.name in ("Query", "Parse"):
                found.append(part.fields["text"])
            elif part.name == "Bind" and part.fields["statement"] in statements:
                found.append(statements[part.fields["statement"]].fields["text"])
        return found


# Events that a session emits for its owner.


@dataclass(slots=True, frozen=True)
class Write:
    """Bytes for the client."""

    data: bytes


@dataclass(slots=True, frozen=True)
class Encrypt:
    """The client requests encryption.

    The owner answers ``S`` and performs the TLS handshake, or answers ``N``; for ``gss`` the answer is always ``N``.
    """

    gss: bool


@dataclass(slots=True, frozen=True)
class Login:
    """The start-up message arrived: the owner authenticates the client and calls ``admit`` or ``reject``."""

    options: Mapping[str, str]


@dataclass(slots=True, frozen=True)
class AuthenticationResponse:
    """The client's response to an authentication request: a password or a SASL message."""

    data: bytes


@dataclass(slots=True, frozen=True)
class Ask:
    """A request begins: the owner routes it and gets its messages from ``more``."""

    group: Group


@dataclass(slots=True, frozen=True)
class More:
    """The open request has further messages."""

    group: Group


@dataclass(slots=True, frozen=True)
class Cancel:
    """The connection is not a session: it carries a request to cancel the work of another session."""

    pid: int
    secret: bytes


@dataclass(slots=True, frozen=True)
class End:
    """Close the connection once all output is written."""

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
    """The session of one client.

    ``feed`` accepts the client's bytes; ``events`` queues events for the owner, which replies by calling the methods
    below.
    """

    def __init__(self, pid: int, secret: bytes) -> None:
        self.decoder = Decoder(Side.FRONT, starting=True)
        self.state, self.pid, self.secret = State.START, pid, secret
        self.events: deque[Event] = deque()
        self.options: dict[str, str] = {}
        self.encryption_requests = 0
        # Input is not processed until the owner has replied about encryption or authentication.
        self.waits = False
        self.groups: deque[Group] = deque()  # only the first one's request may have begun
        self.statements: dict[str, Message] = {}  # Parse messages by the client's statement names
        self.statement_bytes = 0
        self.transaction_status = "I"  # of the last ReadyForQuery

    # -- From the client

    def feed(self, data: bytes) -> None:
        """Accept bytes of the client."""
        self.decoder.feed(data)
        self.process_input()

    @property
    def paused(self) -> bool:
        """Whether reading from the client is paused or has ended."""
        return self.state is State.OVER or len(self.groups) >= MAX_GROUPS

    def process_input(self) -> None:
        """Process the messages that have arrived."""
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
        """End the session because the stream violates the protocol."""
        # Before the start-up message the client may speak any protocol, so no error is sent to it.
        if self.state is not State.START:
            self.events.append(
                Write(error(Answered.PROTOCOL, f"protocol violation: {reason}", severity="FATAL"))
            )
        self._end(reason)

    def _on_startup(self, found: Message) -> None:
        if found.name in ("SSLRequest", "GSSENCRequest"):
            self.encryption_requests += 1
            if self.encryption_requests > MAX_ENCRYPTION_REQUESTS or self.decoder.unread_bytes:
                # Bytes after the request arrived unencrypted. Treated as part of the encrypted stream, they would
                # allow an injection (CVE-2021-23214).
                self._end("too many encryption requests, or unencrypted bytes after one")
                return
            self.waits = True
            self.events.append(Encrypt(found.name == "GSSENCRequest"))
        elif found.name == "CancelRequest":
            self.events.append(Cancel(found.fields["pid"], found.fields["secret"]))
            self._end("the connection was for a cancel request")
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
            self._end("unsupported protocol version")
            return
        options = found.fields["options"]
        unknown = [name for name in options if name.startswith("_pq_.")]
        if minor or unknown:
            self.events.append(
                Write(message(Side.BACK, "NegotiateProtocolVersion", minor=0, options=unknown))
            )
        if not options.get("user"):
            self.events.append(Write(error(Answered.AUTH, "no user is named", severity="FATAL")))
            self._end("the start-up message names no user")
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
            if name != "FunctionCall":  # the remaining messages of a rejected COPY
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
        """Return the group that the next message belongs to; create it if needed."""
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
        """Begin or continue the request of a group: the client waits for responses to its messages."""
        if self.groups[0] is not group:
            return  # its request begins once the groups before it are complete
        if group.asked:
            self.events.append(More(group))
        elif not any(
            part.name in EXTENDED_QUERY_MESSAGES or part.name == "Query" for part in group.parts
        ):
            if group.whole:  # a Sync alone, which a client sends to check the connection
                self._send_ready()
        else:
            group.asked = True
            self.events.append(Ask(group))

    # -- From the owner

    def encrypted(self) -> None:
        """Resume after the answer to an encryption request, and the TLS handshake if there was one."""
        self.waits = False
        self.process_input()

    def admit(self, parameters: Mapping[str, str]) -> None:
        """Complete the start-up of an authenticated client."""
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
        """Send the client a further authentication request."""
        self.events.append(Write(message(Side.BACK, "Authentication", code=code, data=data)))
        self.waits = False
        self.process_input()

    def reject(self, text: str = "") -> None:
        """Reject the client and end the session."""
        self.events.append(Write(error(Answered.AUTH, text, severity="FATAL")))
        self._end("authentication failed")

    def more(self) -> list[Message]:
        """Return the messages of the open request that were not returned before."""
        if not self.groups or not self.groups[0].asked:
            return []
        group = self.groups[0]
        found, group.forwarded = group.parts[group.forwarded :], len(group.parts)
        return found

    def record_forwarded(self, found: Message) -> None:
        """Update the session after a message of the server was forwarded to the client."""
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
        """Record the statement of the group's first Parse that was not completed before."""
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
                # The new name keeps the next completion from finding it again. The message stays in the list, so that
                # ``forwarded`` remains valid.
                group.parts[number] = part._replace(name=f"{name} done")
                return part
        return None

    def fail(self, answered: Answered, text: str = "", retry_ms: float | None = None) -> None:
        """Answer the open request with an error of the broker; the client may continue after its Sync."""
        if self.groups:
            self._fail(self.groups[0], error(answered, text, retry_ms))

    def _fail(self, group: Group, error_response: bytes) -> None:
        group.failed = True
        group.parts, group.forwarded = [], 0
        if self.groups[0] is not group:  # the groups before it are answered first
            group.parts = [Message("ErrorResponse", {}, error_response)]
            return
        self.events.append(Write(error_response))
        if group.whole:
            self._send_ready()

    def _send_ready(self) -> None:
        """Send a ReadyForQuery of the session; a failed transaction on a server is reported by the server itself."""
        self.events.append(
            Write(message(Side.BACK, "ReadyForQuery", state=self.transaction_status))
        )
        self._finish_group()

    def _finish_group(self) -> None:
        """Remove the first group, which is complete, and continue with the next one."""
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
        """Whether a cancel request is for this session.

        The comparison takes constant time, because the secret is the only protection.
        """
        return hmac.compare_digest(self.secret, secret)
