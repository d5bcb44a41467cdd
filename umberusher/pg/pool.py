"""The pool of server sessions of one node; decides which session serves a group of a client's messages.

The pool tracks for each session its transaction status, its prepared statements and whether it is clean. A transaction
pins its session to the client, and a statement is prepared on a session that lacks it. The pool only decides; it holds
no connections.

States of a server session: STARTING -> IDLE -> BUSY -> (IDLE | PINNED | UNCLEAN) -> CLOSED. Only an IDLE session is
assigned to a client; a PINNED one is assigned to its owner alone. An UNCLEAN one is cleaned before it is IDLE, or
closed.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum
from typing import Generic, TypeVar

# Limit of one server session; at the limit the least recently used statement is closed for a new one.
MAX_PREPARED_STATEMENTS = 512
# After this many groups an idle session is closed, because the memory of server processes grows slowly.
MAX_SERVED_GROUPS = 50_000
DISCARD_ALL = "DISCARD ALL"

Client = TypeVar("Client")


class Standing(Enum):
    """The state of a server session."""

    STARTING = "starting"
    IDLE = "idle"
    BUSY = "busy"
    PINNED = "pinned"  # in a transaction of its owner
    UNCLEAN = "unclean"
    CLOSED = "closed"


class Cleaning(Enum):
    """What a session needs before it may serve another client."""

    NOTHING = "nothing"
    ROLLBACK = "ROLLBACK; " + DISCARD_ALL
    DISCARD = DISCARD_ALL
    CLOSE = "close"  # its state is unknown, or it is no longer needed


@dataclass(slots=True, eq=False)
class ServerSession(Generic[Client]):
    """One session at a node and what the pool knows of it."""

    number: int
    standing: Standing = Standing.STARTING
    owner: Client | None = None
    served_groups: int = 0
    touched: bool = False  # a setting was changed that outlasts a transaction
    # The broker's names of prepared statements by their keys, least recently used first.
    statements: OrderedDict[str, str] = field(default_factory=OrderedDict)
    # Names are never reused, so that a late Close can't close another statement.
    last_name_number: int = 0

    def prepared_name(self, statement_key: str) -> str | None:
        """Return the name under which a statement is prepared here, if it is, and mark it as used."""
        name = self.statements.get(statement_key)
        if name is not None:
            self.statements.move_to_end(statement_key)
        return name

    def prepare(self, statement_key: str) -> tuple[str, str | None]:
        """Return the name for a new statement, and the name of the one to close for it, if any."""
        evicted = None
        if len(self.statements) >= MAX_PREPARED_STATEMENTS:
            evicted = self.statements.popitem(last=False)[1]
        self.last_name_number += 1
        name = f"u{self.last_name_number}"
        self.statements[statement_key] = name
        return name, evicted

    def forget_statement(self, statement_key: str) -> None:
        """Forget a statement that the server didn't prepare."""
        self.statements.pop(statement_key, None)


class Pool(Generic[Client]):
    """The sessions of one node, ``most`` of them at a time."""

    def __init__(self, most: int) -> None:
        self.most = most
        self.sessions: dict[int, ServerSession[Client]] = {}
        self.last_number = 0
        self.draining = False  # no new sessions; idle ones are closed

    def take(
        self, client: Client, statement_keys: tuple[str, ...] = ()
    ) -> ServerSession[Client] | None:
        """Assign a session to a group and return it.

        This is the session that is pinned to the client, if any, otherwise the idle one that has most of the group's
        statements prepared. None means that a session must be opened first, or that the pool is full.
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
        """Add a session that is being started."""
        self.last_number += 1
        session = self.sessions[self.last_number] = ServerSession(self.last_number)
        return session

    def up(self, session: ServerSession[Client]) -> None:
        """Make a started session available."""
        if session.standing is Standing.STARTING:
            session.standing = Standing.IDLE

    def ready(self, session: ServerSession[Client], state: str, client_connected: bool) -> Cleaning:
        """Handle ReadyForQuery with its transaction status; return the cleaning before another client may use it.

        A session in a transaction stays pinned to its owner while that is connected. Otherwise the transaction is
        rolled back before the session is assigned again.
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
            session.statements.clear()  # DISCARD ALL deallocates prepared statements
            return Cleaning.DISCARD
        if self.draining or session.served_groups >= MAX_SERVED_GROUPS:
            self.remove(session)
            return Cleaning.CLOSE
        session.standing, session.owner = Standing.IDLE, None
        return Cleaning.NOTHING

    def cleaned(self, session: ServerSession[Client], state: str) -> Cleaning:
        """Handle the end of cleaning: only a session outside of any transaction is clean, others are closed."""
        if state != "I" or self.draining:
            self.remove(session)
            return Cleaning.CLOSE
        session.touched, session.standing, session.owner = False, Standing.IDLE, None
        return Cleaning.NOTHING

    def left(self, client: Client) -> list[tuple[ServerSession[Client], Cleaning]]:
        """Handle a client's disconnect: roll back its pinned sessions, close the busy ones.

        A busy session can't be rolled back. Its statement runs on and nobody reads the result, as at an engine, so the
        session must not be assigned meanwhile.
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
        """Accept no new groups: idle sessions are closed now, the others once their work has ended."""
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
        """Remove a closed session."""
        session.standing, session.owner = Standing.CLOSED, None
        self.sessions.pop(session.number, None)
