"""The watch on the endpoint list: started with the load balancer, restarted after a failure."""

from __future__ import annotations

from umberusher.decisions.actions import Action, SetTimer, WatchEndpoints

TIMER_TOKEN = "list"
# Delay before the watch is restarted after a failure.
RETRY_DELAY_MS = 1_000.0


class EndpointWatch:
    """Requests the watch from the broker, if the settings enable it."""

    def __init__(self, enabled: bool, actions: list[Action]) -> None:
        self._enabled = enabled
        self._actions = actions

    def start(self) -> None:
        """Request the endpoint list and its updates."""
        if self._enabled:
            self._actions.append(WatchEndpoints(True))

    def retry_later(self) -> None:
        """Request the endpoint list again after a delay."""
        self._actions.append(SetTimer(TIMER_TOKEN, RETRY_DELAY_MS))
