"""State of one engine in a load balancer."""

from __future__ import annotations

import math
from collections import Counter

from umberusher.decisions.events import EndpointState, EndpointUpdate


class Engine:
    """State of one engine, as learned by one load balancer.

    Times are in milliseconds of the load balancer's clock, ``-inf`` before the first event.

    Attributes:
        selection_probability: Learned probability of being drawn into a control set.
        broker_count: Number of brokers that know this engine, including this one.
        up: Whether the endpoint list allows new requests on it.
        listed: Whether the endpoint list contains it.
        in_subset: Whether it belongs to the engines that this broker keeps in use.
        has_reported: Whether a load report has arrived since it started.
        unresponsive: Whether its last health check went unanswered.
        threads_in_flight: Threads of this broker's attempts on it.
        threads_of_others: Threads that other brokers use on it, according to its load reports.
        latency_factor: Log of the ratio of its latency to the latency estimate.
        warm_up_progress: Least fraction of its capacity that it has by now under the rules.
        attempts_in_flight: Number of this broker's attempts on it.
        uncredited_sends: Sends since its last load report.
        consecutive_ejections: Ejections since its last successful answer.
        attributed_errors: Consecutive errors on requests that another engine then served.
        slow_start_credit: Calls that this broker may still send to it while it warms up.
        loads_by_group: Attempts in flight that lock a group, by that group.
    """

    __slots__ = (
        "attempts_in_flight",
        "attributed_errors",
        "broker_count",
        "cell",
        "consecutive_ejections",
        "cores",
        "credit_updated_at",
        "ejected_until",
        "has_reported",
        "health_checked_at",
        "id",
        "in_subset",
        "kind",
        "latency_factor",
        "listed",
        "loads_by_group",
        "reported_at",
        "selection_probability",
        "slow_start_credit",
        "started_ms",
        "threads_in_flight",
        "threads_of_others",
        "uncredited_sends",
        "unresponsive",
        "up",
        "warm_up_progress",
        "zone",
    )

    def __init__(self, entry: EndpointUpdate, selection_probability: float, now_ms: float) -> None:
        self.id = entry.engine
        self.started_ms = entry.started_ms
        self.zone = entry.zone
        self.kind = entry.kind
        self.cell = entry.cell
        self.cores = 1.0
        self.broker_count = 1.0
        self.up = True
        self.listed = True
        self.in_subset = False
        self.selection_probability = selection_probability
        self.has_reported = False
        self.reported_at = -math.inf
        self.threads_of_others = 0.0
        self.threads_in_flight = 0.0
        self.attempts_in_flight = 0
        self.uncredited_sends = 0
        self.loads_by_group: Counter[int | None] = Counter()
        self.latency_factor = 0.0
        self.warm_up_progress = 1.0
        self.slow_start_credit = 0.0
        self.credit_updated_at = now_ms
        self.unresponsive = False
        self.consecutive_ejections = 0
        self.attributed_errors = 0
        self.ejected_until = -math.inf
        self.health_checked_at = -math.inf

    def update(self, entry: EndpointUpdate, cores: float, broker_count: float) -> None:
        """Apply an entry of the endpoint list."""
        self.zone = entry.zone
        self.kind = entry.kind
        self.cell = entry.cell
        self.cores = cores
        self.broker_count = broker_count
        self.up = entry.state is EndpointState.UP
        self.listed = entry.state is not EndpointState.REMOVED

    def restart(
        self, started_ms: float | None, selection_probability: float, now_ms: float
    ) -> None:
        """Forget what was learned of the previous incarnation; attempts in flight stay counted."""
        self.started_ms = started_ms
        self.selection_probability = selection_probability
        self.consecutive_ejections = 0
        self.attributed_errors = 0
        self.uncredited_sends = 0
        self.unresponsive = False
        self.has_reported = False
        self.ejected_until = -math.inf
        # Schedules the next health check on this engine, so that its load is known soon.
        self.health_checked_at = -math.inf
        self.threads_of_others = 0.0
        self.latency_factor = 0.0
        self.slow_start_credit = 0.0
        self.credit_updated_at = now_ms

    def add_attempt(self, threads: float, group: int | None, locks_group: bool) -> None:
        """Count an attempt that is sent."""
        self.threads_in_flight += threads
        self.attempts_in_flight += 1
        self.uncredited_sends += 1
        if locks_group:
            self.loads_by_group[group] += 1

    def remove_attempt(self, threads: float, group: int | None, locks_group: bool) -> None:
        """Remove an attempt that has ended from the counts."""
        self.threads_in_flight = max(self.threads_in_flight - threads, 0.0)
        self.attempts_in_flight -= 1
        if locks_group:
            self.loads_by_group[group] -= 1
            if not self.loads_by_group[group]:
                # Groups are derived from clients' statements, so their number is unbounded.
                del self.loads_by_group[group]
