"""The directory of every listed engine, stored in columns that are indexed by slot.

There is one array per field instead of one object per engine. This keeps a broker's memory small
when 32,000 engines are listed, most of which it never uses: numbers and states are stored in arrays
of machine values, and engines with equal zone, kind, cell and weight share one profile object. A
change touches one slot; no operation scans all slots.
"""

from __future__ import annotations

from array import array
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from umberusher.decisions.events import EndpointState, EndpointUpdate

ZoneAndKind = tuple[str | None, str | None]
"""The properties to which a query class can be bound."""

ProfileFields = tuple[str | None, str | None, int | None, float | None]
"""The fields of a :class:`Profile` as a plain tuple, which compares equal to the profile."""

UNKNOWN_ADDRESS = ("", 0)  # of an engine listed without an address; it gets no new requests

# Numbers by which the columns store the states; each is an index into STATES.
STATE_UP = 0
STATE_DRAINING = 1
STATE_REMOVED = 2
STATES = (EndpointState.UP, EndpointState.DRAINING, EndpointState.REMOVED)

# Size limit of the cache of shared profiles. Cells can be added and removed without end: above the
# limit the cache is cleared, and profiles are cached again as they are used.
MAX_SHARED_PROFILES = 4_096


class Profile(NamedTuple):
    """The properties of an engine that many engines have in common."""

    zone: str | None
    kind: str | None
    cell: int | None
    weight: float | None


# Profile of an engine whose properties are unknown, and of a free slot.
NO_PROFILE = Profile(None, None, None, None)


@dataclass(slots=True)
class Endpoint:
    """One listed engine. Its key is the instance id, since addresses are reused.

    Attributes:
        engine: Instance id.
        address: Host and port.
        state: The effective state at this broker: an engine that is announced as up counts as
            draining during a manual drain.
        last_update: The engine as the discovery service last announced it.
    """

    engine: str
    address: tuple[str, int]
    state: EndpointState
    last_update: EndpointUpdate


