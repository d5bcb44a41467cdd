"""Measure inside one process the version that PYTHONPATH names; print one JSON object.

    PYTHONPATH=ROOT python scripts/slopes_worker.py list LENGTH       # a broker's list and decisions, wired as in serve
    PYTHONPATH=ROOT python scripts/slopes_worker.py lump LENGTH       # the same, with changes of many entries
    PYTHONPATH=ROOT python scripts/slopes_worker.py module TOLD       # the decision module alone, TOLD engines listed

The measured code runs on a simulated clock that stands still during each call; the results are processor times.
Stand-ins replace the handlers of actions: an attempt is answered 5 ms after it is sent, as is a health check.
"""

from __future__ import annotations

import heapq
import itertools
import json
import logging
import sys
import time
from collections.abc import Callable
from typing import Any

from slopes_discovery import ZONES, Changes, entry

from umberusher.broker.broker import Broker
from umberusher.config import parse
from umberusher.decisions.actions import (
    CancelAttempt,
    CheckHealth,
    FailRequest,
    RejectRequest,
    SetPriority,
    SetTimer,
    StartAttempt,
)
from umberusher.decisions.balancer import LoadBalancer
from umberusher.decisions.events import (
    AttemptEnded,
    AttemptOutcome,
    EndpointListUpdate,
    HealthCheckEnded,
    LoadReport,
    RequestArrived,
    Started,
    TimerFired,
)
from umberusher.decisions.settings_reader import read_settings
from umberusher.net.loop import Loop
from umberusher.protocol.discovery import WatchEvent, watch_events
from umberusher.replay import site

ATTEMPT_MS = 5.0  # duration of an attempt
BROKER_ARRIVAL_INTERVAL_MS = ATTEMPT_MS / 8  # keeps eight requests of a broker in flight
MODULE_ARRIVAL_INTERVAL_MS = (
    0.16  # a broker's share of 13 million requests per second over 2,100 brokers
)
BROKER_COUNT = 2_100
MAX_CPU_S = 4.0  # limit of processor time for one result
BATCH_SIZES = (100, 400, 1_000, 2_000, 4_000)  # entries of one change


def site_settings() -> dict[str, Any]:
    """Return the settings of a site at the planned size."""
    values = site.settings(BROKER_COUNT, 7)
    return values | {"zones": list(ZONES), "zone": ZONES[7 % len(ZONES)]}


class SimulatedClock:
    """A clock in seconds that moves only in advance_to, and the calls scheduled on it."""

    def __init__(self) -> None:
        self.now, self.scheduled, self.count = 1_000_000.0, [], itertools.count()

    def clock(self) -> float:
        """Return the current time."""
        return self.now

    def call_later(self, delay_ms: float, call: Callable[[], None]) -> None:
        """Schedule a call."""
        heapq.heappush(self.scheduled, (self.now + delay_ms / 1e3, next(self.count), call))

    def advance_to(self, until_s: float) -> None:
        """Advance the clock and run the calls that become due."""
        while self.scheduled and self.scheduled[0][0] <= until_s:
            self.now, _, call = heapq.heappop(self.scheduled)
            call()
        self.now = until_s


class StandInHandlers:
    """Handlers of actions that behave like healthy engines with a fixed response time."""

    def __init__(self, clock: SimulatedClock, post: Callable[[Any], None]) -> None:
        self.clock, self.post = clock, post
        self.served = self.sends = self.probes = self.rejected = 0
        self.attempts: dict[str, int] = {}

    def send(self, action: Any) -> None:
        """Report the success of an attempt after ATTEMPT_MS."""
        self.sends += 1
        number = self.attempts.get(action.request, 0)  # counted from 0, as in the decision module
        self.attempts[action.request] = number + 1
        report = LoadReport(in_flight=2.0, queued=0.0, memory_share=0.1)

        def report_success() -> None:
            self.served += 1
            self.attempts.pop(action.request, None)
            self.post(
                AttemptEnded(
                    action.request,
                    number,
                    action.engine,
                    AttemptOutcome.SUCCEEDED,
                    ATTEMPT_MS,
                    request_closed=True,
                    report=report,
                )
            )

        self.clock.call_later(ATTEMPT_MS, report_success)

    def probe(self, action: Any) -> None:
        """Report the success of a health check after ATTEMPT_MS."""
        self.probes += 1
        report = LoadReport(in_flight=2.0, queued=0.0, memory_share=0.1)
        self.clock.call_later(
            ATTEMPT_MS,
            lambda: self.post(
                HealthCheckEnded(action.engine, AttemptOutcome.SUCCEEDED, ATTEMPT_MS, report)
            ),
        )

    def timer(self, action: Any) -> None:
        """Schedule a timer event."""
        self.clock.call_later(action.delay_ms, lambda: self.post(TimerFired(action.token)))

    def count_rejection(self, _: Any) -> None:
        """Count a request that was rejected or failed."""
        self.rejected += 1

    def handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return the handlers by type of action; priorities and cancellations have no effect."""
        return {
            StartAttempt: self.send,
            CheckHealth: self.probe,
            SetTimer: self.timer,
            RejectRequest: self.count_rejection,
            FailRequest: self.count_rejection,
            SetPriority: lambda _: None,
            CancelAttempt: lambda _: None,
        }


def arrival(number: int, now_ms: float) -> RequestArrived:
    """Return the arrival of a small statement; one in 20 is a report."""
    name = "report" if number % 20 == 0 else "lookup"
    return RequestArrived(f"{number:016x}", name, now_ms + 2_000.0, work_ms=4.0, memory_mb=8.0)


def measure_arrivals(
    clock: SimulatedClock,
    post: Callable[[Any], None],
    stand_ins: StandInHandlers,
    interval_ms: float,
    warm_up_count: int,
    max_count: int,
) -> float:
    """Return the processor time of an arrival with its answer in us; ends early after MAX_CPU_S."""
    measured_from_s, started_s, number = 0.0, time.process_time(), 0
    for number in range(warm_up_count + max_count):
        if number == warm_up_count or (
            number < warm_up_count
            and time.process_time() - started_s > MAX_CPU_S
            and not measured_from_s
        ):
            measured_from_s, warm_up_count = time.process_time(), number
        if (
            measured_from_s
            and number > warm_up_count
            and time.process_time() - measured_from_s > MAX_CPU_S
        ):
            break
        clock.advance_to(clock.now + interval_ms / 1e3)
        post(arrival(number, clock.now * 1e3))
    cpu_used_s = time.process_time() - measured_from_s
    if stand_ins.served < 0.9 * number - ATTEMPT_MS / interval_ms:
        raise SystemExit(
            f"{stand_ins.served} of {number} requests were served, too few to measure an arrival"
        )
    return cpu_used_s / (number - warm_up_count) * 1e6


def build_broker(clock: SimulatedClock) -> tuple[Broker, StandInHandlers]:
    """Build a broker wired as in `serve`, with no socket open."""
    config = {
        "name": "b0",
        "listen": "127.0.0.1:1",
        "seed": "0000000000000001",
        "board": "127.0.0.1:1",
        "known": {"rev": 0, "notices": []},
        "limits": {"cores": 1.0, "memory_mb": 1_024, "sockets": 20_000},
        "settings": site_settings(),
    }
    broker = Broker(parse(config), Loop(clock.clock), clock.clock)
    stand_ins = StandInHandlers(clock, broker.post)
    broker.action_handlers = stand_ins.handlers()
    broker.post(Started())
    return broker, stand_ins


def watch_event(rev: int, entries: list[dict[str, Any]], reset: bool) -> WatchEvent:
    """Return entries as the watch event that a broker reads from discovery's answer."""
    events = watch_events(
        {"notices": [{"rev": rev, "pool": {"reset": reset, "instances": entries}}]}, 0
    )
    if events[0].skipped:
        raise SystemExit(f"entries of the list were skipped as unreadable: {events}")
    return events[0]


