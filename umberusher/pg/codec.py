"""Decodes and encodes the messages of both sides, without I/O.

This module owns framing, limits and the kinds of fields. Bytes arrive in pieces of any size. The header states the
length of a message, so no byte is scanned twice while the remaining ones are awaited. A length out of bounds is
reported before the body arrives: a stated length of 2 GB costs the memory of a five-byte header.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from umberusher.pg import messages
from umberusher.pg.messages import BY_CODE, BY_NAME, MessageType, Side

MAX_LIST_ITEMS = 65_535
MAX_CONSUMED_BYTES = 1 << 16  # decoded bytes that may stay in the buffer before they are freed


class Message(NamedTuple):
    """One message: its name, its fields and its bytes as received."""

    name: str
    fields: dict[str, Any]
    raw: bytes


@dataclass(slots=True, frozen=True)
class Unreadable:
    """The stream violates the protocol; nothing after this point can be decoded."""

    reason: str


class Piece(NamedTuple):
    """A part of a streamed message, unchanged; ``last`` marks its end."""

    name: str
    raw: bytes
    last: bool


class _BadError(Exception):
    """A body doesn't match its message type; it never leaves this module."""


class _Reader:
    """Reads the fields of one message body."""

    def __init__(self, data: bytes) -> None:
        self.data, self.offset = data, 0

    def read_bytes(self, size: int) -> bytes:
        if size < 0 or self.offset + size > len(self.data):
            raise _BadError("is cut short")
        self.offset += size
        return self.data[self.offset - size : self.offset]

    def read_number(self, number_format: str, size: int) -> int:
        return struct.unpack(number_format, self.read_bytes(size))[0]

    def read_text(self) -> str:
        end = self.data.find(b"\0", self.offset)
        if end < 0:
            raise _BadError("has a text without an end")
        raw, self.offset = self.data[self.offset : end], end + 1
        try:
            return raw.decode("utf-8")
        except UnicodeDecodeError:
            raise _BadError("has a text that is not UTF-8") from None

    def read_value(self) -> bytes | None:
        size = self.read_number(">i", 4)
        if size < -1:
            raise _BadError(f"has a value of {size} bytes")
        return None if size == -1 else self.read_bytes(size)

    def read_coded_texts(self) -> dict[str, str]:
        found: dict[str, str] = {}
        while (code := self.read_bytes(1)) != b"\0":
            found[code.decode("latin-1")] = self.read_text()
        return found

    def read_options(self) -> dict[str, str]:
        found: dict[str, str] = {}
        while name := self.read_text():
            found[name] = self.read_text()
        return found

    def read_columns(self) -> list[tuple[str, int, int, int, int, int, int]]:
        return [
            (self.read_text(), *struct.unpack(">IhIhih", self.read_bytes(18)))
            for _ in range(self.read_number(">H", 2))
        ]

    def read_remaining(self) -> bytes:
        return self.read_bytes(len(self.data) - self.offset)


_FIELD_READERS: dict[str, Callable[[_Reader], Any]] = {
    "i8": lambda r: r.read_number(">b", 1),
    "i16": lambda r: r.read_number(">h", 2),
    "i32": lambda r: r.read_number(">i", 4),
    "u32": lambda r: r.read_number(">I", 4),
    "str": _Reader.read_text,
    "byte": lambda r: r.read_bytes(1).decode("latin-1"),
    "rest": _Reader.read_remaining,
    "bytes32": _Reader.read_value,
    "strs": _Reader.read_options,
    "fields": _Reader.read_coded_texts,
    "columns": _Reader.read_columns,
}


def _encode_text(value: str) -> bytes:
    raw = value.encode("utf-8")
    if b"\0" in raw:
        raise ValueError("a text can't hold a zero byte")
    return raw + b"\0"


def _encode_value(value: bytes | None) -> bytes:
    return struct.pack(">i", -1) if value is None else struct.pack(">i", len(value)) + value


_FIELD_WRITERS: dict[str, Callable[[Any], bytes]] = {
    "i8": lambda v: struct.pack(">b", v),
    "i16": lambda v: struct.pack(">h", v),
    "i32": lambda v: struct.pack(">i", v),
    "u32": lambda v: struct.pack(">I", v),
    "str": _encode_text,
    "byte": lambda v: v.encode("latin-1"),
    "rest": bytes,
    "bytes32": _encode_value,
    "strs": lambda v: b"".join(_encode_text(name) + _encode_text(each) for name, each in v.items())
    + b"\0",
    "fields": lambda v: b"".join(
        code.encode("latin-1") + _encode_text(each) for code, each in v.items()
    )
    + b"\0",
    "columns": lambda v: struct.pack(">H", len(v))
    + b"".join(_encode_text(name) + struct.pack(">IhIhih", *more) for name, *more in v),
}


def _read_field(kind: str, reader: _Reader) -> Any:
    if kind.startswith("list"):
        head, _, inner = kind.partition(":")
        count = reader.read_number(">H", 2) if head == "list16" else reader.read_number(">i", 4)
        if not 0 <= count <= MAX_LIST_ITEMS:
            raise _BadError(f"has a list of {count}")
        return [_FIELD_READERS[inner](reader) for _ in range(count)]
    return _FIELD_READERS[kind](reader)


