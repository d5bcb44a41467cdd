"""State of one open request and of its attempts."""

from __future__ import annotations

import math

from umberusher.decisions.engine import Engine
from umberusher.decisions.events import RequestArrived
from umberusher.decisions.settings import QueryClass


class Attempt:
    """One attempt to run a request on an engine.

    Attributes:
        expected_ms: Its expected latency when it was sent.
        cancelled: Whether its cancellation has been requested.
        progress: Fraction done, by the engine's last progress report.
        zone: The zone of its engine when it was sent; the engine may be listed elsewhere later.
        cell: The cell of its engine when it was sent.
    """

    __slots__ = (
        "cancelled",
        "cell",
        "engine",
        "expected_ms",
        "progress",
        "request",
        "sent_at",
        "zone",
    )

    def __init__(self, request: Request, engine: Engine, now_ms: float, expected_ms: float) -> None:
        self.request = request
        self.engine = engine
        self.sent_at = now_ms
        self.expected_ms = expected_ms
        self.cancelled = False
        self.progress = 0.0
        self.zone = engine.zone
        self.cell = engine.cell


class Request:
    """One request, from its arrival until its final answer and its last attempt's end.

    Attributes:
        work_hint_ms: The client's hint of its work; 0 if there is none.
        key: Order key; None if its class is not ordered.
        priority_weight: Weight of its answer, reduced beyond its tenant's quota.
        attempts_sent: Number of attempts so far, which is the number of the next one.
        abandoned_attempts: Attempts that were cancelled to be repeated elsewhere.
        in_flight: Attempts that have not ended, by number.
        unresolved: Ended attempts that may have run.
        ended: Whether its final answer has been sent, or none is needed.
        streaming: Whether its answer has started.
        past_objective: Whether it can no longer meet its latency objective.
        queued: Whether it is in the request queue.
        queue_rank: Sort key in the request queue, in ascending order.
        avoided_engine: Engine of its last attempt.
        failing_engines: Engines that answered it with an error.
        announced_priority: Priority last announced to the broker; -1 for none.
        counts_for_retries: Whether it already counts towards the retry budget.
        checked_engines: Engines whose health was checked for it.
        health_check_until: Time until which it waits for the last of these checks.
        slow_start_grant: Warming-up engine with credit reserved for it.
    """

    __slots__ = (
        "abandoned_attempts",
        "announced_priority",
        "arrived_at",
        "attempts_sent",
        "avoided_engine",
        "checked_engines",
        "counts_for_retries",
        "deadline",
        "ended",
        "failing_engines",
        "group",
        "health_check_until",
        "id",
        "in_flight",
        "key",
        "past_objective",
        "priority_weight",
        "query_class",
        "queue_rank",
        "queued",
        "slow_start_grant",
        "streaming",
        "unresolved",
        "work_hint_ms",
    )

    def __init__(
        self,
        event: RequestArrived,
        query_class: QueryClass,
        priority_weight: float,
        now_ms: float,
    ) -> None:
        self.id = event.request
        self.query_class = query_class
        self.arrived_at = now_ms
        self.deadline = event.deadline_ms
        self.work_hint_ms = event.work_ms or 0.0
        self.group = event.group
        self.key = event.key if query_class.ordered_by_key else None
        self.priority_weight = priority_weight
        self.attempts_sent = 0
        self.abandoned_attempts = 0
        self.in_flight: dict[int, Attempt] = {}
        self.unresolved: list[Attempt] = []
        self.ended = False
        self.streaming = False
        self.past_objective = False
        self.queued = False
        self.queue_rank = (False, 0.0)
        self.avoided_engine: Engine | None = None
        self.failing_engines: list[Engine] = []
        self.announced_priority = -1
        self.counts_for_retries = event.retry_budget_eligible
        self.checked_engines: list[Engine] = []
        self.health_check_until = -math.inf
        self.slow_start_grant: Engine | None = None
