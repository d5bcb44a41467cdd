"""The codec of the client front: framed transport, strict binary protocol, service Front.

Bytes in, calls out; answers in, bytes out. No I/O. A malformed frame or call is a value,
:class:`Malformed`, which says whether it can still be answered. Source: Apache Thrift's binary
protocol.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from umberusher.net.ring import RingBuffer

# The largest frame, whatever the memory; a larger one closes the connection.
MAX_FRAME_BYTES = 1 << 20
# How deep unknown fields may nest.
MAX_NESTING = 8
# Characters of an unknown method's name that are repeated in a log line.
MAX_QUOTED_CHARACTERS = 40

VERSION = 0x80010000
_VERSION_MASK = 0xFFFFFF00
_MESSAGE_TYPE_MASK = 0xFF

# Message types.
CALL = 1
REPLY = 2
EXCEPTION = 3
ONEWAY = 4

# Field types.
STOP = 0
BOOL = 2
BYTE = 3
DOUBLE = 4
I16 = 6
I32 = 8
I64 = 10
STRING = 11
STRUCT = 12
MAP = 13
SET = 14
LIST = 15
_FIXED_WIDTHS = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8}

# Types of an application exception.
UNKNOWN_METHOD = 1
INTERNAL_ERROR = 6
PROTOCOL_ERROR = 7

# Formats, parsed once.
_I8 = struct.Struct(">b")
_I16 = struct.Struct(">h")
_I32 = struct.Struct(">i")
_U32 = struct.Struct(">I")
_LENGTH_BYTES = 4
# Of an entry of a map of strings: two lengths.
_MIN_PAIR_BYTES = 2 * _LENGTH_BYTES


@dataclass(slots=True)
class Execute:
    """A request to execute a statement."""

    seqid: int
    fields: dict[str, str]
    body: bytes


@dataclass(slots=True)
class Interrupt:
    """The client cancels the call with the sequence id ``target``."""

    target: int


@dataclass(slots=True)
class Check:
    """The question whether this broker is good for clients."""

    seqid: int


@dataclass(slots=True)
class Malformed:
    """What could not be read.

    Attributes:
        reason: What is wrong with it.
        seqid: The call's sequence id; None where nothing can be answered.
        name: The called method.
        kind: The type of the application exception that answers it.
    """

    reason: str
    seqid: int | None = None
    name: str = ""
    kind: int = PROTOCOL_ERROR


class _MalformedError(Exception):
    """A message breaks the protocol; it stays in this module."""


class _Reader:
    """Reads the values of one message in order."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.position = 0

    def take(self, size: int) -> bytes:
        if size < 0 or self.position + size > len(self.data):
            raise _MalformedError("cut short")
        self.position += size
        return self.data[self.position - size : self.position]

    def number(self, form: struct.Struct) -> int:
        start = self.position
        self.position = end = start + form.size
        if end > len(self.data):
            raise _MalformedError("cut short")
        value: int = form.unpack_from(self.data, start)[0]
        return value

    def i32(self) -> int:
        return self.number(_I32)

    def string(self) -> bytes:
        return self.take(self.number(_I32))

    def text(self) -> str:
        return self.string().decode("utf-8")

    def count(self, min_bytes: int) -> int:
        """Return a count of elements, each of which takes ``min_bytes`` or more."""
        count = self.number(_I32)
        if count < 0 or count * max(min_bytes, 1) > len(self.data) - self.position:
            raise _MalformedError("more elements than bytes")
        return count

    def string_map(self) -> dict[str, str]:
        """Return a map of text to text.

        Each call has a dozen entries: they are read without a method call for each length.
        """
        key_type = self.number(_I8)
        value_type = self.number(_I8)
        count = self.count(_MIN_PAIR_BYTES)
        if count and (key_type, value_type) != (STRING, STRING):
            raise _MalformedError("expected a map of text to text")
        data = self.data
        position = self.position
        end = len(data)
        texts = []
        for _ in range(2 * count):
            start = position + _LENGTH_BYTES
            if start > end:
                raise _MalformedError("cut short")
            size = _I32.unpack_from(data, position)[0]
            position = start + size
            if size < 0 or position > end:
                raise _MalformedError("cut short")
            texts.append(data[start:position].decode("utf-8"))
        self.position = position
        return dict(zip(texts[::2], texts[1::2], strict=True))

    def skip(self, kind: int, depth: int = MAX_NESTING) -> None:
        """Skip a value of an unknown field."""
        if not depth:
            raise _MalformedError("nested too deep")
        if kind in _FIXED_WIDTHS:
            self.take(_FIXED_WIDTHS[kind])
        elif kind == STRING:
            self.string()
        elif kind == STRUCT:
            while (inner := self.number(_I8)) != STOP:
                self.take(_I16.size)
                self.skip(inner, depth - 1)
        elif kind in (MAP, SET, LIST):
            self._skip_container(kind, depth)
        else:
            raise _MalformedError(f"unknown type {kind}")

    def _skip_container(self, kind: int, depth: int) -> None:
        types = [self.number(_I8) for _ in range(2 if kind == MAP else 1)]
        for _ in range(self.count(1)):
            for inner in types:
                self.skip(inner, depth - 1)

    def arguments(
        self, wanted: Mapping[int, tuple[int, Callable[[_Reader], Any]]]
    ) -> dict[int, Any]:
        """Return the fields of a struct that are wanted by number, and skip the others.

        Args:
            wanted: By field number, the type that it must have and what reads it.
        """
        found: dict[int, Any] = {}
        while (kind := self.number(_I8)) != STOP:
            number = self.number(_I16)
            if number in wanted and wanted[number][0] == kind:
                found[number] = wanted[number][1](self)
            else:
                self.skip(kind)
        return found


