"""Outlier detection: engines that fail are ejected for a limited time."""

from __future__ import annotations

from umberusher.decisions.engine import Engine
from umberusher.decisions.engine_pool import EnginePool
from umberusher.decisions.events import AttemptOutcome
from umberusher.decisions.request import Request

# First and longest ejection time; it doubles with each ejection since the last successful answer.
MIN_EJECTION_MS = 500.0
MAX_EJECTION_MS = 8_000.0
# Bounds the exponent of this doubling.
MAX_COUNTED_EJECTIONS = 10
# An engine that was overloaded or reset a connection is ejected for this long. If it is dead, the
# next attempt to connect fails.
OVERLOAD_PAUSE_MS = 150.0
# An engine is ejected after this many consecutive errors on requests that another engine served.
MAX_ATTRIBUTED_ERRORS = 3
# An engine that does not answer a health check is ejected until it answers one, or for this long.
UNRESPONSIVE_EJECTION_MS = 2_500.0


class OutlierDetection:
    """Ejections of engines, and the panic threshold.

    Attributes:
        panic: Whether over half of the engines are ejected, so that ejections are ignored.
    """

    def __init__(self, pool: EnginePool) -> None:
        self.panic = False
        self._pool = pool

    def ejected(self, now_ms: float) -> set[str]:
        """Return the ids of the engines that are up but receive no requests."""
        if self.panic:
            return set()
        return {engine.id for engine in self._pool.up if engine.ejected_until > now_ms}

    def update_panic(self, now_ms: float) -> None:
        """Compare the number of ejected engines with the panic threshold."""
        up = self._pool.up
        ejected_count = sum(engine.ejected_until > now_ms for engine in up)
        self.panic = 2 * ejected_count > len(up)

    def observe_success(self, engine: Engine) -> None:
        """Reset the failure counts of an engine."""
        engine.consecutive_ejections = 0
        engine.attributed_errors = 0

    def attribute_errors(self, request: Request, now_ms: float) -> None:
        """Attribute the errors on a request to their engines, once another engine has served it."""
        for engine in request.failing_engines:
            engine.attributed_errors += 1
            if engine.attributed_errors >= MAX_ATTRIBUTED_ERRORS:
                self._eject(engine, now_ms)

    def observe_failure(
        self, request: Request, engine: Engine, outcome: AttemptOutcome, now_ms: float
    ) -> None:
        """Record a failed attempt, and eject its engine where the outcome calls for it."""
        if outcome is AttemptOutcome.NO_CONNECTION:
            self._eject(engine, now_ms)
        elif outcome in (AttemptOutcome.OVERLOADED, AttemptOutcome.RESET):
            engine.ejected_until = max(engine.ejected_until, now_ms + OVERLOAD_PAUSE_MS)
        elif outcome is AttemptOutcome.ERROR:
            request.failing_engines.append(engine)

    def observe_health_check(self, engine: Engine, outcome: AttemptOutcome, now_ms: float) -> None:
        """Eject an engine that does not answer a health check, until it answers one.

        A hung engine accepts requests and answers none, while its last load report still shows
        little load.
        """
        if outcome is AttemptOutcome.TIMED_OUT:
            engine.unresponsive = True
            engine.ejected_until = max(engine.ejected_until, now_ms + UNRESPONSIVE_EJECTION_MS)
            self._pool.changed = True
        elif engine.unresponsive and outcome is AttemptOutcome.SUCCEEDED:
            engine.unresponsive = False
            engine.ejected_until = now_ms
            self._pool.changed = True

    def _eject(self, engine: Engine, now_ms: float) -> None:
        if engine.ejected_until > now_ms:
            return
        self._pool.changed = True
        ejection_ms = MIN_EJECTION_MS * 2.0**engine.consecutive_ejections
        engine.ejected_until = now_ms + min(ejection_ms, MAX_EJECTION_MS)
        engine.consecutive_ejections = min(engine.consecutive_ejections + 1, MAX_COUNTED_EJECTIONS)
