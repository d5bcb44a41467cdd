"""Bytes to messages and back, for both sides. No I/O.

Owns framing, limits and the kinds of fields. Bytes come in pieces of any size; the length of a message is known after
its head, so no byte is looked at twice while the rest is waited for. What is out of bounds is said before its body has
come: a length of 2 GB costs five bytes.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, NamedTuple

from umberusher.pg import messages
from umberusher.pg.messages import BY_CODE, BY_NAME, Kind, Side

COUNT_MOST = 65_535
BUFFER_KEPT = 1 << 16  # bytes of what was read that may stay before they are given back


class Message(NamedTuple):
    """One message: its name, its fields, and its bytes as they came."""

    name: str
    fields: dict[str, Any]
    raw: bytes


@dataclass(slots=True, frozen=True)
class Unreadable:
    """The stream makes no sense any more; nothing after this can be read."""

    reason: str


class Piece(NamedTuple):
    """A part of a streamed message as it passes through; ``last`` ends it."""

    name: str
    raw: bytes
    last: bool


class _BadError(Exception):
    """A body is not of its kind; stays in this module."""


class _Reader:
    """Reads fields out of one body."""

    def __init__(self, data: bytes) -> None:
        self.data, self.at = data, 0

    def take(self, size: int) -> bytes:
        if size < 0 or self.at + size > len(self.data):
            raise _BadError("is cut short")
        self.at += size
        return self.data[self.at - size : self.at]

    def number(self, form: str, size: int) -> int:
        return struct.unpack(form, self.take(size))[0]

    def text(self) -> str:
        end = self.data.find(b"\0", self.at)
        if end < 0:
            raise _BadError("has a text without an end")
        raw, self.at = self.data[self.at : end], end + 1
        try:
            return raw.decode("utf-8")
        except UnicodeDecodeError:
            raise _BadError("has a text that is not UTF-8") from None

    def value(self) -> bytes | None:
        size = self.number(">i", 4)
        if size < -1:
            raise _BadError(f"has a value of {size} bytes")
        return None if size == -1 else self.take(size)

    def pairs(self) -> dict[str, str]:
        found: dict[str, str] = {}
        while (code := self.take(1)) != b"\0":
            found[code.decode("latin-1")] = self.text()
        return found

    def options(self) -> dict[str, str]:
        found: dict[str, str] = {}
        while name := self.text():
            found[name] = self.text()
        return found

    def columns(self) -> list[tuple[str, int, int, int, int, int, int]]:
        return [
            (self.text(), *struct.unpack(">IhIhih", self.take(18)))
            for _ in range(self.number(">H", 2))
        ]

    def rest(self) -> bytes:
        return self.take(len(self.data) - self.at)


_READ: dict[str, Callable[[_Reader], Any]] = {
    "i8": lambda r: r.number(">b", 1),
    "i16": lambda r: r.number(">h", 2),
    "i32": lambda r: r.number(">i", 4),
    "u32": lambda r: r.number(">I", 4),
    "str": _Reader.text,
    "byte": lambda r: r.take(1).decode("latin-1"),
    "rest": _Reader.rest,
    "bytes32": _Reader.value,
    "strs": _Reader.options,
    "fields": _Reader.pairs,
    "columns": _Reader.columns,
}


def _text(value: str) -> bytes:
    raw = value.encode("utf-8")
    if b"\0" in raw:
        raise ValueError("a text can't hold a zero byte")
    return raw + b"\0"


def _value(value: bytes | None) -> bytes:
    return struct.pack(">i", -1) if value is None else struct.pack(">i", len(value)) + value


_WRITE: dict[str, Callable[[Any], bytes]] = {
    "i8": lambda v: struct.pack(">b", v),
    "i16": lambda v: struct.pack(">h", v),
    "i32": lambda v: struct.pack(">i", v),
    "u32": lambda v: struct.pack(">I", v),
    "str": _text,
    "byte": lambda v: v.encode("latin-1"),
    "rest": bytes,
    "bytes32": _value,
    "strs": lambda v: b"".join(_text(name) + _text(each) for name, each in v.items()) + b"\0",
    "fields": lambda v: b"".join(code.encode("latin-1") + _text(each) for code, each in v.items())
    + b"\0",
    "columns": lambda v: struct.pack(">H", len(v))
    + b"".join(_text(name) + struct.pack(">IhIhih", *more) for name, *more in v),
}


def _read(kind: str, reader: _Reader) -> Any:
    if kind.startswith("list"):
        head, _, inner = kind.partition(":")
        count = reader.number(">H", 2) if head == "list16" else reader.number(">i", 4)
        if not 0 <= count <= COUNT_MOST:
            raise _BadError(f"has a list of {count}")
        return [_READ[inner](reader) for _ in range(count)]
    return _READ[kind](reader)


def _write(kind: str, value: Any) -> bytes:
    if kind.startswith("list"):
        head, _, inner = kind.partition(":")
        return struct.pack(">H" if head == "list16" else ">i", len(value)) + b"".join(
            map(_WRITE[inner], value)
        )
    return _WRITE[kind](value)


def fields(kind: Kind, body: bytes) -> dict[str, Any] | str:
    """A body's fields; a text that tells what is wrong with it."""
    reader = _Reader(body)
    try:
        found = {name: _read(each, reader) for name, each in kind.fields}
    except _BadError as error:
        return f"{kind.name} {error}"
    if reader.at != len(body):
        return f"{kind.name} has {len(body) - reader.at} bytes too many"
    return found


