"""Which server session a group goes to: a transaction pins one, and prepared statements are cleanings where they lack.

Owns the pool of one node's sessions and what is known of each: the transaction it is in, the statements it has,
whether it is clean. Decisions only; connections belong to the back.

States of a server session: STARTING -> IDLE -> BUSY -> (IDLE | PINNED | UNCLEAN) -> CLOSED. Only an IDLE one is given
out, and only a PINNED one to its owner again. What is UNCLEAN is cleaned before it is IDLE, or closed.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import Generic, TypeVar

MAX_PREPARED_STATEMENTS = (
    512  # prepared on one server session; the one used longest ago is closed for the next
)
MAX_SERVED_GROUPS = (
    50_000  # groups, after which a session is closed when it is idle: servers' memory creeps
)
DISCARD_ALL = "DISCARD ALL"

Client = TypeVar("Client")


class Standing(Enum):
    """Where a server session stands."""

    STARTING = "starting"
    IDLE = "idle"
    BUSY = "busy"
    PINNED = "pinned"  # in a transaction of its owner's
    UNCLEAN = "unclean"
    CLOSED = "closed"


class Cleaning(Enum):
    """What a session needs before it may serve another client."""

    NOTHING = "nothing"
    ROLLBACK = "ROLLBACK; " + DISCARD_ALL
    DISCARD = DISCARD_ALL
    CLOSE = "close"  # nobody knows what state it is in


@dataclass(slots=True, eq=False)
class ServerSession(Generic[Client]):
    """One session at a node."""

    number: int
    standing: Standing = Standing.STARTING
    owner: Client | None = None
    served_groups: int = 0
    touched: bool = False  # something was set that lasts beyond a transaction
    statements: OrderedDict[str, str] = field(
        default_factory=OrderedDict
    )  # by text, the broker's name for it
    last_name_number: int = (
        0  # ever given: a name is never used again, so a late Close can't hit another's
    )

    def prepared_name(self, statement_key: str) -> str | None:
        """The name under which a text is prepared here; it counts as used."""
        name = self.statements.get(statement_key)
        if name is not None:
            self.statements.move_to_end(statement_key)
        return name

    def prepare(self, statement_key: str) -> tuple[str, str | None]:
        """A name for a text that is to be prepared, and the name that is to be closed for it, if any."""
        evicted = None
        if len(self.statements) >= MAX_PREPARED_STATEMENTS:
            evicted = self.statements.popitem(last=False)[1]
        self.last_name_number += 1
        name = f"u{self.last_name_number}"
        self.statements[statement_key] = name
        return name, evicted

    def forget_statement(self, statement_key: str) -> None:
        """The server did not take it."""
        self.statements.pop(statement_key, None)


class Pool(Generic[Client]):
    """The sessions of one node."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.sessions: dict[int, ServerSession[Client]] = {}
        self.last_number = 0
        self.draining = False  # the node drains: nothing new, and what is idle closes

    def take(
        self, client: Client, statement_keys: tuple[str, ...] = ()
    ) -> ServerSession[Client] | None:
        """A session for a group: the client's own where it is pinned, else an idle one, best with its statements there.

        None where one has to be opened, or the pool is full.
        """
        for each in self.sessions.values():
            if each.standing is Standing.PINNED and each.owner is client:
                each.standing = Standing.BUSY
                return each
        if self.draining:
            return None
        idle = [each for each in self.sessions.values() if each.standing is Standing.IDLE]
        if not idle:
            return None
        best = max(
            idle,
            key=lambda each: (
                sum(key in each.statements for key in statement_keys),
                each.served_groups,
            ),
        )
        best.standing, best.owner = Standing.BUSY, client
        return best

    @property
    def full(self) -> bool:
        """Whether no further session may be opened."""
        return self.draining or len(self.sessions) >= self.most

    def open(self) -> ServerSession[Client]:
        """A session that comes up."""
        self.last_number += 1
        session = self.sessions[self.last_number] = ServerSession(self.last_number)
        return session

    def up(self, session: ServerSession[Client]) -> None:
        """It is there, clean."""
        if session.standing is Standing.STARTING:
            session.standing = Standing.IDLE

    def ready(self, session: ServerSession[Client], state: str, client_connected: bool) -> Cleaning:
        """Its server is ready, with the transaction's state; ``client_connected`` where its client is still there.

        What it needs before it may serve another. One in a transaction stays its owner's; where the owner has left it
        is rolled back, and only then given out.
        """
        session.served_groups += 1
        if state != "I" and client_connected:
            session.standing = Standing.PINNED
            return Cleaning.NOTHING
        if state != "I":
            session.standing = Standing.UNCLEAN
            session.statements.clear()
            return Cleaning.ROLLBACK
        if session.touched:
            session.standing = Standing.UNCLEAN
            session.statements.clear()  # DISCARD ALL takes prepared statements with it
            return Cleaning.DISCARD
        if self.draining or session.served_groups >= MAX_SERVED_GROUPS:
            self.remove(session)
            return Cleaning.CLOSE
        session.standing, session.owner = Standing.IDLE, None
        return Cleaning.NOTHING

    def cleaned(self, session: ServerSession[Client], state: str) -> Cleaning:
        """The answer to cleaning: only a session that is out of any transaction is clean."""
        if state != "I" or self.draining:
            self.remove(session)
            return Cleaning.CLOSE
        session.touched, session.standing, session.owner = False, Standing.IDLE, None
        return Cleaning.NOTHING

    def left(self, client: Client) -> list[tuple[ServerSession[Client], Cleaning]]:
        """A client has gone: its pinned sessions are rolled back; one that is busy for it can't be, and is closed.

        What runs there goes on unheard, as an engine's does; the session must not be given out meanwhile.
        """
        cleanings = []
        for each in [each for each in self.sessions.values() if each.owner is client]:
            if each.standing is Standing.PINNED:
                each.standing = Standing.UNCLEAN
                each.statements.clear()
                cleanings.append((each, Cleaning.ROLLBACK))
            elif each.standing is Standing.BUSY:
                self.remove(each)
                cleanings.append((each, Cleaning.CLOSE))
        return cleanings

    def drain(self) -> list[ServerSession[Client]]:
        """The node takes nothing new: idle sessions close now, the others when they are over."""
        self.draining = True
        idle = [
            each
            for each in self.sessions.values()
            if each.standing in (Standing.IDLE, Standing.STARTING)
        ]
        for each in idle:
            self.remove(each)
        return idle

    def remove(self, session: ServerSession[Client]) -> None:
        """It is no more."""
        session.standing, session.owner = Standing.CLOSED, None
        self.sessions.pop(session.number, None)
