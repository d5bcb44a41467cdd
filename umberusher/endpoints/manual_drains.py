"""Manual drains: engines that staff have taken out until called back; ids of removed engines.

All are bounded: instance ids are always new, so nothing may grow with the ids seen.
"""

from __future__ import annotations

import logging
from collections.abc import Collection, Container, Iterator
from typing import NamedTuple

log = logging.getLogger(__name__)

# Ids that were listed once and are not now; they can still be drained by hand.
MAX_REMOVED_IDS = 4_096
# Manual drains; over this the oldest one of an engine that is not listed is dropped.
MAX_MANUAL_DRAINS = 1_024


class RemovedIds(Collection[str]):
    """Ids that were listed and are not now, the newest last.

    Over ``MAX_REMOVED_IDS`` the oldest is dropped.
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
        """Remember an id as the newest."""
        self._ids.pop(engine, None)
        self._ids[engine] = None
        if len(self._ids) > MAX_REMOVED_IDS:
            del self._ids[next(iter(self._ids))]

    def discard(self, engine: str) -> None:
        """Forget an id: it is listed again."""
        self._ids.pop(engine, None)


class ManualDrains(dict[str, float]):
    """Drains begun by staff: by engine the Unix time in ms since when.

    Unix time because drains are handed over to another process, which has another timeline. A plain
    dictionary where it is read: each entry of a list is looked up in it.
    """

    def __init__(self, listed: Container[str]) -> None:
        """Hold no drains yet.

        Args:
            listed: The listed engines, whose drains are never dropped.
        """
        super().__init__()
        self._listed = listed

    def start(self, engine: str, since_unix_ms: float) -> None:
        """Add a drain; over the maximum, drop the oldest of an engine that is not listed."""
        if len(self) >= MAX_MANUAL_DRAINS:
            self._drop_oldest()
        self[engine] = since_unix_ms

    def end(self, engine: str) -> float | None:
        """Remove a drain; return since when it held, None where there is none."""
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
    """When an engine was called back from a manual drain.

    Attributes:
        unix_ms: In Unix time, as it is handed over to another process.
        timeline_ms: On this broker's timeline.
    """

    unix_ms: float
    timeline_ms: float
