"""Layouts of published traces as data: tables, columns, types, units, and optional columns.

The reader is generated from these, so that a further layout needs no new reader. Sources are the
pages that the publishers keep with the data:

- Google cluster data 2011 (clusterdata-2011-2), "Google cluster-usage traces: format + schema",
  Reiss, Wilkes and Hellerstein, 2011-11-17, version 2: task events and machine events.
- Alibaba cluster-trace-v2018, its schema page: batch_task.
- Azure Functions Trace 2019, its description: invocations, durations and memory; Shahrad and
  others, "Serverless in the Wild", USENIX ATC 2020.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TypedDict

from umberusher.traces.defects import DefectReason

US_PER_SECOND = 1_000_000
US_PER_MINUTE = 60 * US_PER_SECOND

BEFORE_WINDOW = 0
"""The timestamp that the 2011 layout gives to events before the published window."""
AFTER_WINDOW = (1 << 63) - 1
"""The timestamp that the 2011 layout gives to events after the published window."""

MINUTES_PER_DAY = 1440
MAX_ID = (1 << 64) - 1
MAX_TIME_S = 10_000_000_000
MAX_COUNT = 1e15


class ColumnKind(StrEnum):
    """The type that a column's text is converted to."""

    INT = "int"
    FLOAT = "float"
    TEXT = "text"


@dataclass(slots=True, frozen=True)
class Column:
    """One column.

    Attributes:
        optional: The field may be empty; its value is then None.
        low: The lowest number that is accepted.
        high: The highest number that is accepted.
        known_values: The accepted texts of a text column, or the event names of an integer column:
            its value is the position of the name, from 0.
        defect: Why a row is rejected whose value is not accepted.
    """

    name: str
    kind: ColumnKind
    optional: bool = False
    low: float | None = None
    high: float | None = None
    known_values: tuple[str, ...] | None = None
    unit: str = ""
    defect: DefectReason = DefectReason.OUT_OF_RANGE


@dataclass(slots=True, frozen=True)
class Table:
    """One kind of file of a layout.

    Attributes:
        header: The first line names the columns.
        time_column: The column with a row's time; empty where rows have none, as in lookup tables.
        time_unit_us: The unit of that column, in microseconds.
        special_times: Times with a special meaning, which are not part of the order.
        identity: Columns that identify a row: a later row with equal values is a duplicate.
        spans: Pairs of columns in which the second value may not be lower than the first.
        repeated_count: Number of further integer columns, named 1, 2, ...
        identity_positions: The positions of the identity columns.
    """

    name: str
    columns: tuple[Column, ...]
    header: bool = False
    time_column: str = ""
    time_unit_us: int = 1
    special_times: tuple[int, ...] = ()
    identity: tuple[str, ...] = ()
    spans: tuple[tuple[str, str], ...] = ()
    repeated_count: int = 0
    identity_positions: tuple[int, ...] = field(default=(), init=False)

    def __post_init__(self) -> None:
        names = self.column_names
        positions = tuple(names.index(name) for name in self.identity)
        object.__setattr__(self, "identity_positions", positions)

    @property
    def column_names(self) -> tuple[str, ...]:
        """The names of the columns, without the repeated ones."""
        return tuple(column.name for column in self.columns)

    @property
    def width(self) -> int:
        """The number of columns of a row."""
        return len(self.columns) + self.repeated_count


@dataclass(slots=True, frozen=True)
class Layout:
    """A published layout; no row is rejected as out of order unless the layout is ``ordered``."""

    name: str
    description: str
    tables: tuple[Table, ...]
    ordered: bool = True
    notes: tuple[str, ...] = field(default=())


class _Range(TypedDict):
    """Bounds and unit that several columns share."""

    low: float
    high: float
    unit: str


