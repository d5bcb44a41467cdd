"""The role of a broker."""

from __future__ import annotations

from umberusher.capacity.budget_rows import Role
from umberusher.capacity.roles.broker_needs import MEMORY_ROWS, MESSAGE_ROWS, STATE_ROWS, TIME_ROWS
from umberusher.capacity.roles.broker_processor import PROCESSOR_ROWS
from umberusher.capacity.roles.broker_watched import WATCHED_ROWS

BROKER = Role(
    "broker",
    "broker",
    (*STATE_ROWS, *MESSAGE_ROWS, *PROCESSOR_ROWS, *MEMORY_ROWS, *TIME_ROWS, *WATCHED_ROWS),
)
