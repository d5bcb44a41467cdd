"""Limits of the platform's rules, and the tolerances of an observer on the sockets."""

from __future__ import annotations

from dataclasses import dataclass

SLACK_MS = 50.0
"""Added to each time limit: two sockets are read one after the other (platform's protocol page)."""

ANSWER_GRACE_MS = 20.0 + SLACK_MS
"""Time after a client's deadline in which the final answer may still arrive."""

RETRY_BUDGET_SLACK = 1.15
"""Factor on the retry budget: the observer's window and the broker's are not the same."""


@dataclass(slots=True, frozen=True)
class RuleSettings:
    """The limits of the rules, and the query classes that have rules of their own.

    Attributes:
        non_idempotent: Classes whose requests may run only once.
        ordered: Classes whose requests of one key run one after another.
        drain_grace_ms: Time after a notification in which an engine may still be sent requests.
        key_cool_down_ms: Cool-down of a key after an attempt that may still run.
        retry_budget_floor: Retries that are allowed regardless of the traffic.
        retry_budget_ratio: Further retries per request of the window.
        retry_budget_window_ms: Width of the retry budget's window.
    """

    non_idempotent: frozenset[str]
    ordered: frozenset[str]
    drain_grace_ms: float = 250.0
    key_cool_down_ms: float = 500.0
    retry_budget_floor: float = 5.0
    retry_budget_ratio: float = 0.1
    retry_budget_window_ms: float = 10_000.0
