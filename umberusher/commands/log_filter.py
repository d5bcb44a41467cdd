"""Limits how many log lines of one event are written per second."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

MAX_LINES_PER_S = 20
"""Maximum number of lines with the same event in one second."""

MAX_EVENTS = 256
"""Maximum number of events that are counted; lines of further events are not limited."""


class LogRateFilter(logging.Filter):
    """Limits the lines of each event per second, and counts the suppressed ones.

    When hundreds of clients are rejected, writing a log line costs more than the rejection itself.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._clock = clock
        # By event (the text without values): the second of its last line, and its lines in that second.
        self._counts: dict[str, tuple[int, int]] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether the line is written; append the number of suppressed lines before it."""
        if record.levelno <= logging.DEBUG:
            # Asked for explicitly, as evidence: a missing line would be taken for a missing event.
            return True
        event = record.msg
        if not isinstance(event, str):
            # An event with fields, as --log-format writes them; each one must be logged.
            return True
        now_s = int(self._clock())
        second, count = self._counts.get(event, (now_s, 0))
        if second != now_s:
            if count > MAX_LINES_PER_S:
                suppressed_count = count - MAX_LINES_PER_S
                record.msg = f"{record.getMessage()} suppressed_lines={suppressed_count}"
                record.args = ()
            second = now_s
            count = 0
        if len(self._counts) < MAX_EVENTS or event in self._counts:
            self._counts[event] = (second, count + 1)
        return count < MAX_LINES_PER_S
