"""Reload of the configuration while the broker runs."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING

from umberusher.config import Config, ConfigError
from umberusher.discovery.client import DiscoveryClient

if TYPE_CHECKING:  # Saves memory: only brokers that enforce contracts import the module.
    from umberusher.pipeline.contracts import ContractEnforcer

log = logging.getLogger(__name__)


class ConfigReloader:
    """Reloads the teams' contracts and the address of the discovery service.

    Attributes:
        load_config: Reads the configuration; raises ConfigError.
    """

    __slots__ = ("_config", "_contracts", "_discovery", "_is_requested", "load_config")

    def __init__(
        self,
        config: Config,
        load_config: Callable[[], Config],
        discovery: DiscoveryClient,
        contracts: ContractEnforcer | None,
    ) -> None:
        self._config = config
        self._discovery = discovery
        self._contracts = contracts
        self._is_requested = False
        self.load_config = load_config

    def request(self) -> None:
        """Request a reload at the next sweep; safe to call from a signal handler."""
        self._is_requested = True

    def run_if_requested(self) -> None:
        """Reload the configuration if that was requested."""
        if self._is_requested:
            self._is_requested = False
            self.run()

    def run(self) -> None:
        """Reload the configuration now; one that can't be used is logged and ignored."""
        if self._contracts is not None:
            self._contracts.reload()
        try:
            new_config = self.load_config()
        except ConfigError as error:
            log.error("config_reload_failed reason=%s", error)
            return
        log.info("config_reloaded discovery=%s:%d", *new_config.discovery)
        if new_config.listen != self._config.listen or new_config.settings != self._config.settings:
            log.warning("config_restart_required applied=discovery_address")
        self._discovery.move(new_config.discovery)
