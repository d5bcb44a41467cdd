"""Settings of the load balancer."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum


class Idempotency(Enum):
    """The effect of repeating a request."""

    IDEMPOTENT = "safe"
    KEYED = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Which engines drop a repeat of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


def _number(owner: str, name: str, value: object, low: float, high: float = math.inf) -> None:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not low <= value <= high:
        raise ValueError(f"{owner}.{name} must be a number from {low} to {high}, not {value!r}")


def _check(owner: str, item: object, low: float, *names: str) -> None:
    for name in names:
        value = getattr(item, name)
        if value is not None:
            _number(owner, name, value, low)


@dataclass(slots=True)
class QueryClass:
    """One class of queries with its objectives and constraints.

    Attributes:
        objective_stretch: Fraction of the time that a request needs alone, added to its objective.
        late_weight: Weight of an answer after the objective, as a fraction of the full weight.
        threads: Threads that a request uses on its engine.
        deduplication_window_ms: Time within which engines drop a repeat of a keyed request.
        zones: Zones in which requests may run; None: any.
        kinds: Kinds of engine on which requests may run; None: any.
        locks_group: Whether a request locks its group of tables.
        waits_for_load: Whether a request waits at its engine for loads that lock its group.
    """

    name: str
    latency_objective_ms: float
    deadline_ms: float
    priority_weight: float
    idempotency: Idempotency
    objective_stretch: float = 0.0
    late_weight: float = 0.0
    threads: float = 1.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_ms: float | None = None
    ordered_by_key: bool = False
    zones: tuple[str, ...] | None = None
    kinds: tuple[str, ...] | None = None
    stream: bool = False
    locks_group: bool = False
    waits_for_load: bool = False

    def __post_init__(self) -> None:
        if not isinstance(self.name, str) or not self.name:
            raise ValueError(f"QueryClass.name must be a non-empty text, not {self.name!r}")
        owner = f"QueryClass[{self.name}]"
        for name in (
            "latency_objective_ms",
            "deadline_ms",
            "priority_weight",
            "objective_stretch",
            "late_weight",
            "threads",
        ):
            _number(owner, name, getattr(self, name), 0)
        _check(owner, self, 0, "deduplication_window_ms")
        if not isinstance(self.idempotency, Idempotency):
            raise ValueError(
                f"{owner}.idempotency must be an Idempotency, not {self.idempotency!r}"
            )
        if not isinstance(self.deduplication_scope, DeduplicationScope):
            raise ValueError(
                f"{owner}.deduplication_scope must be a DeduplicationScope, "
                f"not {self.deduplication_scope!r}"
            )
        if self.idempotency is Idempotency.KEYED and self.deduplication_window_ms is None:
            # The message names the field as the settings object does, for the operator's sake.
            raise ValueError(f"{owner}.memory_span_ms must be given for a keyed class")


@dataclass(slots=True)
class EngineKind:
    """A kind of machine and the resources of its engines."""

    name: str
    cores: float
    memory_mb: float | None = None

    def __post_init__(self) -> None:
        _number(f"EngineKind[{self.name}]", "cores", self.cores, 0.001)
        _check(f"EngineKind[{self.name}]", self, 0, "memory_mb")


@dataclass(slots=True)
class Tenant:
    """A tenant and its request quota."""

    name: str
    quota_per_s: float | None = None

    def __post_init__(self) -> None:
        _check(f"Tenant[{self.name}]", self, 0, "quota_per_s")


@dataclass(slots=True)
class Limits:
    """The features that this broker may use, and their limits."""

    max_attempts: int = 1
    hedging: bool = False
    cancellation: bool = False
    health_checks: bool = False
    set_priority: bool = False
    retry_after: bool = False
    max_retry_after_ms: float = 0.0

    def __post_init__(self) -> None:
        _number("Limits", "max_attempts", self.max_attempts, 1)
        _number("Limits", "max_retry_after_ms", self.max_retry_after_ms, 0)


@dataclass(slots=True)
class Rules:
    """The rules of the platform; a rule that is None does not apply.

    Attributes:
        warm_up_floor: Fraction of its capacity that an engine has when it starts.
        warm_up_ms: Time after its start in which an engine reaches its full capacity.
        overload_multiple: Work within a window, as a multiple of an engine's capacity, that
            overloads the engine.
        overload_window_ms: Length of that window.
        key_cool_down_ms: Time that a key cools down after an attempt that may still run.
        retry_budget_floor: Retries allowed in each window without any request.
        retry_budget_ratio: Further retries allowed for each eligible request of the window.
        retry_budget_window_ms: Length of the retry budget's window.
    """

    drain_grace_ms: float | None = None
    warm_up_floor: float | None = None
    warm_up_ms: float | None = None
    overload_multiple: float | None = None
    overload_window_ms: float | None = None
    key_cool_down_ms: float | None = None
    retry_budget_floor: float | None = None
    retry_budget_ratio: float | None = None
    retry_budget_window_ms: float | None = None
    poll_within_ms: float | None = None

    def __post_init__(self) -> None:
        _check("Rules", self, 0, *self.__slots__)


@dataclass(slots=True)
class Settings:
    """The complete settings of a load balancer.

    Attributes:
        broker_count: Number of brokers that use the same engines.
        broker_index: Index of this broker among them, from 0.
        connect_timeout_ms: The longest that an attempt waits for its connection.
    """

    classes: tuple[QueryClass, ...]
    engine_kinds: tuple[EngineKind, ...] = ()
    zone: str | None = None
    broker_count: int | None = None
    broker_index: int | None = None
    tick_ms: float = 5.0
    watch_endpoints: bool = False
    keepalive_ms: float = 15_000.0
    connect_timeout_ms: float = 0.0
    over_quota_weight: float = 1.0
    tenants: tuple[Tenant, ...] = ()
    limits: Limits = field(default_factory=Limits)
    rules: Rules = field(default_factory=Rules)

    def __post_init__(self) -> None:
        if not self.classes:
            raise ValueError("Settings.classes must name at least one class")
        names = [item.name for item in self.classes]
        if len(set(names)) != len(names):
            raise ValueError("Settings.classes must have names that differ")
        if len({item.name for item in self.tenants}) != len(self.tenants):
            raise ValueError("Settings.tenants must have names that differ")
        _check(
            "Settings",
            self,
            0,
            "tick_ms",
            "over_quota_weight",
            "connect_timeout_ms",
        )
        _check("Settings", self, 1, "keepalive_ms")
        _check("Settings", self, 1, "broker_count")
