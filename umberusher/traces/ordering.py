"""Rows in the order of their time, without duplicates; memory is bounded."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterator
from typing import Any, NamedTuple

import xxhash

from umberusher.traces.defects import DefectReason, Tally
from umberusher.traces.layouts import US_PER_SECOND, Table

MAX_BUFFERED_ROWS = 200_000  # rows that wait to be put in order
MAX_REMEMBERED_IDENTITIES = 200_000
MAX_SHOWN_IDENTITY_CHARS = 24
_MIN_TIME_US = -(1 << 62)
_MAX_TIME_US = 1 << 70


class Row(NamedTuple):
    """One good row: ``values`` in the layout's order, ``time_us`` of the trace."""

    time_us: int
    file: str
    line: int
    table: Table
    values: list[Any]


class ReorderBuffer:
    """Puts rows in the order of their time within a window.

    Rows behind the window are out of order, second ones duplicates. Rows that come in order stand
    in a queue, the others in a heap beside it: most rows of an ordered file then cost no comparison
    with others (measured in docs/traces.md). Rows of one time keep the order of the files. A
    duplicate has its first one's time, so only rows of one time are compared, and no identity is
    kept beyond its moment.
    """

    def __init__(self, window_us: int, tally: Tally, max_rows: int = MAX_BUFFERED_ROWS) -> None:
        self.max_rows = max_rows
        self.queue: deque[tuple[int, int, Row]] = deque()
        self.late_rows: list[tuple[int, int, Row]] = []
        self.newest_us = _MIN_TIME_US
        # Rows before it are due.
        self.due_before_us = _MIN_TIME_US
        self._window_us = window_us
        self._tally = tally
        self._pushed_count = 0
        self._released_us = _MIN_TIME_US
        # Identities of the rows released last, where they share a time.
        self._identities: set[tuple[Any, ...]] = set()

    @property
    def has_due(self) -> bool:
        """Whether ``release`` may have rows to give."""
        if self.late_rows or not self.queue:
            return True
        return self.queue[0][0] < self.due_before_us

    def push(self, row: Row) -> None:
        """Take a row; it is rejected where the window has passed it."""
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
        """Release the oldest row's time: more rows fall into the window than may be held."""
        oldest_us = self.queue[0][0]
        if self.late_rows:
            oldest_us = min(oldest_us, self.late_rows[0][0])
        self.due_before_us = max(self.due_before_us, oldest_us + 1)

    def release(self) -> Iterator[Row]:
        """Yield the rows that nothing can come before any more, in order."""
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
        """Yield what is left, in order."""
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
    """Identities of the newest rows, as hashes; forgets the oldest."""

    def __init__(self, max_count: int = MAX_REMEMBERED_IDENTITIES) -> None:
        self._max_count = max_count
        self._newest: set[int] = set()
        self._older: set[int] = set()

    def add(self, identity: str) -> bool:
        """Add an identity; return False if it was among the last ``max_count``, at the least."""
        key = xxhash.xxh3_64_intdigest(identity.encode())
        if key in self._newest or key in self._older:
            return False
        self._newest.add(key)
        if len(self._newest) >= self._max_count:
            self._older = self._newest
            self._newest = set()
        return True
