"""The messages of the protocol as a table: type byte, sender, fields and maximum length.

Source: the PostgreSQL manual, "Frontend/Backend Protocol", sections "Message Formats" and "Message Flow" (version 3.0;
3.2 differs in the length of a cancel key). This module owns names, fields and limits; the codec owns the encoding.

A field is a name and a kind:

    i8 i16 i32 u32   integers, big-endian; u32 for object ids
    str              text up to a zero byte
    byte             one byte, as a character
    rest             the bytes up to the end of the body
    bytes32          a length of four bytes, then that many bytes; a length of -1 is None
    list16:KIND      a count of two bytes, then that many fields of a kind
    list32:KIND      the same with a count of four bytes
    strs             pairs of texts, up to an empty name
    fields           pairs of a byte and a text, up to a zero byte (errors and notices)
    columns          a row's description: name, table, column, type, size, modifier, format
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

KIB, MIB = 1 << 10, 1 << 20
DEFAULT_MAX_BODY_BYTES = 16 * KIB
# The limit of PostgreSQL servers; a longer packet is not a start-up packet.
MAX_STARTUP_BYTES = 10_000
PROTOCOL_3_0 = 196_608
SSL_REQUEST, GSS_REQUEST, CANCEL_REQUEST = 80_877_103, 80_877_104, 80_877_102


class Side(Enum):
    """The sender of a message."""

    FRONT = "client"
    BACK = "server"


@dataclass(slots=True, frozen=True)
class MessageType:
    """One type of message and the limits of its body."""

    name: str
    code: bytes  # the type byte; empty for messages without one
    side: Side
    fields: tuple[tuple[str, str], ...] = ()
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES
    streamed: bool = False  # may be forwarded in pieces


def _message_type(
    name: str,
    code: bytes,
    side: Side,
    fields: str = "",
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES,
    streamed: bool = False,
) -> MessageType:
    pairs = tuple(
        (name, kind) for name, _, kind in (each.partition("=") for each in fields.split())
    )
    return MessageType(name, code, side, pairs, max_body_bytes, streamed)


FRONT = tuple(
    _message_type(name, code, Side.FRONT, *more)
    for name, code, *more in (
        (
            "Bind",
            b"B",
            "portal=str statement=str formats=list16:i16 values=list16:bytes32 results=list16:i16",
            MIB,
        ),
        ("Close", b"C", "what=byte name=str"),
        ("CopyData", b"d", "data=rest", MIB),
        ("CopyDone", b"c"),
        ("CopyFail", b"f", "why=str"),
        ("Describe", b"D", "what=byte name=str"),
        ("Execute", b"E", "portal=str rows=i32"),
        ("Flush", b"H"),
        ("FunctionCall", b"F", "data=rest", MIB),
        ("Parse", b"P", "name=str text=str types=list16:u32", MIB),
        # Also the two SASL messages; the authentication request determines which one it is.
        ("Password", b"p", "data=rest", 64 * KIB),
        ("Query", b"Q", "text=str", MIB),
        ("Sync", b"S"),
        ("Terminate", b"X"),
    )
)

BACK = tuple(
    _message_type(name, code, Side.BACK, *more)
    for name, code, *more in (
        ("Authentication", b"R", "code=i32 data=rest", 64 * KIB),
        ("BackendKeyData", b"K", "pid=i32 secret=rest", 260),
        ("BindComplete", b"2"),
        ("CloseComplete", b"3"),
        ("CommandComplete", b"C", "tag=str"),
        ("CopyInResponse", b"G", "data=rest"),
        ("CopyOutResponse", b"H", "data=rest"),
        ("CopyBothResponse", b"W", "data=rest"),
        ("CopyData", b"d", "data=rest", 64 * MIB, True),
        ("CopyDone", b"c"),
        ("DataRow", b"D", "values=list16:bytes32", 64 * MIB, True),
        ("EmptyQueryResponse", b"I"),
        ("ErrorResponse", b"E", "fields=fields", 64 * KIB),
        ("FunctionCallResponse", b"V", "value=bytes32", MIB),
        ("NegotiateProtocolVersion", b"v", "minor=i32 options=list32:str"),
        ("NoData", b"n"),
        ("NoticeResponse", b"N", "fields=fields", 64 * KIB),
        ("NotificationResponse", b"A", "pid=i32 channel=str payload=str"),
        ("ParameterDescription", b"t", "types=list16:u32", 256 * KIB),
        ("ParameterStatus", b"S", "name=str value=str"),
        ("ParseComplete", b"1"),
        ("PortalSuspended", b"s"),
        ("ReadyForQuery", b"Z", "state=byte"),
        ("RowDescription", b"T", "columns=columns", MIB),
    )
)

# These have no type byte; the number after their length distinguishes them.
STARTUP = _message_type(
    "StartupMessage", b"", Side.FRONT, "version=u32 options=strs", MAX_STARTUP_BYTES
)
CANCEL = _message_type("CancelRequest", b"", Side.FRONT, "number=u32 pid=i32 secret=rest", 268)
SSL = _message_type("SSLRequest", b"", Side.FRONT, "number=u32", 4)
GSS = _message_type("GSSENCRequest", b"", Side.FRONT, "number=u32", 4)

BY_CODE = {
    Side.FRONT: {each.code: each for each in FRONT},
    Side.BACK: {each.code: each for each in BACK},
}
BY_NAME = {
    Side.FRONT: {each.name: each for each in (*FRONT, STARTUP, CANCEL, SSL, GSS)},
    Side.BACK: {each.name: each for each in BACK},
}