def _write_field(kind: str, value: Any) -> bytes:
    if kind.startswith("list"):
        head, _, inner = kind.partition(":")
        return struct.pack(">H" if head == "list16" else ">i", len(value)) + b"".join(
            map(_FIELD_WRITERS[inner], value)
        )
    return _FIELD_WRITERS[kind](value)


def decode_fields(message_type: MessageType, body: bytes) -> dict[str, Any] | str:
    """Return the fields of a body, or a text that says what is wrong with it."""
    reader = _Reader(body)
    try:
        found = {name: _read_field(kind, reader) for name, kind in message_type.fields}
    except _BadError as error:
        return f"{message_type.name} {error}"
    if reader.offset != len(body):
        return f"{message_type.name} has {len(body) - reader.offset} bytes too many"
    return found


def message(side: Side, name: str, /, **values: Any) -> bytes:
    """Encode a message.

    Raises ValueError, KeyError or struct.error if the values don't match the message type.
    """
    message_type = BY_NAME[side][name]
    body = b"".join(_write_field(kind, values[field]) for field, kind in message_type.fields)
    if len(body) > message_type.max_body_bytes:
        raise ValueError(f"{name} of {len(body)} bytes; at most {message_type.max_body_bytes}")
    return message_type.code + struct.pack(">i", len(body) + 4) + body


class Decoder:
    """Decodes the messages of one side from bytes that arrive in pieces.

    ``starting`` is for a client's first messages, which have no type byte; ``finish_startup`` ends that. After an
    Unreadable no further message is decoded.
    """

    def __init__(self, side: Side, starting: bool = False) -> None:
        self.side, self.starting = side, starting
        self.buffer = bytearray()
        self.offset = 0  # the bytes of the buffer before this are consumed
        self.failure: Unreadable | None = None
        # The type of the message that is being streamed, and how many of its bytes remain.
        self.streamed_remainder: tuple[MessageType, int] | None = None

    def feed(self, data: bytes) -> None:
        """Append received bytes; they are dropped after a failure."""
        if self.failure is None:
            self.buffer += data

    @property
    def unread_bytes(self) -> int:
        """The number of bytes that are not consumed yet."""
        return len(self.buffer) - self.offset

    def finish_startup(self) -> None:
        """End the start-up: from here on each message has a type byte."""
        self.starting = False

    def _fail(self, reason: str) -> Unreadable:
        self.failure = Unreadable(reason)
        self.buffer.clear()
        self.offset = 0
        return self.failure

    def _consume(self, size: int) -> bytes:
        """Consume bytes; the memory of consumed ones is freed from time to time, not for each message."""
        raw = bytes(memoryview(self.buffer)[self.offset : self.offset + size])
        self.offset += size
        if self.offset >= MAX_CONSUMED_BYTES or self.offset == len(self.buffer):
            del self.buffer[: self.offset]
            self.offset = 0
        return raw

    def next(self, stream: bool = False) -> Message | Piece | Unreadable | None:
        """Return the next message, or None if more bytes are needed.

        With ``stream`` the messages of streamed types, such as rows, are returned as pieces, unchanged.
        """
        if self.failure is not None:
            return self.failure
        if self.streamed_remainder is not None:
            return self._next_piece()
        head = 4 if self.starting else 5
        if self.unread_bytes < head:
            return None
        code = b"" if self.starting else bytes(self.buffer[self.offset : self.offset + 1])
        size = struct.unpack_from(">i", self.buffer, self.offset + head - 4)[0] - 4
        if self.starting:
            return self._next_startup_message(size)
        message_type = BY_CODE[self.side].get(code)
        if message_type is None:
            return self._fail(f"no message of type {code!r}")
        if not 0 <= size <= message_type.max_body_bytes:
            return self._fail(
                f"{message_type.name} of {size + 4} bytes; at most {message_type.max_body_bytes + 4}"
            )
        if stream and message_type.streamed:
            self.streamed_remainder = message_type, size + 5
            return self._next_piece()
        if self.unread_bytes < size + 5:
            return None
        raw = self._consume(size + 5)
        found = decode_fields(message_type, raw[5:])
        return (
            self._fail(found) if isinstance(found, str) else Message(message_type.name, found, raw)
        )

    def _next_piece(self) -> Piece | None:
        message_type, remaining = self.streamed_remainder
        size = min(remaining, self.unread_bytes)
        if not size:
            return None
        self.streamed_remainder = (message_type, remaining - size) if remaining > size else None
        return Piece(message_type.name, self._consume(size), self.streamed_remainder is None)

    def _next_startup_message(self, size: int) -> Message | Unreadable | None:
        if not 4 <= size <= messages.MAX_STARTUP_BYTES:
            return self._fail(f"a start-up packet of {size + 4} bytes")
        if self.unread_bytes < 8:
            return None
        number = struct.unpack_from(">I", self.buffer, self.offset + 4)[0]
        message_type = {
            messages.SSL_REQUEST: messages.SSL,
            messages.GSS_REQUEST: messages.GSS,
            messages.CANCEL_REQUEST: messages.CANCEL,
        }.get(number, messages.STARTUP)
        if size > message_type.max_body_bytes:
            return self._fail(f"{message_type.name} of {size + 4} bytes")
        if self.unread_bytes < size + 4:
            return None
        raw = self._consume(size + 4)
        found = decode_fields(message_type, raw[4:])
        return (
            self._fail(found) if isinstance(found, str) else Message(message_type.name, found, raw)
        )
