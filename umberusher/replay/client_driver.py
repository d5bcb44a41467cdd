"""Drives the clients of a replay: arrivals, retries, and the outcome of each request."""

from __future__ import annotations

from dataclasses import dataclass

import xxhash

from umberusher.checker.events import Outcome
from umberusher.net.loop import Loop
from umberusher.replay import site
from umberusher.replay.clock import ReplayClock
from umberusher.replay.key_spacing import KeySpacing
from umberusher.replay.options import ReplayOptions
from umberusher.replay.requests import ClientRequest, RequestFactory
from umberusher.replay.score import Score
from umberusher.standin.client_connection import Call
from umberusher.standin.client_pool import ClientPool
from umberusher.standin.machine import TIME_TOLERANCE_MS
from umberusher.standin.thrift_client import Answer
from umberusher.traces.plan import Plan, PlanRow

DEFAULT_RETRY_DELAY_MS = 50.0
"""Delay before a client's retry where the answer has no Retry-After."""
MIN_BUDGET_MS = 1.0
"""A client doesn't send a request with less time than this before its deadline."""
RETRIED_WHEN_IDEMPOTENT = (Outcome.FAILED, Outcome.EXCEPTION, Outcome.LOST)


@dataclass(slots=True)
class RetryAfterCount:
    """Retries of a team after the Retry-After of a rejection, and those that were not rejected."""

    retried: int = 0
    accepted: int = 0


class ClientDriver:
    """Plays the requests of a plan at their times and scores their outcomes."""

    def __init__(
        self,
        plan: Plan,
        options: ReplayOptions,
        factory: RequestFactory,
        clients: list[ClientPool],
        loop: Loop,
        clock: ReplayClock,
    ) -> None:
        self.open_count = 0
        self.started_count = 0
        # How late each request was started, ms.
        self.lags_ms: list[float] = []
        self.key_spacing = KeySpacing()
        self.score = Score()
        teams = dict.fromkeys(options.request_teams or ())
        self.team_scores = {team: Score() for team in teams}
        self.retry_after_counts: dict[str, RetryAfterCount] = {}
        self._options = options
        self._factory = factory
        self._clients = clients
        self._loop = loop
        self._clock = clock
        self._rows = enumerate(plan.requests())
        self._next_row: tuple[int, PlanRow] | None = next(self._rows, None)

    @property
    def all_started(self) -> bool:
        """Whether the last request of the plan has been started."""
        return self._next_row is None

    def schedule_arrivals(self) -> None:
        """Set the timer for the next request of the plan."""
        if self._next_row is not None:
            self._clock.call_at(_arrival_ms(self._next_row[1]), self._start_due)

    def _start_due(self) -> None:
        now_ms = self._clock.now_ms()
        while self._next_row is not None:
            number, row = self._next_row
            arrival_ms = _arrival_ms(row)
            if arrival_ms > now_ms + TIME_TOLERANCE_MS:
                break
            self._next_row = next(self._rows, None)
            self.started_count += 1
            self.lags_ms.append(now_ms - arrival_ms)
            request = self._factory.make(number, row, self._clock.now_ms())
            self.open_count += 1
            self._send_at(request, request.arrived_ms)
        self.schedule_arrivals()

    def _send_at(self, request: ClientRequest, earliest_ms: float) -> None:
        """Send at a time, or later where the request's key was just written."""
        now_ms = self._clock.now_ms()
        start_ms = earliest_ms
        if request.key:
            start_ms = self.key_spacing.reserve(request.key, earliest_ms, now_ms)
        if start_ms > now_ms:
            self._loop.call_later(start_ms - now_ms, lambda: self._send(request))
        else:
            self._send(request)

    def _send(self, request: ClientRequest) -> None:
        now_ms = self._clock.now_ms()
        if request.key:
            wait_ms = self.key_spacing.write(request.key, now_ms)
            if wait_ms:
                self._loop.call_later(wait_ms, lambda: self._send(request))
                return
        budget_ms = request.deadline_ms - now_ms
        if budget_ms < MIN_BUDGET_MS:
            self._end(request, Outcome.EXPIRED)
            return
        call = self._make_call(request, budget_ms, now_ms)
        request.attempt_count += 1
        self._clients[request.broker].send(call)

    def _make_call(self, request: ClientRequest, budget_ms: float, now_ms: float) -> Call:
        identity = f"{self._options.seed}/{request.number}/{request.attempt_count}"
        request_id = f"{xxhash.xxh3_64_intdigest(identity.encode()):016x}"
        fields = request.fields | {"rid": request_id, "budget": f"{int(budget_ms)}"}
        if request.attempt_count:
            fields["again"] = "1"
        disconnect_after_ms = None
        if request.disconnect_after_ms is not None:
            disconnect_at_ms = request.arrived_ms + request.disconnect_after_ms
            disconnect_after_ms = max(disconnect_at_ms - now_ms, 0.0)
        return Call(
            request_id,
            fields,
            request.body,
            budget_ms,
            lambda outcome, answer: self._on_done(request, outcome, answer),
            disconnect_after_ms=disconnect_after_ms,
        )

    def _on_done(self, request: ClientRequest, outcome: Outcome, answer: Answer | None) -> None:
        if request.obeys_retry_after and self._options.request_teams:
            self._count_retry_after(request, outcome)
        if self._may_retry(request, outcome):
            retry_ms = self._clock.now_ms() + self._retry_delay_ms(request, outcome, answer)
            if retry_ms < request.deadline_ms - MIN_BUDGET_MS:
                self._send_at(request, retry_ms)
                return
        self._end(request, outcome)

    def _may_retry(self, request: ClientRequest, outcome: Outcome) -> bool:
        if request.attempt_count > self._options.max_client_retries:
            return False
        if outcome is Outcome.REJECTED:
            return True
        is_idempotent = request.query_class != site.LOAD_CLASS
        return is_idempotent and outcome in RETRIED_WHEN_IDEMPOTENT

    def _retry_delay_ms(
        self, request: ClientRequest, outcome: Outcome, answer: Answer | None
    ) -> float:
        """Return how long to wait before a retry; record whether that is a Retry-After."""
        retry_after = answer.fields.get("backoff", "") if answer else ""
        has_retry_after = retry_after.isdigit()
        delay_ms = float(retry_after) if has_retry_after else DEFAULT_RETRY_DELAY_MS
        request.obeys_retry_after = (
            outcome is Outcome.REJECTED and has_retry_after and delay_ms < site.MAX_RETRY_AFTER_MS
        )
        return delay_ms

    def _count_retry_after(self, request: ClientRequest, outcome: Outcome) -> None:
        count = self.retry_after_counts.setdefault(request.fields["team"], RetryAfterCount())
        count.retried += 1
        if outcome is not Outcome.REJECTED:
            count.accepted += 1

    def _end(self, request: ClientRequest, outcome: Outcome) -> None:
        self.open_count -= 1
        scores = [self.score]
        if self._options.request_teams:
            scores.append(self.team_scores[request.fields["team"]])
        duration_ms = self._clock.now_ms() - request.arrived_ms
        for score in scores:
            score.add(
                request.query_class, request.arrived_ms, outcome, duration_ms, request.work_ms
            )


def _arrival_ms(row: PlanRow) -> float:
    return row.at_us / 1e3
