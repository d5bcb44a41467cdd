"""Placement: queued requests are sent to the engines chosen for them."""

from __future__ import annotations

from umberusher.decisions.actions import Action, StartAttempt
from umberusher.decisions.attempts_in_flight import AttemptsInFlight
from umberusher.decisions.eligibility import Eligibility
from umberusher.decisions.engine import Engine
from umberusher.decisions.engine_choice import EngineChoice
from umberusher.decisions.key_order import KeyOrder
from umberusher.decisions.latency_estimates import LatencyEstimates
from umberusher.decisions.priorities import Priorities
from umberusher.decisions.request import Request
from umberusher.decisions.request_queue import RequestQueue
from umberusher.decisions.retry_budget import RetryBudget
from umberusher.decisions.stalled_attempts import StalledAttempts

# Failed placement attempts for each class in one pass over the queue.
MAX_PLACEMENT_ATTEMPTS = 4
# The same limit summed over all brokers: with many brokers, each makes fewer attempts.
MAX_FLEET_PLACEMENT_ATTEMPTS = 256


class Placement:
    """Sends queued requests to engines, in the order of the queue."""

    def __init__(
        self,
        broker_count: int,
        queue: RequestQueue,
        key_order: KeyOrder,
        choice: EngineChoice,
        eligibility: Eligibility,
        estimates: LatencyEstimates,
        in_flight: AttemptsInFlight,
        retry_budget: RetryBudget,
        stalled_attempts: StalledAttempts,
        priorities: Priorities,
        actions: list[Action],
    ) -> None:
        fleet_share = max(1, int(MAX_FLEET_PLACEMENT_ATTEMPTS // broker_count))
        self._max_attempts = min(MAX_PLACEMENT_ATTEMPTS, fleet_share)
        self._queue = queue
        self._key_order = key_order
        self._choice = choice
        self._eligibility = eligibility
        self._estimates = estimates
        self._in_flight = in_flight
        self._retry_budget = retry_budget
        self._stalled_attempts = stalled_attempts
        self._priorities = priorities
        self._actions = actions

    def place_queued(self, now_ms: float) -> None:
        """Send every queued request for which an engine is found.

        A class is skipped after a few failed placement attempts.
        """
        if not self._queue.requests:
            return
        misses: dict[str, int] = {}
        for request in self._queue.requests.copy():
            class_name = request.query_class.name
            class_misses = misses.get(class_name, 0)
            if (
                class_misses >= self._max_attempts
                or now_ms < request.health_check_until
                or self._key_order.must_wait(request, now_ms)
            ):
                continue
            engine = self._choice.choose(request, now_ms)
            if engine is not None and self._send(request, engine, now_ms):
                self._queue.remove(request)
            else:
                misses[class_name] = class_misses + 1

    def _send(self, request: Request, engine: Engine, now_ms: float) -> bool:
        """Send an attempt; return False if the rules do not allow it."""
        if not self._eligibility.may_send(request, engine, now_ms):
            return False
        expected_ms = self._estimates.expected_ms(request)
        self._priorities.announce(request)
        timeout_ms = self._stalled_attempts.timeout_ms(request, expected_ms)
        self._actions.append(StartAttempt(request.id, engine.id, timeout_ms))
        if request.attempts_sent:
            self._retry_budget.count_retry(now_ms)
        self._in_flight.start(request, engine, now_ms, expected_ms)
        request.slow_start_grant = None
        return True
