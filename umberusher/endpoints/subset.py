"""The subset of the listed engines that this broker uses, kept current as the list changes.

The cost of a change is proportional to the number of entries it touches; an entry outside the
subset costs one hash. The whole directory is scanned only if the number of engines that are up has
changed by so much that the width changes.
"""

from __future__ import annotations

import math
from array import array
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from umberusher.decisions.settings import DeduplicationScope, QueryClass
from umberusher.endpoints.companions import CompanionIndex
from umberusher.endpoints.directory import STATE_UP, EndpointDirectory, ZoneAndKind
from umberusher.endpoints.subset_ring import SLICES, SubsetRing

# Minimum number of engines used for a query class that is bound to zones or kinds.
MIN_ENGINES_PER_CONSTRAINT = 8
# Minimum number of engines used in the cell or zone to which a retry is bound.
MIN_COMPANIONS = 4
# Limit of temporary members; above it the oldest one is dropped.
MAX_TEMPORARY_MEMBERS = 64
# Minimum fraction of the listed engines that counts as up in the computation of the width: when all
# listed engines drain, the subset must not grow to the whole list.
MIN_UP_FRACTION = 0.25


class EndpointConstraint(NamedTuple):
    """Zones and kinds to which a query class is bound; None or an empty tuple means any."""

    zones: tuple[str, ...] | None
    kinds: tuple[str, ...] | None

    def matches(self, group: ZoneAndKind) -> bool:
        """Whether engines of that zone and kind may be used."""
        zone, kind = group
        zone_matches = not self.zones or zone in self.zones
        return zone_matches and (not self.kinds or kind in self.kinds)


ANY_ENDPOINT = EndpointConstraint(None, None)


def endpoint_constraints(classes: Iterable[QueryClass]) -> list[EndpointConstraint]:
    """Return the distinct constraints of the query classes that have one."""
    constraints = (EndpointConstraint(each.zones, each.kinds) for each in classes)
    return list(dict.fromkeys(each for each in constraints if each.zones or each.kinds))


@dataclass(slots=True)
class SubsetChange:
    """A change of the subset that is to be published.

    Attributes:
        updated: Engines that are in the subset now and are new or changed, in order.
        removed: Engines that are no longer in the subset.
    """

    updated: dict[str, None] = field(default_factory=dict)
    removed: list[str] = field(default_factory=list)


class GroupWidth(NamedTuple):
    """The width for the engines of one zone and kind.

    Attributes:
        slices: The width, in slices of the ring.
        broker_count: Maximum number of brokers that use one such engine.
    """

    slices: int
    broker_count: float


