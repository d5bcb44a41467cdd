"""Stalled attempts: whether an answer that takes long still comes."""

from __future__ import annotations

from umberusher.decisions.events import AttemptEnded, AttemptOutcome
from umberusher.decisions.latency_estimates import LatencyEstimates
from umberusher.decisions.request import Attempt, Request

# An attempt is long after this many times its expected latency, and after this at least.
LONG_FACTOR = 10.0
MIN_EXPECTED_MS = 30.0
# Weight of a long attempt's end in the belief; fraction of it that each other answer takes.
LONG_WEIGHT = 0.15
FADE_FRACTION = 0.002
# Belief from which a key no longer waits for an answer till its client gives up.
TIMEOUT_STALL_PROBABILITY = 0.3
# How long it waits then: times the expected latency, and times the latency objective.
TIMEOUT_EXPECTED_FACTOR = 8.0
TIMEOUT_OBJECTIVE_FACTOR = 1.5


class StalledAttempts:
    """The belief that an answer which takes long never comes, from what clients saw out.

    Attributes:
        belief: From 0, all long answers come, to 1.
    """

    def __init__(self, estimates: LatencyEstimates) -> None:
        self.stall_probability = 0.0
        self._estimates = estimates

    def observe_end(self, attempt: Attempt, event: AttemptEnded) -> None:
        """Learn from an attempt that was answered, or that its client waited for to the end."""
        timed_out_at_deadline = event.outcome is AttemptOutcome.TIMED_OUT and event.request_closed
        succeeded = event.outcome is AttemptOutcome.SUCCEEDED
        is_long = event.elapsed_ms > LONG_FACTOR * max(attempt.expected_ms, MIN_EXPECTED_MS)
        if is_long and (timed_out_at_deadline or succeeded):
            self.stall_probability += LONG_WEIGHT * (timed_out_at_deadline - self.stall_probability)
        elif succeeded:
            self.stall_probability *= 1 - FADE_FRACTION

    def timeout_ms(self, request: Request, expected_ms: float) -> float | None:
        """Return how long the key of a request waits for it; None: until its client gives up.

        Guards a key whose answers are lost. Elsewhere a slow attempt is let run: what is cut may
        have run and can't be tried again.
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
