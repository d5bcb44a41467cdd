"""The fault proxy before the discovery service: it knows when a change counts as announced."""

from __future__ import annotations

import re
import time
from collections.abc import Callable

from tests.faults.announcements import Announcements
from tests.faults.proxy import FaultProxy, ProxiedConnection

POLL = re.compile(rb"GET /board/poll\?watch=(\d+)&linger=(\d+) ")
REVISION = re.compile(rb'^\{"rev": ?(\d+)')


class WatchProxy(FaultProxy):
    """A proxy that records polls, answers, stops and breaks of the watches."""

    def __init__(self, target_port: Callable[[], int], announcements: Announcements) -> None:
        super().__init__(target_port)
        self.announcements = announcements
        self.poll_count = 0

    def requested(self, connection: ProxiedConnection, data: bytes) -> None:
        for known, linger_ms in POLL.findall(data):
            self.poll_count += 1
            now_s = time.time()
            self.announcements.poll(connection, int(known), int(linger_ms) / 1000, now_s)
            if connection.is_silent:
                self.announcements.stop(connection)
            else:
                self.announcements.read(connection, now_s)

    def answered(self, connection: ProxiedConnection, data: bytes) -> None:
        body = data.partition(b"\r\n\r\n")[2]
        found = REVISION.match(body)
        if found is not None:
            self.announcements.answer(connection, int(found[1]), time.time())

    def silenced(self, connection: ProxiedConnection) -> None:
        self.announcements.stop(connection)

    def broken(self, connection: ProxiedConnection) -> None:
        self.announcements.break_off(connection, time.time())

    def closed(self, connection: ProxiedConnection) -> None:
        self.announcements.close(connection, time.time())
