"""The structured log of ``serve``: lines as JSON or ``key=value``, and events with fields."""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable

import structlog


def configure_log(log_format: str, level: str) -> Callable[..., None]:
    """Configure the log, which is written to standard error.

    Args:
        log_format: ``json``, or ``text`` for ``key=value`` pairs.
        level: The name of the lowest level that is written.

    Returns:
        A function that writes one event, given its fields and its kind.
    """
    shared_processors: list[structlog.typing.Processor] = [
        structlog.stdlib.add_log_level,
        structlog.stdlib.add_logger_name,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
    ]
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=[*shared_processors, structlog.processors.format_exc_info],
            processors=[
                structlog.stdlib.ProcessorFormatter.remove_processors_meta,
                _renderer(log_format),
            ],
        )
    )
    logging.basicConfig(level=level.upper(), handlers=[handler])
    structlog.configure(
        processors=[
            *shared_processors,
            structlog.stdlib.ProcessorFormatter.wrap_for_formatter,
        ],
        logger_factory=structlog.stdlib.LoggerFactory(),
        wrapper_class=structlog.stdlib.BoundLogger,
        cache_logger_on_first_use=True,
    )
    log = structlog.get_logger("umberusher.deadlines")

    def log_event(event: dict[str, object], kind: str = "request") -> None:
        log.info(kind, **event)

    return log_event


def _renderer(log_format: str) -> structlog.typing.Processor:
    if log_format == "json":
        return structlog.processors.JSONRenderer()
    return structlog.processors.LogfmtRenderer(
        key_order=["timestamp", "level", "event"], bool_as_flag=False
    )
