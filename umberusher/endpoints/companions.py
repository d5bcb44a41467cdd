"""Companions: listed engines of the same zone or cell, found by an index built on demand."""

from __future__ import annotations

from collections.abc import Sequence

from umberusher.decisions.settings import DeduplicationScope
from umberusher.endpoints.directory import EndpointDirectory


class CompanionIndex:
    """Slots of a directory by zone and by cell.

    It is rebuilt on the first lookup after a change of the directory: most brokers never look
    anything up in it.
    """

    def __init__(self, directory: EndpointDirectory) -> None:
        self._directory = directory
        self._is_built = False
        self._by_zone: dict[str | None, list[int]] = {}
        self._by_cell: dict[int | None, list[int]] = {}

    def invalidate(self) -> None:
        """Discard the index because the directory has changed."""
        if self._is_built:
            self._is_built = False
            self._by_zone.clear()
            self._by_cell.clear()

    def find(self, slot: int, scope: DeduplicationScope) -> Sequence[int]:
        """Return the slots in the same zone or cell as a slot, itself among them.

        The result is empty if the scope is all engines, or if the engine's zone or cell is unknown.
        """
        profile = self._directory.profiles[slot]
        if scope is DeduplicationScope.ZONE and profile.zone is not None:
            self._build()
            return self._by_zone[profile.zone]
        if scope is DeduplicationScope.CELL and profile.cell is not None:
            self._build()
            return self._by_cell[profile.cell]
        return ()

    def _build(self) -> None:
        if self._is_built:
            return
        self._is_built = True
        for slot in self._directory.slots.values():
            profile = self._directory.profiles[slot]
            self._by_zone.setdefault(profile.zone, []).append(slot)
            self._by_cell.setdefault(profile.cell, []).append(slot)
