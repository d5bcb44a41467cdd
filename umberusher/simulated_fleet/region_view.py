"""The part of the update history that one region's control machines have, and their answers."""

from __future__ import annotations

from dataclasses import dataclass

from umberusher.simulated_fleet.update_history import EntryState, NumberedUpdate, UpdateHistory

# Updates that are sent one by one; a broker that is further behind receives the complete list.
UPDATES_SENT_MAX = 8_192
# Answers that are cached: brokers at the same revision receive the same bytes.
CACHED_ANSWERS_MAX = 64


@dataclass(frozen=True, slots=True)
class PollAnswer:
    """The body of an answer, and whether it holds the complete list."""

    body: bytes
    complete: bool


class RegionView:
    """The update history up to one revision, and the complete list at that revision."""

    __slots__ = ("_complete_body", "_history", "_update_bodies", "entries", "revision")

    def __init__(self, history: UpdateHistory) -> None:
        self._history = history
        self.revision = 0
        # JSON of each listed engine.
        self.entries: dict[str, str] = {}
        self._complete_body: bytes | None = None
        # Answers made of single updates, by the revision that the polling broker has.
        self._update_bodies: dict[int, bytes] = {}

    def advance(self, revision: int) -> None:
        """Apply all updates up to ``revision``."""
        for update in self._history.updates[self.revision : revision]:
            self._apply(update)
        if revision > self.revision:
            self.revision = revision
            self._complete_body = None
            self._update_bodies.clear()

    def _apply(self, update: NumberedUpdate) -> None:
        if update.complete:
            self.entries.clear()
        for entry in update.entries:
            if entry.state == EntryState.DELETED:
                self.entries.pop(entry.engine, None)
            else:
                self.entries[entry.engine] = entry.to_json()

    def answer(self, known_revision: int) -> PollAnswer:
        """Return the answer for a broker that has been notified up to ``known_revision``."""
        if known_revision >= self.revision:
            return PollAnswer(b'{"rev": %d, "notices": []}' % self.revision, complete=False)
        if known_revision and self.revision - known_revision <= UPDATES_SENT_MAX:
            return PollAnswer(self._updates_after(known_revision), complete=False)
        return PollAnswer(self._complete_list(), complete=True)

    def _updates_after(self, known_revision: int) -> bytes:
        body = self._update_bodies.get(known_revision)
        if body is None:
            if len(self._update_bodies) >= CACHED_ANSWERS_MAX:
                self._update_bodies.clear()
            updates = self._history.updates[known_revision : self.revision]
            texts = ", ".join(update.json_text for update in updates)
            body = f'{{"rev": {self.revision}, "notices": [{texts}]}}'.encode()
            self._update_bodies[known_revision] = body
        return body

    def _complete_list(self) -> bytes:
        if self._complete_body is None:
            instances = ", ".join(self.entries.values())
            pool = f'{{"generation": 1, "reset": true, "instances": [{instances}]}}'
            update = f'{{"rev": {self.revision}, "pool": {pool}}}'
            self._complete_body = f'{{"rev": {self.revision}, "notices": [{update}]}}'.encode()
        return self._complete_body