_EXECUTE_ARGUMENTS = {1: (MAP, _Reader.string_map), 2: (STRING, _Reader.string)}
_INTERRUPT_ARGUMENTS = {1: (I32, _Reader.i32)}


def next_frame(ring: RingBuffer, max_bytes: int = MAX_FRAME_BYTES) -> bytes | Malformed | None:
    """Take the next complete frame from the ring.

    Args:
        ring: What was received.
        max_bytes: Limit of a frame.

    Returns:
        The frame without its length; None while more bytes are needed; Malformed where the length
        is impossible, after which nothing can be read.
    """
    if len(ring) < _LENGTH_BYTES:
        return None
    size = _I32.unpack(ring.peek(_LENGTH_BYTES))[0]
    if not 0 < size <= max_bytes:
        return Malformed(f"frame of {size} bytes")
    if len(ring) < _LENGTH_BYTES + size:
        return None
    ring.discard(_LENGTH_BYTES)
    return ring.take(size)


def decode_call(frame: bytes) -> Execute | Interrupt | Check | Malformed:
    """Return the call that a frame holds."""
    reader = _Reader(frame)
    seqid = None
    name = ""
    try:
        head = reader.number(_U32)
        is_call = head & _MESSAGE_TYPE_MASK in (CALL, ONEWAY)
        if head & _VERSION_MASK != VERSION or not is_call:
            raise _MalformedError("not a strict binary call")
        name = reader.text()
        seqid = reader.number(_I32)
        if name == "execute":
            arguments = reader.arguments(_EXECUTE_ARGUMENTS)
            if len(arguments) < len(_EXECUTE_ARGUMENTS):
                raise _MalformedError("execute lacks an argument")
            return Execute(seqid, arguments[1], arguments[2])
        if name == "interrupt":
            return _interrupt(reader)
        if name == "check":
            reader.arguments({})
            return Check(seqid)
    except (_MalformedError, struct.error, UnicodeDecodeError) as error:
        return Malformed(str(error), seqid, name)
    quoted_name = repr(name[:MAX_QUOTED_CHARACTERS])
    return Malformed(f"unknown method {quoted_name}", seqid, name, UNKNOWN_METHOD)


def _interrupt(reader: _Reader) -> Interrupt | Malformed:
    arguments = reader.arguments(_INTERRUPT_ARGUMENTS)
    # It is one-way: there is no answer that could tell what is wrong.
    return Interrupt(arguments[1]) if arguments else Malformed("interrupt lacks its number")


def _string(data: bytes | str) -> bytes:
    raw = data.encode() if isinstance(data, str) else data
    return _I32.pack(len(raw)) + raw


def _string_map_field(number: int, fields: dict[str, str]) -> bytes:
    head = struct.pack(">bhbbi", MAP, number, STRING, STRING, len(fields))
    return head + b"".join(_string(key) + _string(value) for key, value in fields.items())


def _message(kind: int, name: str, seqid: int, payload: bytes) -> bytes:
    """Return a framed message."""
    head = _U32.pack(VERSION | kind) + _string(name) + _I32.pack(seqid)
    return _string(head + payload)


def encode_answer(name: str, seqid: int, body: bytes, fields: dict[str, str], good: bool) -> bytes:
    """Return the reply whose result is an Answer."""
    answer = (
        struct.pack(">bh", STRING, 1)
        + _string(body)
        + _string_map_field(2, fields)
        + struct.pack(">bhbb", BOOL, 3, good, STOP)
    )
    return _message(REPLY, name, seqid, struct.pack(">bh", STRUCT, 0) + answer + b"\0")


def _encode_exception(number: int, seqid: int, fields: dict[str, str]) -> bytes:
    """Return the reply that throws the declared exception with this field number."""
    payload = struct.pack(">bh", STRUCT, number) + _string_map_field(1, fields) + b"\0\0"
    return _message(REPLY, "execute", seqid, payload)


def encode_trylater(seqid: int, fields: dict[str, str]) -> bytes:
    """Return a rejection, which the protocol calls Trylater."""
    return _encode_exception(1, seqid, fields)


def encode_aborted(seqid: int, fields: dict[str, str]) -> bytes:
    """Return a failure, which the protocol calls Aborted."""
    return _encode_exception(2, seqid, fields)


def encode_application_exception(name: str, seqid: int, kind: int, reason: str) -> bytes:
    """Return the answer to a call that makes no sense.

    Args:
        name: The called method.
        seqid: The call's sequence id.
        kind: The type of the exception, such as PROTOCOL_ERROR.
        reason: What is wrong with the call.
    """
    payload = (
        struct.pack(">bh", STRING, 1) + _string(reason) + struct.pack(">bhib", I32, 2, kind, STOP)
    )
    return _message(EXCEPTION, name, seqid, payload)
