"""Route: which engine an instance id stands for, and whether anything new may go there."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from umberusher import interface as api
from umberusher.interface import EngineState
from umberusher.protocol.board import Notice

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Member:
    """One engine of the list. Its key is the instance id: addresses are used again."""

    engine: str
    address: tuple[str, int]
    state: EngineState


class Route:
    """The list of engines as the notice board has told it."""

    def __init__(self, post: Callable[[api.Event], None]) -> None:
        self.post = post
        self.members: dict[str, Member] = {}
        self.rev = 0
        self.on_closed: Callable[[Member], None] = lambda member: None  # nothing new may go there
        self.on_moved: Callable[[Member], None] = lambda member: None  # its address has changed

    def take(self, notice: Notice) -> None:
        """Apply one notice: first to what is on its way to engines, then to the decisions."""
        if notice.rev <= self.rev:
            return
        self.rev = notice.rev
        if notice.skipped:
            log.warning("notice %d: %d entries could not be read", notice.rev, notice.skipped)
        if notice.complete:
            named = {entry.engine for entry in notice.entries}
            for engine in [name for name in self.members if name not in named]:
                self._close(self.members.pop(engine), EngineState.GONE)
        for entry in notice.entries:
            self._apply(entry, notice.addresses[entry.engine])
        self.post(api.EngineList(notice.entries, complete=notice.complete))

    def _apply(self, entry: api.EngineEntry, address: tuple[str, int]) -> None:
        member = self.members.get(entry.engine)
        if member is None:
            member = self.members[entry.engine] = Member(entry.engine, address, entry.state)
        elif member.address != address:
            member.address = address
            self.on_moved(member)
        if entry.state is EngineState.UP:
            member.state = entry.state
            return
        if entry.state is EngineState.GONE:
            del self.members[entry.engine]
        self._close(member, entry.state)

    def _close(self, member: Member, state: EngineState) -> None:
        member.state = state
        self.on_closed(member)

    def find(self, engine: str) -> Member | None:
        """The engine, where something new may go to it."""
        member = self.members.get(engine)
        return member if member and member.state is EngineState.UP else None
