"""The load balancer: dispatches each event to the components and returns their actions.

The mechanism is that of "Dynamic Scope of Control in Decentralized Job Scheduling";
``docs/design.md`` describes what was kept of it, what was added, and when each addition applies.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from typing import Any

from umberusher.decisions import endpoint_watch, wake_up_timer
from umberusher.decisions.abandonment import Abandonment
from umberusher.decisions.actions import Action, FailRequest
from umberusher.decisions.arrival_rate import ArrivalRate
from umberusher.decisions.attempt_outcomes import AttemptOutcomes
from umberusher.decisions.attempts_in_flight import AttemptsInFlight
from umberusher.decisions.concurrency_limit import ConcurrencyLimit
from umberusher.decisions.control_sets import ControlSets
from umberusher.decisions.eligibility import Eligibility
from umberusher.decisions.endpoint_watch import EndpointWatch
from umberusher.decisions.engine import Engine
from umberusher.decisions.engine_choice import EngineChoice
from umberusher.decisions.engine_pool import EnginePool
from umberusher.decisions.events import (
    AttemptEnded,
    AttemptProgress,
    ClientDisconnected,
    EndpointListFailed,
    EndpointListUpdate,
    Event,
    HealthCheckEnded,
    RequestArrived,
    ResponseStarted,
    Started,
    TimerFired,
)
from umberusher.decisions.health_checks import HealthChecks
from umberusher.decisions.key_order import KeyOrder
from umberusher.decisions.latency_estimates import LatencyEstimates
from umberusher.decisions.load_estimates import LoadEstimates
from umberusher.decisions.open_requests import OpenRequests
from umberusher.decisions.outlier_detection import OutlierDetection
from umberusher.decisions.placement import Placement
from umberusher.decisions.priorities import Priorities
from umberusher.decisions.request import Request
from umberusher.decisions.request_queue import RequestQueue
from umberusher.decisions.request_review import RequestReview
from umberusher.decisions.retry_budget import RetryBudget
from umberusher.decisions.settings import Settings
from umberusher.decisions.slow_start import SlowStart
from umberusher.decisions.stalled_attempts import StalledAttempts
from umberusher.decisions.tenant_quotas import TenantQuotas
from umberusher.decisions.wake_up_timer import WakeUpTimer


class LoadBalancer:
    """The decisions of one broker; instances share nothing.

    Times are milliseconds of the caller's clock. All random draws come from one generator, in a
    fixed order, so that equal events at equal times give equal actions.

    Attributes:
        settings: The settings of this load balancer.
        random: The generator of all draws.
        queue: The requests that wait for an engine.
    """

    def __init__(
        self,
        settings: Settings,
        seed: int,
        team_retry_budget: Callable[[str], bool] | None = None,
    ) -> None:
        """Create a load balancer that knows no engines.

        Args:
            settings: The classes, limits and rules.
            seed: Seed of its random draws.
            team_retry_budget: Returns whether the retry budget of a request's team allows one
                more retry, by request id.
        """
        self.settings = settings
        self.random = random.Random(seed)
        self.classes = {item.name: item for item in settings.classes}
        self._now_ms = -math.inf
        self._actions: list[Action] = []
        broker_count = max(settings.broker_count or 1, 1)
        self._build_state(settings, broker_count, team_retry_budget)
        self._build_placement(settings, broker_count)
        self._build_reactions(settings)
        self._handlers: dict[type[Event], Callable[[Any, float], None]] = {
            Started: self._on_started,
            EndpointListUpdate: self._on_endpoint_list_update,
            EndpointListFailed: self._on_endpoint_list_failed,
            RequestArrived: self._on_request_arrived,
            ResponseStarted: self._on_response_started,
            AttemptProgress: self._on_attempt_progress,
            AttemptEnded: self._on_attempt_ended,
            ClientDisconnected: self._on_client_disconnected,
            TimerFired: self._on_timer_fired,
            HealthCheckEnded: self._on_health_check_ended,
        }

    def _build_state(
        self,
        settings: Settings,
        broker_count: int,
        team_retry_budget: Callable[[str], bool] | None,
    ) -> None:
        """Build the components that hold state; each uses only those before it."""
        rules = settings.rules
        self.arrivals = ArrivalRate()
        self.estimates = LatencyEstimates(settings.classes)
        self.queue = RequestQueue(self.estimates)
        self.key_order = KeyOrder(rules.key_cool_down_ms)
        self.quotas = TenantQuotas(settings, broker_count)
        self.in_flight = AttemptsInFlight(settings.classes)
        self.retry_budget = RetryBudget(rules, settings.connect_timeout_ms)
        self.control_sets = ControlSets()
        self.pool = EnginePool(
            settings, broker_count, self.control_sets, self.arrivals, self.random
        )
        self.slow_start = SlowStart(rules, self.pool, self.estimates, self.random)
        self.loads = LoadEstimates(self.pool, self.slow_start)
        self.concurrency_limit = ConcurrencyLimit(
            self.pool, self.in_flight, self.estimates, self.loads, self.arrivals, self.queue
        )
        self.stalled_attempts = StalledAttempts(self.estimates)
        self.outliers = OutlierDetection(self.pool)
        self.eligibility = Eligibility(
            settings, self.key_order, self.retry_budget, self.slow_start, team_retry_budget
        )

    def _build_placement(self, settings: Settings, broker_count: int) -> None:
        """Build the components that send queued requests to engines."""
        limits = settings.limits
        actions = self._actions
        self.open_requests = OpenRequests(limits, self.queue, self.key_order, actions)
        self.priorities = Priorities(limits, self.estimates, actions)
        self.health_checks = HealthChecks(
            limits, self.pool, self.estimates, self.loads, self.queue, actions
        )
        self.choice = EngineChoice(
            self.pool,
            self.eligibility,
            self.slow_start,
            self.outliers,
            self.loads,
            self.concurrency_limit,
            self.health_checks,
            self.random,
        )
        self.placement = Placement(
            broker_count,
            self.queue,
            self.key_order,
            self.choice,
            self.eligibility,
            self.estimates,
            self.in_flight,
            self.retry_budget,
            self.stalled_attempts,
            self.priorities,
            actions,
        )

    def _build_reactions(self, settings: Settings) -> None:
        """Build the components that react to attempts, timers and the endpoint list."""
        limits = settings.limits
        actions = self._actions
        self.review = RequestReview(
            settings,
            self.estimates,
            self.queue,
            self.key_order,
            self.open_requests,
            self.priorities,
            actions,
        )
        self.abandonment = Abandonment(limits, self.eligibility, actions)
        self.outcomes = AttemptOutcomes(
            limits,
            self.in_flight,
            self.open_requests,
            self.queue,
            self.key_order,
            self.eligibility,
            self.retry_budget,
            self.estimates,
            self.loads,
            self.concurrency_limit,
            self.control_sets,
            self.outliers,
            self.stalled_attempts,
        )
        self.watch = EndpointWatch(settings.watch_endpoints, actions)
        self.timer = WakeUpTimer(self.review, self.queue, self.arrivals, actions)

    @property
    def engines(self) -> dict[str, Engine]:
        """All known engines by id."""
        return self.pool.engines

    @property
    def up(self) -> list[Engine]:
        """The engines that may be selected."""
        return self.pool.up

    @property
    def requests(self) -> dict[str, Request]:
        """The open requests by id."""
        return self.open_requests.requests

    def ejected_endpoints(self, now_ms: float) -> set[str]:
        """Return the ids of the engines that are up but ejected."""
        return self.outliers.ejected(now_ms)

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Process one event; return the resulting actions in order.

        A time before that of an earlier event counts as that time. This method is not reentrant.
        """
        now_ms = max(self._now_ms, now_ms)
        self._now_ms = now_ms
        self._actions.clear()
        self._handlers[type(event)](event, now_ms)
        self.timer.set(now_ms)
        return self._actions.copy()

    def _on_started(self, _event: Started, _now_ms: float) -> None:
        self.watch.start()

    def _on_endpoint_list_failed(self, _event: EndpointListFailed, _now_ms: float) -> None:
        self.watch.retry_later()

    def _on_endpoint_list_update(self, event: EndpointListUpdate, now_ms: float) -> None:
        self.pool.apply(event, now_ms)
        self.loads.invalidate()
        self.placement.place_queued(now_ms)

    def _on_timer_fired(self, event: TimerFired, now_ms: float) -> None:
        if event.token == endpoint_watch.TIMER_TOKEN:
            self.watch.start()
        elif event.token == wake_up_timer.TIMER_TOKEN:
            self.review.review(now_ms)
            self.placement.place_queued(now_ms)

    def _on_request_arrived(self, event: RequestArrived, now_ms: float) -> None:
        query_class = self.classes.get(event.query_class)
        if query_class is None:
            self._actions.append(FailRequest(event.request))
            return
        if event.request in self.open_requests.requests:
            return
        weight = query_class.priority_weight * self.quotas.consume(event.tenant, now_ms)
        request = Request(event, query_class, weight, now_ms)
        self.open_requests.add(request)
        if event.retry_budget_eligible:
            self.retry_budget.count_arrival(now_ms)
        self.health_checks.observe_arrival()
        self.estimates.observe_arrival(request)
        self.key_order.join(request)
        self.arrivals.observe_arrival(now_ms)
        self.pool.extend_subset()
        self.review.add(request)
        self.queue.add(request)
        self.placement.place_queued(now_ms)
        self.health_checks.check_due_engines(now_ms)

    def _on_response_started(self, event: ResponseStarted, _now_ms: float) -> None:
        request = self.open_requests.requests.get(event.request)
        if request is not None:
            request.streaming = True

    def _on_attempt_progress(self, event: AttemptProgress, now_ms: float) -> None:
        request = self.open_requests.requests.get(event.request)
        if request is None:
            return
        attempt = request.in_flight.get(event.attempt)
        if attempt is not None:
            self.abandonment.observe_progress(request, attempt, event, now_ms)

    def _on_attempt_ended(self, event: AttemptEnded, now_ms: float) -> None:
        attempt = self.outcomes.observe_end(event, now_ms)
        if attempt is None:
            return
        if not attempt.engine.listed:
            self.pool.forget_removed()
        self.placement.place_queued(now_ms)

    def _on_client_disconnected(self, event: ClientDisconnected, _now_ms: float) -> None:
        request = self.open_requests.requests.get(event.request)
        if request is not None:
            self.open_requests.end(request)

    def _on_health_check_ended(self, event: HealthCheckEnded, now_ms: float) -> None:
        engine = self.pool.engines.get(event.engine)
        if engine is None:
            return
        self.health_checks.observe_end(engine, event)
        self.outliers.observe_health_check(engine, event.outcome, now_ms)
        if event.report:
            self.outcomes.observe_report(engine, event.report, now_ms)
            self.placement.place_queued(now_ms)