_TIMESTAMP_COLUMN = Column(
    "timestamp",
    ColumnKind.INT,
    low=0,
    high=AFTER_WINDOW,
    unit="us",
    defect=DefectReason.TIMESTAMP_OUT_OF_RANGE,
)
TASK_EVENT_NAMES = (
    "SUBMIT",
    "SCHEDULE",
    "EVICT",
    "FAIL",
    "FINISH",
    "KILL",
    "LOST",
    "UPDATE_PENDING",
    "UPDATE_RUNNING",
)
MACHINE_EVENT_NAMES = ("ADD", "REMOVE", "UPDATE")

TASK_EVENTS = Layout(
    "google-2011-task-events",
    "Google cluster data 2011, task_events: 13 columns, no header, microseconds",
    (
        Table(
            "task_events",
            (
                _TIMESTAMP_COLUMN,
                Column("missing_info", ColumnKind.INT, optional=True, low=0, high=2),
                Column("job_id", ColumnKind.INT, low=0, high=MAX_ID),
                Column("task_index", ColumnKind.INT, low=0, high=1 << 31),
                Column("machine_id", ColumnKind.INT, optional=True, low=0, high=MAX_ID),
                Column(
                    "event_type",
                    ColumnKind.INT,
                    known_values=TASK_EVENT_NAMES,
                    defect=DefectReason.UNKNOWN_EVENT,
                ),
                Column("user", ColumnKind.TEXT, optional=True),
                Column("scheduling_class", ColumnKind.INT, optional=True, low=0, high=3),
                Column("priority", ColumnKind.INT, low=0, high=11),
                Column("cpu_request", ColumnKind.FLOAT, optional=True, low=0, high=1),
                Column("memory_request", ColumnKind.FLOAT, optional=True, low=0, high=1),
                Column("disk_request", ColumnKind.FLOAT, optional=True, low=0, high=1),
                Column("different_machine", ColumnKind.INT, optional=True, low=0, high=1),
            ),
            time_column="timestamp",
            special_times=(BEFORE_WINDOW, AFTER_WINDOW),
            identity=("timestamp", "job_id", "task_index", "event_type"),
        ),
    ),
    notes=("time 0 is before the window, 2^63 - 1 after it",),
)

MACHINE_EVENTS = Layout(
    "google-2011-machine-events",
    "Google cluster data 2011, machine_events: 6 columns, no header, microseconds",
    (
        Table(
            "machine_events",
            (
                _TIMESTAMP_COLUMN,
                Column("machine_id", ColumnKind.INT, low=0, high=MAX_ID),
                Column(
                    "event_type",
                    ColumnKind.INT,
                    known_values=MACHINE_EVENT_NAMES,
                    defect=DefectReason.UNKNOWN_EVENT,
                ),
                Column("platform_id", ColumnKind.TEXT, optional=True),
                Column("cpus", ColumnKind.FLOAT, optional=True, low=0, high=1),
                Column("memory", ColumnKind.FLOAT, optional=True, low=0, high=1),
            ),
            time_column="timestamp",
            special_times=(AFTER_WINDOW,),
            identity=("timestamp", "machine_id", "event_type"),
        ),
    ),
    notes=("ADD at time 0: there from the start",),
)

