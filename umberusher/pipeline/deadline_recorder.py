"""Records in the account of deadlines how requests and attempts spent their time."""

from __future__ import annotations

from collections.abc import Callable

from umberusher.deadlines.account import (
    PHASES,
    DeadlineAccount,
    FinalOutcome,
    RequestSummary,
    time_by_phase,
)
from umberusher.deadlines.network_delay import NetworkDelays
from umberusher.decisions.settings import QueryClass
from umberusher.pipeline.request import Attempt, Request


class DeadlineRecorder:
    """Records requests and attempts in the account of deadlines as they end.

    Attributes:
        account: The counters, and the structured events of requests that ended late.
    """

    __slots__ = ("_classes", "_network_delays", "_now_ms", "account")

    def __init__(
        self,
        now_ms: Callable[[], float],
        classes: dict[str, QueryClass],
        network_delays: NetworkDelays,
    ) -> None:
        self._now_ms = now_ms
        self._classes = classes
        self._network_delays = network_delays
        self.account = DeadlineAccount(now_ms)

    def request_closed(self, request: Request, outcome: FinalOutcome | None) -> None:
        """Record the end of a request: late, expired or abandoned by its client.

        Args:
            request: The request, with its attempt where one is in flight.
            outcome: Its final answer; None where its client has disconnected.
        """
        objective_ms = self._latency_objective_ms(request)
        received_ms = request.budget.received_ms
        if outcome is FinalOutcome.SERVED and (
            objective_ms is None or self._now_ms() - received_ms <= objective_ms
        ):
            return  # most requests are served in time; the rest is not computed for them
        arrival = request.arrival
        attempt = request.attempt
        summary = RequestSummary(
            request.request_id,
            arrival.query_class,
            received_ms,
            request.budget.deadline_ms,
            arrival.work_ms,
            objective_ms,
            attempt.engine if attempt else "",
            request.attempt_count,
        )
        timestamps = attempt.timestamps() if attempt else None
        end = self.account.count_end(summary, outcome, timestamps)
        if end is None or self.account.emit_event is None:
            return
        phase_times_ms = dict(request.time_by_phase or {})
        if attempt:
            self._add_phase_times(phase_times_ms, attempt)
        phase = timestamps.phase() if timestamps else PHASES[0]
        self.account.report_end(summary, end, phase, phase_times_ms)

    def _latency_objective_ms(self, request: Request) -> float | None:
        """Return the latency objective of a request; None for an unknown class."""
        arrival = request.arrival
        query_class = self._classes.get(arrival.query_class)
        if query_class is None:
            return None
        work_ms_per_thread = (arrival.work_ms or 0.0) / max(query_class.threads, 1.0)
        return query_class.latency_objective_ms + query_class.objective_stretch * work_ms_per_thread

    def attempt_ended(self, attempt: Attempt) -> None:
        """Add up the time of an attempt whose request is still open, and may yet end late."""
        request = attempt.request
        if request.time_by_phase is None:
            request.time_by_phase = {}
        self._add_phase_times(request.time_by_phase, attempt)

    def _add_phase_times(self, phase_times_ms: dict[str, float], attempt: Attempt) -> None:
        network_delay_ms = self._network_delays.allowance_ms(attempt.engine)
        phases = time_by_phase(attempt.timestamps(), self._now_ms(), network_delay_ms)
        for phase, phase_ms in phases.items():
            phase_times_ms[phase] = phase_times_ms.get(phase, 0.0) + phase_ms

    def work_wasted(self, attempt: Attempt, stopped: bool) -> None:
        """Record an engine's work for a client that has disconnected.

        Args:
            attempt: The attempt at the engine.
            stopped: Whether the engine has been stopped by now.
        """
        since_ms = attempt.fully_sent_ms or self._now_ms()
        self.account.record_wasted_work(attempt.request.arrival.work_ms, since_ms, stopped)
