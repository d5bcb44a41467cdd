"""Breaches of the rules: a bounded record, and suspicions that may still clear up."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from umberusher.checker.settings import SLACK_MS

MAX_RECORDED = 100  # breaches whose descriptions are kept; all are counted


class Rule(StrEnum):
    """The rules that are checked; the values are written to result files."""

    ANSWERED_ONCE = "answered once"
    SERVED_RESULT = "served what an engine made"
    RUN_ONCE = "unsafe work once"
    ONE_ATTEMPT = "one attempt at a time"
    NOTHING_AFTER_END = "nothing after the end"
    KNOWN_REQUESTS = "known requests"
    KEY_ORDER = "key order"
    DRAINS = "drains"
    RETRY_BUDGET = "ration"
    NO_HEALTH_CHECKS = "no probes"
    PRIORITIES = "priorities"


@dataclass(slots=True, frozen=True)
class Breach:
    """One breach, at ``at_ms`` since the replay's start."""

    rule: Rule
    at_ms: float
    description: str

    def document(self) -> dict[str, str | float]:
        """Return the breach as it is written to result files."""
        return {"rule": self.rule.value, "at_ms": round(self.at_ms, 1), "what": self.description}


@dataclass(slots=True, frozen=True)
class Suspicion:
    """A breach unless ``cleared`` returns true when it is called after ``until_ms``."""

    until_ms: float
    cleared: Callable[[], bool]
    rule: Rule
    description: str


class BreachLog:
    """Counts all breaches, records the first ones, and holds suspicions until they are due."""

    __slots__ = ("_suspicions", "counts", "recorded")

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.recorded: list[Breach] = []
        # All suspicions wait for the same time, so the oldest is due first.
        self._suspicions: deque[Suspicion] = deque()

    def record(self, rule: Rule, at_ms: float, description: str) -> None:
        """Record a breach."""
        self.counts[rule.value] += 1
        if len(self.recorded) < MAX_RECORDED:
            self.recorded.append(Breach(rule, at_ms, description))

    def suspect(
        self, rule: Rule, at_ms: float, description: str, cleared: Callable[[], bool]
    ) -> None:
        """Record a breach unless it clears up within ``SLACK_MS``."""
        self._suspicions.append(Suspicion(at_ms + SLACK_MS, cleared, rule, description))

    def settle_due(self, now_ms: float) -> None:
        """Resolve the suspicions that were due before ``now_ms``."""
        while self._suspicions and self._suspicions[0].until_ms < now_ms:
            self._settle(self._suspicions.popleft(), now_ms)

    def settle_all(self, now_ms: float) -> None:
        """Resolve every suspicion at the end of a replay."""
        while self._suspicions:
            self._settle(self._suspicions.popleft(), now_ms)

    def _settle(self, suspicion: Suspicion, now_ms: float) -> None:
        if not suspicion.cleared():
            self.record(suspicion.rule, now_ms, suspicion.description)
