"""The messages of the protocol as a table: type byte, who sends it, its fields, and how long it may be.

Source: the PostgreSQL manual, "Frontend/Backend Protocol", sections "Message Formats" and "Message Flow" (version 3.0;
3.2 differs in the length of a cancel key). Owns names, fields and limits; the codec owns the bytes.

A field is a name and a kind:

    i8 i16 i32 u32   integers, big-endian; u32 for object ids
    str              text up to a zero byte
    byte             one byte, as a character
    rest             the bytes up to the end
    bytes32          a length of four bytes and so many bytes; -1 is None
    list16:KIND      a count of two bytes and so many of a kind
    strs             texts up to an empty one
    fields           pairs of a byte and a text, up to a zero byte (errors and notices)
    columns          a row's description: name, table, column, type, size, modifier, format
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

KIB, MIB = 1 << 10, 1 << 20
DEFAULT_MAX_BODY_BYTES = 16 * KIB
MAX_STARTUP_BYTES = 10_000  # as servers hold it; a longer one is no start-up
PROTOCOL_3_0 = 196_608
SSL_REQUEST, GSS_REQUEST, CANCEL_REQUEST = 80_877_103, 80_877_104, 80_877_102


class Side(Enum):
    """Who sends a message."""

    FRONT = "client"
    BACK = "server"


@dataclass(slots=True, frozen=True)
class MessageType:
    """One type of message."""

    name: str
    code: bytes  # empty for those without a type byte
    side: Side
    fields: tuple[tuple[str, str], ...] = ()
    max_body_bytes: int = DEFAULT_MAX_BODY_BYTES  # bytes of its body
    streamed: bool = False  # may pass through in pieces


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
        ("Password", b"p", "data=rest", 64 * KIB),  # also SASL's two, told apart by what was asked
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

# Without a type byte, told apart by the number behind their length.
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