def message(side: Side, name: str, /, **values: Any) -> bytes:
    """A message's bytes; ValueError, KeyError or struct.error where the values are not of its kind."""
    kind = BY_NAME[side][name]
    body = b"".join(_write(each, values[field]) for field, each in kind.fields)
    if len(body) > kind.most:
        raise ValueError(f"{name} of {len(body)} bytes; at most {kind.most}")
    return kind.code + struct.pack(">i", len(body) + 4) + body


class Decoder:
    """Messages of one side out of bytes in pieces.

    ``starting`` is for a client's first messages, which have no type byte; ``finish_startup`` ends that. After an Unreadable
    nothing more comes.
    """

    def __init__(self, side: Side, starting: bool = False) -> None:
        self.side, self.starting = side, starting
        self.buffer = bytearray()
        self.at = 0  # read up to here
        self.dead: Unreadable | None = None
        self.passing: tuple[Kind, int] | None = None  # a streamed message, and what is left of it

    def feed(self, data: bytes) -> None:
        """Take bytes."""
        if self.dead is None:
            self.buffer += data

    @property
    def waiting(self) -> int:
        """Bytes that are not read yet."""
        return len(self.buffer) - self.at

    def finish_startup(self) -> None:
        """The start-up is over: from here on each message has its type."""
        self.starting = False

    def _die(self, reason: str) -> Unreadable:
        self.dead = Unreadable(reason)
        self.buffer.clear()
        self.at = 0
        return self.dead

    def _cut(self, size: int) -> bytes:
        """Read on; gives back the room of what was read now and then, not for each message."""
        raw = bytes(memoryview(self.buffer)[self.at : self.at + size])
        self.at += size
        if self.at >= BUFFER_KEPT or self.at == len(self.buffer):
            del self.buffer[: self.at]
            self.at = 0
        return raw

    def next(self, stream: bool = False) -> Message | Piece | Unreadable | None:
        """The next message; None while more bytes are needed. With ``stream`` rows come as pieces, as they are."""
        if self.dead is not None:
            return self.dead
        if self.passing is not None:
            return self._pass()
        head = 4 if self.starting else 5
        if self.waiting < head:
            return None
        code = b"" if self.starting else bytes(self.buffer[self.at : self.at + 1])
        size = struct.unpack_from(">i", self.buffer, self.at + head - 4)[0] - 4
        if self.starting:
            return self._first(size)
        kind = BY_CODE[self.side].get(code)
        if kind is None:
            return self._die(f"no message of type {code!r}")
        if not 0 <= size <= kind.most:
            return self._die(f"{kind.name} of {size + 4} bytes; at most {kind.most + 4}")
        if stream and kind.streamed:
            self.passing = kind, size + 5
            return self._pass()
        if self.waiting < size + 5:
            return None
        raw = self._cut(size + 5)
        found = fields(kind, raw[5:])
        return self._die(found) if isinstance(found, str) else Message(kind.name, found, raw)

    def _pass(self) -> Piece | None:
        kind, left = self.passing
        size = min(left, self.waiting)
        if not size:
            return None
        self.passing = (kind, left - size) if left > size else None
        return Piece(kind.name, self._cut(size), self.passing is None)

    def _first(self, size: int) -> Message | Unreadable | None:
        if not 4 <= size <= messages.STARTUP_MOST:
            return self._die(f"a start-up packet of {size + 4} bytes")
        if self.waiting < 8:
            return None
        number = struct.unpack_from(">I", self.buffer, self.at + 4)[0]
        kind = {
            messages.SSL_REQUEST: messages.SSL,
            messages.GSS_REQUEST: messages.GSS,
            messages.CANCEL_REQUEST: messages.CANCEL,
        }.get(number, messages.STARTUP)
        if size > kind.most:
            return self._die(f"{kind.name} of {size + 4} bytes")
        if self.waiting < size + 4:
            return None
        raw = self._cut(size + 4)
        found = fields(kind, raw[4:])
        return self._die(found) if isinstance(found, str) else Message(kind.name, found, raw)
