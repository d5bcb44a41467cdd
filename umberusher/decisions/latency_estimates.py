"""Latency estimates: expected latency and work of each class and of one request."""

from __future__ import annotations

import math

from umberusher.decisions.events import AttemptEnded
from umberusher.decisions.request import Request
from umberusher.decisions.settings import QueryClass

# Least weight of a new answer in the estimates of its class; the first answers weigh more.
ANSWER_WEIGHT = 0.05
# Least weight of a new request in the mean work of a request; the first requests weigh more.
MEAN_WORK_WEIGHT = 0.01
# A request is short if its work is below this fraction of the mean work of a request.
SHORT_FRACTION = 0.5
# Fraction of an answer's thread time that counts as work where the engine does not report it.
WORK_PER_THREAD_TIME = 0.7
# The work of one answer counts as at most this multiple of the mean work of its class.
MAX_WORK_RATIO = 20
# Prevents divisions by almost zero for a class that declares almost no threads.
MIN_THREADS = 0.1
MIN_ELAPSED_MS = 0.1


class ClassEstimate:
    """Latency and work of the requests of one class.

    Attributes:
        log_time: Mean log of the latency in milliseconds.
        log_ratio: Mean log of the ratio of thread time to the client's hint of work.
        work_ms: Mean work.
        hint_ms: Mean of the clients' hints of work; 0 before the first.
        answer_count: Number of answers observed.
    """

    __slots__ = ("answer_count", "hint_ms", "log_ratio", "log_time", "work_ms")

    def __init__(self, query_class: QueryClass) -> None:
        objective_ms = max(query_class.latency_objective_ms, 1.0)
        self.log_time = math.log(objective_ms / 2)
        self.log_ratio = 0.0
        self.work_ms = objective_ms * max(query_class.threads, MIN_THREADS)
        self.hint_ms = 0.0
        self.answer_count = 0


class LatencyEstimates:
    """Expected latency and work of requests, learned from arrivals and answers."""

    def __init__(self, classes: tuple[QueryClass, ...]) -> None:
        self.by_class = {item.name: ClassEstimate(item) for item in classes}
        total_ms = sum(estimate.work_ms for estimate in self.by_class.values())
        self.mean_work_ms = total_ms / len(self.by_class)
        self._arrival_count = 0

    def expected_ms(self, request: Request) -> float:
        """Return the expected latency of an attempt of this request."""
        estimate = self.by_class[request.query_class.name]
        if request.work_hint_ms > 0:
            threads = max(request.query_class.threads, MIN_THREADS)
            return request.work_hint_ms / threads * math.exp(estimate.log_ratio)
        return math.exp(estimate.log_time)

    def work_ms(self, request: Request) -> float:
        """Return the work of this request, in milliseconds of one thread."""
        estimate = self.by_class[request.query_class.name]
        if request.work_hint_ms > 0 and estimate.hint_ms:
            return estimate.work_ms * (request.work_hint_ms / estimate.hint_ms)
        return estimate.work_ms

    def objective_at(self, request: Request) -> float:
        """Return the time until which an answer has its full weight."""
        query_class = request.query_class
        solo_ms = self.work_ms(request) / max(query_class.threads, MIN_THREADS)
        return (
            request.arrived_at
            + query_class.latency_objective_ms
            + query_class.objective_stretch * solo_ms
        )

    def is_short(self, request: Request) -> bool:
        """Return whether this request is short compared with the mean request."""
        return self.work_ms(request) < SHORT_FRACTION * self.mean_work_ms

    def observe_arrival(self, request: Request) -> None:
        """Update the mean work of a request, and the mean hint of its class."""
        weight = max(MEAN_WORK_WEIGHT, 1 / (self._arrival_count + 2))
        self.mean_work_ms += weight * (self.work_ms(request) - self.mean_work_ms)
        self._arrival_count += 1
        if request.work_hint_ms > 0:
            estimate = self.by_class[request.query_class.name]
            weight = ANSWER_WEIGHT if estimate.hint_ms else 1.0
            estimate.hint_ms += (request.work_hint_ms - estimate.hint_ms) * weight

    def observe_answer(self, request: Request, event: AttemptEnded) -> None:
        """Update the latency and the work of a class by a successful attempt."""
        estimate = self.by_class[request.query_class.name]
        threads = max(request.query_class.threads, MIN_THREADS)
        elapsed_ms = max(event.elapsed_ms, MIN_ELAPSED_MS)
        weight = max(ANSWER_WEIGHT, 1.0 / (estimate.answer_count + 2))
        estimate.answer_count += 1
        estimate.log_time += weight * (math.log(elapsed_ms) - estimate.log_time)
        hint_ms = request.work_hint_ms
        if hint_ms > 0:
            log_ratio = math.log(elapsed_ms * threads / hint_ms)
            estimate.log_ratio += weight * (log_ratio - estimate.log_ratio)
        work_ms = event.work_ms or WORK_PER_THREAD_TIME * elapsed_ms * threads
        bounded_ms = min(work_ms, MAX_WORK_RATIO * estimate.work_ms)
        estimate.work_ms += weight * (bounded_ms - estimate.work_ms)
