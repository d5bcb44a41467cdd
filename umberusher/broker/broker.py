"""The broker process: connects its components and passes events to the load balancer."""

from __future__ import annotations

import gc
import logging
import time
from collections import deque
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from umberusher.admin.server import AdminServer
from umberusher.broker.action_dispatch import ActionDispatcher
from umberusher.broker.admin_backend import BrokerAdminBackend
from umberusher.broker.memory_pressure import ProcessMemory, SharedLimits, resident_mb
from umberusher.broker.readiness import Readiness
from umberusher.broker.reload import ConfigReloader
from umberusher.broker.restart_host import BrokerRestartHost
from umberusher.broker.shutdown import GracefulShutdown, ShutdownRequest
from umberusher.config import Config
from umberusher.deadlines.timeline import Timeline
from umberusher.decisions.actions import Action, FailRequest
from umberusher.decisions.balancer import LoadBalancer
from umberusher.decisions.events import (
    AttemptEnded,
    AttemptOutcome,
    Event,
    RequestArrived,
    Started,
)
from umberusher.decisions.settings import Idempotency
from umberusher.discovery.client import DiscoveryClient
from umberusher.endpoints.registry import EndpointRegistry
from umberusher.frontend.call_decoder import RequestSchema
from umberusher.frontend.key_arrivals import KeyArrivals
from umberusher.frontend.thrift_frontend import ThriftFrontend
from umberusher.hot_restart.hot_restart import HotRestart
from umberusher.hot_restart.key_ownership import KeyOwnership
from umberusher.hot_restart.request_ids import RequestIds
from umberusher.hot_restart.successor import HandoverRefused, HandoverState, request_handover
from umberusher.net.loop import Loop
from umberusher.net.memory_account import MemoryAccount, SharedMemory
from umberusher.pipeline.admission import RequestAdmission
from umberusher.pipeline.request_registry import RequestRegistry
from umberusher.upstream.context import UpstreamSettings
from umberusher.upstream.upstream import Upstream

if TYPE_CHECKING:  # Saves memory: only brokers that enforce contracts import the module.
    from umberusher.pipeline.contracts import ContractEnforcer

log = logging.getLogger(__name__)

RESERVED_DESCRIPTORS = 48
"""Descriptors for listeners, the event loop, the discovery service, admin clients and stdio."""

ENGINE_DESCRIPTOR_FRACTION = 0.3
"""The share of the other descriptors that engine connections may use."""

SWEEP_INTERVAL_MS = 100.0


