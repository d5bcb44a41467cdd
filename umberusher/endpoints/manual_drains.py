"""Manual drains, which operators start and end by hand, and the ids of removed engines.

All collections are bounded: new engines always have new instance ids, so a collection that kept
every id would grow without end.
"""

from __future__ import annotations

import logging
from collections.abc import Collection, Container, Iterator
from typing import NamedTuple

log = logging.getLogger(__name__)

# Limit of ids that are no longer listed; an operator can still drain them.
MAX_REMOVED_IDS = 4_096
# Limit of manual drains; above it the oldest drain of an engine that is not listed is dropped.
MAX_MANUAL_DRAINS = 1_024


class RemovedIds(Collection[str]):
    """Ids that are no longer listed, the newest last.

    Above ``MAX_REMOVED_IDS`` the oldest is dropped.
    """

    def __init__(self) -> None:
        self._ids: dict[str, None] = {}

    def __contains__(self, engine: object) -> bool:
        return engine in self._ids

    def __iter__(self) -> Iterator[str]:
        return iter(self._ids)

    def __len__(self) -> int:
        return len(self._ids)

    def add(self, engine: str) -> None:
        """Add an id as the newest."""
        self._ids.pop(engine, None)
        self._ids[engine] = None
        if len(self._ids) > MAX_REMOVED_IDS:
            del self._ids[next(iter(self._ids))]

    def discard(self, engine: str) -> None:
        """Remove an id that is listed again, if it is there."""
        self._ids.pop(engine, None)


class ManualDrains(dict[str, float]):
    """Drains started by operators: by engine, the Unix time in ms at which each began.

    The times are Unix times because drains are handed over to another process, which has another
    timeline. It is a dictionary so that lookups are cheap: each entry of an endpoint list is
    looked up here.
    """

    def __init__(self, listed: Container[str]) -> None:
        """Create an empty collection.

        Args:
            listed: The listed engines, whose drains are never dropped.
        """
        super().__init__()
        self._listed = listed

    def start(self, engine: str, since_unix_ms: float) -> None:
        """Add a drain; at the limit, first drop the oldest drain of an unlisted engine."""
        if len(self) >= MAX_MANUAL_DRAINS:
            self._drop_oldest()
        self[engine] = since_unix_ms

    def end(self, engine: str) -> float | None:
        """Remove a drain; return the Unix time in ms at which it began, None if there is none."""
        return self.pop(engine, None)

    def _drop_oldest(self) -> None:
        unlisted = (engine for engine in self if engine not in self._listed)
        oldest = next(unlisted, None)
        if oldest is not None:
            del self[oldest]
            log.warning(
                "manual_drain_dropped engine=%s reason=%r max_drains=%d",
                oldest,
                "not listed",
                MAX_MANUAL_DRAINS,
            )


class DrainEnd(NamedTuple):
    """When the manual drain of an engine ended.

    Attributes:
        unix_ms: The Unix time, which is handed over to another process.
        timeline_ms: The same time on this broker's timeline.
    """

    unix_ms: float
    timeline_ms: float
