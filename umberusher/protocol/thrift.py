"""The codec of the client front: framed transport, strict binary protocol, service Front.

It decodes calls from bytes and encodes answers as bytes, without I/O. A malformed frame or call is
returned as a value, :class:`Malformed`, which says whether it can still be answered. Reference:
Apache Thrift's binary protocol.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

from umberusher.net.ring import RingBuffer

# Maximum size of a frame, whatever the memory limit; a larger frame closes the connection.
MAX_FRAME_BYTES = 1 << 20
# Maximum nesting depth of unknown fields.
MAX_NESTING = 8
# Maximum number of values in all unknown fields of a call; each is read in Python.
MAX_SKIPPED_VALUES = 4_096
# Maximum number of entries of a call's map of fields, of which calls have about a dozen.
MAX_MAP_ENTRIES = 1_024
# First bytes of a frame that contain the head of any request.
MAX_HEAD_BYTES = 32
# Maximum number of characters of an unknown method's name that are quoted in a log line.
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

# Struct formats, compiled once.
_I8 = struct.Struct(">b")
_I16 = struct.Struct(">h")
_I32 = struct.Struct(">i")
_U32 = struct.Struct(">I")
LENGTH_BYTES = 4
# Minimum size of an entry of a map of strings: two lengths.
_MIN_PAIR_BYTES = 2 * LENGTH_BYTES


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
    """A health check: the client asks whether this broker accepts clients."""

    seqid: int


@dataclass(slots=True)
class Malformed:
    """A frame or call that could not be read.

    Attributes:
        reason: Description of the fault.
        seqid: The call's sequence id; None if it can't be answered.
        name: The called method.
        kind: The type of the application exception that answers it.
    """

    reason: str
    seqid: int | None = None
    name: str = ""
    kind: int = PROTOCOL_ERROR


class _MalformedError(Exception):
    """A message violates the protocol; raised and handled in this module only."""


class _Reader:
    """Reads the values of one message in order."""

    def __init__(self, data: bytes, kept_fields: frozenset[str] | None = None) -> None:
        self.data = data
        self.position = 0
        self.skipped_values = 0
        self._kept_fields = kept_fields

    def read_bytes(self, size: int) -> bytes:
        if size < 0 or self.position + size > len(self.data):
            raise _MalformedError("cut short")
        self.position += size
        return self.data[self.position - size : self.position]

    def number(self, number_format: struct.Struct) -> int:
        start = self.position
        self.position = end = start + number_format.size
        if end > len(self.data):
            raise _MalformedError("cut short")
        value: int = number_format.unpack_from(self.data, start)[0]
        return value

    def i32(self) -> int:
        return self.number(_I32)

    def string(self) -> bytes:
        return self.read_bytes(self.number(_I32))

    def text(self) -> str:
        return self.string().decode("utf-8")

    def count(self, min_bytes: int) -> int:
        """Return a count of elements, each of which is at least ``min_bytes`` long."""
        count = self.number(_I32)
        if count < 0 or count * max(min_bytes, 1) > len(self.data) - self.position:
            raise _MalformedError("more elements than bytes")
        return count

    def string_map(self) -> dict[str, str]:
        """Return a map of text to text, with the kept names only.

        Each call has a dozen entries, so they are read without a method call for each length.
        """
        key_type = self.number(_I8)
        value_type = self.number(_I8)
        count = self.count(_MIN_PAIR_BYTES)
        if count and (key_type, value_type) != (STRING, STRING):
            raise _MalformedError("expected a map of text to text")
        if count > MAX_MAP_ENTRIES:
            raise _MalformedError("too many entries")
        data = self.data
        position = self.position
        end = len(data)
        kept_fields = self._kept_fields
        fields = {}
        name: str | None = None
        for _ in range(2 * count):
            start = position + LENGTH_BYTES
            if start > end:
                raise _MalformedError("cut short")
            size = _I32.unpack_from(data, position)[0]
            position = start + size
            if size < 0 or position > end:
                raise _MalformedError("cut short")
            text = data[start:position].decode("utf-8")
            if name is None:
                name = text
                continue
            if kept_fields is None or name in kept_fields:
                fields[name] = text
            name = None
        self.position = position
        return fields

    def skip(self, kind: int, depth: int = MAX_NESTING) -> None:
        """Skip a value of an unknown field."""
        if not depth:
            raise _MalformedError("nested too deep")
        self.skipped_values += 1
        if self.skipped_values > MAX_SKIPPED_VALUES:
            raise _MalformedError("too many unknown values")
        if kind in _FIXED_WIDTHS:
            self.read_bytes(_FIXED_WIDTHS[kind])
        elif kind == STRING:
            self.string()
        elif kind == STRUCT:
            while (inner := self.number(_I8)) != STOP:
                self.read_bytes(_I16.size)
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
        """Return the wanted fields of a struct by field number; other fields are skipped.

        Args:
            wanted: By field number, the required type and the function that reads the value.
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
    """Read the next complete frame from the ring.

    Args:
        ring: The received bytes.
        max_bytes: Maximum size of a frame.

    Returns:
        The frame without its length; None while more bytes are needed; Malformed if the length is
        invalid, after which no further frame can be read.
    """
    buffered_bytes = ring.size
    if buffered_bytes < LENGTH_BYTES:
        return None
    size = _I32.unpack(ring.peek(LENGTH_BYTES))[0]
    if not 0 < size <= max_bytes:
        return Malformed(f"frame of {size} bytes")
    if buffered_bytes < LENGTH_BYTES + size:
        return None
    frame = ring.peek(size, LENGTH_BYTES)
    ring.discard(LENGTH_BYTES + size)
    return frame


