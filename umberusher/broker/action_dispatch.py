"""Executes the actions that the load balancer returns."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from umberusher.decisions.actions import (
    CancelAttempt,
    CheckHealth,
    FailRequest,
    RejectRequest,
    SetPriority,
    SetTimer,
    StartAttempt,
)
from umberusher.decisions.events import AttemptOutcome, Event, TimerFired
from umberusher.net.loop import Loop
from umberusher.pipeline.request_registry import RequestRegistry
from umberusher.upstream.upstream import Upstream

if TYPE_CHECKING:  # Saves memory: only brokers that enforce contracts import the module.
    from umberusher.pipeline.contracts import ContractEnforcer

log = logging.getLogger(__name__)


class ActionDispatcher:
    """Passes each action to the component that executes it.

    Attributes:
        handlers: The function that executes an action, by the action's type.
    """

    __slots__ = ("_contracts", "_loop", "_post", "_registry", "_upstream", "handlers")

    def __init__(
        self,
        loop: Loop,
        post: Callable[[Event], None],
        registry: RequestRegistry,
        upstream: Upstream,
        contracts: ContractEnforcer | None,
    ) -> None:
        self._loop = loop
        self._post = post
        self._registry = registry
        self._upstream = upstream
        self._contracts = contracts
        self.handlers: dict[type, Callable[[Any], None]] = {
            StartAttempt: self._start_attempt,
            CancelAttempt: self._cancel_attempt,
            RejectRequest: registry.reject,
            FailRequest: registry.fail,
            CheckHealth: self._check_health,
            SetPriority: self._set_priority,
            SetTimer: self._set_timer,
        }

    def _start_attempt(self, action: StartAttempt) -> None:
        request = self._registry.requests.get(action.request)
        if request is None:
            log.error("attempt_of_unknown_request request=%s", action.request)
            return
        if self._contracts is not None and request.attempt_count:
            self._contracts.count_retry(request.request_id)
        self._upstream.attempts.start(request, action.engine, action.timeout_ms)

    def _cancel_attempt(self, action: CancelAttempt) -> None:
        request = self._registry.requests.get(action.request)
        attempt = request.attempt if request else None
        if attempt and attempt.number == action.attempt:
            self._upstream.attempts.give_up(attempt, AttemptOutcome.CANCELLED)

    def _set_priority(self, action: SetPriority) -> None:
        request = self._registry.requests.get(action.request)
        if request:
            self._upstream.attempts.set_priority(request, action.priority)

    def _check_health(self, action: CheckHealth) -> None:
        self._upstream.health_checks.start(action.engine)

    def _set_timer(self, action: SetTimer) -> None:
        self._loop.call_later(action.delay_ms, lambda: self._post(TimerFired(action.token)))
