"""Computes the time limit of an attempt for its engine, and ends attempts without time left."""

from __future__ import annotations

import logging
from collections import Counter

from umberusher.deadlines.budget import MIN_ENGINE_TTL_MS, BudgetExhausted
from umberusher.deadlines.network_delay import DELAY_MARGIN_MS
from umberusher.decisions.events import AttemptOutcome
from umberusher.pipeline.request import Attempt
from umberusher.upstream.channel import EngineChannel
from umberusher.upstream.context import UpstreamContext

log = logging.getLogger(__name__)


class RemainingTime:
    """Computes the time limit that is sent with an attempt.

    Attributes:
        expired: Count of attempts that were not sent because too little time was left, by reason.
    """

    __slots__ = ("_context", "expired")

    def __init__(self, context: UpstreamContext) -> None:
        self._context = context
        self.expired: Counter[str] = Counter()

    def engine_ttl_ms(self, attempt: Attempt, channel: EngineChannel) -> int | BudgetExhausted:
        """Return the engine's time limit in milliseconds for an attempt that is sent now."""
        now_ms = self._context.now_ms()
        delay_ms = max(
            self._context.network_delays.allowance_ms(channel.engine),
            channel.delay.delay_ms(now_ms) + DELAY_MARGIN_MS,
        )
        attempt.network_delay_ms = delay_ms
        ttl_ms = attempt.request.budget.engine_ttl_ms(now_ms, delay_ms)
        if isinstance(ttl_ms, BudgetExhausted):
            return ttl_ms
        # An attempt may time out before its request does, and no query may start after either:
        # the shorter limit is sent.
        attempt_ms = int(attempt.timeout_at_ms - now_ms)
        return max(min(ttl_ms, attempt_ms), MIN_ENGINE_TTL_MS)

    def end_expired(self, attempt: Attempt, reason: BudgetExhausted) -> None:
        """End an attempt that expired before it was sent: it never ran, and no engine failed."""
        if attempt.ended:
            return
        log.info(
            "attempt_expired request=%s attempt=%d engine=%s reason=%s",
            attempt.request.request_id,
            attempt.number,
            attempt.engine,
            reason.name.lower(),
        )
        self.expired[reason.value] += 1
        self._context.registry.end_attempt(attempt, AttemptOutcome.WITHDRAWN)
