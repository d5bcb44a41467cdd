"""Joins lines to records: a record continues on the next line while a quote is open."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from umberusher.traces.defects import Defect, DefectReason
from umberusher.traces.streams import MAX_LINE_BYTES

MAX_RECORD_LINES = 64
"""A quote that is still open after this many lines is a defect."""


class Record(NamedTuple):
    """A record's text or its defect, with the number of its first line."""

    line: int
    text: str | Defect


def read_records(source: Iterator[bytes]) -> Iterator[Record]:
    """Yield the records of a file's lines; blank lines are skipped.

    A stray quote must not make the whole file one record: if it is still open after
    MAX_RECORD_LINES lines, its line is a defect and the lines after it are read again.
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
    """Join the lines of a record whose first line leaves a quote open."""
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
    """An iterator that passes one record at a time to :func:`csv.reader`.

    Each record is returned once: csv.reader requests another one where a record with an even number
    of quotes still leaves one open (``x",y,"z``). Since the iterator then ends, csv.reader raises
    csv.Error in strict mode.
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
