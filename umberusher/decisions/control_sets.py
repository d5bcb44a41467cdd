"""Control sets: the learned probabilities with which engines are drawn as candidates.

Source: "Dynamic Scope of Control in Decentralized Job Scheduling". Each request draws a fresh
control set, every engine by its own probability; outcomes and load reports update it.
"""

from __future__ import annotations

from umberusher.decisions.engine import Engine

# The paper's a: a good outcome raises the probability by this fraction of its distance to 1.
REWARD = 0.05
# The paper's b: a bad outcome lowers the probability by this fraction.
PENALTY = 0.01
# Initial mean size of a control set: the paper assumes two candidates per draw.
INITIAL_SET_SIZE = 2.0
# The least probability is this divided by the number of engines, so that every engine is still
# selected at times.
MIN_SET_SIZE = 0.4
# One load report rewards or penalizes at most this many sends since the report before it.
MAX_CREDITED_SENDS = 20


class ControlSets:
    """Sets and updates the selection probabilities of engines."""

    __slots__ = ("min_probability",)

    def __init__(self) -> None:
        self.min_probability = 1.0

    def resize(self, engine_count: int) -> None:
        """Set the least probability for this number of engines."""
        self.min_probability = min(1.0, MIN_SET_SIZE / engine_count)

    def initial_probability(self, subset_size: int) -> float:
        """Return the probability of an engine that joins a subset of this size."""
        return min(1.0, INITIAL_SET_SIZE / subset_size)

    def dilute(self, engine: Engine, size_before: int, size: int) -> None:
        """Lower the probability of an engine in proportion to the growth of the subset."""
        engine.selection_probability = max(
            engine.selection_probability * size_before / size, self.min_probability
        )

    def penalize_failure(self, engine: Engine) -> None:
        """Lower the probability after a failed attempt; no load report credits that send."""
        engine.selection_probability = max(
            engine.selection_probability * (1 - PENALTY), self.min_probability
        )
        engine.uncredited_sends = max(engine.uncredited_sends - 1, 0)

    def credit_sends(self, engine: Engine, below_mean_load: bool) -> None:
        """Reward or penalize the sends since the last load report by the load in this one."""
        probability = engine.selection_probability
        for _ in range(min(engine.uncredited_sends, MAX_CREDITED_SENDS)):
            if below_mean_load:
                probability += REWARD * (1 - probability)
            else:
                probability += -PENALTY * probability
        engine.selection_probability = max(probability, self.min_probability)
        engine.uncredited_sends = 0
