"""The configuration of a broker, read from the environment and a JSON file."""

from __future__ import annotations

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from umberusher.decisions.settings import Settings
from umberusher.decisions.settings_reader import read_settings
from umberusher.decisions.settings_schema import SettingsError
from umberusher.errors import UsageError
from umberusher.protocol.discovery import (
    DiscoveryProtocolError,
    WatchEvent,
    max_answer_bytes,
    parse_address,
    watch_events,
)

DEFAULT_MEMORY_MB = 192.0
MIN_MEMORY_MB = 32

DEFAULT_MAX_DESCRIPTORS = 1024
MIN_DESCRIPTORS = 64

DEFAULT_MAX_REQUESTS_PER_CONNECTION = 32
"""Requests that one engine connection carries at a time."""

DEFAULT_CONNECT_TIMEOUT_MS = 250.0
DEFAULT_KEEPALIVE_MS = 15_000.0
DEFAULT_MAX_OPEN_REQUESTS = 10_000


class ConfigError(UsageError):
    """The configuration can't be used; the text is one line for the operator."""

    message_prefix = "configuration: "


@dataclass(slots=True)
class Config:
    """A broker's configuration.

    Attributes:
        name: The broker's name.
        listen: The address for clients.
        seed: The seed of all random draws.
        discovery: The address of the discovery service.
        initial_endpoints: The endpoints that are known before the discovery service answers.
        settings: The settings of the decisions.
        memory_mb: The memory limit of all processes of this broker together.
        max_descriptors: The limit of descriptors of all processes of this broker together.
        max_requests_per_connection: Requests that one engine connection carries at a time.
        connect_timeout_ms: Time limit for establishing an engine connection.
        keepalive_ms: Idle time after which engines close a connection.
        max_open_requests: Requests that may be open at a time.
        admin: The address of the admin listener; None without one.
    """

    name: str
    listen: tuple[str, int]
    seed: int
    discovery: tuple[str, int]
    initial_endpoints: list[WatchEvent]
    settings: Settings
    memory_mb: float = DEFAULT_MEMORY_MB
    max_descriptors: int = DEFAULT_MAX_DESCRIPTORS
    max_requests_per_connection: int = DEFAULT_MAX_REQUESTS_PER_CONNECTION
    connect_timeout_ms: float = DEFAULT_CONNECT_TIMEOUT_MS
    keepalive_ms: float = DEFAULT_KEEPALIVE_MS
    max_open_requests: int = DEFAULT_MAX_OPEN_REQUESTS
    admin: tuple[str, int] | None = None

    @property
    def max_list_bytes(self) -> int:
        """The longest endpoint list that the memory limit allows, in bytes of its text."""
        return max_answer_bytes(self.memory_mb)


def parse(raw: dict[str, Any], environment: Mapping[str, str] | None = None) -> Config:
    """Return the configuration of a JSON value.

    Args:
        raw: The JSON value.
        environment: ``LB_NAME``, ``LB_LISTEN`` and ``LB_ADMIN`` override the value's fields.

    Raises:
        ConfigError: A field is missing or can't be used.
    """
    try:
        return _parse(raw, environment or {})
    except DiscoveryProtocolError as error:
        raise ConfigError(f"known: {error.reason}") from error
    except KeyError as error:
        raise ConfigError(f"lacks {error}") from error
    except (TypeError, ValueError, AttributeError, SettingsError) as error:
        raise ConfigError(" ".join(str(error).split())) from error


def _parse(raw: dict[str, Any], environment: Mapping[str, str]) -> Config:
    """Return the configuration; the first field that can't be used raises an error."""
    limits = raw.get("limits") or {}
    settings = raw["settings"]
    socket_limits = settings.get("limits") or {}
    initial_endpoints = watch_events(raw.get("known") or {"notices": []}, 0)
    admin = environment.get("LB_ADMIN") or raw.get("admin")
    return Config(
        admin=parse_address(admin) if admin else None,
        name=str(environment.get("LB_NAME") or raw["name"]),
        listen=parse_address(environment.get("LB_LISTEN") or raw["listen"]),
        seed=int(str(raw["seed"]), 16),
        discovery=parse_address(raw["board"]),
        initial_endpoints=initial_endpoints,
        settings=read_settings(json.dumps(settings)),
        memory_mb=_number(limits, "memory_mb", DEFAULT_MEMORY_MB, MIN_MEMORY_MB),
        max_descriptors=int(_number(limits, "sockets", DEFAULT_MAX_DESCRIPTORS, MIN_DESCRIPTORS)),
        max_requests_per_connection=int(
            _number(socket_limits, "multiplex", DEFAULT_MAX_REQUESTS_PER_CONNECTION, 1)
        ),
        connect_timeout_ms=_number(
            socket_limits, "connect_timeout_ms", DEFAULT_CONNECT_TIMEOUT_MS, 1
        ),
        keepalive_ms=_number(socket_limits, "keepalive_ms", DEFAULT_KEEPALIVE_MS, 1),
        max_open_requests=int(_number(socket_limits, "max_open", DEFAULT_MAX_OPEN_REQUESTS, 1)),
    )


def _number(fields: Mapping[str, Any], name: str, default: float, minimum: float) -> float:
    """Return a finite number of at least ``minimum``.

    Raises:
        ConfigError: The field holds something else.
    """
    value: Any = fields.get(name, default)
    is_number = isinstance(value, (int, float)) and not isinstance(value, bool)
    if not is_number or not math.isfinite(value) or value < minimum:
        raise ConfigError(f"{name} must be a number of at least {minimum:g}, not {value!r}")
    number: float = value
    return number


def load(environment: Mapping[str, str]) -> Config:
    """Return the configuration that the environment names.

    Raises:
        ConfigError: ``LB_CONFIG`` is not set, or the configuration can't be used.
    """
    path = environment.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as source:  # noqa: PTH123  (pathlib costs memory)
            raw = json.load(source)
    except (OSError, ValueError) as error:
        raise ConfigError(f"{path}: {error}") from error
    return parse(raw, environment)
