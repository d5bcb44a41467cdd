"""Eligibility: all rules on whether an attempt may be sent."""

from __future__ import annotations

from collections.abc import Callable

from umberusher.decisions.engine import Engine
from umberusher.decisions.key_order import KeyOrder
from umberusher.decisions.request import Attempt, Request
from umberusher.decisions.retry_budget import RetryBudget
from umberusher.decisions.settings import DeduplicationScope, Idempotency, QueryClass, Settings
from umberusher.decisions.slow_start import SlowStart


class Eligibility:
    """Checks every attempt with ``may_send`` before it is sent; there is no other path.

    Attributes:
        team_retry_budget: Returns whether the retry budget of a request's team allows one more
            retry, by request id; None where there are no teams.
    """

    def __init__(
        self,
        settings: Settings,
        key_order: KeyOrder,
        retry_budget: RetryBudget,
        slow_start: SlowStart,
        team_retry_budget: Callable[[str], bool] | None,
    ) -> None:
        self.team_retry_budget = team_retry_budget
        self._limits = settings.limits
        # An attempt may reach its engine up to two ticks of the broker after it was decided.
        self._send_delay_ms = 2 * settings.tick_ms
        self._key_order = key_order
        self._retry_budget = retry_budget
        self._slow_start = slow_start

    def may_send(self, request: Request, engine: Engine, now_ms: float) -> bool:
        """Return whether all rules allow an attempt of this request on this engine now."""
        return (
            self.may_attempt(request, now_ms)
            and self.may_use(request, engine, now_ms)
            and (
                request.slow_start_grant is engine
                or not self._slow_start.is_budgeted(engine, now_ms)
            )
        )

    def may_use(self, request: Request, engine: Engine, now_ms: float) -> bool:
        """Apply the rules on the engine: state, placement, deduplication and slow start."""
        query_class = request.query_class
        return (
            engine.up
            and (query_class.zones is None or engine.zone in query_class.zones)
            and (query_class.kinds is None or engine.kind in query_class.kinds)
            and self.may_repeat(request, engine, now_ms)
            and (engine.in_subset or not self._slow_start.is_budgeted(engine, now_ms))
        )

    def may_attempt(self, request: Request, now_ms: float) -> bool:
        """Apply the rules that do not depend on the choice of an engine."""
        if request.ended or request.streaming:
            return False
        if request.attempts_sent >= self._limits.max_attempts or now_ms >= request.deadline:
            return False
        if len(request.in_flight) > (1 if self._limits.hedging else 0):
            return False
        if request.query_class.idempotency is Idempotency.NON_IDEMPOTENT and (
            request.in_flight or request.unresolved
        ):
            return False
        if self._key_order.must_wait(request, now_ms):
            return False
        return not request.attempts_sent or self._may_retry(request, now_ms)

    def _may_retry(self, request: Request, now_ms: float) -> bool:
        if not self._retry_budget.allows_retry(now_ms):
            return False
        return self.team_retry_budget is None or self.team_retry_budget(request.id)

    def may_repeat(self, request: Request, engine: Engine, now_ms: float) -> bool:
        """Return False if the engine might run a keyed request again that may have run already."""
        query_class = request.query_class
        if query_class.idempotency is not Idempotency.KEYED:
            return True
        for attempt in (*request.unresolved, *request.in_flight.values()):
            if not self._drops_duplicate(query_class, attempt, engine, now_ms):
                return False
        return True

    def _drops_duplicate(
        self, query_class: QueryClass, attempt: Attempt, engine: Engine, now_ms: float
    ) -> bool:
        window_ms = query_class.deduplication_window_ms or 0.0
        if now_ms + self._send_delay_ms - attempt.sent_at > window_ms:
            return False
        scope = query_class.deduplication_scope
        if scope is DeduplicationScope.ZONE:
            return engine.zone is not None and attempt.zone == engine.zone
        if scope is DeduplicationScope.CELL:
            return engine.cell is not None and attempt.cell == engine.cell
        return True