class EndpointSubset:
    """One broker's subset of a directory.

    Attributes:
        in_subset: By slot, whether the engine is in the subset, so that the decisions know it.
        temporary_members: Engines beyond the width that a retry needs, each with the time in ms
            until which it is needed.
        full_scan_count: Number of scans of the whole directory.
    """

    def __init__(
        self, directory: EndpointDirectory, ring: SubsetRing, classes: Sequence[QueryClass] = ()
    ) -> None:
        self.in_subset = bytearray()
        self.temporary_members: dict[str, float] = {}
        self.full_scan_count = 0
        self._directory = directory
        self._ring = ring
        self._constraints = endpoint_constraints(classes)
        # The width for all engines, followed by the width for each constraint.
        self._widths = [SLICES] * (1 + len(self._constraints))
        self._brokers_by_width = {SLICES: ring.brokers_per_engine(SLICES)}
        self._width_by_group: dict[ZoneAndKind, GroupWidth] = {}
        self._distances = array("H")  # from the first slice of the ring, by slot
        self._companions = CompanionIndex(directory)

    @property
    def covers_all(self) -> bool:
        """Whether all listed engines are in the subset."""
        return self._widths[0] >= SLICES

    def broker_count(self, slot: int) -> float:
        """Return the maximum number of brokers that use an engine of this zone and kind."""
        return self._group_width(slot).broker_count

    # -- Changes of the list

    def remove(self, engine: str, slot: int) -> bool:
        """Remove an engine that has left the directory; return whether it was in the subset."""
        self._companions.invalidate()
        self.temporary_members.pop(engine, None)
        was_in_subset = slot < len(self.in_subset) and bool(self.in_subset[slot])
        if was_in_subset:
            self.in_subset[slot] = 0
        return was_in_subset

    def update(self, touched: Iterable[str], now_ms: float) -> SubsetChange:
        """Update the subset after a change of the directory.

        Args:
            touched: Engines that are new or changed; those that are not listed are ignored.
            now_ms: The broker's time, by which temporary memberships expire.
        """
        self._companions.invalidate()
        self._add_slots()
        slots = self._directory.slots
        change = SubsetChange()
        listed = [engine for engine in touched if engine in slots]
        for engine in listed:
            self._distances[slots[engine]] = self._ring.distance(engine)
        if self._update_widths():
            # The number of brokers per engine has changed too, so the whole subset is published.
            self.full_scan_count += 1
            for engine, slot in slots.items():
                self._update_membership(engine, slot, change)
        else:
            for engine in listed:
                self._update_membership(engine, slots[engine], change)
            self._end_temporary_members(now_ms, change)
        return change

    def _add_slots(self) -> None:
        missing = len(self._directory.ids) - len(self.in_subset)
        if missing > 0:
            self.in_subset.extend(bytes(missing))
            self._distances.extend([0] * missing)

    def _update_membership(self, engine: str, slot: int, change: SubsetChange) -> None:
        """Add an engine to the subset or remove it, by its distance and temporary membership."""
        within_width = self._distances[slot] < self._group_width(slot).slices
        if within_width or engine in self.temporary_members:
            self.in_subset[slot] = 1
            change.updated[engine] = None
        elif self.in_subset[slot]:
            self.in_subset[slot] = 0
            change.removed.append(engine)

    # -- Widths

    def _group_width(self, slot: int) -> GroupWidth:
        profile = self._directory.profiles[slot]
        group = (profile.zone, profile.kind)
        found = self._width_by_group.get(group)
        if found is None:
            found = self._max_group_width(group)
            if len(self._width_by_group) > SLICES:
                # Bounds memory: zones and kinds are free texts, so there may be any number of them.
                self._width_by_group.clear()
            self._width_by_group[group] = found
        return found

    def _max_group_width(self, group: ZoneAndKind) -> GroupWidth:
        constraints = [ANY_ENDPOINT, *self._constraints]
        slices = max(
            width
            for width, constraint in zip(self._widths, constraints, strict=True)
            if constraint.matches(group)
        )
        return GroupWidth(slices, self._brokers_by_width[slices])

    def _update_widths(self) -> bool:
        """Recompute the widths from the number of engines up; return whether any has changed."""
        directory = self._directory
        min_up = math.ceil(MIN_UP_FRACTION * len(directory))
        widths = [self._ring.width(max(directory.up_count, min_up), self._widths[0])]
        for width, constraint in zip(self._widths[1:], self._constraints, strict=True):
            up_count = sum(
                count
                for group, count in directory.up_count_by_group.items()
                if constraint.matches(group)
            )
            widths.append(self._ring.width(up_count, width, MIN_ENGINES_PER_CONSTRAINT))
        if widths == self._widths:
            return False
        self._widths = widths
        self._brokers_by_width = {width: self._ring.brokers_per_engine(width) for width in widths}
        self._width_by_group.clear()
        return True

    # -- Temporary members

    def add_companions(
        self, engine: str, scope: DeduplicationScope, until_ms: float
    ) -> SubsetChange:
        """Add engines of the same cell or zone, if too few are in the subset for a retry.

        Args:
            engine: The engine to whose cell or zone a retry is bound.
            scope: Whether the retry is bound to the cell or to the zone.
            until_ms: Time until which the engines are needed.
        """
        change = SubsetChange()
        slot = self._directory.slots.get(engine)
        if slot is None or self.covers_all:
            return change
        states = self._directory.states
        companions = [
            other
            for other in self._companions.find(slot, scope)
            if states[other] == STATE_UP and other != slot
        ]
        known = [other for other in companions if self.in_subset[other]]
        self._extend_memberships(known, until_ms)
        missing_count = MIN_COMPANIONS - len(known)
        if missing_count > 0:
            others = [other for other in companions if not self.in_subset[other]]
            others.sort(key=self._distances.__getitem__)
            for other in others[:missing_count]:
                self._add_temporary_member(other, until_ms, change)
        return change

    def _extend_memberships(self, slots: Iterable[int], until_ms: float) -> None:
        """Extend the membership of temporary members to at least the given time."""
        for slot in slots:
            engine = self._directory.ids[slot]
            if engine in self.temporary_members:
                self.temporary_members[engine] = max(self.temporary_members[engine], until_ms)

    def _add_temporary_member(self, slot: int, until_ms: float, change: SubsetChange) -> None:
        while len(self.temporary_members) >= MAX_TEMPORARY_MEMBERS:
            self._end_temporary_member(next(iter(self.temporary_members)), change)
        engine = self._directory.ids[slot]
        if engine is not None:
            self.temporary_members[engine] = until_ms
            self._update_membership(engine, slot, change)

    def _end_temporary_members(self, now_ms: float, change: SubsetChange) -> None:
        ended = [engine for engine, until in self.temporary_members.items() if until <= now_ms]
        for engine in ended:
            self._end_temporary_member(engine, change)

    def _end_temporary_member(self, engine: str, change: SubsetChange) -> None:
        del self.temporary_members[engine]
        self._update_membership(engine, self._directory.slots[engine], change)
