"""Lines to records: lines are joined while a quote is open, then split by :mod:`csv`."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from umberusher.traces.defects import Defect, DefectReason
from umberusher.traces.streams import MAX_LINE_BYTES

MAX_RECORD_LINES = 64
"""Lines of one record: beyond that the open quote is the defect."""


class Record(NamedTuple):
    """A record's text, or what is wrong with it, and the number of its first line."""

    line: int
    text: str | Defect


def read_records(source: Iterator[bytes]) -> Iterator[Record]:
    """Yield the records of a file's lines; blank lines are none.

    Guards against one stray quote that swallows the file: over MAX_RECORD_LINES it is the defect,
    and the lines behind its own are read again by themselves.
    """
    pushed_back: deque[tuple[int, bytes]] = deque()
    numbered = enumerate(source, 1)
    while True:
        numbered_line = pushed_back.popleft() if pushed_back else next(numbered, None)
        if numbered_line is None:
            return
        number, line = numbered_line
        if b'"' in line and _leaves_quote_open(line):
            joined = _join_quoted(numbered_line, pushed_back, numbered)
            if isinstance(joined, Defect):
                yield Record(number, joined)
                continue
            line = joined
        if len(line) > MAX_LINE_BYTES:
            detail = f"over {MAX_LINE_BYTES} bytes"
            yield Record(number, Defect(DefectReason.TOO_LONG, detail))
            continue
        if line.strip():
            yield Record(number, _decode(line))


def _leaves_quote_open(line: bytes) -> bool:
    return line.count(b'"') % 2 == 1


def _join_quoted(
    first: tuple[int, bytes],
    pushed_back: deque[tuple[int, bytes]],
    numbered: Iterator[tuple[int, bytes]],
) -> bytes | Defect:
    """Join the lines of a record whose first one leaves a quote open."""
    collected = [first]
    is_open = True
    while is_open and len(collected) < MAX_RECORD_LINES:
        following = pushed_back.popleft() if pushed_back else next(numbered, None)
        if following is None:
            break
        collected.append(following)
        is_open ^= _leaves_quote_open(following[1])
    if is_open:
        pushed_back.extendleft(reversed(collected[1:]))
        detail = f"a quote is open for {len(collected)} lines"
        return Defect(DefectReason.QUOTE_NOT_CLOSED, detail)
    return b"\n".join(line for _, line in collected)


def _decode(line: bytes) -> str | Defect:
    try:
        return line.decode("utf-8")
    except UnicodeDecodeError as error:
        detail = f"byte {error.start + 1} of the record: {error.reason}"
        return Defect(DefectReason.UNREADABLE, detail)


class RecordFeed:
    """An iterator for :func:`csv.reader` that gives it one record at a time.

    Each record is given once: csv.reader asks for more where a record with an even number of quotes
    still leaves one open (``x",y,"z``), and in strict mode raises csv.Error when there is none.
    """

    def __init__(self) -> None:
        self.text: str | None = None

    def __iter__(self) -> RecordFeed:
        return self

    def __next__(self) -> str:
        text = self.text
        if text is None:
            raise StopIteration
        self.text = None
        return text
