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
        """Apply one notice: from here on nothing new goes to what it closes."""
        if notice.rev <= self.rev:
            return
        self.rev = notice.rev
        if notice.skipped:
            log.warning("notice %d: %d entries could not be read", notice.rev, notice.skipped)
        closed: list[Member] = []
        if notice.complete:
            named = {entry.engine for entry in notice.entries}
            for engine in [name for name in self.members if name not in named]:
                closed.append(self.members.pop(engine))
                closed[-1].state = EngineState.GONE
        for entry in notice.entries:
            self._apply(entry, notice.addresses[entry.engine], closed)
        # The decisions hear of it before they hear of the sends that are taken back: else they would try there again.
        self.post(api.EngineList(notice.entries, complete=notice.complete))
        for member in closed:
            self.on_closed(member)

    def _apply(self, entry: api.EngineEntry, address: tuple[str, int], closed: list[Member]) -> None:
        member = self.members.get(entry.engine)
        if member is None:
            member = self.members[entry.engine] = Member(entry.engine, address, entry.state)
        elif member.address != address:
            member.address = address
            self.on_moved(member)
        member.state = entry.state
        if entry.state is EngineState.GONE:
            del self.members[entry.engine]
        if entry.state is not EngineState.UP:
            closed.append(member)

    def find(self, engine: str) -> Member | None:
        """The engine, where something new may go to it."""
        member = self.members.get(engine)
        return member if member and member.state is EngineState.UP else None
