"""Shared code of the tool commands: log by structlog, progress bars by rich, JSON files.

``serve`` never imports this module: the libraries take more memory than a broker can spare.
"""

from __future__ import annotations

import json
import logging
import resource
import sys
from pathlib import Path
from typing import Any

import structlog
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from umberusher.errors import UsageError

# Maximum number of nodes, and of brokers, in one run: each pair may open connections, and all of them
# are on this machine.
MAX_INSTANCES = 1_024
out = Console(highlight=False, soft_wrap=True, width=None if sys.stdout.isatty() else 140)


def configure_log(log_format: str, level: int = logging.INFO) -> Any:
    """Configure the log on standard error, as text or as one JSON object per line; return the logger."""
    renderer = (
        structlog.processors.JSONRenderer(sort_keys=True)
        if log_format == "json"
        else structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    )
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    return structlog.get_logger()


def progress(description: str) -> Progress:
    """Return a progress bar on standard error, which is shown only on a terminal."""
    console = Console(stderr=True)
    return Progress(
        TextColumn(description),
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
        console=console,
        disable=not console.is_terminal,
        transient=True,
    )


def check_instance_count(option: str, count: int) -> int:
    """Return a number of nodes or brokers; raise UsageError if it is out of range."""
    if not 1 <= count <= MAX_INSTANCES:
        raise UsageError(f"{option}: expected 1 to {MAX_INSTANCES:,}, got {count:,}")
    return count


def ensure_descriptor_limit(required: int) -> None:
    """Raise this process's limit on file descriptors; UsageError if the system allows too few."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    target = required if hard == resource.RLIM_INFINITY else hard
    if required > target:
        raise UsageError(
            f"{required:,} descriptors are needed at the least, the system allows this process {hard:,}"
        )
    if soft != resource.RLIM_INFINITY and soft < target:
        resource.setrlimit(resource.RLIMIT_NOFILE, (target, hard))


def write_json(path: str | None, value: Any) -> None:
    """Write a JSON document if a path is given."""
    if path:
        write(path, json.dumps(value, indent=1, sort_keys=True).encode() + b"\n")


def write(path: str | Path, data: bytes) -> None:
    """Write a file and create its folder; raise UsageError if that fails."""
    try:
        Path(path).parent.mkdir(parents=True, exist_ok=True)
        Path(path).write_bytes(data)
    except OSError as error:
        raise UsageError(f"{path}: {error.strerror}") from None


def table(title: str, headers: list[str], rows: list[list[Any]]) -> None:
    """Print a table on standard output; the columns after the first hold numbers."""
    rich_table = Table(title=title, title_justify="left")
    for number, header in enumerate(headers):
        rich_table.add_column(header, justify="right" if number else "left")
    for row in rows:
        rich_table.add_row(*map(str, row))
    out.print(rich_table)
