"""Encodes actions as lines of the text wire."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from umberusher.decisions.actions import (
    Action,
    CancelAttempt,
    CheckHealth,
    FailRequest,
    RejectRequest,
    SetPriority,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)


def _line(name: str, instance: str, **fields: object) -> str:
    """Return a line; fields that are None are omitted."""
    parts = [name, f"i={instance}"]
    parts += [f"{key}={value}" for key, value in fields.items() if value is not None]
    return "\t".join(parts)


def _start_attempt(instance: str, action: StartAttempt) -> str:
    return _line(
        "try",
        instance,
        msg_id=action.request,
        node=action.engine,
        timeout_ms=action.timeout_ms,
    )


def _set_priority(instance: str, action: SetPriority) -> str:
    return _line(
        "grant_and_rank",
        instance,
        msg_id=action.request,
        memory=action.memory_mb,
        weight_class=action.priority,
    )


def _cancel_attempt(instance: str, action: CancelAttempt) -> str:
    return _line("abort_attempt", instance, msg_id=action.request, n=action.attempt)


def _reject_request(instance: str, action: RejectRequest) -> str:
    return _line("refuse", instance, msg_id=action.request, stay_away_ms=action.retry_after_ms)


def _fail_request(instance: str, action: FailRequest) -> str:
    return _line("lose", instance, msg_id=action.request)


def _check_health(instance: str, action: CheckHealth) -> str:
    return _line("ask_load", instance, node=action.engine)


def _set_timer(instance: str, action: SetTimer) -> str:
    return _line("wake_me", instance, tag=action.token, offset_ms=action.delay_ms)


def _watch_endpoints(instance: str, action: WatchEndpoints) -> str:
    return _line("track", instance, on=int(action.enabled))


_ENCODERS: dict[type[Action], Callable[[str, Any], str]] = {
    StartAttempt: _start_attempt,
    SetPriority: _set_priority,
    CancelAttempt: _cancel_attempt,
    RejectRequest: _reject_request,
    FailRequest: _fail_request,
    CheckHealth: _check_health,
    SetTimer: _set_timer,
    WatchEndpoints: _watch_endpoints,
}


def encode(instance: str, action: Action) -> str:
    """Return the line that encodes one action of an instance."""
    return _ENCODERS[type(action)](instance, action)
