"""``serve``: run one broker until SIGTERM."""

from __future__ import annotations

import argparse
import logging
import os
import signal
import sys
from collections.abc import Callable
from typing import TYPE_CHECKING

from umberusher.broker.broker import Broker
from umberusher.commands.log_filter import LogRateFilter
from umberusher.config import Config, load
from umberusher.hot_restart.predecessor import socket_path

if TYPE_CHECKING:  # The contract modules are loaded at run time only if a contract is configured.
    from umberusher.deadlines.timeline import Timeline
    from umberusher.pipeline.contracts import ContractEnforcer

LOG_FORMAT = "%(asctime)s %(levelname)s %(name)s: %(message)s"

EventLogger = Callable[..., None]
"""Writes one structured event, given its fields and its kind."""


def run(arguments: argparse.Namespace) -> int:
    """Run one broker until SIGTERM; SIGHUP reloads the configuration."""
    # A SIGHUP before the broker runs would end the process. Ignoring it loses no change of the
    # configuration, which is read afterwards.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    config = _load_config()
    log_event = _configure_log(arguments)
    broker = Broker(
        config,
        load_config=_load_config,
        handover_path=socket_path(os.environ, config.listen),
        make_contracts=_contracts_factory(arguments, config, log_event),
        receipts=arguments.receipts,
    )
    broker.registry.account.emit_event = log_event
    _handle_signals(broker)
    try:
        broker.run()
    except OSError as error:
        host, port = config.listen
        print(f"umberusher: {host}:{port}: {error.strerror}", file=sys.stderr)
        return 1
    return 0


def _load_config() -> Config:
    return load(os.environ)


def _configure_log(arguments: argparse.Namespace) -> EventLogger | None:
    """Configure the log; return the writer of structured events, None for a plain log."""
    log_event = None
    if arguments.log_format:
        # Imported here so that structlog is loaded only if a structured log is requested.
        from umberusher.commands import structured

        log_event = structured.configure_log(arguments.log_format, arguments.log_level)
    else:
        level = arguments.log_level.upper()
        logging.basicConfig(stream=sys.stderr, level=level, format=LOG_FORMAT)
    for handler in logging.getLogger().handlers:
        handler.addFilter(LogRateFilter())
    return log_event


def _contracts_factory(
    arguments: argparse.Namespace, config: Config, log_event: EventLogger | None
) -> Callable[[Timeline], ContractEnforcer] | None:
    """Return a function that creates the broker's contract enforcer; None without a contract."""
    if not arguments.contract:
        return None
    # Imported here so that Starlark and the contract modules are loaded only if they are needed.
    from umberusher.commands import contracts

    return contracts.enforcer_factory(arguments.contract, config.settings, log_event)


def _handle_signals(broker: Broker) -> None:
    signal.signal(signal.SIGHUP, lambda *_: broker.request_reload())
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: broker.request_shutdown())
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
