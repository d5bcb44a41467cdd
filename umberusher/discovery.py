"""Keeps one long poll at the notice board outstanding, and notices when the board has gone silent."""

from __future__ import annotations

import logging
from collections.abc import Callable

from umberusher.net import connection
from umberusher.net.connection import Connection, Raw, State
from umberusher.net.loop import Loop, Timer
from umberusher.protocol.board import BoardFault, Notice, PollClient, notices

log = logging.getLogger(__name__)
LINGER_MS = 2_000  # of one poll: what the board tells counts as told after 7 s, so silence must show long before
FIRST_MS = 20  # of the first poll on a connection: what is known may be old, and a start waits for its answer
SILENT_MS = 700.0  # beyond that an answer is not coming any more
RETRY_MS, RETRY_MOST_MS = 50.0, 400.0  # wait before a further new connection, doubling; the first comes at once
BUFFER = 1 << 16


class Discovery:
    """The broker's side of the board."""

    def __init__(self, loop: Loop, address: tuple[str, int], rev: Callable[[], int],
                 take: Callable[[Notice], None]) -> None:
        self.loop, self.address, self.rev, self.take = loop, address, rev, take
        self.retry_ms = 0.0
        self.rest_ms = 0.0  # before the board is asked again, once it has answered with nothing and without waiting
        self.linger_ms = FIRST_MS
        self.heard = False  # the board has answered: the list is as new as it can be
        self.timer: Timer | None = None  # the one thing that is waited for: a new try, or an answer
        self.conn: Connection | None = None
        self.closed = False

    def start(self) -> None:
        """Connect and ask."""
        if self.closed:
            return
        conn = connection.connect(self.loop, self.address, BUFFER, BUFFER)
        if isinstance(conn, str):
            self._later(conn)
            return
        self.linger_ms = FIRST_MS
        self.conn, self.client = conn, PollClient(f"{self.address[0]}:{self.address[1]}")
        conn.on_open, conn.on_data, conn.on_closed = self._ask, self._data, self._later
        self.timer = self.loop.call_later(SILENT_MS, lambda: conn.close("silent"))
        self.loop.spawn(conn.serve())

    def _later(self, why: str) -> None:
        self._drop()
        if not self.closed:
            log.warning("discovery: %s", why)
            self.timer = self.loop.call_later(self.retry_ms, self.start)
            self.retry_ms = min(max(2 * self.retry_ms, RETRY_MS), RETRY_MOST_MS)

    def _drop(self) -> None:
        """Let go of the connection and of what was waited for."""
        if self.timer:
            self.timer.cancel()
        conn, self.conn = self.conn, None
        if conn:
            conn.on_closed = lambda why: None
            conn.close("dropped")

    def move(self, address: tuple[str, int]) -> None:
        """Ask at another address from now on, from the last number; the old board is asked no more."""
        if address == self.address or self.closed:
            return
        self.address, self.retry_ms = address, 0.0
        self._drop()
        self.start()

    def _ask(self) -> None:
        conn = self.conn
        if conn is None or conn.state is not State.OPEN:
            return
        self.timer.cancel()
        self.asked_at = self.loop.clock()
        # Guards against a board that is cut off: its connection stays open and says nothing.
        self.timer = self.loop.call_later(self.linger_ms + SILENT_MS, lambda: conn.close("silent"))
        conn.send(Raw(self.client.poll(self.rev(), self.linger_ms)))

    def _data(self) -> None:
        conn = self.conn
        answer = self.client.feed(conn.inbound.take(len(conn.inbound)))
        if answer is None:
            return
        found = answer if isinstance(answer, BoardFault) else notices(answer, self.rev())
        if isinstance(found, BoardFault):
            conn.close(found.why)
            return
        self.retry_ms, self.heard = 0.0, True
        quick = not found and self.loop.clock() - self.asked_at < self.linger_ms / 2000
        self.linger_ms = LINGER_MS
        if not quick:
            self.rest_ms = 0.0
        for notice in found:
            self.take(notice)
        if not self.client.reusable:
            conn.close("not kept open")
        elif quick:  # guards against a board that doesn't wait: asked again and again it would take the core
            self.timer.cancel()
            # The first time at once: guards drains against a board that answers with nothing though it has news.
            self.timer = self.loop.call_later(self.rest_ms, self._ask)
            self.rest_ms = min(max(2 * self.rest_ms, RETRY_MS), RETRY_MOST_MS)
        else:
            self._ask()

    def close(self) -> None:
        """End it."""
        self.closed = True
        self._drop()


