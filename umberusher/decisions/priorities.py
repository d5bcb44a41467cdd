"""Priorities: the order in which an engine serves its queued requests."""

from __future__ import annotations

from umberusher.decisions.actions import Action, SetPriority
from umberusher.decisions.latency_estimates import LatencyEstimates
from umberusher.decisions.request import Request
from umberusher.decisions.settings import Limits

# Priorities on the wire, from the one served last to the one served first.
PAST_OBJECTIVE = 0
ORDINARY = 1
LOCKING = 2
SHORT = 3
# On the wire, 0 lets the engine choose the memory of a request.
ENGINE_CHOOSES_MB = 0.0


class Priorities:
    """Sets the priorities of requests, where engines support them."""

    def __init__(self, limits: Limits, estimates: LatencyEstimates, actions: list[Action]) -> None:
        self._limits = limits
        self._estimates = estimates
        self._actions = actions

    def announce(self, request: Request) -> None:
        """Announce the priority that a request has now."""
        if self._limits.set_priority:
            self.set(request, self._priority(request))

    def lower(self, request: Request) -> None:
        """Announce the lowest priority for a request past its objective."""
        if self._limits.set_priority:
            self.set(request, PAST_OBJECTIVE)

    def set(self, request: Request, priority: int) -> None:
        """Announce a priority if it differs from the one announced before."""
        if request.announced_priority != priority:
            request.announced_priority = priority
            self._actions.append(SetPriority(request.id, ENGINE_CHOOSES_MB, priority))

    def _priority(self, request: Request) -> int:
        if request.past_objective:
            return PAST_OBJECTIVE
        if self._estimates.is_short(request):
            return SHORT
        return LOCKING if request.query_class.locks_group else ORDINARY
