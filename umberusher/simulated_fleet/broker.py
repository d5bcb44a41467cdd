"""A simulated broker: the real discovery client, endpoint registry and load balancer.

The wiring is that of ``broker.broker``: events go to the load balancer one at a time, and its
actions are executed on simulated engines. A script submits the statements.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any, Protocol

from umberusher.deadlines.timeline import Timeline
from umberusher.decisions.actions import (
    CancelAttempt,
    CheckHealth,
    FailRequest,
    RejectRequest,
    SetTimer,
    StartAttempt,
)
from umberusher.decisions.balancer import LoadBalancer
from umberusher.decisions.events import (
    AttemptOutcome,
    Event,
    HealthCheckEnded,
    LoadReport,
    Started,
    TimerFired,
)
from umberusher.decisions.settings import Settings
from umberusher.discovery.client import DiscoveryClient
from umberusher.endpoints.directory import Endpoint
from umberusher.endpoints.registry import EndpointRegistry
from umberusher.net.loop import Loop, Timer
from umberusher.protocol.discovery import WatchEvent, max_answer_bytes
from umberusher.simulated_fleet.client_statements import CONNECT_TIMEOUT_MS, ClientStatements
from umberusher.simulated_fleet.engines import SimulatedEngines
from umberusher.simulated_fleet.rule_checker import RuleChecker
from umberusher.simulated_fleet.statement_counts import StatementCounts, StatementOutcome

# The memory limit by which a broker bounds the endpoint list.
MEMORY_MB = 256.0
# Duration of a successful health check.
HEALTH_CHECK_MS = 1.0
# The timeout of a health check of an engine that does not respond.
HEALTH_CHECK_TIMEOUT_MS = 500.0


class BrokerObserver(Protocol):
    """Receives events of a simulated broker."""

    def list_updated(self, broker: SimulatedBroker, before: int, after: int) -> None:
        """Handle the change of a broker's endpoint list from one revision to another."""

    def statement_served(self, broker: SimulatedBroker, class_name: str, engine: str) -> None:
        """Handle a served statement."""


@dataclass(frozen=True, slots=True)
class BrokerIdentity:
    """A broker's name, its region's number, and the seed of its decisions."""

    name: str
    region: int
    seed: int