def cpu_seconds(call: Callable[[], None]) -> float:
    """Return the processor time of a call in seconds."""
    started_s = time.process_time()
    call()
    return time.process_time() - started_s


def measure_list(length: int) -> dict[str, Any]:
    """Measure the first list, a change of one entry, and an arrival with a list of that length."""
    clock, changes = SimulatedClock(), Changes(length)
    broker, stand_ins = build_broker(clock)
    notice = watch_event(1, changes.full_list(), True)
    first_s = cpu_seconds(lambda: broker.endpoints.apply(notice))
    change_count, change_s, max_changes = 0, 0.0, 600
    while change_count < max_changes and change_s < MAX_CPU_S:
        notice = watch_event(change_count + 2, changes.next(1), False)
        clock.advance_to(clock.now + 0.05)
        change_s += cpu_seconds(lambda notice=notice: broker.endpoints.apply(notice))
        change_count += 1
    if len(broker.endpoints.directory) not in (length, length - 1):
        raise SystemExit(f"{len(broker.endpoints.directory)} of {length} are listed")
    cost_us = measure_arrivals(
        clock, broker.post, stand_ins, BROKER_ARRIVAL_INTERVAL_MS, 400, 4_000
    )
    return {
        "first_s": first_s,
        "change_us": change_s / change_count * 1e6,
        "arrival_us": cost_us,
        "held": len(broker.balancer.engines),
        "sends": stand_ins.sends,
        "probes": stand_ins.probes,
    }


def measure_batches(length: int) -> dict[str, Any]:
    """Measure changes of many entries, by the number of entries."""
    clock, changes = SimulatedClock(), Changes(length)
    broker, _ = build_broker(clock)
    broker.endpoints.apply(watch_event(1, changes.full_list(), True))
    results = {}
    for number, count in enumerate(BATCH_SIZES):
        notice = watch_event(number + 2, changes.next(count), False)
        clock.advance_to(clock.now + 1.0)
        results[str(count)] = (
            cpu_seconds(lambda notice=notice: broker.endpoints.apply(notice)) * 1e3
        )
    return {"lump_ms": results}


def measure_module(count: int) -> dict[str, Any]:
    """Measure the decision module alone with that many engines."""
    clock = SimulatedClock()
    balancer = LoadBalancer(read_settings(json.dumps(site_settings())), 1)
    queue: list[Any] = []

    def post(event: Any) -> None:
        queue.append(event)
        if len(queue) > 1:
            return
        while queue:
            for action in balancer.handle(clock.now * 1e3, queue[0]):
                handlers[type(action)](action)
            queue.pop(0)

    stand_ins = StandInHandlers(clock, post)
    handlers = stand_ins.handlers()
    post(Started())
    entries = watch_event(1, [entry(number, 1, "SERVING") for number in range(count)], True).entries
    post(EndpointListUpdate(entries, complete=True))
    cost_us = measure_arrivals(clock, post, stand_ins, MODULE_ARRIVAL_INTERVAL_MS, 6_000, 12_000)
    return {
        "arrival_us": cost_us,
        "near": len(balancer.pool.subset),
        "probes": stand_ins.probes,
        "served": stand_ins.served,
    }


if __name__ == "__main__":
    logging.disable(logging.CRITICAL)
    print(
        json.dumps(
            {"list": measure_list, "lump": measure_batches, "module": measure_module}[sys.argv[1]](
                int(sys.argv[2])
            )
        )
    )
