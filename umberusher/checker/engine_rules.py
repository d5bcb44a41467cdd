"""Rules that are observed at the engines: which attempts may be sent, and how often work runs."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from umberusher.checker.breaches import BreachLog, Rule
from umberusher.checker.counts import Count
from umberusher.checker.key_order import KeyOrder
from umberusher.checker.requests import ObservedAttempt, ObservedRequest, RequestTable
from umberusher.checker.retry_budget import RetryBudget
from umberusher.checker.settings import SLACK_MS, RuleSettings

LATE_START_MS = 0.5  # after its client's deadline; work that starts later counts as late
HIGHEST_PRIORITY = 3
NEVER_RAN_WORDS = ("SHED", "LATE")  # engine answers that prove that the request did not run
SERVING = "SERVING"  # the state in which an engine accepts new requests

RemoveSettled = Callable[[str, ObservedRequest, float], None]


class EngineRules:
    """Handlers of the events at the engines; each method receives its event's values."""

    __slots__ = (
        "_breaches",
        "_counts",
        "_key_order",
        "_not_serving_since_ms",
        "_remove_settled",
        "_requests",
        "_retry_budget",
        "_settings",
        "max_late_start_ms",
    )

    def __init__(
        self,
        settings: RuleSettings,
        requests: RequestTable,
        key_order: KeyOrder,
        retry_budget: RetryBudget,
        breaches: BreachLog,
        counts: Counter[str],
        remove_settled: RemoveSettled,
    ) -> None:
        self._settings = settings
        self._requests = requests
        self._key_order = key_order
        self._retry_budget = retry_budget
        self._breaches = breaches
        self._counts = counts
        self._remove_settled = remove_settled
        # By broker and engine: when the broker was notified that the engine accepts no requests.
        self._not_serving_since_ms: dict[tuple[str, str], float] = {}
        # The longest time after its client's deadline at which work has started.
        self.max_late_start_ms = 0.0

    def on_notified(self, now_ms: float, broker: str, engine: str, state: str) -> None:
        """Record whether a broker may send requests to an engine."""
        if state == SERVING:
            self._not_serving_since_ms.pop((broker, engine), None)
        else:
            self._not_serving_since_ms.setdefault((broker, engine), now_ms)

    def on_health_check_read(self, now_ms: float, engine: str, word: str) -> None:
        """Record a health check in a deployment that allows none."""
        self._breaches.record(
            Rule.NO_HEALTH_CHECKS, now_ms, f"{word} came to {engine}, where none is allowed"
        )

    def on_priority_set(
        self,
        now_ms: float,
        engine: str,
        request_id: str,
        priority: int,
        previous: int | None,
        supported: bool,
    ) -> None:
        """Check a priority of a request."""
        is_change = previous is not None
        self._counts[Count.PRIORITY_CHANGES if is_change else Count.PRIORITIES] += 1
        if not supported:
            self._breaches.record(
                Rule.PRIORITIES,
                now_ms,
                f"{request_id} came to {engine} with a priority, where none is heeded",
            )
        elif not 0 <= priority <= HIGHEST_PRIORITY or priority == previous:
            self._breaches.record(
                Rule.PRIORITIES,
                now_ms,
                f"{request_id} at {engine}: priority {priority} after {previous}",
            )

    def on_attempt_read(
        self, now_ms: float, engine: str, connection_id: int, request_id: str, _lane: str, _ttl: int
    ) -> None:
        """Check an attempt by the rules on sending."""
        self._counts[Count.ATTEMPTS] += 1
        request = self._requests.get(request_id)
        if request is None:
            self._breaches.record(
                Rule.KNOWN_REQUESTS,
                now_ms,
                f"{engine}: {request_id}, which nobody asks for or which is over",
            )
            return
        self._check_still_open(now_ms, engine, request_id, request)
        self._check_drain(now_ms, engine, request_id, request)
        self._check_one_attempt(now_ms, engine, request_id, request)
        if request.attempts:
            self._count_retry(now_ms, request_id, request)
            self._check_retry_is_safe(now_ms, engine, request_id, request)
        self._key_order.check_head(request_id, request, now_ms)
        self._requests.add_attempt(request_id, ObservedAttempt(engine, connection_id))

    def on_attempt_read_slowly(
        self, now_ms: float, engine: str, connection_id: int, request_id: str, _lane: str, _ttl: int
    ) -> None:
        """Count an attempt that waited in a slow reader's buffer.

        The rules limit the time of sending, which is not known here, so they are not checked.
        """
        self._counts[Count.ATTEMPTS] += 1
        request = self._requests.get(request_id)
        if request is None or _ended_before(request, now_ms):
            self._counts[Count.READ_AFTER_END] += 1
        if request is None:
            return
        if request.attempts:
            self._count_retry(now_ms, request_id, request)
        attempt = ObservedAttempt(engine, connection_id, read_slowly=True)
        self._requests.add_attempt(request_id, attempt)

    def on_replied(
        self,
        now_ms: float,
        engine: str,
        connection_id: int,
        request_id: str,
        word: str,
        page_count: int,
        digest: str,
    ) -> None:
        """Record an engine's answer; a result of several pages is in flight until its last page."""
        found = self._requests.find_attempt(engine, connection_id, request_id)
        if found is None:
            return
        if word == "HIT":
            found.attempt.result_digest = digest
            if page_count > 1:
                return
        elif word in NEVER_RAN_WORDS:
            found.attempt.may_have_run = False
        self._end_attempt(now_ms, request_id, found.request, found.attempt)

    def on_last_page_sent(
        self, now_ms: float, engine: str, connection_id: int, request_id: str
    ) -> None:
        """End an attempt whose last page has been written."""
        found = self._requests.find_attempt(engine, connection_id, request_id)
        if found is not None:
            self._end_attempt(now_ms, request_id, found.request, found.attempt)

    def on_attempt_cancelled(
        self, now_ms: float, engine: str, connection_id: int, request_id: str
    ) -> None:
        """End a cancelled attempt; its work may continue."""
        self._counts[Count.CANCELS] += 1
        self._abandon_attempt(now_ms, engine, connection_id, request_id)

    def on_result_released(
        self, now_ms: float, engine: str, connection_id: int, request_id: str
    ) -> None:
        """End an attempt whose result the broker has released."""
        found = self._requests.find_attempt(engine, connection_id, request_id)
        if found is not None and found.attempt.in_flight:
            self._end_attempt(now_ms, request_id, found.request, found.attempt)

    def on_connection_closed(self, now_ms: float, engine: str, connection_id: int) -> None:
        """End the attempts of a connection; their work may continue."""
        for request_id in self._requests.close_connection(engine, connection_id):
            self._abandon_attempt(now_ms, engine, connection_id, request_id)

    def on_work_started(self, now_ms: float, engine: str, request_id: str) -> None:
        """Check that non-idempotent work starts once."""
        request = self._requests.get(request_id)
        if request is None:
            self._counts[Count.UNKNOWN_WORK_STARTED] += 1
            return
        request.work_start_count += 1
        self._counts[Count.WORK_STARTED] += 1
        if now_ms > request.deadline_ms + LATE_START_MS:
            # The platform's rules leave this to the engine, so it is not a breach. It is counted
            # because the page on deadlines promises that it doesn't happen.
            self._counts[Count.WORK_STARTED_LATE] += 1
            self.max_late_start_ms = max(self.max_late_start_ms, now_ms - request.deadline_ms)
        is_non_idempotent = request.query_class in self._settings.non_idempotent
        if request.work_start_count > 1 and is_non_idempotent:
            self._breaches.record(
                Rule.RUN_ONCE,
                now_ms,
                f"{request_id} ({request.query_class}) began {request.work_start_count} times, "
                f"now at {engine}",
            )

    def on_work_ended(self, _now_ms: float, _engine: str, _request_id: str, wanted: bool) -> None:
        """Count work by whether anyone still waited for it."""
        self._counts[Count.WORK_ENDED if wanted else Count.UNWANTED_WORK_ENDED] += 1

    def _check_still_open(
        self, now_ms: float, engine: str, request_id: str, request: ObservedRequest
    ) -> None:
        if request.outcome is not None and _ended_before(request, now_ms):
            self._breaches.record(
                Rule.NOTHING_AFTER_END,
                now_ms,
                f"{engine}: {request_id} sent {now_ms - request.ended_at_ms:.0f} ms after "
                f"its end, {request.outcome.value}",
            )

    def _check_drain(
        self, now_ms: float, engine: str, request_id: str, request: ObservedRequest
    ) -> None:
        not_serving_since_ms = self._not_serving_since_ms.get((request.broker, engine))
        if not_serving_since_ms is None:
            return
        if now_ms > not_serving_since_ms + self._settings.drain_grace_ms + SLACK_MS:
            self._breaches.record(
                Rule.DRAINS,
                now_ms,
                f"{engine}: {request_id} sent {now_ms - not_serving_since_ms:.0f} ms after "
                f"{request.broker} was told",
            )

    def _check_one_attempt(
        self, now_ms: float, engine: str, request_id: str, request: ObservedRequest
    ) -> None:
        for attempt in request.attempts:
            if attempt.in_flight and not attempt.read_slowly:
                self._breaches.suspect(
                    Rule.ONE_ATTEMPT,
                    now_ms,
                    f"{request_id} sent to {engine} while out at {attempt.engine}",
                    lambda attempt=attempt: not attempt.in_flight,  # type: ignore[misc]
                )

    def _check_retry_is_safe(
        self, now_ms: float, engine: str, request_id: str, request: ObservedRequest
    ) -> None:
        if request.query_class not in self._settings.non_idempotent:
            return
        for attempt in request.attempts:
            if attempt.may_have_run:
                self._breaches.suspect(
                    Rule.RUN_ONCE,
                    now_ms,
                    f"{request_id} ({request.query_class}) sent again to {engine}, and may "
                    f"have run at {attempt.engine}",
                    lambda attempt=attempt: not attempt.may_have_run,  # type: ignore[misc]
                )

    def _count_retry(self, now_ms: float, request_id: str, request: ObservedRequest) -> None:
        self._counts[Count.RETRIES] += 1
        self._retry_budget.add_retry(request.broker, request_id, now_ms)

    def _abandon_attempt(
        self, now_ms: float, engine: str, connection_id: int, request_id: str
    ) -> None:
        """End an attempt in flight that may still run."""
        found = self._requests.find_attempt(engine, connection_id, request_id)
        if found is None or not found.attempt.in_flight:
            return
        found.request.unresolved_at_ms = now_ms
        if not found.attempt.read_slowly:
            self._key_order.start_cool_down(found.request, now_ms)
        self._end_attempt(now_ms, request_id, found.request, found.attempt)

    def _end_attempt(
        self, now_ms: float, request_id: str, request: ObservedRequest, attempt: ObservedAttempt
    ) -> None:
        self._requests.remove_in_flight(request_id, attempt)
        self._remove_settled(request_id, request, now_ms)


def _ended_before(request: ObservedRequest, now_ms: float) -> bool:
    """Return whether the request ended more than ``SLACK_MS`` ago."""
    return request.outcome is not None and now_ms > request.ended_at_ms + SLACK_MS