class SimulatedBroker:
    """One broker; see ``broker.broker.Broker`` for the real one.

    Args:
        loop: The event loop of the process.
        unix_clock: Returns Unix time in seconds.
        identity: Name, region and seed.
        settings: The broker's configuration.
        engines: The engines that it sends to.
        checker: Is notified of requests, attempts and final answers.
        counts: Counts the outcomes of statements.
        observer: Is notified of list updates and served statements.
    """

    def __init__(
        self,
        loop: Loop,
        unix_clock: Callable[[], float],
        identity: BrokerIdentity,
        settings: Settings,
        engines: SimulatedEngines,
        checker: RuleChecker,
        counts: StatementCounts,
        observer: BrokerObserver,
    ) -> None:
        self.loop = loop
        self.name = identity.name
        self.region = identity.region
        self._engines = engines
        self._observer = observer
        self._timeline = Timeline(loop.clock, unix_clock)
        # Engines with a connection, and when each was last used, in ms.
        self.connections: dict[str, float] = {}
        self.balancer = LoadBalancer(settings, identity.seed)
        self.endpoints = EndpointRegistry(
            self.post, self._timeline.unix_ms, self._timeline.from_unix_ms, settings, self.name
        )
        self.endpoints.subscribe(on_closed=self._endpoint_closed)
        classes = {query_class.name: query_class for query_class in settings.classes}
        self.statements = ClientStatements(self, classes, engines, checker, counts)
        self._events: deque[Event] = deque()
        self._dispatching = False
        self.closed = False
        # The next step of the script that submits statements.
        self.script_timer: Timer | None = None
        self.started_at_s = loop.clock()
        self.ready_at_s: float | None = None
        self._discovery: DiscoveryClient | None = None
        self._handlers = self._action_handlers()

    def _action_handlers(self) -> dict[type, Callable[[Any], object]]:
        statements = self.statements
        return {
            StartAttempt: statements.start_attempt,
            CancelAttempt: statements.cancel_attempt,
            RejectRequest: lambda action: statements.finish(
                action.request, StatementOutcome.REJECTED
            ),
            FailRequest: lambda action: statements.finish(action.request, StatementOutcome.FAILED),
            CheckHealth: self._check_health,
            SetTimer: self._set_timer,
        }

    def start(self, discovery_address: tuple[str, int]) -> None:
        """Start and follow the endpoint list."""
        self._discovery = DiscoveryClient(
            self.loop,
            discovery_address,
            lambda: self.endpoints.revision,
            self._apply,
            max_answer_bytes(MEMORY_MB),
            Random(self.name),
        )
        self.post(Started())
        self._discovery.start()

    def close(self) -> None:
        """Stop without notifying any peer, like a process that exits."""
        self.closed = True
        if self._discovery is not None:
            self._discovery.close()
        if self.script_timer is not None:
            self.script_timer.cancel()
        self.statements.close()

    def _apply(self, watch_event: WatchEvent) -> None:
        before = self.endpoints.revision
        self.endpoints.apply(watch_event)
        if self.ready_at_s is None and self.balancer.up:
            self.ready_at_s = self.loop.clock()
        self._observer.list_updated(self, before, self.endpoints.revision)

    def post(self, event: Event) -> None:
        """Pass an event to the load balancer and execute its actions.

        An event that arises while actions are executed is queued: the load balancer is never
        re-entered.
        """
        self._events.append(event)
        if self._dispatching:
            return
        self._dispatching = True
        try:
            while self._events:
                for action in self.balancer.handle(self.now_ms(), self._events.popleft()):
                    handler = self._handlers.get(type(action))
                    if handler is not None:
                        handler(action)
        finally:
            self._dispatching = False

    def call_later(self, delay_ms: float, callback: Callable[[], None]) -> Timer:
        """Call back after ``delay_ms``, unless the broker has closed by then."""

        def call_if_open() -> None:
            if not self.closed:
                callback()

        return self.loop.call_later(delay_ms, call_if_open)

    def now_ms(self) -> float:
        """Return the time on the broker's timeline."""
        return self._timeline.now_ms()

    def is_listed(self, engine: str) -> bool:
        """Return whether the endpoint list allows sending to an engine."""
        return self.endpoints.find(engine) is not None

    def statement_served(self, class_name: str, engine: str) -> None:
        """Notify the observer of a served statement."""
        self._observer.statement_served(self, class_name, engine)

    def _endpoint_closed(self, endpoint: Endpoint) -> None:
        self.connections.pop(endpoint.engine, None)

    def _set_timer(self, action: SetTimer) -> None:
        self.call_later(action.delay_ms, lambda: self.post(TimerFired(action.token)))

    def _check_health(self, action: CheckHealth) -> None:
        engine = action.engine
        if self._engines.reachable(self._engines.numbers[engine], self.region):
            self.connections[engine] = self.now_ms()
            report = LoadReport(in_flight=self._engines.in_flight)
            succeeded = HealthCheckEnded(engine, AttemptOutcome.SUCCEEDED, HEALTH_CHECK_MS, report)
            self.call_later(HEALTH_CHECK_MS, lambda: self.post(succeeded))
        elif engine in self.connections:
            self.call_later(
                HEALTH_CHECK_TIMEOUT_MS,
                lambda: self._fail_health_check(engine, AttemptOutcome.TIMED_OUT),
            )
        else:
            self.call_later(
                CONNECT_TIMEOUT_MS,
                lambda: self._fail_health_check(engine, AttemptOutcome.NO_CONNECTION),
            )

    def _fail_health_check(self, engine: str, outcome: AttemptOutcome) -> None:
        self.connections.pop(engine, None)
        self.post(HealthCheckEnded(engine, outcome, HEALTH_CHECK_TIMEOUT_MS))

    def close_idle_connections(self, idle_ms: float) -> None:
        """Close connections that have not been used for ``idle_ms``."""
        used_since_ms = self.now_ms() - idle_ms
        self.connections = {
            engine: used_ms
            for engine, used_ms in self.connections.items()
            if used_ms >= used_since_ms
        }

    def state_counts(self) -> dict[str, int]:
        """Return the size of each kind of the broker's state, by its name in results."""
        balancer = self.balancer
        return {
            "listed": len(self.endpoints.directory),
            "engines of the module": len(balancer.engines),
            "ids remembered": len(self.endpoints.removed_ids),
            "statements": len(balancer.requests),
            "attempts": len(balancer.in_flight.attempts),
            "lines of keys": len(balancer.key_order.queues),
            "connections": len(self.connections),
        }