BATCH_TASK = Layout(
    "alibaba-2018-batch-task",
    "Alibaba cluster-trace-v2018, batch_task: 9 columns, no header, seconds",
    (
        Table(
            "batch_task",
            (
                Column("task_name", ColumnKind.TEXT),
                Column("instance_num", ColumnKind.FLOAT, optional=True, low=0, high=1e9),
                Column("job_name", ColumnKind.TEXT),
                Column("task_type", ColumnKind.TEXT, optional=True),
                Column(
                    "status",
                    ColumnKind.TEXT,
                    defect=DefectReason.UNKNOWN_EVENT,
                    known_values=(
                        "Ready",
                        "Waiting",
                        "Running",
                        "Terminated",
                        "Failed",
                        "Cancelled",
                        "Interrupted",
                    ),
                ),
                Column(
                    "start_time",
                    ColumnKind.INT,
                    low=0,
                    high=MAX_TIME_S,
                    unit="s",
                    defect=DefectReason.TIMESTAMP_OUT_OF_RANGE,
                ),
                Column(
                    "end_time",
                    ColumnKind.INT,
                    optional=True,
                    low=0,
                    high=MAX_TIME_S,
                    unit="s",
                    defect=DefectReason.TIMESTAMP_OUT_OF_RANGE,
                ),
                Column(
                    "plan_cpu",
                    ColumnKind.FLOAT,
                    optional=True,
                    low=0,
                    high=100_000,
                    unit="100 a core",
                ),
                Column(
                    "plan_mem",
                    ColumnKind.FLOAT,
                    optional=True,
                    low=0,
                    high=10_000,
                    unit="normalized",
                ),
            ),
            time_column="start_time",
            time_unit_us=US_PER_SECOND,
            identity=("job_name", "task_name", "start_time"),
            spans=(("start_time", "end_time"),),
        ),
    ),
    ordered=False,
    notes=(
        "the published files are grouped by job, not sorted: rows of any time are kept, "
        "those behind an earlier row are counted as reordered, and a plan sorts them",
        "an end_time of 0 says that it is not known",
    ),
)

_OWNER_AND_APP = (Column("HashOwner", ColumnKind.TEXT), Column("HashApp", ColumnKind.TEXT))
_MILLISECONDS: _Range = {"low": 0, "high": 1e9, "unit": "ms"}
_MEGABYTES: _Range = {"low": 0, "high": 1e7, "unit": "MB"}
AZURE_INVOCATIONS = Table(
    "invocations_per_function_md",
    (*_OWNER_AND_APP, Column("HashFunction", ColumnKind.TEXT), Column("Trigger", ColumnKind.TEXT)),
    header=True,
    identity=("HashOwner", "HashApp", "HashFunction", "Trigger"),
    repeated_count=MINUTES_PER_DAY,
)

AZURE_DURATIONS = Table(
    "function_durations_percentiles",
    (
        *_OWNER_AND_APP,
        Column("HashFunction", ColumnKind.TEXT),
        Column("Average", ColumnKind.FLOAT, **_MILLISECONDS),
        Column("Count", ColumnKind.INT, low=0, high=MAX_COUNT),
        Column("Minimum", ColumnKind.FLOAT, **_MILLISECONDS),
        Column("Maximum", ColumnKind.FLOAT, **_MILLISECONDS),
        *(
            Column(f"percentile_Average_{n}", ColumnKind.FLOAT, **_MILLISECONDS)
            for n in (0, 1, 25, 50, 75, 99, 100)
        ),
    ),
    header=True,
    identity=("HashOwner", "HashApp", "HashFunction"),
    spans=(("Minimum", "Maximum"),),
)

AZURE_MEMORY = Table(
    "app_memory_percentiles",
    (
        *_OWNER_AND_APP,
        Column("SampleCount", ColumnKind.INT, low=0, high=MAX_COUNT),
        Column("AverageAllocatedMb", ColumnKind.FLOAT, **_MEGABYTES),
        *(
            Column(f"AverageAllocatedMb_pct{n}", ColumnKind.FLOAT, **_MEGABYTES)
            for n in (1, 5, 25, 50, 75, 95, 99, 100)
        ),
    ),
    header=True,
    identity=("HashOwner", "HashApp"),
)

AZURE = Layout(
    "azure-functions-2019",
    "Azure Functions 2019: invocations per function and minute, with durations and memory",
    (
        AZURE_INVOCATIONS,
        AZURE_DURATIONS,
        AZURE_MEMORY,
    ),
    ordered=False,
    notes=("a table is known by its header; durations and memory go before the invocations",),
)

LAYOUTS = {layout.name: layout for layout in (TASK_EVENTS, MACHINE_EVENTS, BATCH_TASK, AZURE)}