def next_request_seqid(ring: RingBuffer) -> int | None:
    """Return the sequence id of the request that begins in the ring, which may be incomplete.

    The ring must hold more than ``MAX_HEAD_BYTES``. Returns None if the call is no request or can't
    be read.
    """
    reader = _Reader(ring.peek(MAX_HEAD_BYTES - LENGTH_BYTES, LENGTH_BYTES))
    try:
        if reader.number(_U32) & _VERSION_MASK != VERSION or reader.text() != "execute":
            return None
        return reader.number(_I32)
    except (_MalformedError, struct.error, UnicodeDecodeError):
        return None


def next_frame_bytes(ring: RingBuffer) -> int:
    """Return the declared size of the frame that begins in the ring, with its length field.

    The ring must hold at least the length field.
    """
    size: int = _I32.unpack(ring.peek(LENGTH_BYTES))[0]
    return LENGTH_BYTES + size


def decode_call(
    frame: bytes, kept_fields: frozenset[str] | None = None
) -> Execute | Interrupt | Check | Malformed:
    """Return the call that a frame contains.

    Args:
        frame: The frame, without its length.
        kept_fields: The names of the fields that are kept; others are checked and dropped, so that
            names that clients invent take no memory. None keeps all.
    """
    reader = _Reader(frame, kept_fields)
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
            return _read_interrupt(reader)
        if name == "check":
            reader.arguments({})
            return Check(seqid)
    except (_MalformedError, struct.error, UnicodeDecodeError) as error:
        return Malformed(str(error), seqid, name)
    quoted_name = repr(name[:MAX_QUOTED_CHARACTERS])
    return Malformed(f"unknown method {quoted_name}", seqid, name, UNKNOWN_METHOD)


def _read_interrupt(reader: _Reader) -> Interrupt | Malformed:
    arguments = reader.arguments(_INTERRUPT_ARGUMENTS)
    # The method is one-way, so an error can't be reported in an answer.
    return Interrupt(arguments[1]) if arguments else Malformed("interrupt lacks its number")


def _encode_string(data: bytes | str) -> bytes:
    raw = data.encode() if isinstance(data, str) else data
    return _I32.pack(len(raw)) + raw


def _encode_string_map_field(number: int, fields: dict[str, str]) -> bytes:
    head = struct.pack(">bhbbi", MAP, number, STRING, STRING, len(fields))
    return head + b"".join(
        _encode_string(key) + _encode_string(value) for key, value in fields.items()
    )


def _encode_message(kind: int, name: str, seqid: int, payload: bytes) -> bytes:
    """Return a framed message."""
    head = _U32.pack(VERSION | kind) + _encode_string(name) + _I32.pack(seqid)
    return _encode_string(head + payload)


def encode_answer(name: str, seqid: int, body: bytes, fields: dict[str, str], good: bool) -> bytes:
    """Return the reply whose result is the struct Answer."""
    answer = (
        struct.pack(">bh", STRING, 1)
        + _encode_string(body)
        + _encode_string_map_field(2, fields)
        + struct.pack(">bhbb", BOOL, 3, good, STOP)
    )
    return _encode_message(REPLY, name, seqid, struct.pack(">bh", STRUCT, 0) + answer + b"\0")


def _encode_exception(number: int, seqid: int, fields: dict[str, str]) -> bytes:
    """Return the reply that throws the declared exception with this field number."""
    payload = struct.pack(">bh", STRUCT, number) + _encode_string_map_field(1, fields) + b"\0\0"
    return _encode_message(REPLY, "execute", seqid, payload)


def encode_trylater(seqid: int, fields: dict[str, str]) -> bytes:
    """Return the reply for a rejected request, exception Trylater in the protocol."""
    return _encode_exception(1, seqid, fields)


def encode_aborted(seqid: int, fields: dict[str, str]) -> bytes:
    """Return the reply for a failed request, exception Aborted in the protocol."""
    return _encode_exception(2, seqid, fields)


def encode_application_exception(name: str, seqid: int, kind: int, reason: str) -> bytes:
    """Return the answer to an invalid call.

    Args:
        name: The called method.
        seqid: The call's sequence id.
        kind: The type of the exception, such as PROTOCOL_ERROR.
        reason: Description of the fault.
    """
    payload = (
        struct.pack(">bh", STRING, 1)
        + _encode_string(reason)
        + struct.pack(">bhib", I32, 2, kind, STOP)
    )
    return _encode_message(EXCEPTION, name, seqid, payload)
