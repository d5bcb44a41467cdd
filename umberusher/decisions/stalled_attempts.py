"""Stalled attempts: the probability that an overdue answer never arrives."""

from __future__ import annotations

from umberusher.decisions.events import AttemptEnded, AttemptOutcome
from umberusher.decisions.latency_estimates import LatencyEstimates
from umberusher.decisions.request import Attempt, Request

# An attempt is long if it takes more than this multiple of its expected latency. Shorter expected
# latencies count as the minimum.
LONG_FACTOR = 10.0
MIN_EXPECTED_MS = 30.0
# Weight of the end of a long attempt in the stall probability; fraction by which each other answer
# lowers it.
LONG_WEIGHT = 0.15
FADE_FRACTION = 0.002
# From this probability on, attempts of ordered requests have a timeout of their own.
TIMEOUT_STALL_PROBABILITY = 0.3
# Attempt timeout from then on: the larger of these multiples of the expected latency and of the
# latency objective.
TIMEOUT_EXPECTED_FACTOR = 8.0
TIMEOUT_OBJECTIVE_FACTOR = 1.5


class StalledAttempts:
    """Estimates how likely an overdue answer never arrives.

    Attributes:
        stall_probability: 0 if all overdue answers arrive, 1 if none does.
    """

    def __init__(self, estimates: LatencyEstimates) -> None:
        self.stall_probability = 0.0
        self._estimates = estimates

    def observe_end(self, attempt: Attempt, event: AttemptEnded) -> None:
        """Update the probability by an attempt that succeeded or timed out at the deadline."""
        timed_out_at_deadline = event.outcome is AttemptOutcome.TIMED_OUT and event.request_closed
        succeeded = event.outcome is AttemptOutcome.SUCCEEDED
        is_long = event.elapsed_ms > LONG_FACTOR * max(attempt.expected_ms, MIN_EXPECTED_MS)
        if is_long and (timed_out_at_deadline or succeeded):
            self.stall_probability += LONG_WEIGHT * (timed_out_at_deadline - self.stall_probability)
        elif succeeded:
            self.stall_probability *= 1 - FADE_FRACTION

    def timeout_ms(self, request: Request, expected_ms: float) -> float | None:
        """Return the timeout of an attempt; None if only the client's deadline limits it.

        The timeout keeps a lost answer from blocking all later requests of its key. Other slow
        attempts have none: an attempt that is cut off may have run, so it can't be retried.
        """
        if request.key is None or self.stall_probability < TIMEOUT_STALL_PROBABILITY:
            return None
        objective_ms = self._estimates.objective_at(request) - request.arrived_at
        return round(
            max(
                TIMEOUT_EXPECTED_FACTOR * max(expected_ms, MIN_EXPECTED_MS),
                TIMEOUT_OBJECTIVE_FACTOR * objective_ms,
            )
        )
