"""Route: which engine an instance id stands for, and whether anything new may go there."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass, replace

from umberusher import interface as api
from umberusher.interface import EngineState
from umberusher.protocol.board import Notice

log = logging.getLogger(__name__)
SEEN_MOST = 4_096  # ids once listed that are remembered
NOWHERE = ("", 0)  # the address of an engine that was told without one, and takes nothing new
BANS_MOST = 1_024  # bans; over this the oldest one of an engine that is not listed is dropped


@dataclass(slots=True)
class Member:
    """One engine of the list. Its key is the instance id: addresses are used again."""

    engine: str
    address: tuple[str, int]
    state: EngineState  # as it counts here: a banned engine drains
    told: api.EngineEntry  # the board's newest word
    fresh_ms: float = 0.0  # when it was called back, Unix: it has started no sooner


class Route:
    """The list of engines as the notice board has told it, with the operators' bans laid over it."""

    def __init__(self, post: Callable[[api.Event], None], unix_ms: Callable[[], float],
                 inward: Callable[[float], float] = lambda unix_ms: unix_ms) -> None:
        self.post, self.unix_ms, self.inward = post, unix_ms, inward
        self.members: dict[str, Member] = {}
        self.banned: dict[str, float] = {}  # since when, Unix: the other process of an upgrade has another timeline
        self.seen: dict[str, None] = {}  # ids once listed, the newest last
        self.rev = 0
        self.on_closed: Callable[[Member], None] = lambda member: None  # nothing new may go there
        self.on_moved: Callable[[Member], None] = lambda member: None  # its connections are not to be used again
        self.on_news: Callable[[], None] = lambda: None  # the list is newer than it was
        self.on_ban: Callable[[str, float | None], None] = lambda engine, since: None  # a ban has begun or ended

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
        heard = tuple(self._apply(entry, notice.addresses[entry.engine], closed) for entry in notice.entries)
        # The decisions hear of it before they hear of the sends that are taken back: else they would try there again.
        self.post(api.EngineList(heard, complete=notice.complete))
        for member in closed:
            self.on_closed(member)
        self.on_news()

    def _apply(self, entry: api.EngineEntry, address: tuple[str, int] | None, closed: list[Member]) -> api.EngineEntry:
        """Take one entry; gives it as it counts here."""
        self.remember(entry.engine)
        member = self.members.get(entry.engine)
        if member is None:
            member = self.members[entry.engine] = Member(entry.engine, address or NOWHERE, entry.state, entry)
        elif address and member.address != address:
            member.address = address
            self.on_moved(member)
        member.told = entry
        heard = self._laid(member)
        member.state = heard.state
        if heard.state is EngineState.GONE:
            del self.members[entry.engine]
        if heard.state is not EngineState.UP:
            closed.append(member)
        return heard

    def _laid(self, member: Member) -> api.EngineEntry:
        """What the board tells of an engine, with its ban or its call back laid over it."""
        entry = member.told
        if entry.engine in self.banned and entry.state is EngineState.UP:
            entry = replace(entry, state=EngineState.DRAINING)
        if (entry.started_ms or 0.0) < member.fresh_ms:
            entry = replace(entry, started_ms=member.fresh_ms)
        # What is told in Unix time reaches the decisions on their own timeline: a step of the clock moves no start.
        return replace(entry, started_ms=self.inward(entry.started_ms)) if entry.started_ms else entry

    def find(self, engine: str) -> Member | None:
        """The engine, where something new may go to it."""
        member = self.members.get(engine)
        return member if member and member.state is EngineState.UP else None

    # -- Bans

    def remember(self, engine: str) -> None:
        """Guards memory: ids are always new, so only the newest are kept, and all that are listed."""
        self.seen.pop(engine, None)
        self.seen[engine] = None
        if len(self.seen) > SEEN_MOST:
            oldest = next((name for name in self.seen if name not in self.members), None)
            self.seen.pop(oldest, None)

    def ban(self, engine: str, since_ms: float | None = None) -> bool:
        """Leave an engine out until it is called back, whatever the board tells; False where it was never listed."""
        if engine not in self.seen:
            return False
        if engine in self.banned:
            return True
        if len(self.banned) >= BANS_MOST:
            oldest = next((name for name in self.banned if name not in self.members), None)
            if self.banned.pop(oldest, None) is not None:
                log.warning("ban of %s, which is not listed, dropped: %d are kept", oldest, BANS_MOST)
        self.banned[engine] = self.unix_ms() if since_ms is None else since_ms
        member = self.members.get(engine)
        if member:
            heard = self._laid(member)
            member.state = heard.state
            self.post(api.EngineList((heard,)))
            self.on_closed(member)
        self.on_ban(engine, self.banned[engine])
        return True

    def freshen(self, engine: str, fresh_ms: float) -> None:
        """An engine was called back at that time, as another process tells: it has started no sooner."""
        member = self.members.get(engine)
        if member and fresh_ms > member.fresh_ms:
            member.fresh_ms = fresh_ms
            self.post(api.EngineList((self._laid(member),)))

    def unban(self, engine: str) -> bool:
        """Put an engine back as the board tells of it now; False where it was never listed."""
        since = self.banned.pop(engine, None)
        if since is None:
            return engine in self.seen
        member = self.members.get(engine)
        if member:
            # Guards a cold engine: it may have started anew unseen, so where the board tells no start it was just now.
            started = member.told.started_ms or 0.0
            member.fresh_ms = started if started > since else self.unix_ms()
            self.on_moved(member)
            heard = self._laid(member)
            member.state = heard.state
            self.post(api.EngineList((heard,)))
        self.on_ban(engine, None)
        return True
