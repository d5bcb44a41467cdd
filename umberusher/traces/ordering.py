"""Sorts rows by time and removes duplicates, in bounded memory."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterator
from typing import Any, NamedTuple

import xxhash

from umberusher.traces.defects import DefectReason, Tally
from umberusher.traces.layouts import US_PER_SECOND, Table

MAX_BUFFERED_ROWS = 200_000  # rows that wait in the reorder buffer
MAX_REMEMBERED_IDENTITIES = 200_000
MAX_SHOWN_IDENTITY_CHARS = 24
_MIN_TIME_US = -(1 << 62)
_MAX_TIME_US = 1 << 70


class Row(NamedTuple):
    """An accepted row: ``values`` in the order of the layout, ``time_us`` in the trace's time."""

    time_us: int
    file: str
    line: int
    table: Table
    values: list[Any]


class ReorderBuffer:
    """Sorts rows by time within a window.

    Rows older than the window are rejected as out of order, repeated ones as duplicates. Rows that
    arrive in order are kept in a queue, the others in a heap: most rows of an ordered file then
    need no comparison with other rows (docs/traces.md has the cost). Rows with equal times keep the
    order of the files. A duplicate has the same time as the row that it repeats, so rows are only
    compared with those of the same time, and only the identities of the time that was released last
    are stored.
    """

    def __init__(self, window_us: int, tally: Tally, max_rows: int = MAX_BUFFERED_ROWS) -> None:
        self.max_rows = max_rows
        self.queue: deque[tuple[int, int, Row]] = deque()
        self.late_rows: list[tuple[int, int, Row]] = []
        self.newest_us = _MIN_TIME_US
        # Rows before this time are due for release.
        self.due_before_us = _MIN_TIME_US
        self._window_us = window_us
        self._tally = tally
        self._pushed_count = 0
        self._released_us = _MIN_TIME_US
        # Identities of the released rows whose time is ``_released_us``.
        self._identities: set[tuple[Any, ...]] = set()

    @property
    def has_due(self) -> bool:
        """Whether ``release`` may yield rows."""
        if self.late_rows or not self.queue:
            return True
        return self.queue[0][0] < self.due_before_us

    def push(self, row: Row) -> None:
        """Add a row; reject it if it is older than the window."""
        time_us = row.time_us
        self._pushed_count += 1
        if time_us >= self.newest_us:
            self.newest_us = time_us
            self.due_before_us = time_us - self._window_us
            self.queue.append((time_us, self._pushed_count, row))
        elif time_us < self.due_before_us:
            behind_s = (self.newest_us - time_us) / US_PER_SECOND
            window_s = self._window_us / US_PER_SECOND
            detail = f"{behind_s:g} s behind, window {window_s:g} s"
            self._tally.reject(DefectReason.OUT_OF_ORDER, row.file, row.line, detail)
        else:
            self._tally.reordered += 1
            heapq.heappush(self.late_rows, (time_us, self._pushed_count, row))
        if len(self.queue) + len(self.late_rows) > self.max_rows:
            self._shorten_window()

    def _shorten_window(self) -> None:
        """Make the rows with the oldest time due, since the buffer holds too many rows."""
        oldest_us = self.queue[0][0]
        if self.late_rows:
            oldest_us = min(oldest_us, self.late_rows[0][0])
        self.due_before_us = max(self.due_before_us, oldest_us + 1)

    def release(self) -> Iterator[Row]:
        """Yield, in order, the rows that no later row of the files can precede."""
        queue = self.queue
        late_rows = self.late_rows
        while True:
            if late_rows and (not queue or late_rows[0] < queue[0]):
                if late_rows[0][0] >= self.due_before_us:
                    return
                row = heapq.heappop(late_rows)[2]
            elif queue and queue[0][0] < self.due_before_us:
                row = queue.popleft()[2]
            else:
                return
            if not self._is_duplicate(row):
                self._tally.kept += 1
                yield row

    def drain(self) -> Iterator[Row]:
        """Yield the remaining rows, in order."""
        self.due_before_us = _MAX_TIME_US
        return self.release()

    def _is_duplicate(self, row: Row) -> bool:
        if row.time_us != self._released_us:
            self._released_us = row.time_us
            self._identities.clear()
        if not row.table.identity:
            return False
        identity = tuple([row.values[position] for position in row.table.identity_positions])
        if identity not in self._identities:
            self._identities.add(identity)
            return False
        detail = ", ".join(str(each)[:MAX_SHOWN_IDENTITY_CHARS] for each in identity)
        self._tally.reject(DefectReason.DUPLICATE, row.file, row.line, detail)
        return True


class RecentIdentities:
    """The identities of the newest rows, as hashes; the oldest ones are dropped."""

    def __init__(self, max_count: int = MAX_REMEMBERED_IDENTITIES) -> None:
        self._max_count = max_count
        self._newest: set[int] = set()
        self._older: set[int] = set()

    def add(self, identity: str) -> bool:
        """Add an identity; return False if it is already known.

        At least the last ``max_count`` identities are remembered.
        """
        key = xxhash.xxh3_64_intdigest(identity.encode())
        if key in self._newest or key in self._older:
            return False
        self._newest.add(key)
        if len(self._newest) >= self._max_count:
            self._older = self._newest
            self._newest = set()
        return True
