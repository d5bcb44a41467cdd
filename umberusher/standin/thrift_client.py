"""The clients' side of the frontend's Thrift: calls to bytes, bytes to answers. No I/O.

Framed, strict binary protocol; written from Apache Thrift's page (thrift-binary-protocol.md).
"""

from __future__ import annotations

import struct
from dataclasses import dataclass, field
from enum import Enum, IntEnum
from typing import Any

from umberusher.net.ring import RingBuffer

MAX_FRAME_BYTES = 1 << 20
FRAME_HEADER_BYTES = 4
VERSION_1 = 0x80010000


class MessageType(IntEnum):
    """Message types of the protocol."""

    CALL = 1
    REPLY = 2
    EXCEPTION = 3
    ONEWAY = 4


class FieldType(IntEnum):
    """The field types that the frontend's calls and answers use."""

    STOP = 0
    BOOL = 2
    I32 = 8
    STRING = 11
    STRUCT = 12
    MAP = 13


class ResultField(IntEnum):
    """Fields of a reply's result: the return value, or one of the declared exceptions."""

    RETURN_VALUE = 0
    REJECTED = 1


class AnswerKind(Enum):
    """The kinds of answers; the values of all but CHECK are written to event logs."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"
    EXCEPTION = "exception"
    CHECK = "check"


@dataclass(slots=True)
class Answer:
    """One answer; ``ready`` is the answer to a check."""

    sequence_id: int
    kind: AnswerKind
    body: bytes = b""
    fields: dict[str, str] = field(default_factory=dict)
    ready: bool = False


class UnreadableAnswerError(Exception):
    """The bytes can't be decoded as an answer."""


def encode_execute(sequence_id: int, fields: dict[str, str], body: bytes) -> bytes:
    """Encode a request."""
    header = struct.pack(
        ">bhbbi", FieldType.MAP, 1, FieldType.STRING, FieldType.STRING, len(fields)
    )
    pairs = b"".join(
        _string(key.encode()) + _string(value.encode()) for key, value in fields.items()
    )
    statement = struct.pack(">bh", FieldType.STRING, 2) + _string(body)
    return _message(MessageType.CALL, b"execute", sequence_id, header + pairs + statement)


def encode_interrupt(sequence_id: int, target: int) -> bytes:
    """Encode the one-way call by which a client withdraws the call ``target``."""
    argument = struct.pack(">bhi", FieldType.I32, 1, target)
    return _message(MessageType.ONEWAY, b"interrupt", sequence_id, argument)


def encode_check(sequence_id: int) -> bytes:
    """Encode the call that checks whether the broker is ready."""
    argument = struct.pack(">bhb", FieldType.BOOL, 1, 0)
    return _message(MessageType.CALL, b"check", sequence_id, argument)


def _string(data: bytes) -> bytes:
    return struct.pack(">i", len(data)) + data


def _message(kind: MessageType, name: bytes, sequence_id: int, arguments: bytes) -> bytes:
    version = struct.pack(">I", VERSION_1 | kind)
    stop = struct.pack(">b", FieldType.STOP)
    body = version + _string(name) + struct.pack(">i", sequence_id) + arguments + stop
    return _string(body)


class _Decoder:
    """Reads values from one frame."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._offset = 0

    def integer(self, struct_format: str) -> int:
        """Read values in a format of :mod:`struct`; return the last one."""
        values = struct.unpack_from(struct_format, self._data, self._offset)
        self._offset += struct.calcsize(struct_format)
        return int(values[-1])

    def string(self) -> bytes:
        """Read a string."""
        size = self.integer(">i")
        if not 0 <= size <= len(self._data) - self._offset:
            raise UnreadableAnswerError("a length that does not fit")
        start = self._offset
        self._offset += size
        return self._data[start : self._offset]

    def value(self, kind: int) -> object:
        """Read a value of a field type."""
        if kind == FieldType.BOOL:
            return bool(self.integer(">b"))
        if kind == FieldType.I32:
            return self.integer(">i")
        if kind == FieldType.STRING:
            return self.string()
        if kind == FieldType.STRUCT:
            return self.fields()
        if kind == FieldType.MAP:
            return self._map()
        raise UnreadableAnswerError(f"type {kind}")

    def fields(self) -> dict[int, Any]:
        """Read the fields of a struct up to its stop."""
        fields: dict[int, Any] = {}
        while True:
            kind = self.integer(">b")
            if kind == FieldType.STOP:
                return fields
            number = self.integer(">h")
            fields[number] = self.value(kind)

    def _map(self) -> dict[str, str]:
        count = self.integer(">bbi")
        return {self.string().decode(): self.string().decode() for _ in range(count)}


def next_answer(buffer: RingBuffer) -> Answer | None:
    """Read the next complete answer; return None while more bytes are needed.

    Raises:
        UnreadableAnswerError: The bytes can't be decoded as an answer.
    """
    if len(buffer) < FRAME_HEADER_BYTES:
        return None
    (size,) = struct.unpack(">i", buffer.peek(FRAME_HEADER_BYTES))
    if not 0 < size <= MAX_FRAME_BYTES:
        raise UnreadableAnswerError(f"a frame of {size} bytes")
    if len(buffer) < FRAME_HEADER_BYTES + size:
        return None
    buffer.discard(FRAME_HEADER_BYTES)
    try:
        return _decode_answer(_Decoder(buffer.take(size)))
    except (struct.error, UnicodeDecodeError, StopIteration) as error:
        raise UnreadableAnswerError(str(error)) from None


def _decode_answer(decoder: _Decoder) -> Answer:
    version = decoder.integer(">I")
    name = decoder.string()
    sequence_id = decoder.integer(">i")
    if version == VERSION_1 | MessageType.EXCEPTION:
        message = bytes(decoder.fields().get(1, b"")).decode()
        return Answer(sequence_id, AnswerKind.EXCEPTION, fields={"reason": message})
    if version != VERSION_1 | MessageType.REPLY:
        raise UnreadableAnswerError("not a reply")
    number, value = next(iter(decoder.fields().items()))
    if number == ResultField.RETURN_VALUE:
        kind = AnswerKind.SERVED if name == b"execute" else AnswerKind.CHECK
        return Answer(sequence_id, kind, value.get(1, b""), value.get(2, {}), value.get(3, False))
    kind = AnswerKind.REJECTED if number == ResultField.REJECTED else AnswerKind.FAILED
    return Answer(sequence_id, kind, fields=value.get(1, {}))
