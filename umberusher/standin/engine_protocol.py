"""The engines' side of the line protocol: commands from bytes, answers to bytes. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from umberusher.net.ring import RingBuffer

MAX_LINE_BYTES = 4_096
MAX_BODY_BYTES = 1 << 20
LINE_END = b"\r\n"

_COMMANDS_WITHOUT_FIELDS = ("STOP", "END", "HELO", "STAT")
# Commands with one number, and the name of its field.
_COMMANDS_WITH_NUMBER = {"NICE": "order", "FETCH": "page"}


@dataclass(slots=True, frozen=True)
class Command:
    """One command of a broker; ``body`` is the statement of a request."""

    word: str
    request_id: str
    fields: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(slots=True, frozen=True)
class MalformedCommand:
    """Bytes that are not a valid command: an engine closes the connection on them."""

    reason: str


def next_command(buffer: RingBuffer) -> Command | MalformedCommand | None:
    """Read the next complete command; return None while more bytes are needed."""
    line_size = buffer.find(LINE_END, MAX_LINE_BYTES)
    if line_size < 0:
        return MalformedCommand("line too long") if len(buffer) >= MAX_LINE_BYTES else None
    try:
        words = buffer.peek(line_size).decode("ascii").split(" ")
    except UnicodeDecodeError:
        return MalformedCommand("line is not text")
    header_size = line_size + len(LINE_END)
    if _is_request(words):
        return _next_request(buffer, words, header_size)
    buffer.discard(header_size)
    return _parse_short_command(words)


def _is_request(words: list[str]) -> bool:
    if words[0] != "REQ" or len(words) != 4:
        return False
    return words[3].isdigit() and int(words[3]) <= MAX_BODY_BYTES


def _next_request(
    buffer: RingBuffer, words: list[str], header_size: int
) -> Command | MalformedCommand | None:
    body_size = int(words[3])
    if len(buffer) < header_size + body_size + len(LINE_END):
        return None
    buffer.discard(header_size)
    body = buffer.take(body_size)
    if buffer.take(len(LINE_END)) != LINE_END:
        return MalformedCommand("body not closed")
    fields: dict[str, str] = {}
    if words[2] != "-":
        for pair in words[2].split(","):
            key, _, value = pair.partition("=")
            fields[key] = value
    return Command("REQ", words[1], fields, body)


def _parse_short_command(words: list[str]) -> Command | MalformedCommand:
    word = words[0]
    if word in _COMMANDS_WITHOUT_FIELDS and len(words) == 2:
        return Command(word, words[1])
    if word in _COMMANDS_WITH_NUMBER and len(words) == 3 and words[2].isdigit():
        return Command(word, words[1], {_COMMANDS_WITH_NUMBER[word]: words[2]})
    return MalformedCommand(f"unknown command {word[:20]!r}")


def encode_answer(
    request_id: str, word: str, fields: str = "-", body: bytes | None = None
) -> bytes:
    """Encode one line of an engine, with its body if any."""
    if body is None:
        return f"{request_id} {word} {fields}\r\n".encode()
    return f"{request_id} {word} {fields} {len(body)}\r\n".encode() + body + LINE_END
