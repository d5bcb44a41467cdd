"""The site of a replay: its query classes, engines, limits and rules, in the platform's format.

They are constants: a replay reads no configuration file.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from umberusher.standin.deployment import DeploymentTerms

CLASSES: tuple[dict[str, Any], ...] = (
    {
        "name": "lookup",
        "aim_ms": 500.0,
        "aim_stretch": 2.0,
        "deadline_ms": 2500.0,
        "effect": "safe",
        "group": "all",
        "points": 1.0,
        "late_worth": 0.1,
        "memory_span_ms": 5000.0,
        "stream": False,
    },
    {
        "name": "report",
        "aim_ms": 1500.0,
        "aim_stretch": 2.5,
        "deadline_ms": 15000.0,
        "effect": "safe",
        "group": "all",
        "points": 10.0,
        "late_worth": 0.4,
        "memory_span_ms": 5000.0,
        "stream": False,
    },
    {
        "name": "load",
        "aim_ms": 3000.0,
        "aim_stretch": 2.5,
        "deadline_ms": 25000.0,
        "effect": "unsafe",
        "group": "all",
        "points": 7.5,
        "late_worth": 0.6,
        "memory_span_ms": 5000.0,
        "keep_order": True,
        "stream": False,
    },
)
CLASS_NAMES = tuple(item["name"] for item in CLASSES)
CLASS_BY_NAME: dict[str, dict[str, Any]] = {item["name"]: item for item in CLASSES}
LOAD_CLASS = "load"
"""The class that writes, which may run only once."""
THREADS_BY_CLASS = {"lookup": 1, "report": 2, "load": 2}
"""Threads on which a query of the class runs."""


@dataclass(frozen=True, slots=True)
class MachineKind:
    """The size of a kind of machine."""

    cores: int
    memory_mb: float


MACHINE_KINDS = {"std-8": MachineKind(8, 16_384.0), "std-16": MachineKind(16, 32_768.0)}
ZONES = ("room-a", "room-b")
DRAIN_GRACE_MS = 250.0
KEY_COOL_DOWN_MS = 500.0
RETRY_BUDGET_FLOOR = 5.0
SCORING_MIX = {"whole": 0.5, "worst_window": 0.15, "worst_class": 0.35}
WORST_WINDOW_S = 10
MAX_RETRY_AFTER_MS = 500.0
"""The longest Retry-After of a rejection."""

DEPLOYMENT_TERMS = {
    "probes": DeploymentTerms(),
    "answers": DeploymentTerms(
        health_checks=False,
        priorities=True,
        cost_in_answers=True,
        max_attempts=4,
        retry_budget_ratio=0.2,
        retry_budget_window_ms=5_000.0,
        overload_multiple=2.5,
        overload_window_ms=3_000.0,
        progress_interval_ms=2_000.0,
        keepalive_ms=30_000.0,
        runaway_fraction=0.06,
        tenant_quotas=(("first", 30.0), ("second", 20.0), ("third", 8.0)),
    ),
}
"""The two known kinds of deployments, with rounded numbers.

Engines report their load to health checks; or in answers, with priorities, cost and tenants.
"""


def settings(
    brokers: int,
    position: int,
    cancel: bool = False,
    terms: DeploymentTerms = DEPLOYMENT_TERMS["probes"],
) -> dict[str, Any]:
    """Return the settings of one broker, as nested JSON.

    Args:
        brokers: How many brokers share the engines.
        position: The number of this one.
        cancel: Whether engines support cancellation.
        terms: The deployment.
    """
    return {
        "accounts": [{"name": name, "quota_per_s": quota} for name, quota in terms.tenant_quotas],
        "clients": {"marks_retry": True},
        "counted_by": "request",
        "fleet_size": brokers,
        "contract": {
            "ask_within_ms": 10_000.0,
            "cold_from": 0.35,
            "counted_over_ms": terms.retry_budget_window_ms,
            "drain_grace_ms": DRAIN_GRACE_MS,
            "fall_ms": terms.overload_window_ms,
            "grace_to_answer_ms": 20.0,
            "repeat_ratio": terms.retry_budget_ratio,
            "settle_after_doubt_ms": KEY_COOL_DOWN_MS,
            "spare_attempts": RETRY_BUDGET_FLOOR,
            "tip_multiple": terms.overload_multiple,
            "warm_within_ms": 15_000.0,
        },
        "domain": {
            "class_waits": [False] * len(CLASSES),
            "cost_in_answers": terms.cost_in_answers,
            "holds_tables": [name == LOAD_CLASS for name in CLASS_NAMES],
            "lanes_count": terms.priorities,
            "max_grant_share": 0.4,
            "memory_heeded": False,
            "on_shortage": "line_up",
            "parallelism": [THREADS_BY_CLASS[name] for name in CLASS_NAMES],
            "ram_of_kind_mb": [kind.memory_mb for kind in MACHINE_KINDS.values()],
            "report_x0": "share of memory granted",
            "report_x1": "share of disks busy",
            "size_cores": [kind.cores for kind in MACHINE_KINDS.values()],
            "tells_every_ms": terms.progress_interval_ms,
        },
        "grades": [dict(item) for item in CLASSES],
        "limits": {
            "cancel": cancel,
            "connect_timeout_ms": 250.0,
            "keepalive_ms": terms.keepalive_ms,
            "max_attempts": terms.max_attempts,
            "max_open": 24_620,
            "max_retry_after_ms": MAX_RETRY_AFTER_MS,
            "multiplex": 32,
            "peer_messages": False,
            "probes": terms.health_checks,
            "retry_after": True,
            "second_copies": False,
        },
        "machine_types": list(MACHINE_KINDS),
        "membership_mode": "automatic",
        "over_share_worth": 0.1,
        "position": position,
        "prices": {"cross_zone": 0.0089, "late_fail": 0.04, "probe": 0.01, "waste": 0.08},
        "report": {
            "fields": ["concurrent", "depth", "x0"],
            "how": "probe" if terms.health_checks else "answers",
        },
        "round_ms": 5.0,
        "scoring_mix": SCORING_MIX | {"worst_tenant": 0.0},
        "stage": 0,
        "stages": ["query-fleet"],
        "weight_kind": "rough",
        "workload": "queries",
        "zone": ZONES[position % 2],
        "zones": list(ZONES),
    }
