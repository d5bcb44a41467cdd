"""Parses a settings object, as operators write it."""

from __future__ import annotations

import json
from typing import Any

from umberusher.decisions.settings import (
    DeduplicationScope,
    EngineKind,
    Idempotency,
    Limits,
    QueryClass,
    Rules,
    Settings,
    Tenant,
)
from umberusher.decisions.settings_schema import SettingsError, check

SUBSCRIBE_MODE = "subscribe"


def _pick(source: dict[str, Any], **names: str) -> dict[str, Any]:
    """Return the fields that are present, renamed to those of the settings classes."""
    return {
        field_name: source[source_name]
        for field_name, source_name in names.items()
        if source.get(source_name) is not None
    }


def _item(values: object, index: int, name: str) -> dict[str, Any]:
    """Return one item of a list of the domain as a field; empty if the list is too short."""
    if isinstance(values, list) and index < len(values):
        return {name: values[index]}
    return {}


def _query_class(raw: dict[str, Any], index: int, domain: dict[str, Any]) -> QueryClass:
    fields = _pick(
        raw,
        name="name",
        latency_objective_ms="aim_ms",
        deadline_ms="deadline_ms",
        priority_weight="points",
        objective_stretch="aim_stretch",
        late_weight="late_worth",
        stream="stream",
        deduplication_window_ms="memory_span_ms",
        ordered_by_key="keep_order",
    )
    fields |= _item(domain.get("parallelism"), index, "threads")
    fields |= _item(domain.get("holds_tables"), index, "locks_group")
    fields |= _item(domain.get("class_waits"), index, "waits_for_load")
    if raw.get("stays_in") is not None:
        fields["zones"] = tuple(raw["stays_in"])
    if raw.get("machine_types_allowed") is not None:
        fields["kinds"] = tuple(raw["machine_types_allowed"])
    if raw.get("group"):
        fields["deduplication_scope"] = DeduplicationScope(raw["group"])
    return QueryClass(idempotency=Idempotency(raw["effect"]), **fields)


def _engine_kinds(names: list[str], domain: dict[str, Any]) -> tuple[EngineKind, ...]:
    """Return the kinds of engine whose cores the domain specifies."""
    kinds = []
    for index, name in enumerate(names):
        sizes = _item(domain.get("size_cores"), index, "cores")
        if sizes:
            sizes |= _item(domain.get("ram_of_kind_mb"), index, "memory_mb")
            kinds.append(EngineKind(name, **sizes))
    return tuple(kinds)


def _limits(raw: dict[str, Any], domain: dict[str, Any]) -> Limits:
    fields = _pick(
        raw,
        max_attempts="max_attempts",
        hedging="second_copies",
        cancellation="cancel",
        health_checks="probes",
        retry_after="retry_after",
        max_retry_after_ms="max_retry_after_ms",
    )
    return Limits(**fields, **_pick(domain, set_priority="lanes_count"))


def _rules(raw: dict[str, Any]) -> Rules:
    fields = _pick(
        raw,
        drain_grace_ms="drain_grace_ms",
        warm_up_floor="cold_from",
        warm_up_ms="warm_within_ms",
        overload_multiple="tip_multiple",
        overload_window_ms="fall_ms",
        key_cool_down_ms="settle_after_doubt_ms",
        retry_budget_floor="spare_attempts",
        retry_budget_ratio="repeat_ratio",
        retry_budget_window_ms="counted_over_ms",
        poll_within_ms="ask_within_ms",
    )
    return Rules(**fields)


def _settings(raw: dict[str, Any]) -> Settings:
    domain = raw.get("domain") or {}
    limits = raw.get("limits") or {}
    kinds = _engine_kinds(raw.get("machine_types") or [], domain)
    classes = tuple(_query_class(item, index, domain) for index, item in enumerate(raw["grades"]))
    tenants = tuple(
        Tenant(**_pick(item, name="name", quota_per_s="quota_per_s"))
        for item in raw.get("accounts") or []
    )
    fields = _pick(
        raw,
        zone="zone",
        broker_count="fleet_size",
        broker_index="position",
        tick_ms="round_ms",
        over_quota_weight="over_share_worth",
    )
    fields |= _pick(limits, keepalive_ms="keepalive_ms", connect_timeout_ms="connect_timeout_ms")
    return Settings(
        classes=classes,
        engine_kinds=kinds,
        tenants=tenants,
        watch_endpoints=raw.get("membership_mode") == SUBSCRIBE_MODE,
        limits=_limits(limits, domain),
        rules=_rules(raw.get("contract") or {}),
        **fields,
    )


def read_settings(text: str) -> Settings:
    """Return the settings in a JSON text.

    Raises:
        SettingsError: The text is not a valid settings object; the error names the field if known.
    """
    try:
        raw = json.loads(text)
        check(raw)
        return _settings(raw)
    except (ValueError, KeyError, TypeError, AttributeError) as error:
        raise SettingsError(f"expected a settings object in conf: {error}") from error
