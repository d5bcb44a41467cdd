"""The filter limits the log lines of one event per second and reports how many it suppressed."""

from __future__ import annotations

import logging

from umberusher.commands import log_filter


def test_filter_limits_lines_of_one_event_and_counts_suppressed_ones():
    now, passed_lines = [0.0], []
    handler = logging.Handler()
    handler.emit = lambda record: passed_lines.append(record.getMessage())
    handler.addFilter(log_filter.LogRateFilter(lambda: now[0]))
    log = logging.Logger("test")
    log.addHandler(handler)
    for number in range(100):
        log.warning("call %d", number)
    log.warning("another")
    assert len(passed_lines) == log_filter.MAX_LINES_PER_S + 1
    now[0] = 1.0
    for number in range(100, 200):
        log.warning("call %d", number)
    assert (
        passed_lines[log_filter.MAX_LINES_PER_S + 1]
        == f"call 100 suppressed_lines={100 - log_filter.MAX_LINES_PER_S}"
    )
    assert len(passed_lines) == 2 * log_filter.MAX_LINES_PER_S + 1


def test_filter_passes_every_structured_event():
    """The message of such a record is a dictionary, which can't be counted by its text."""
    rate_filter = log_filter.LogRateFilter(lambda: 0.0)
    fields = {"event": "request", "rid": "r-1"}
    record = logging.LogRecord("test", logging.INFO, "", 0, fields, (), None)
    passed = [rate_filter.filter(record) for _ in range(log_filter.MAX_LINES_PER_S + 5)]
    assert all(passed)
    assert record.msg is fields


def test_filter_keeps_every_line_of_a_level_that_was_asked_for_as_evidence():
    passed_lines = []
    handler = logging.Handler()
    handler.emit = lambda record: passed_lines.append(record.getMessage())
    handler.addFilter(log_filter.LogRateFilter(lambda: 0.0))
    log = logging.Logger("test", logging.DEBUG)
    log.addHandler(handler)
    for number in range(2 * log_filter.MAX_LINES_PER_S):
        log.debug("attempt_started request=%d", number)
    assert len(passed_lines) == 2 * log_filter.MAX_LINES_PER_S
