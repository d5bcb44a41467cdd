"""Reads the rows of a trace's files as values, in the order of their time.

Each row that is not kept is counted with a reason. Files are streamed: memory is bounded by the
reorder window, whatever the files contain.
"""

from __future__ import annotations

import csv
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any, BinaryIO

from umberusher.errors import UsageError
from umberusher.traces.converters import Converter, diagnose, make_converter
from umberusher.traces.defects import Defect, DefectReason, Tally
from umberusher.traces.layouts import US_PER_SECOND, Layout, Table
from umberusher.traces.ordering import (
    MAX_SHOWN_IDENTITY_CHARS,
    RecentIdentities,
    ReorderBuffer,
    Row,
)
from umberusher.traces.records import RecordFeed, read_records
from umberusher.traces.streams import MAX_LINE_BYTES, StreamError, lines

DEFAULT_REORDER_S = 10.0
SPECIAL_TIME_US = -1
"""The time of rows that have none, and of rows with time 0, from before the published window."""
PROGRESS_LINE_BITS = 13
"""Progress is reported once per ``2 ** PROGRESS_LINE_BITS`` lines."""

csv.field_size_limit(MAX_LINE_BYTES * 2)


def _ignore_progress(_offset: int) -> None:
    """Do not report progress."""


@dataclass(slots=True, frozen=True)
class _TableReader:
    """The state and the settings for reading the rows of one table.

    Attributes:
        has_time: Rows have a time; those of lookup tables, for example, have none.
        is_ordered: Rows are sorted by time, except those with a special time.
        time_position: The position of the time column.
    """

    table: Table
    convert: Converter
    identities: RecentIdentities
    has_time: bool
    is_ordered: bool
    time_position: int
    time_unit_us: int
    special_times: frozenset[int]

    @classmethod
    def for_table(cls, table: Table, layout: Layout) -> _TableReader:
        has_time = bool(table.time_column)
        return cls(
            table,
            make_converter(table),
            RecentIdentities(),
            has_time,
            has_time and layout.ordered,
            table.column_names.index(table.time_column) if has_time else 0,
            table.time_unit_us,
            frozenset(table.special_times),
        )