class EndpointDirectory(Mapping[str, Endpoint]):
    """Listed engines by instance id. Slots of removed engines are reused.

    Callers that scan thousands of engines read the columns directly.

    Attributes:
        slots: Slot by instance id.
        ids: Instance ids by slot; None in a free slot.
        profiles: Profiles by slot.
        announced_states: States as announced by the discovery service, by slot.
        states: Effective states at this broker, by slot.
        started_unix_ms: Announced start times by slot, in Unix time; 0 where none was announced.
        started_ms: The same times on the broker's own timeline. They are converted once, when
            announced: a second conversion would differ by the resolution of the clocks, and the
            engine would appear to have restarted.
        up_count: Number of engines that are up.
        up_count_by_group: Number of engines that are up, by zone and kind.
    """

    def __init__(self) -> None:
        self.slots: dict[str, int] = {}
        self.ids: list[str | None] = []
        self.profiles: list[Profile] = []
        self.announced_states = bytearray()
        self.states = bytearray()
        self.started_unix_ms = array("d")
        self.started_ms = array("d")
        self.up_count = 0
        self.up_count_by_group: Counter[ZoneAndKind] = Counter()
        self._hosts: list[str] = []
        self._ports = array("H")
        self._free_slots: list[int] = []
        self._shared_profiles: dict[ProfileFields, Profile] = {}

    # -- Mapping

    def __len__(self) -> int:
        return len(self.slots)

    def __iter__(self) -> Iterator[str]:
        return iter(self.slots)

    def __contains__(self, engine: object) -> bool:
        return engine in self.slots

    def __getitem__(self, engine: str) -> Endpoint:
        slot = self.slots[engine]
        return Endpoint(
            engine,
            (self._hosts[slot], self._ports[slot]),
            STATES[self.states[slot]],
            self._last_update(engine, slot),
        )

    def _last_update(self, engine: str, slot: int) -> EndpointUpdate:
        """Return an engine as last announced; its start time is in Unix time."""
        profile = self.profiles[slot]
        return EndpointUpdate(
            engine,
            STATES[self.announced_states[slot]],
            profile.kind,
            profile.zone,
            profile.cell,
            profile.weight,
            self.started_unix_ms[slot] or None,
        )

    # -- Changes

    def put(
        self, entry: EndpointUpdate, address: tuple[str, int] | None, started_ms: float
    ) -> bool:
        """Store an announced entry of an engine that is not removed.

        Args:
            entry: The engine as announced.
            address: Its address; None keeps the known one.
            started_ms: Its start time on the broker's timeline, used only if the announced start
                time has changed.

        Returns:
            Whether an engine that was already listed has moved to another address.
        """
        slot = self.slots.get(entry.engine)
        if slot is None:
            slot = self._allocate_slot(entry.engine)
            self._hosts[slot], self._ports[slot] = address or UNKNOWN_ADDRESS
            address_changed = False
        else:
            address_changed = self._change_address(slot, address)
        profile = (entry.zone, entry.kind, entry.cell, entry.weight)
        if profile != self.profiles[slot]:
            self._adjust_up_counts(slot, -1)
            self.profiles[slot] = self._shared_profile(profile)
            self._adjust_up_counts(slot, 1)
        started_unix_ms = entry.started_ms or 0.0
        if started_unix_ms != self.started_unix_ms[slot]:
            self.started_unix_ms[slot] = started_unix_ms
            self.started_ms[slot] = started_ms
        self.announced_states[slot] = STATES.index(entry.state)
        return address_changed

    def set_state(self, slot: int, state: int) -> None:
        """Set the effective state of an engine: ``STATE_UP`` or ``STATE_DRAINING``."""
        self._adjust_up_counts(slot, -1)
        self.states[slot] = state
        self._adjust_up_counts(slot, 1)

    def remove(self, engine: str) -> int | None:
        """Remove an engine; return the slot that it had, or None if it was not listed."""
        slot = self.slots.pop(engine, None)
        if slot is not None:
            self._adjust_up_counts(slot, -1)
            self.ids[slot] = None
            self.profiles[slot] = NO_PROFILE
            self.states[slot] = STATE_REMOVED
            self._free_slots.append(slot)
        return slot

    def _allocate_slot(self, engine: str) -> int:
        if self._free_slots:
            slot = self._free_slots.pop()
            self.ids[slot] = engine
            self.started_unix_ms[slot] = 0.0
            self.started_ms[slot] = 0.0
        else:
            slot = len(self.ids)
            self.ids.append(engine)
            self.profiles.append(NO_PROFILE)
            self._hosts.append("")
            self._ports.append(0)
            self.announced_states.append(STATE_REMOVED)
            self.states.append(STATE_REMOVED)
            self.started_unix_ms.append(0.0)
            self.started_ms.append(0.0)
        self.slots[engine] = slot
        return slot

    def _change_address(self, slot: int, address: tuple[str, int] | None) -> bool:
        """Set the address, if one is given; return whether it differs from the known one."""
        if address is None or (self._hosts[slot], self._ports[slot]) == address:
            return False
        self._hosts[slot], self._ports[slot] = address
        return True

    def _shared_profile(self, fields: ProfileFields) -> Profile:
        """Return the profile object that all engines with these fields share."""
        profile = self._shared_profiles.get(fields)
        if profile is None:
            if len(self._shared_profiles) > MAX_SHARED_PROFILES:
                self._shared_profiles.clear()
            profile = Profile(*fields)
            self._shared_profiles[profile] = profile
        return profile

    def _adjust_up_counts(self, slot: int, step: int) -> None:
        """Add ``step`` to the counts of engines that are up, if this engine is up."""
        if self.states[slot] != STATE_UP:
            return
        profile = self.profiles[slot]
        group = (profile.zone, profile.kind)
        self.up_count += step
        self.up_count_by_group[group] += step
        if not self.up_count_by_group[group]:
            # Bounds memory: zones and kinds are free texts, so there may be any number of them.
            del self.up_count_by_group[group]
