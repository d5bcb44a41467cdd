"""The registry of open requests.

It ensures that a request gets one final answer and that an attempt ends once, and counts both.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from umberusher.deadlines.account import DeadlineAccount, FinalOutcome
from umberusher.deadlines.network_delay import NetworkDelays
from umberusher.decisions.actions import FailRequest, RejectRequest
from umberusher.decisions.events import (
    AttemptEnded,
    AttemptOutcome,
    ClientDisconnected,
    Event,
    LoadReport,
)
from umberusher.decisions.settings import QueryClass
from umberusher.net.ring import RingMemory
from umberusher.pipeline.deadline_recorder import DeadlineRecorder
from umberusher.pipeline.finished_ids import FinishedIds
from umberusher.pipeline.request import Attempt, AttemptFailure, Request, SendProgress
from umberusher.protocol.engine import QueryCost

log = logging.getLogger(__name__)


if TYPE_CHECKING:  # Saves memory.

    class RequestObserver(Protocol):
        """Is notified of each closed request once it has no attempt in flight."""

        def request_done(self, request: Request, succeeded: bool) -> None:
            """Settle a request; ``succeeded`` means that its final answer was its result."""


def outcome_of(failure: AttemptFailure) -> AttemptOutcome:
    """Return the outcome of a failure; an attempt that may have run never counts as never run."""
    if failure.never_ran:
        return AttemptOutcome.NO_CONNECTION
    if failure.progress is SendProgress.FULLY_SENT:
        return AttemptOutcome.RESET
    return AttemptOutcome.ERROR


class RequestRegistry:
    """The open requests, and how all requests and attempts ended.

    Attributes:
        requests: The requests by id, from admission until the decisions have been notified of their
            end.
        final_answers: Final answers by outcome and class.
        attempt_outcomes: Ended attempts by outcome.
        finished_ids: Ids of non-idempotent requests that have ended and may have run.
        attempts_sent: Attempts that were sent completely.
        network_delays: The network delay to each engine, as the attempts' connections measure it.
        account: The account of requests that ended late or expired.
        now_ms: Returns the time of the broker's timeline.
        post: Passes an event to the decisions.
    """

    __slots__ = (
        "_classes",
        "_deadlines",
        "_observer",
        "account",
        "attempt_outcomes",
        "attempts_sent",
        "final_answers",
        "finished_ids",
        "network_delays",
        "now_ms",
        "post",
        "requests",
    )

    def __init__(
        self,
        post: Callable[[Event], None],
        now_ms: Callable[[], float],
        classes: tuple[QueryClass, ...] = (),
        observer: RequestObserver | None = None,
        memory: RingMemory | None = None,
    ) -> None:
        self.post = post
        self.now_ms = now_ms
        self._classes = {each.name: each for each in classes}
        self._observer = observer
        self.network_delays = NetworkDelays()
        self._deadlines = DeadlineRecorder(now_ms, self._classes, self.network_delays)
        self.account: DeadlineAccount = self._deadlines.account
        self.requests: dict[str, Request] = {}
        # Work that began at the end of its time is over after as much time again.
        longest_ms = max((each.deadline_ms for each in classes), default=0.0)
        self.finished_ids = FinishedIds(now_ms, longest_ms, memory)
        self.final_answers: dict[FinalOutcome, Counter[str]] = {
            outcome: Counter() for outcome in FinalOutcome
        }
        self.attempt_outcomes: Counter[AttemptOutcome] = Counter()
        self.attempts_sent = 0

    @property
    def in_flight(self) -> int:
        """The number of requests that have no final answer yet."""
        return sum(request.is_open for request in self.requests.values())

    @property
    def outcome_counts(self) -> Counter[str]:
        """Final answers and ended attempts, by the names used in the log."""
        counts: Counter[str] = Counter()
        for final_outcome, by_class in self.final_answers.items():
            if by_class:
                counts[final_outcome.value] = by_class.total()
        for attempt_outcome, count in self.attempt_outcomes.items():
            counts[f"attempt {attempt_outcome.value}"] = count
        return counts

    # -- Final answers

    def close(self, request: Request, outcome: FinalOutcome | None = None) -> bool:
        """Close a request with its final answer, or because its client has disconnected.

        This is the only place that closes a request.

        Args:
            request: The request.
            outcome: Its final answer, which is counted; None where its client has disconnected.

        Returns:
            Whether the request was open, so that the caller must now send the answer.
        """
        if not request.is_open:
            return False
        request.is_open = False
        attempt = request.attempt
        if attempt is None or attempt.progress >= SendProgress.PARTLY_WRITTEN:
            request.statement = b""
        if outcome is not None:
            self.final_answers[outcome][request.arrival.query_class] += 1
        self._deadlines.request_closed(request, outcome)
        request.succeeded = outcome is FinalOutcome.SERVED
        if self._observer is not None and request.attempt is None:
            self._observer.request_done(request, False)
        return True

    def count_final_answer(self, outcome: FinalOutcome, query_class: str) -> None:
        """Count the final answer to a call that did not become a request."""
        self.final_answers[outcome][query_class] += 1

    def reject(self, action: RejectRequest) -> None:
        """Carry out the decisions' rejection of a request."""
        request = self.requests.pop(action.request, None)
        if request is not None and self.close(request, FinalOutcome.REJECTED):
            log.debug(
                "request_rejected request=%s retry_after_ms=%s attempts=%d",
                action.request,
                action.retry_after_ms,
                request.attempt_count,
            )
            request.response_sink.send_rejection(action.retry_after_ms)

    def fail(self, action: FailRequest) -> None:
        """Carry out the decisions' failure of a request."""
        request = self.requests.pop(action.request, None)
        if request is not None and self.close(request, FinalOutcome.FAILED):
            log.debug(
                "request_failed request=%s attempts=%d", action.request, request.attempt_count
            )
            request.response_sink.send_failure("failed")

    def discard_closed(self, event: Event) -> None:
        """Remove a request once the decisions have processed the event of its end."""
        if isinstance(event, AttemptEnded):
            if not event.request_closed:
                return
        elif not isinstance(event, ClientDisconnected):
            return
        request = self.requests.get(event.request)
        # An attempt may still be in flight: its cancel command is pending, and the outcome must
        # still be reported to the decisions.
        if request is not None and not request.is_open and request.attempt is None:
            del self.requests[event.request]

    # -- Ids of non-idempotent requests

    def may_have_run(self, request_id: str) -> bool:
        """Return whether a request of this id is open or may have run."""
        return request_id in self.requests or request_id in self.finished_ids

    def remember(self, request_id: str) -> None:
        """Remember the id of a non-idempotent request that runs in another process."""
        self.finished_ids.add(request_id)

    def known_ids(self) -> list[str]:
        """Return the ids of non-idempotent requests that are open or remembered."""
        open_ids = [each.request_id for each in self.requests.values() if each.non_idempotent]
        return [*open_ids, *self.finished_ids]

    # -- Endings of attempts

    def end_attempt(
        self,
        attempt: Attempt,
        outcome: AttemptOutcome,
        report: LoadReport | None = None,
        cost: QueryCost | None = None,
    ) -> None:
        """End an attempt; only the first call for an attempt has an effect.

        Args:
            attempt: The attempt.
            outcome: How it ended.
            report: The engine's load report, where its reply carried one.
            cost: Work and memory that the query used, where the reply reports them.
        """
        if attempt.ended:
            return
        attempt.ended = True
        request = attempt.request
        if attempt.timer is not None:
            attempt.timer.cancel()
        if attempt.carrier is not None:
            attempt.carrier.release(attempt)
        if request.attempt is attempt:
            request.attempt = None
        if not request.is_open:
            request.statement = b""
        if self._observer is not None:
            self._settle(self._observer, attempt, outcome)
        attempt.pages = {}
        if request.non_idempotent and not outcome.never_ran:
            self.finished_ids.add(request.request_id)
        if self.account.emit_event is not None and request.is_open:
            self._deadlines.attempt_ended(attempt)
        self.attempt_outcomes[outcome] += 1
        log.debug(
            "attempt_ended request=%s attempt=%d engine=%s outcome=%s progress=%s",
            request.request_id,
            attempt.number,
            attempt.engine,
            outcome,
            attempt.progress,
        )
        self.post(
            AttemptEnded(
                request.request_id,
                attempt.number,
                attempt.engine,
                outcome,
                self.now_ms() - attempt.started_ms,
                request_closed=not request.is_open,
                report=report,
                work_ms=cost.work_ms if cost is not None else None,
                memory_mb=cost.memory_mb if cost is not None else None,
            )
        )

    def _settle(self, observer: RequestObserver, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Add up an attempt's time at its engine; settle a closed request with its last attempt."""
        request = attempt.request
        if attempt.fully_sent_ms and not outcome.never_ran:
            query_class = self._classes.get(request.arrival.query_class)
            threads = max(query_class.threads, 1.0) if query_class else 1.0
            request.may_have_run = True
            request.engine_thread_ms += (self.now_ms() - attempt.fully_sent_ms) * threads
        if not request.is_open and request.attempt is None:
            observer.request_done(request, request.succeeded)

    def fail_attempt(
        self, attempt: Attempt, failure: AttemptFailure, report: LoadReport | None = None
    ) -> None:
        """End an attempt that failed."""
        if not attempt.ended:
            log.info(
                "attempt_failed request=%s attempt=%d engine=%s reason=%r progress=%s pages=%d",
                attempt.request.request_id,
                attempt.number,
                attempt.engine,
                failure.reason,
                failure.progress.name,
                failure.page_count,
            )
        self.end_attempt(attempt, outcome_of(failure), report)

    def succeed_attempt(
        self,
        attempt: Attempt,
        rows: bytes,
        report: LoadReport | None,
        cost: QueryCost | None = None,
    ) -> None:
        """End an attempt whose result is complete: answer the client, then notify the decisions."""
        request = attempt.request
        if not attempt.ended and self.close(request, FinalOutcome.SERVED):
            request.response_sink.send_result(rows)
        self.end_attempt(attempt, AttemptOutcome.SUCCEEDED, report, cost)

    def record_wasted_work(self, attempt: Attempt, stopped: bool) -> None:
        """Account for an engine's work for a client that has disconnected.

        Args:
            attempt: The attempt at the engine.
            stopped: Whether the engine has been stopped by now.
        """
        self._deadlines.work_wasted(attempt, stopped)