class Broker:
    """One broker process.

    Attributes:
        config: The configuration.
        loop: The event loop.
        timeline: Converts between the clocks and the broker's time.
        now_ms: Returns the broker's time in milliseconds.
        contracts: Enforces the teams' contracts; None without contracts.
        memory: The account of all memory that peers make this process hold.
        action_handlers: The function that executes an action, by the action's type.
    """

    def __init__(
        self,
        config: Config,
        loop: Loop | None = None,
        unix_clock: Callable[[], float] = time.time,
        load_config: Callable[[], Config] | None = None,
        handover_path: str | None = None,
        memory_mb: Callable[[], float] = resident_mb,
        make_contracts: Callable[[Timeline], ContractEnforcer] | None = None,
        receipts: bool = False,
    ) -> None:
        """Create a broker; it opens no socket before ``start``.

        Args:
            config: The configuration.
            loop: The event loop.
            unix_clock: Unix time in seconds.
            load_config: Reads the configuration for a reload; raises ConfigError.
            handover_path: Path of the Unix sockets for hot restart; None without hot restart.
            memory_mb: Returns the memory of this process. Tests replace it, since a test process
                holds more memory than a broker.
            make_contracts: Creates the enforcer of the teams' contracts; None without contracts.
            receipts: Whether each request to an engine requests a receipt.
        """
        self.config = config
        self.loop = loop or Loop()
        self._unix_clock = unix_clock
        self.timeline = Timeline(self.loop.clock, unix_clock)
        self.now_ms = self.timeline.now_ms
        self.contracts = make_contracts(self.timeline) if make_contracts else None
        self._events: deque[Event] = deque()
        self._is_handling_events = False
        self._shutdown_request = ShutdownRequest(self.loop.clock)
        self._process_memory = ProcessMemory(config.memory_mb, memory_mb)
        self.memory = MemoryAccount(self._process_memory.headroom_bytes)
        self.loop.add_deferred_work(self.memory)
        descriptors = config.max_descriptors - RESERVED_DESCRIPTORS
        engine_descriptors = int(descriptors * ENGINE_DESCRIPTOR_FRACTION)
        self._wire_decisions()
        self._wire_upstream(engine_descriptors, receipts)
        self._wire_frontend(descriptors - engine_descriptors)
        self._wire_hot_restart(handover_path, memory_mb)
        self._wire_operation(load_config or (lambda: config))

    # -- Construction

    def _wire_decisions(self) -> None:
        config = self.config
        may_retry = self.contracts.may_retry if self.contracts else None
        self.balancer = LoadBalancer(config.settings, config.seed, may_retry)
        self.registry = RequestRegistry(
            self.post,
            self.now_ms,
            config.settings.classes,
            self.contracts,
            SharedMemory(self.memory),
        )
        self.endpoints = EndpointRegistry(
            self.post,
            self.timeline.unix_ms,
            self.timeline.from_unix_ms,
            config.settings,
            config.name,
        )
        self.discovery = DiscoveryClient(
            self.loop,
            config.discovery,
            lambda: self.endpoints.revision,
            self.endpoints.apply,
            config.max_list_bytes,
            Random(f"{config.seed:x} {config.name}"),
            SharedMemory(self.memory),
        )
        self.loop.on_stall = self.discovery.catch_up
        self.readiness = Readiness(
            self.loop.clock, self.endpoints, self.discovery, self.balancer, self._shutdown_request
        )

    def _wire_upstream(self, max_connections: int, receipts: bool) -> None:
        config = self.config
        limits = config.settings.limits
        self.upstream = Upstream(
            self.loop,
            self.endpoints,
            self.registry,
            self.now_ms,
            self.post,
            UpstreamSettings(
                max_attempts_per_connection=config.max_requests_per_connection,
                connect_timeout_ms=config.connect_timeout_ms,
                keepalive_ms=config.keepalive_ms,
                max_connections=max_connections,
                cancellation=limits.cancellation,
                receipts=receipts,
                health_checks=limits.health_checks,
            ),
            SharedMemory(self.memory),
        )
        dispatcher = ActionDispatcher(
            self.loop, self.post, self.registry, self.upstream, self.contracts
        )
        self.action_handlers = dispatcher.handlers

    def _wire_frontend(self, max_clients: int) -> None:
        config = self.config
        limits = config.settings.limits
        self.admission = RequestAdmission(
            self.loop.clock,
            self.registry,
            self.upstream.attempts,
            self.post,
            config.max_open_requests,
            limits.max_retry_after_ms if limits.retry_after else None,
            self.contracts,
        )
        self.key_arrivals = KeyArrivals()
        self.key_ownership = KeyOwnership(
            self.loop.clock,
            lambda key: self.balancer.key_order.is_idle(key, self.now_ms()),
            self.key_arrivals.admits,
        )
        self.request_ids = RequestIds(self.registry)
        self.frontend = ThriftFrontend(
            self.loop,
            self.admission,
            self.now_ms,
            lambda: self.timeline.at_ms(self.loop.oldest_input_at_s),
            self._unix_clock,
            self.readiness.accepts_clients,
            max_clients,
            RequestSchema(config.settings),
            self.key_arrivals,
            self.key_ownership,
            self.request_ids,
            config.memory_mb,
            self.memory,
            None if self.contracts is None else self.contracts.origin,
        )

    def _wire_hot_restart(self, path: str | None, memory_mb: Callable[[], float]) -> None:
        self.restart_host = BrokerRestartHost(
            self.endpoints,
            self.frontend,
            self.upstream,
            self.contracts,
            self._shutdown_request,
            memory_mb,
            self.key_ownership,
            self.request_ids,
        )
        self.hot_restart = HotRestart(
            self.loop, path, self.restart_host, self.config.max_list_bytes
        )
        self.endpoints.subscribe(
            on_watch_event=self.hot_restart.publish_watch_event,
            on_manual_drain=self.hot_restart.publish_manual_drain,
        )

    def _wire_operation(self, load_config: Callable[[], Config]) -> None:
        config = self.config
        self.shared_limits = SharedLimits(
            self._process_memory,
            self.memory,
            self.hot_restart,
            self.registry,
            self.admission,
            self.frontend,
            self.upstream,
        )
        self.shutdown = GracefulShutdown(
            self._shutdown_request,
            config.settings.classes,
            self.registry,
            self.admission,
            self.frontend,
            self.hot_restart,
        )
        self.reloader = ConfigReloader(config, load_config, self.discovery, self.contracts)
        self.admin_backend = BrokerAdminBackend(
            self.now_ms,
            config.settings.classes,
            self.readiness,
            self.balancer,
            self.endpoints,
            self.registry,
            self.upstream,
            self.contracts,
        )
        self.admin = AdminServer(
            self.loop, self.now_ms, self.admin_backend, SharedMemory(self.memory)
        )

    # -- Event handling

    def post(self, event: Event) -> None:
        """Pass an event to the load balancer, after those that are already being handled."""
        if isinstance(event, AttemptEnded) and not self.endpoints.subset.covers_all:
            self._include_companions(event)
        self._events.append(event)
        if self._is_handling_events:
            return
        self._is_handling_events = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_handling_events = False

    def _include_companions(self, event: AttemptEnded) -> None:
        """Add the engines to the subset where a request that may have run may be retried.

        The load balancer must know these engines before it handles the end of the attempt.
        """
        if event.outcome is AttemptOutcome.SUCCEEDED:
            return
        request = self.registry.requests.get(event.request)
        if request is None:
            return
        query_class = self.balancer.classes.get(request.arrival.query_class)
        if query_class is None or query_class.idempotency is not Idempotency.KEYED:
            return
        window_ms = query_class.deduplication_window_ms
        if window_ms is not None:
            self.endpoints.include_companions(
                event.engine, query_class.deduplication_scope, window_ms
            )

    def _handle(self, event: Event) -> None:
        try:
            actions = self.balancer.handle(self.now_ms(), event)
        except Exception:
            log.exception("balancer_failed event=%s", type(event).__name__)
            actions = _actions_after_failure(event)
        for action in actions:
            handler = self.action_handlers.get(type(action))
            if handler:
                handler(action)
            else:
                log.debug("action_ignored action=%s", type(action).__name__)
        self.registry.discard_closed(event)

    # -- Start and end

    def start(self) -> None:
        """Open the listeners, apply the initial endpoints and start polling discovery.

        Raises:
            OSError: An address can't be bound.
        """
        self.post(Started())
        for event in self.config.initial_endpoints:
            self.endpoints.apply(event)
        if self.config.admin:
            self.admin.listen(self.config.admin)
        handover = self._request_handover()
        if handover is None:
            self._start_accepting()
        else:
            log.info("hot_restart_taking_over")
            self.restart_host.restore(handover)
            self.hot_restart.join(handover)
        self._listen_for_teams()
        self.discovery.start()
        self.sweep()

    def _request_handover(self) -> HandoverState | None:
        """Return the state from a predecessor; None where this process starts without one."""
        path = self.hot_restart.listener.path
        if path is None:
            return None
        try:
            return request_handover(path, max_list_bytes=self.config.max_list_bytes)
        except HandoverRefused as error:
            log.warning("hot_restart_handover_refused reason=%s", error.reason)
            return None

    def _start_accepting(self) -> None:
        self.frontend.listen(self.config.listen)
        self.readiness.is_serving = True
        self.hot_restart.listen()

    def _listen_for_teams(self) -> None:
        """Open the additional ports that the teams' contracts name."""
        if self.contracts is not None:
            host = self.config.listen[0]
            for port in self.contracts.contract.teams_by_port:
                self.frontend.listen_additionally((host, port))

    def _take_over_accepting(self) -> None:
        """Accept clients in place of the predecessor once the endpoint list is up to date.

        The list that was handed over may be older than the last answer of the discovery service.
        A process that is shutting down leaves accepting clients to the predecessor.
        """
        if self.readiness.is_serving or not self.readiness.accepts_clients():
            return
        self.readiness.is_serving = True
        self.frontend.set_paused(False)
        self.hot_restart.announce_ready()
        log.info("hot_restart_accepting")

    def sweep(self) -> None:
        """Run the periodic tasks."""
        # The next sweep is scheduled first: an exception below must not end the sweeps, since
        # the shutdown depends on them.
        self.loop.call_later(SWEEP_INTERVAL_MS, self.sweep)
        self.reloader.run_if_requested()
        if not self.loop.catching_up:
            # While the loop catches up after a stall, unread input may be pending: the peers that
            # sent it must not be closed as silent.
            self.frontend.sweep()
            self.upstream.sweep()
        self.admin.sweep()
        self.readiness.log_start()
        if self.contracts is not None:
            self.contracts.sweep()
        self.registry.finished_ids.forget_old()
        self.shared_limits.update()
        self.key_ownership.sweep()
        self._take_over_accepting()
        if self.shutdown.advance():
            self.loop.running = False

    def request_shutdown(self) -> None:
        """Request a graceful shutdown; safe to call from a signal handler."""
        self.shutdown.request()

    def request_reload(self) -> None:
        """Request a reload at the next sweep; safe to call from a signal handler."""
        self.reloader.request()

    def run(self) -> None:
        """Serve until shutdown was requested and all admitted requests are answered.

        Raises:
            OSError: An address can't be bound.
        """
        self.start()
        host, port = self.config.listen
        log.info("broker_listening name=%s address=%s:%d", self.config.name, host, port)
        gc.freeze()
        self.loop.run()
        self.close()
        log.info("broker_stopped outcomes=%s", dict(self.registry.outcome_counts))

    def close(self) -> None:
        """Close all sockets."""
        self.frontend.close()
        self.admin.close()
        self.hot_restart.close()
        self.discovery.close()
        self.upstream.close()
        self.loop.close()


def _actions_after_failure(event: Event) -> list[Action]:
    """Return the actions after an exception in the load balancer: a new request fails."""
    return [FailRequest(event.request)] if isinstance(event, RequestArrived) else []
