"""The interface of the broker that the admin server uses.

Only type checkers import this module: a protocol class would use memory in each running broker.
"""

from __future__ import annotations

from typing import Protocol


class AdminBackend(Protocol):
    """Executes the admin calls."""

    def is_ready(self) -> bool:
        """Return whether this process is ready for clients."""

    def metrics_text(self) -> str:
        """Return the metrics in the Prometheus text format."""

    def start_manual_drain(self, engine: str) -> bool:
        """Drain an engine until ``end_manual_drain``; return whether its id is known."""

    def end_manual_drain(self, engine: str) -> bool:
        """End the manual drain of an engine; return whether its id is known."""
