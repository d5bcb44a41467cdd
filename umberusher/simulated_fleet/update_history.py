"""The numbered history of endpoint updates that the simulated discovery service publishes.

It writes the discovery service's JSON on its own and does not use the broker's codec, so that each
side of the connection is checked by an independent implementation.
"""

from __future__ import annotations

import bisect
import json
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import NamedTuple


class EntryState(StrEnum):
    """An engine's lifecycle state, as the wire protocol names it."""

    SERVING = "SERVING"
    DRAINING = "DRAINING"
    DELETED = "DELETED"


CLOSED_STATES = (EntryState.DRAINING, EntryState.DELETED)


@dataclass(frozen=True, slots=True)
class EndpointEntry:
    """One engine's entry in the endpoint list."""

    engine: str
    state: EntryState
    zone: str
    machine_type: str
    address: str = "127.0.0.1:9"
    weight: float = 8.0
    started_ms: int = 0

    def to_json(self) -> str:
        """Return the entry in the wire format."""
        return json.dumps(
            {
                "instanceId": self.engine,
                "hostPort": self.address,
                "zone": self.zone,
                "machineType": self.machine_type,
                "cell": 1,
                "lifecycle": self.state,
                "weight": self.weight,
                "startedAtMs": self.started_ms,
            }
        )


@dataclass(frozen=True, slots=True)
class NumberedUpdate:
    """One published update.

    Attributes:
        entries: The entries of the update.
        complete: Whether it replaces the whole list.
        changed_at_s: The time of the change, on the run's clock.
        json_text: The update in the wire format.
    """

    entries: tuple[EndpointEntry, ...]
    complete: bool
    changed_at_s: float
    json_text: str


class StateChange(NamedTuple):
    """An engine's state from one revision on."""

    revision: int
    state: EntryState


class UpdateHistory:
    """All updates of a run, numbered from 1, and the states that each engine went through."""

    __slots__ = ("_states", "updates")

    def __init__(self) -> None:
        self.updates: list[NumberedUpdate] = []
        self._states: dict[str, list[StateChange]] = {}

    @property
    def revision(self) -> int:
        """The newest update's number."""
        return len(self.updates)

    def add(
        self, entries: Sequence[EndpointEntry], changed_at_s: float, complete: bool = False
    ) -> int:
        """Append an update.

        Args:
            entries: The entries of the update; an engine named twice has the later state.
            changed_at_s: The time of the change.
            complete: Whether engines that are not named are deleted.

        Returns:
            The update's number.
        """
        revision = self.revision + 1
        if complete:
            self._delete_all_but({entry.engine for entry in entries}, revision)
        for entry in entries:
            states = self._states.setdefault(entry.engine, [])
            if not states or states[-1].state != entry.state:
                states.append(StateChange(revision, entry.state))
        instances = ", ".join(entry.to_json() for entry in entries)
        pool = f'{{"generation": 1, "reset": {json.dumps(complete)}, "instances": [{instances}]}}'
        json_text = f'{{"rev": {revision}, "pool": {pool}}}'
        self.updates.append(NumberedUpdate(tuple(entries), complete, changed_at_s, json_text))
        return revision

    def _delete_all_but(self, named: set[str], revision: int) -> None:
        for engine, states in self._states.items():
            if engine not in named and states[-1].state != EntryState.DELETED:
                states.append(StateChange(revision, EntryState.DELETED))

    def closed_since(self, engine: str, revision: int) -> int | None:
        """Return the revision since which an engine accepts no new statements.

        Args:
            engine: The engine's name.
            revision: The revision up to which the polling broker has been notified.

        Returns:
            The revision at which the engine was drained or deleted, 0 if it was never listed, or
            None if it is open.
        """
        states = self._states.get(engine)
        if not states:
            return 0
        index = bisect.bisect_right(states, revision, key=lambda change: change.revision) - 1
        if index < 0:
            return 0
        if states[index].state not in CLOSED_STATES:
            return None
        # An engine that is drained and then deleted is closed since the drain.
        while index and states[index - 1].state in CLOSED_STATES:
            index -= 1
        return states[index].revision
