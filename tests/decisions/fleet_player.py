"""Simulates a fleet of brokers and engines, some just started, and records the calls to the latter.

Each broker receives the endpoint list late and independently. Health checks report the attempts in
flight on an engine. The latency of a query is its work divided by its threads and by the warm-up
progress of the engine. The check counts what clients observe: the calls to an engine in each window,
against the budget of N calls of mean work that the settings allow.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from umberusher.decisions.actions import Action, CheckHealth, SetTimer, StartAttempt
from umberusher.decisions.balancer import LoadBalancer
from umberusher.decisions.events import (
    AttemptEnded,
    AttemptOutcome,
    EndpointListUpdate,
    EndpointState,
    EndpointUpdate,
    Event,
    HealthCheckEnded,
    LoadReport,
    RequestArrived,
    TimerFired,
)
from umberusher.decisions.settings import (
    EngineKind,
    Idempotency,
    Limits,
    QueryClass,
    Rules,
    Settings,
)
from umberusher.endpoints.registry import EndpointRegistry
from umberusher.protocol.discovery import WatchEvent

CORES, CAPACITY_FRACTION = 8, 0.85
IDEMPOTENT, NON_IDEMPOTENT = Idempotency.IDEMPOTENT, Idempotency.NON_IDEMPOTENT
QUERY_MIX = (  # class, its share of the requests, mean work in ms
    (
        QueryClass("lookup", 500, 2500, 1, IDEMPOTENT, objective_stretch=2, late_weight=0.1),
        0.81,
        125.0,
    ),
    (
        QueryClass(
            "report",
            1500,
            15_000,
            10,
            IDEMPOTENT,
            objective_stretch=2.5,
            late_weight=0.4,
            threads=2,
        ),
        0.13,
        3700,
    ),
    (
        QueryClass(
            "load",
            3000,
            25_000,
            8,
            NON_IDEMPOTENT,
            objective_stretch=2.5,
            late_weight=0.6,
            threads=2,
        ),
        0.06,
        2350,
    ),
)
MEAN_WORK_MS = sum(share * work for _, share, work in QUERY_MIX)
RULES = {
    "warm_up_floor": 0.35,
    "warm_up_ms": 15_000.0,
    "overload_multiple": 4.0,
    "overload_window_ms": 1500.0,
}


@dataclass(slots=True)
class Fleet:
    """The scenario; ``notification_delay_ms`` draws the time from the start of the cold engines
    until a broker is notified of them.
    """

    brokers: int
    warm: int
    cold: int
    seconds: float = 8.0
    load: float = 0.8  # as a fraction of the capacity of all engines when warm
    max_traffic_ratio: float = 4.0  # of the traffic of two brokers
    notification_delay_ms: Callable[[random.Random], float] = field(
        default=lambda rng: 800 + 400 * rng.random()
    )
    outage_at_ms: float | None = None  # all warm engines refuse connections from then on
    keepalive_ms: float = 15_000.0
    rules: dict[str, float] = field(default_factory=lambda: dict(RULES))
    subset_only: bool = (
        False  # each broker has a registry, which notifies it of the engines of its subset only
    )

    def budget(self, at_ms: float) -> float:
        """Return the budget of calls in a window that starts at this time after the start."""
        rules = self.rules
        warm_up_progress = min(
            rules["warm_up_floor"] + (1 - rules["warm_up_floor"]) * at_ms / rules["warm_up_ms"], 1.0
        )
        return (
            rules["overload_multiple"]
            * CAPACITY_FRACTION
            * CORES
            * warm_up_progress
            * rules["overload_window_ms"]
            / MEAN_WORK_MS
        )


def simulate_fleet(fleet: Fleet, seed: int) -> dict[str, list[float]]:
    """Return the times of the calls to each cold engine, in ms after its start."""
    rng = random.Random(seed)
    settings = Settings(
        classes=tuple(query_class for query_class, _, _ in QUERY_MIX),
        engine_kinds=(EngineKind("k", CORES),),
        broker_count=fleet.brokers,
        limits=Limits(max_attempts=6, health_checks=True),
        rules=Rules(**fleet.rules),
        keepalive_ms=fleet.keepalive_ms,
    )
    brokers = [LoadBalancer(settings, rng.getrandbits(32)) for _ in range(fleet.brokers)]
    registries = (
        [
            EndpointRegistry(
                lambda event, number=number: handle(number, event),
                lambda: clock,
                settings=replace(settings, broker_index=number),
            )
            for number in range(fleet.brokers)
        ]
        if fleet.subset_only
        else []
    )
    clock = 0.0
    start, sequence = 100_000.0, itertools.count()
    cold, warm = [f"c{n}" for n in range(fleet.cold)], [f"w{n}" for n in range(fleet.warm)]
    in_flight = dict.fromkeys(cold + warm, 0)
    call_times: dict[str, list[float]] = {name: [] for name in cold}
    requests: dict[str, tuple[QueryClass, float]] = {}
    sent: dict[str, int] = {}
    queue: list[tuple[float, int, int, Event | WatchEvent | None]] = []

    def handle(number: int, event: Event) -> None:
        for action in brokers[number].handle(clock, event):
            apply_action(number, clock, action)

    def list_update(names: list[str], rev: int, **kwargs) -> EndpointListUpdate | WatchEvent:
        found = entries(names, **kwargs)
        if not fleet.subset_only:
            return EndpointListUpdate(found, complete=rev == 1)
        return WatchEvent(rev, rev == 1, found, dict.fromkeys(names))

    def schedule(at: float, number: int, event: Event | WatchEvent | None) -> None:
        heapq.heappush(queue, (at, next(sequence), number, event))

    def entries(names, **kwargs) -> tuple[EndpointUpdate, ...]:
        return tuple(
            EndpointUpdate(name, EndpointState.UP, kind="k", zone="z", **kwargs) for name in names
        )

    def apply_action(number: int, now: float, action: Action) -> None:
        if isinstance(action, SetTimer):
            schedule(now + action.delay_ms, number, TimerFired(action.token))
        elif isinstance(action, CheckHealth):
            report = LoadReport(in_flight=float(in_flight[action.engine]))
            schedule(
                now + 2.0,
                number,
                HealthCheckEnded(action.engine, AttemptOutcome.SUCCEEDED, 2.0, report),
            )
        elif isinstance(action, StartAttempt):
            query_class, work = requests[action.request]
            attempt = sent[action.request] = sent.get(action.request, -1) + 1
            refused = (
                action.engine in warm
                and fleet.outage_at_ms is not None
                and now - start >= fleet.outage_at_ms
            )
            if action.engine in call_times:
                call_times[action.engine].append(now - start)
            warm_up_progress = (
                fleet.budget(now - start) / fleet.budget(1e9)
                if action.engine in call_times
                else 1.0
            )
            elapsed_ms = (
                1.0
                if refused
                else work
                / query_class.threads
                / warm_up_progress
                * max(in_flight[action.engine] / (1.5 * CORES), 1.0)
            )
            in_flight[action.engine] += 1
            outcome = AttemptOutcome.NO_CONNECTION if refused else AttemptOutcome.SUCCEEDED
            schedule(
                now + elapsed_ms,
                number,
                AttemptEnded(
                    action.request,
                    attempt,
                    action.engine,
                    outcome,
                    elapsed_ms,
                    request_closed=not refused,
                ),
            )

    weights = [fleet.max_traffic_ratio ** rng.random() for _ in brokers]
    rate = (
        fleet.load * (fleet.warm + fleet.cold) * CAPACITY_FRACTION * CORES / MEAN_WORK_MS
    )  # calls per ms
    gaps = [sum(weights) / weight / rate for weight in weights]
    for number in range(fleet.brokers):
        schedule(start - 6000, number, list_update(warm, 1))
        schedule(start - 5000 + rng.expovariate(1 / gaps[number]), number, None)
        schedule(
            start + fleet.notification_delay_ms(rng), number, list_update(cold, 2, started_ms=start)
        )
    while queue and queue[0][0] < start + 1000 * fleet.seconds:
        now, _, number, event = heapq.heappop(queue)
        clock = now
        if isinstance(event, WatchEvent):
            registries[number].apply(event)
            continue
        if event is None:  # the next arrival
            schedule(now + rng.expovariate(1 / gaps[number]), number, None)
            ((query_class, _, mean),) = rng.choices(QUERY_MIX, [share for _, share, _ in QUERY_MIX])
            work, name = mean * rng.lognormvariate(-0.4, 0.9), f"r{next(sequence)}"
            requests[name] = query_class, work
            event = RequestArrived(
                name,
                query_class.name,
                now + query_class.deadline_ms,
                work_ms=work * rng.uniform(0.6, 1.6),
            )
        elif isinstance(event, AttemptEnded):
            in_flight[event.engine] -= 1
        handle(number, event)
    return call_times


def worst_budget_excess(fleet: Fleet, call_times: dict[str, list[float]]) -> float:
    """Return the largest excess of the calls in a window of any engine over N + 2 x root of N + 2,
    as a fraction of the budget N. A positive excess breaks that bound.
    """
    worst, window = -99.0, fleet.rules["overload_window_ms"]
    for times in call_times.values():
        last = 0
        for first, at in enumerate(times):
            while last < len(times) and times[last] < at + window:
                last += 1
            budget = fleet.budget(at)
            worst = max(worst, (last - first - budget - 2 * budget**0.5 - 2) / budget)
    return worst
