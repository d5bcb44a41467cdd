"""Load estimates: threads per core of each engine, by load reports and this broker's attempts."""

from __future__ import annotations

import math

from umberusher.decisions.engine import Engine
from umberusher.decisions.engine_pool import EnginePool
from umberusher.decisions.events import AttemptEnded, LoadReport
from umberusher.decisions.latency_estimates import MIN_ELAPSED_MS
from umberusher.decisions.request import Attempt
from umberusher.decisions.slow_start import SlowStart

# Time constant of the moving average over load reports; a single report is noisy.
REPORT_AVERAGE_MS = 1_000.0
# Weight of the difference between an engine's report and the mean of the pool: a report may be
# older than it looks.
REPORT_DEVIATION_WEIGHT = 0.5
# Time constant with which the last report of an engine decays to the mean of the pool.
REPORT_STALE_MS = 2_000.0
# Least time between two surveys of the pool; load reports are older than that anyway.
SURVEY_INTERVAL_MS = 50.0
# Weight of a new answer in the latency factor of its engine.
LATENCY_FACTOR_WEIGHT = 0.08
# A smaller log latency factor is attributed to chance, not to a slow engine.
MIN_LATENCY_FACTOR = 0.6
# Lower bound of the service rate of an engine, as a fraction of the rate of the pool.
MIN_RELATIVE_SPEED = 0.1


class LoadEstimates:
    """Mean loads of the pool, and the load of one engine.

    Attributes:
        mean_load: Mean threads per core of the engines that have reported.
        surveyed_at: Time of the last survey of the pool.
    """

    def __init__(self, pool: EnginePool, slow_start: SlowStart) -> None:
        self.mean_load = 0.0
        self.surveyed_at = -math.inf
        self._pool = pool
        self._slow_start = slow_start
        self._median_latency_factor = 0.0
        # Threads per core of other brokers, on warm engines and on engines that are warming up.
        self._mean_of_others_warm = 0.0
        self._mean_of_others_warming = 0.0

    def load(self, engine: Engine, now_ms: float) -> float:
        """Return the threads per core: those of other brokers by the reports, and this broker's.

        A slow engine counts as more loaded; one without a report counts as loaded at least like the
        mean, unless it is warming up.
        """
        threads = self._threads_of_others(engine, now_ms) + engine.threads_in_flight / engine.cores
        load = threads / self.relative_speed(engine)
        if engine.has_reported or engine.warm_up_progress < 1:
            return load
        return max(load, self.mean_load)

    def relative_speed(self, engine: Engine) -> float:
        """Return the service rate of an engine as a fraction of the pool's."""
        latency_factor = engine.latency_factor - self._median_latency_factor
        speed = 1.0
        if latency_factor >= MIN_LATENCY_FACTOR:
            speed = max(math.exp(-latency_factor), MIN_RELATIVE_SPEED)
        return min(speed, engine.warm_up_progress)

    def has_fresh_report(self, engine: Engine, now_ms: float) -> bool:
        """Return whether an engine has reported recently."""
        return now_ms - engine.reported_at < REPORT_STALE_MS

    def _threads_of_others(self, engine: Engine, now_ms: float) -> float:
        """Return the threads per core of other brokers.

        A report decays with age: otherwise the last report of a full engine would keep it unused.
        """
        reported = engine.threads_of_others / engine.cores
        if engine.warm_up_progress < 1:
            mean = self._mean_of_others_warming
        else:
            mean = self._mean_of_others_warm
        return max(
            mean + (reported - mean) * REPORT_DEVIATION_WEIGHT * self._freshness(engine, now_ms),
            0.0,
        )

    def _freshness(self, engine: Engine, now_ms: float) -> float:
        """Return the weight of an engine's last report: 1 on arrival, decaying to 0."""
        if not engine.has_reported:
            return 0.0
        return math.exp((engine.reported_at - now_ms) / REPORT_STALE_MS)

    def invalidate(self) -> None:
        """Make the next request survey the pool again, however recent the last survey is."""
        self.surveyed_at = -math.inf
        self._pool.changed = True

    def survey(self, now_ms: float) -> None:
        """Update the means over the engines that are up."""
        pool = self._pool
        self.surveyed_at = now_ms
        pool.changed = False
        for engine in pool.up:
            engine.warm_up_progress = self._slow_start.warm_up_progress(engine, now_ms)
            if engine.warm_up_progress < 1:
                # The warm-up progresses without an event.
                pool.changed = True
        reporting = [engine for engine in pool.up if engine.has_reported]
        self._survey_others(reporting, now_ms)
        load = 0.0
        for engine in reporting:
            own = engine.threads_in_flight / engine.cores
            load += self._threads_of_others(engine, now_ms) + own
        self.mean_load = load / max(len(reporting), 1)
        latency_factors = sorted(engine.latency_factor for engine in pool.up)
        if latency_factors:
            self._median_latency_factor = latency_factors[len(latency_factors) // 2]
        else:
            self._median_latency_factor = 0.0

    def _survey_others(self, reporting: list[Engine], now_ms: float) -> None:
        """Update the mean threads of other brokers, with each report weighted by its freshness."""
        warm_weight = 0.0
        warm_threads = 0.0
        warming_weight = 0.0
        warming_threads = 0.0
        for engine in reporting:
            freshness = self._freshness(engine, now_ms)
            threads = engine.threads_of_others / engine.cores * freshness
            if engine.warm_up_progress < 1:
                warming_weight += freshness
                warming_threads += threads
            else:
                warm_weight += freshness
                warm_threads += threads
        self._mean_of_others_warm = max(warm_threads / (warm_weight or 1.0), 0.0)
        self._mean_of_others_warming = max(warming_threads / (warming_weight or 1.0), 0.0)

    def observe_report(
        self, engine: Engine, report: LoadReport, threads_per_attempt: float, now_ms: float
    ) -> float | None:
        """Update the threads of other brokers by a load report.

        Args:
            engine: The engine that reports.
            report: Its report.
            threads_per_attempt: Mean threads of an attempt, to convert reported attempts.
            now_ms: The time.

        Returns:
            The threads that the engine reports; None if the report does not contain them.
        """
        if report.in_flight is not None:
            threads = report.in_flight * threads_per_attempt
        elif report.utilization is not None:
            queued_threads = (report.queued or 0.0) * threads_per_attempt
            threads = report.utilization * engine.cores + queued_threads
        else:
            return None
        weight = 1.0
        if engine.has_reported:
            weight = 1 - math.exp((engine.reported_at - now_ms) / REPORT_AVERAGE_MS)
        threads_of_others = threads - engine.threads_in_flight
        engine.threads_of_others += (threads_of_others - engine.threads_of_others) * weight
        engine.reported_at = now_ms
        engine.has_reported = True
        self._pool.changed = True
        return threads

    def observe_answer(self, attempt: Attempt, event: AttemptEnded) -> None:
        """Update the latency factor of an engine by a successful attempt."""
        engine = attempt.engine
        elapsed_ms = max(event.elapsed_ms, MIN_ELAPSED_MS)
        log_factor = math.log(elapsed_ms / max(attempt.expected_ms, MIN_ELAPSED_MS))
        engine.latency_factor += LATENCY_FACTOR_WEIGHT * (log_factor - engine.latency_factor)