class Reader:
    """Reads files of one layout, in the given order, as one stream of rows."""

    def __init__(
        self,
        layout: Layout,
        *,
        reorder_s: float = DEFAULT_REORDER_S,
        strict: bool = False,
        progress: Callable[[int], None] = _ignore_progress,
    ) -> None:
        """Create a reader.

        Args:
            layout: The layout of the files.
            reorder_s: Seconds by which a row may be older than the newest row before it.
            strict: Whether the first defect raises StrictError.
            progress: Called with the offset in the file that is being read.
        """
        self.layout = layout
        self.tally = Tally(strict)
        self.reorder_buffer = ReorderBuffer(round(reorder_s * US_PER_SECOND), self.tally)
        self._progress = progress
        self._tables = {
            table.name: _TableReader.for_table(table, layout) for table in layout.tables
        }

    def rows(self, paths: list[str]) -> Iterator[Row]:
        """Yield the accepted rows, in order.

        Raises:
            UsageError: A file can't be opened, or its header matches no table of the layout.
        """
        for path in self._sorted(paths):
            with _open(path) as source:
                yield from self._read_file(source, Path(path).name)
        yield from self.reorder_buffer.drain()

    def _sorted(self, paths: list[str]) -> list[str]:
        """Return the paths, lookup tables first; a layout with one table keeps the given order."""
        if len(self.layout.tables) == 1:
            return paths
        ranks = {}
        for path in paths:
            with _open(path) as source:
                record = next(read_records(lines(source)), None)
            text = record.text if record else ""
            header = [] if isinstance(text, Defect) else text.split(",")
            ranks[path] = self.layout.tables.index(self._find_table(Path(path).name, header))
        return sorted(paths, key=lambda path: -ranks[path])

    def _read_file(self, source: BinaryIO, name: str) -> Iterator[Row]:
        tally = self.tally
        reorder_buffer = self.reorder_buffer
        only_table = self.layout.tables[0] if len(self.layout.tables) == 1 else None
        reader: _TableReader | None = None
        if only_table is not None and not only_table.header:
            reader = self._tables[only_table.name]
        for number, fields in self._split_records(source, name):
            if reader is None:
                header = [] if isinstance(fields, Defect) else fields
                reader = self._tables[self._find_table(name, header).name]
                continue
            tally.rows += 1
            if isinstance(fields, Defect):
                tally.reject(fields.reason, name, number, fields.detail)
                continue
            values = self._convert(reader, name, number, fields)
            if values is None:
                continue
            time = values[reader.time_position] if reader.has_time else 0
            if reader.is_ordered and time not in reader.special_times:
                reorder_buffer.push(
                    Row(time * reader.time_unit_us, name, number, reader.table, values)
                )
                if reorder_buffer.has_due:
                    yield from reorder_buffer.release()
            elif self._accept_unordered(reader, name, number, fields):
                time_us = self._track_time(reader, time)
                yield Row(time_us or SPECIAL_TIME_US, name, number, reader.table, values)

    def _split_records(
        self, source: BinaryIO, name: str
    ) -> Iterator[tuple[int, list[str] | Defect]]:
        """Yield the line number and the fields of each record, up to the end of the stream.

        A truncated or corrupt stream ends with one rejected row.
        """
        feed = RecordFeed()
        splitter = csv.reader(feed, strict=True)
        number = 0
        reported_progress = 0
        try:
            for number, text in read_records(lines(source)):
                if reported_progress < number >> PROGRESS_LINE_BITS:
                    reported_progress = number >> PROGRESS_LINE_BITS
                    self._progress(source.tell())
                if isinstance(text, Defect):
                    yield number, text
                    continue
                feed.text = text
                try:
                    fields = next(splitter)
                except csv.Error as error:
                    splitter = csv.reader(feed, strict=True)
                    yield number, Defect(DefectReason.UNREADABLE, str(error))
                    continue
                yield number, fields
        except StreamError as error:
            # The line at which the stream breaks off counts as one rejected row: the remainder of a
            # truncated line can look like a complete one.
            self.tally.rows += 1
            self.tally.reject(error.reason, name, number + 1, str(error))

    def _convert(
        self, reader: _TableReader, name: str, number: int, fields: list[str]
    ) -> list[Any] | None:
        """Return the values of a row; reject it and return None if a value is not accepted."""
        try:
            return reader.convert(fields)
        except ValueError:
            defect = diagnose(reader.table, fields)
            self.tally.reject(defect.reason, name, number, defect.detail)
            return None

    def _accept_unordered(
        self, reader: _TableReader, name: str, number: int, fields: list[str]
    ) -> bool:
        """Return whether to keep a row that is not sorted by time; reject duplicates."""
        table = reader.table
        if table.identity:
            identity = [fields[position] for position in table.identity_positions]
            if not reader.identities.add(",".join(identity)):
                detail = ", ".join(each[:MAX_SHOWN_IDENTITY_CHARS] for each in identity)
                self.tally.reject(DefectReason.DUPLICATE, name, number, detail)
                return False
        self.tally.kept += 1
        return True

    def _track_time(self, reader: _TableReader, time: int) -> int:
        """Return the time of a row that is not sorted, us; count it if it follows a newer row."""
        if not reader.has_time or self.layout.ordered:
            return time
        time_us = time * reader.time_unit_us
        if time_us < self.reorder_buffer.newest_us:
            self.tally.reordered += 1
        self.reorder_buffer.newest_us = max(self.reorder_buffer.newest_us, time_us)
        return time_us

    def _find_table(self, name: str, header: list[str]) -> Table:
        """Return the table that a header names."""
        for table in self.layout.tables:
            names = list(table.column_names)
            if header[: len(names)] == names:
                return table
        known = ", ".join(table.name for table in self.layout.tables)
        raise UsageError(f"{name}:1: the header is none of {self.layout.name}'s: {known}")


def _open(path: str) -> BinaryIO:
    try:
        return Path(path).open("rb")
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from None
