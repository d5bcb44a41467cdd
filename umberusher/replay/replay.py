"""One replay: runs brokers, stand-in engines, a discovery service and clients, and ends them.

With simulated time the brokers live on the same loop as the stand-ins; in real time each is a
process of its own (``umberusher serve``), which is ended however the replay ends.
"""

from __future__ import annotations

import contextlib
import gc
import logging
import time
from collections import Counter
from collections.abc import Callable, Iterator
from typing import Any

from umberusher.broker.broker import Broker
from umberusher.checker.checker import Checker
from umberusher.checker.events import EventKind, EventValue
from umberusher.checker.settings import RuleSettings
from umberusher.errors import UsageError
from umberusher.net.loop import Loop
from umberusher.replay import site
from umberusher.replay.brokers import BrokerHost, BrokerProcesses, InProcessBrokers
from umberusher.replay.client_driver import ClientDriver
from umberusher.replay.clock import ReplayClock
from umberusher.replay.engine_fleet import EngineFleet
from umberusher.replay.fault_injector import FaultInjector
from umberusher.replay.options import ClockKind, ReplayOptions
from umberusher.replay.requests import RequestFactory
from umberusher.replay.result import ReplayRecord, result_document
from umberusher.standin.client_pool import ClientPool
from umberusher.standin.clock import StepLoop
from umberusher.standin.deployment import DeploymentTerms
from umberusher.standin.discovery_service import DiscoveryService
from umberusher.traces.plan import Plan

READY_TIMEOUT_S = 10.0
"""Time for brokers to report that they are ready."""
READY_CHECK_INTERVAL_S = 0.1
CONNECTION_SETTLING_S = 0.5
"""Time after the clients have connected, before the replay starts."""
START_DELAY_S = 0.05
MAX_LAST_ANSWER_WAIT_S = 30.0
"""Maximum wait for answers after the last request; longer than the longest deadline."""
FINAL_EVENTS_WAIT_S = 0.2
"""Time after the last answer, so that the rules cover the lines that are in transit."""
CONNECTIONS_AT_START = 4
"""Client connections to each broker when the replay starts."""
MAX_WALL_STEP_MS = 50.0
MAX_STEP_MS = 1000.0
MAX_WAIT_STEP_MS = 100.0
MIN_WAIT_STEP_MS = 0.1
PROGRESS_INTERVAL_REQUESTS = 256
BROKER_MEMORY_MB = 192
UNLIMITED_MEMORY_MB = 1e6
"""Memory limit of brokers in this process, whose memory is shared with all other parties."""
SEED_STRIDE = 7919
"""Distance between the broker seeds of consecutive replay seeds, so that no two are equal."""

Progress = Callable[[int], None]
"""Called with the number of requests that have been started."""


def _ignore_progress(_started: int) -> None:
    """Show no progress."""


