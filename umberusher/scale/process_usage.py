"""Processor time and memory of processes, as the kernel counts them."""

from __future__ import annotations

import os
from pathlib import Path

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
BYTES_PER_MB = 1e6
# Indices of user and system time among the fields of /proc/PID/stat after the command's name.
USER_TIME_INDEX = 11
SYSTEM_TIME_INDEX = 12


def processor_time_s(pid: int) -> float:
    """Return the processor time that a process has used, user and system, in s."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[USER_TIME_INDEX]) + int(fields[SYSTEM_TIME_INDEX])) / TICKS_PER_S


def resident_memory_mb(pid: int | str) -> float:
    """Return the resident memory of a process (``"self"``: this one) in MB."""
    resident_pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return resident_pages * PAGE_BYTES / BYTES_PER_MB


def private_memory_mb(pid: int) -> float:
    """Return the resident memory that a process does not share with others, in MB."""
    fields = Path(f"/proc/{pid}/statm").read_text().split()
    resident_pages = int(fields[1])
    shared_pages = int(fields[2])
    return (resident_pages - shared_pages) * PAGE_BYTES / BYTES_PER_MB
