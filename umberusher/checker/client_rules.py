"""Rules that are observed at the clients: one final answer, in time, with an engine's result."""

from __future__ import annotations

from collections import Counter

from umberusher.checker.breaches import BreachLog, Rule
from umberusher.checker.counts import Count
from umberusher.checker.events import Outcome
from umberusher.checker.key_order import KeyOrder
from umberusher.checker.requests import ObservedRequest, RequestTable
from umberusher.checker.retry_budget import RetryBudget
from umberusher.checker.settings import ANSWER_GRACE_MS, RuleSettings


class ClientRules:
    """Handlers of the events at the clients; each method receives its event's values."""

    __slots__ = ("_breaches", "_counts", "_key_order", "_requests", "_retry_budget", "_settings")

    def __init__(
        self,
        settings: RuleSettings,
        requests: RequestTable,
        key_order: KeyOrder,
        retry_budget: RetryBudget,
        breaches: BreachLog,
        counts: Counter[str],
    ) -> None:
        self._settings = settings
        self._requests = requests
        self._key_order = key_order
        self._retry_budget = retry_budget
        self._breaches = breaches
        self._counts = counts

    def on_request_sent(
        self,
        now_ms: float,
        broker: str,
        request_id: str,
        query_class: str,
        order_key: str,
        budget_ms: float,
        _retry: str,
    ) -> None:
        """Open a request; count it as resent if it was open and crossed a connection's close."""
        self._counts[Count.REQUESTS_SENT] += 1
        if request_id in self._requests.by_id:
            self._counts[Count.RESENT_AFTER_CLOSE] += 1
            return
        request = ObservedRequest(broker, query_class, order_key, now_ms + budget_ms)
        self._requests.by_id[request_id] = request
        self._retry_budget.add_request(broker, now_ms)
        self._key_order.append(request_id, request)

    def on_answered(
        self,
        now_ms: float,
        _broker: str,
        request_id: str,
        outcome: str,
        digest: str,
        _retry_after: str,
    ) -> None:
        """Check a final answer and end its request."""
        self._counts[outcome] += 1
        request = self._requests.get(request_id)
        if request is None or request.outcome is not None:
            self._breaches.record(
                Rule.ANSWERED_ONCE, now_ms, f"{request_id}: {outcome}, and it was not open"
            )
            return
        request.end(Outcome(outcome), now_ms)
        if now_ms > request.deadline_ms + ANSWER_GRACE_MS:
            self._breaches.record(
                Rule.ANSWERED_ONCE,
                now_ms,
                f"{request_id}: {outcome} {now_ms - request.deadline_ms:.0f} ms after its time",
            )
        self._check_result(now_ms, request_id, request, digest)
        self._check_rejection(now_ms, request_id, request)
        self.remove_settled(request_id, request, now_ms)

    def on_client_gave_up(self, now_ms: float, _broker: str, request_id: str, outcome: str) -> None:
        """End a request that its client interrupted."""
        self._counts[outcome] += 1
        self._end_if_open(now_ms, request_id, Outcome(outcome))

    def on_answer_crossed(
        self, _now_ms: float, _broker: str, _request_id: str, _outcome: str
    ) -> None:
        """Count an answer that crossed its client's interrupt."""
        self._counts[Count.ANSWERS_CROSSED] += 1

    def on_unexpected_answer(
        self, now_ms: float, broker: str, call_description: str, outcome: str
    ) -> None:
        """Record an answer that belongs to no open request."""
        self._breaches.record(
            Rule.ANSWERED_ONCE,
            now_ms,
            f"{broker}: a second answer, {outcome}, to {call_description}",
        )

    def on_request_lost(self, now_ms: float, _broker: str, request_id: str) -> None:
        """End a request whose connection ended without an answer."""
        self._counts[Outcome.LOST] += 1
        request = self._end_if_open(now_ms, request_id, Outcome.LOST)
        if request is not None:
            self._breaches.record(
                Rule.ANSWERED_ONCE,
                now_ms,
                f"{request_id} ({request.query_class}): its connection ended without an answer",
            )

    def on_unreadable(self, now_ms: float, broker: str, reason: str) -> None:
        """Record bytes that can't be decoded as an answer."""
        self._breaches.record(Rule.ANSWERED_ONCE, now_ms, f"{broker}: unreadable: {reason}")

    def check_all_answered(self, now_ms: float) -> None:
        """Record the requests that are still open at the end of a replay."""
        for request_id, request in self._requests.by_id.items():
            if request.outcome is None:
                self._breaches.record(
                    Rule.ANSWERED_ONCE,
                    now_ms,
                    f"{request_id} ({request.query_class}) never got an answer",
                )

    def remove_settled(self, request_id: str, request: ObservedRequest, now_ms: float) -> None:
        """Schedule the removal of a settled request, and advance its key queue."""
        if request.settled:
            self._requests.schedule_removal(request_id, now_ms)
            self._key_order.remove_settled(request, now_ms)

    def _end_if_open(
        self, now_ms: float, request_id: str, outcome: Outcome
    ) -> ObservedRequest | None:
        """End an open request and return it; None if it is unknown or has ended."""
        request = self._requests.get(request_id)
        if request is None or request.outcome is not None:
            return None
        request.end(outcome, now_ms)
        self.remove_settled(request_id, request, now_ms)
        return request

    def _check_result(
        self, now_ms: float, request_id: str, request: ObservedRequest, digest: str
    ) -> None:
        if request.outcome is not Outcome.SERVED:
            return
        if digest not in {each.result_digest for each in request.attempts}:
            self._breaches.record(
                Rule.SERVED_RESULT,
                now_ms,
                f"{request_id}: served with what no node made for it",
            )

    def _check_rejection(self, now_ms: float, request_id: str, request: ObservedRequest) -> None:
        if request.outcome is not Outcome.REJECTED:
            return
        if request.query_class not in self._settings.non_idempotent:
            return
        if any(each.may_have_run for each in request.attempts):
            self._breaches.record(
                Rule.RUN_ONCE, now_ms, f"{request_id}: refused, but it may have run"
            )
