"""Figures of real brokers with the complete endpoint list: four at once, and one observed."""

from __future__ import annotations

from umberusher.capacity.budget_rows import Moment, Resource, RowDefinition
from umberusher.capacity.roles.formulas import real_figure, watched_figure
from umberusher.capacity.roles.mechanisms import (
    CHUNKED_BURST,
    CHUNKED_LIST,
    DIRECTORY,
    HELD_LIST,
    LONG_POLL,
    SINGLE_THREAD,
    WORK_PROPORTIONAL_TO_CHANGE,
)


def real_statement_rows(phase: str, moment: Moment, mechanism: str) -> tuple[RowDefinition, ...]:
    """Return the rows on what clients of real brokers observe, at a low rate of statements."""
    served = real_figure(f"{phase}: statements served", "statements", "statement")
    submitted = real_figure(f"{phase}: statements", "statements", "statement")
    return (
        RowDefinition(
            Resource.MESSAGES,
            moment,
            "statements served, of 50 a second at each of four",
            "%",
            lambda costs: served(costs) / submitted(costs),
            mechanism=mechanism,
        ),
        RowDefinition(
            Resource.TIME,
            moment,
            "until their answer, whatever it is, 99th",
            "ms",
            real_figure(f"{phase}: answered after, 99th", "ms", "ms"),
            mechanism=mechanism,
        ),
    )


WATCHED_ROWS: tuple[RowDefinition, ...] = (
    RowDefinition(
        Resource.STATE,
        Moment.BROKER_START,
        "brokers that became ready, of four at once",
        "broker",
        real_figure("real brokers ready", "brokers", "broker"),
        mechanism=LONG_POLL,
    ),
    RowDefinition(
        Resource.TIME,
        Moment.BROKER_START,
        "until it is ready, four at once, largest",
        "s",
        real_figure("real broker ready after, largest", "s", "s"),
        "ready_within",
        LONG_POLL,
        HELD_LIST,
    ),
    RowDefinition(
        Resource.PROCESSOR,
        Moment.ORDINARY,
        "for control, four at once, largest",
        "% core/broker",
        real_figure(
            "ordinary changes: a real broker's processor time, largest",
            "% of a core",
            "% core/broker",
        ),
        "control_processor",
        DIRECTORY,
        WORK_PROPORTIONAL_TO_CHANGE,
    ),
    RowDefinition(
        Resource.MESSAGES,
        Moment.ORDINARY,
        "bytes of discovery, four at once, largest",
        "KB/s/broker",
        real_figure("ordinary changes: a real broker's control bytes", "KB/s", "KB/s/broker"),
        "control_bytes",
        LONG_POLL,
        CHUNKED_LIST,
    ),
    RowDefinition(
        Resource.MEMORY,
        Moment.ORDINARY,
        "less what is shared, four at once, largest",
        "MB/broker",
        real_figure("ordinary changes: a real broker's memory, largest", "MB", "MB/broker"),
        "control_memory",
        DIRECTORY,
        "a directory that is smaller",
    ),
    RowDefinition(
        Resource.PROCESSOR,
        Moment.UPDATE_BURST,
        "for control in all, four at once",
        "core s/broker",
        real_figure("a lump: a real broker's processor time in all", "s", "core s/broker"),
        mechanism=DIRECTORY,
    ),
    RowDefinition(
        Resource.PROCESSOR,
        Moment.UPDATE_BURST,
        "for control over the stretch that a lump opens, four at once, largest",
        "% core/broker",
        real_figure(
            "a lump: a real broker's processor time, largest", "% of a core", "% core/broker"
        ),
        "control_processor",
        DIRECTORY,
        WORK_PROPORTIONAL_TO_CHANGE,
    ),
    RowDefinition(
        Resource.MESSAGES,
        Moment.UPDATE_BURST,
        "bytes of discovery over the stretch that a lump opens, four at once, largest",
        "KB/s/broker",
        real_figure("a lump: a real broker's control bytes", "KB/s", "KB/s/broker"),
        "control_bytes",
        LONG_POLL,
        CHUNKED_LIST,
    ),
    RowDefinition(
        Resource.PROCESSOR,
        Moment.UPDATE_BURST,
        "for control over the 5 s that a lump opens",
        "% core/broker",
        watched_figure("lump_share", "% of a core", "% core/broker"),
        "control_processor",
        DIRECTORY,
        CHUNKED_BURST,
    ),
    RowDefinition(
        Resource.MESSAGES,
        Moment.UPDATE_BURST,
        "bytes of discovery over the 5 s that a lump opens",
        "KB/s/broker",
        watched_figure("lump_kb_s", "KB/s", "KB/s/broker"),
        "control_bytes",
        LONG_POLL,
        CHUNKED_LIST,
    ),
    RowDefinition(
        Resource.TIME,
        Moment.UPDATE_BURST,
        "a check's longest wait for its answer",
        "ms",
        watched_figure("lump_wait_ms", "ms", "ms"),
        mechanism=SINGLE_THREAD,
    ),
    RowDefinition(
        Resource.MEMORY,
        Moment.UPDATE_BURST,
        "the most that it has held, with what is shared",
        "MB/broker",
        watched_figure("peak_mb", "MB", "MB/broker"),
        "control_memory",
        DIRECTORY,
        "a directory that is smaller",
    ),
    RowDefinition(
        Resource.MEMORY,
        Moment.UPDATE_BURST,
        "less what is shared, four at once, largest",
        "MB/broker",
        real_figure("a lump: a real broker's memory, largest", "MB", "MB/broker"),
        "control_memory",
        DIRECTORY,
        "a directory that is smaller",
    ),
    RowDefinition(
        Resource.TIME,
        Moment.UPDATE_BURST,
        "until it is in force, four at once, largest",
        "s",
        real_figure("a lump: in force, largest", "s", "s"),
        "in_force_within",
        LONG_POLL,
        CHUNKED_LIST,
    ),
    RowDefinition(
        Resource.MESSAGES,
        Moment.UPDATE_BURST,
        "changes not in force after 5 s, four at once, a broker and change each",
        "change",
        real_figure("a lump: not in force after 5 s", "changes", "change"),
        mechanism=LONG_POLL,
    ),
    *real_statement_rows("statements alone", Moment.ORDINARY, "the loop, six stages"),
    *real_statement_rows("statements and a lump", Moment.UPDATE_BURST, SINGLE_THREAD),
)