class Replay:
    """Starts the parties of one replay, plays the plan and closes the parties."""

    def __init__(
        self,
        plan: Plan,
        options: ReplayOptions,
        progress: Progress = _ignore_progress,
        on_parties_started: Callable[[Replay], None] | None = None,
        on_broker_closing: Callable[[Broker], None] | None = None,
    ) -> None:
        """Create the parties; nothing is started yet.

        Args:
            plan: The requests and machine events to play.
            options: The options of the replay.
            progress: Called with the number of requests that have been started.
            on_parties_started: Called before the brokers are ready; tests inject defects there.
            on_broker_closing: Called with each broker of this process before it closes.

        Raises:
            UsageError: The plan or the options can't be played.
        """
        _check_usable(plan, options)
        self.plan = plan
        self.options = options
        self.interrupted = False
        self.notes: Counter[str] = Counter()
        terms = site.DEPLOYMENT_TERMS[options.terms]
        self._terms = terms
        self._progress = progress
        self._on_parties_started = on_parties_started
        # Events that come from closing the parties are no part of the replay.
        self._closing = False
        self.loop: Loop
        self.broker_host: BrokerHost
        if options.clock == ClockKind.STEP:
            step_loop = StepLoop()
            self.loop = step_loop
            self.clock = ReplayClock(step_loop)
            self.broker_host = InProcessBrokers(options, step_loop, self.clock, on_broker_closing)
        else:
            self.loop = Loop(time.time)
            self.clock = ReplayClock(self.loop)
            self.broker_host = BrokerProcesses(options, self.loop)
        self.checker = Checker(_rule_settings(terms), options.keep_event_log)
        self.clients: list[ClientPool] = []
        self._discovery = DiscoveryService(self.loop, self._observe)
        self.fleet = EngineFleet(
            plan, options, terms, self.loop, self._discovery, self._observe, self.notes
        )
        factory = RequestFactory(plan, options, terms)
        self.driver = ClientDriver(plan, options, factory, self.clients, self.loop, self.clock)
        self._injector = FaultInjector(self.fleet, self.broker_host, self.clock, self.notes)

    def play(self) -> None:
        """Play the plan to its end; stop early, and record that, when interrupted."""
        with _garbage_collection_disabled():
            try:
                self._set_up()
                self._run()
            except KeyboardInterrupt:
                self.interrupted = True
            finally:
                if not self.interrupted:
                    self.checker.finish(self.clock.now_ms())
                self.close()

    def close(self) -> None:
        """Close all parties."""
        self._closing = True
        for pool in self.clients:
            pool.close()
        self.broker_host.close()
        self.fleet.close()
        self._discovery.close()
        self.loop.close()

    def document(self) -> dict[str, Any]:
        """Return the result as JSON."""
        return result_document(
            ReplayRecord(
                options=self.options,
                planned_count=len(self.plan),
                interrupted=self.interrupted,
                checker=self.checker,
                driver=self.driver,
                engines=list(self.fleet.engines.values()),
                brokers=self.broker_host.report,
                notes=self.notes,
            )
        )

    def _observe(self, kind: EventKind, *values: EventValue) -> None:
        """Pass an event of a stand-in to the checker."""
        if not self._closing:
            self.checker.feed(self.clock.now_ms(), kind, *values)

    def _set_up(self) -> None:
        """Start all parties and wait until the brokers are ready."""
        self.fleet.start()
        for number in range(self.options.broker_count):
            address = self.broker_host.start(self._broker_configuration(number))
            self.clients.append(ClientPool(self.loop, f"b{number}", address, self._observe))
        if self._on_parties_started:
            self._on_parties_started(self)
        self._wait_until_ready()
        for pool in self.clients:
            while len(pool.connections) < CONNECTIONS_AT_START and pool.connect():
                pass
        self._run_for(CONNECTION_SETTLING_S)

    def _wait_until_ready(self) -> None:
        timeout_s = self.loop.clock() + READY_TIMEOUT_S
        while not all(pool.ready for pool in self.clients):
            if self.loop.clock() > timeout_s or self.broker_host.any_ended():
                raise UsageError("a broker ended or did not become ready in time")
            for pool in self.clients:
                if not pool.ready:
                    pool.send_check()
            self._run_for(READY_CHECK_INTERVAL_S)

    def _run(self) -> None:
        """Play the plan from its first request to the last answer."""
        self.clock.start(START_DELAY_S)
        self._injector.schedule(self.options.faults, self.plan.machines)
        self.driver.schedule_arrivals()
        last_request_s = self.plan.columns["at_us"][-1] / 1e6 if len(self.plan) else 0.0
        end_ms = (last_request_s + MAX_LAST_ANSWER_WAIT_S) * 1000.0
        is_wall = self.options.clock == ClockKind.WALL
        max_step_ms = MAX_WALL_STEP_MS if is_wall else MAX_STEP_MS
        driver = self.driver
        reported_count = 0
        while not driver.all_started or driver.open_count:
            if self.clock.now_ms() >= end_ms:
                break
            self.loop.step(max_step_ms)
            if driver.started_count - reported_count >= PROGRESS_INTERVAL_REQUESTS:
                reported_count = driver.started_count
                self._progress(reported_count)
        self._progress(driver.started_count)
        self._run_for(FINAL_EVENTS_WAIT_S)

    def _run_for(self, duration_s: float) -> None:
        until_s = self.loop.clock() + duration_s
        while self.loop.clock() < until_s:
            remaining_ms = (until_s - self.loop.clock()) * 1000.0
            step_ms = max(remaining_ms, MIN_WAIT_STEP_MS)
            self.loop.step(min(MAX_WAIT_STEP_MS, step_ms))

    def _broker_configuration(self, number: int) -> dict[str, Any]:
        name = f"b{number}"
        host, port = self._discovery.listen(name)
        in_process = self.options.clock == ClockKind.STEP
        return {
            "name": name,
            "listen": "127.0.0.1:1",
            "seed": f"{(self.options.seed * SEED_STRIDE + number):016x}",
            "board": f"{host}:{port}",
            "known": self._discovery.snapshot(),
            "limits": {
                "cores": 1.0,
                "memory_mb": UNLIMITED_MEMORY_MB if in_process else BROKER_MEMORY_MB,
                "sockets": 1024,
            },
            "settings": site.settings(
                self.options.broker_count, number, self.options.cancellation, self._terms
            ),
        }


def run_replay(
    plan: Plan, options: ReplayOptions, progress: Progress = _ignore_progress
) -> dict[str, Any]:
    """Play a plan; return the result as JSON."""
    logging.getLogger("umberusher").setLevel(logging.ERROR)
    replay = Replay(plan, options, progress)
    started_s = time.monotonic()
    replay.play()
    document = replay.document() | {"took_s": round(time.monotonic() - started_s, 1)}
    if replay.checker.log is not None:
        document["log"] = replay.checker.log
    if options.keep_request_events:
        document["stories"] = replay.broker_host.report.request_events
    return document


def _check_usable(plan: Plan, options: ReplayOptions) -> None:
    unknown = [name for name in plan.classes if name not in site.CLASS_NAMES]
    if unknown:
        raise UsageError(f"the plan has classes that the settings lack: {', '.join(unknown)}")
    if options.terms not in site.DEPLOYMENT_TERMS:
        known = ", ".join(site.DEPLOYMENT_TERMS)
        raise UsageError(f"terms must be one of {known}, not {options.terms!r}")


def _rule_settings(terms: DeploymentTerms) -> RuleSettings:
    return RuleSettings(
        non_idempotent=frozenset(
            item["name"] for item in site.CLASSES if item["effect"] == "unsafe"
        ),
        ordered=frozenset(item["name"] for item in site.CLASSES if item.get("keep_order")),
        drain_grace_ms=site.DRAIN_GRACE_MS,
        key_cool_down_ms=site.KEY_COOL_DOWN_MS,
        retry_budget_floor=site.RETRY_BUDGET_FLOOR,
        retry_budget_ratio=terms.retry_budget_ratio,
        retry_budget_window_ms=terms.retry_budget_window_ms,
    )


@contextlib.contextmanager
def _garbage_collection_disabled() -> Iterator[None]:
    """Disable garbage collection: in real time its pauses would count as the brokers'."""
    was_enabled = gc.isenabled()
    gc.collect()
    gc.freeze()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()
        gc.unfreeze()
