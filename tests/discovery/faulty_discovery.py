"""A discovery service on a stepped clock whose open watches stop, break or are answered late."""

from __future__ import annotations

import contextlib
import json
import re
import socket
from dataclasses import dataclass

from tests.discovery.scripted_discovery import ScriptedDiscovery
from tests.faults.announcements import Announcements

STEP_S = 0.01
POLL = re.compile(rb"GET /board/poll\?watch=(\d+)&linger=(\d+) ")


@dataclass(slots=True, eq=False)
class HeldPoll:
    """A poll that was read and not answered yet."""

    sock: socket.socket
    known_revision: int
    read_at_s: float
    wait_ends_s: float
    delay_s: float


class FaultyDiscovery(ScriptedDiscovery):
    """A service that answers correctly, but for the faults that the test sets.

    Attributes:
        delay_s: How late it answers the polls that it reads from now on.
        announcements: When each change counts as announced.
        applied_at_s: When the client has delivered each change.
        accepted_count: The number of connections so far.
    """

    def __init__(self, max_delay_s: float = 0.0) -> None:
        super().__init__(b"")
        self.delay_s = 0.0
        self.announcements = Announcements(max_delay_s)
        self.applied_at_s: dict[int, float] = {}
        self.accepted_count = 0
        self._service_revision = 0
        self._changed_at_s = 0.0
        self._held: list[HeldPoll] = []
        self._stopped: set[socket.socket] = set()

    def _on_event(self, event) -> None:
        for revision in range(self.revision + 1, event.revision + 1):
            self.applied_at_s[revision] = self.now
        super()._on_event(event)

    def change(self) -> None:
        """Change the list."""
        self._service_revision += 1
        self._changed_at_s = self.now
        self.announcements.change(self._service_revision, self.now)

    def stop_watches(self) -> None:
        """Let nothing pass on the open connections any more; new ones are served."""
        for sock in self.unsent:
            self._stopped.add(sock)
            self.announcements.stop(sock)

    def break_watches(self) -> None:
        """Close the open connections."""
        for sock in list(self.unsent):
            self.announcements.break_off(sock, self.now)
            self._forget(sock)

    def lateness_s(self) -> float:
        """Return by how much the client was late, at the most, with a change that counts by now."""
        late = [
            self.applied_at_s.get(revision, self.now) - self.announcements.announced_at_s(revision)
            for revision in self.announcements.changed_at_s
        ]
        return max(late, default=0.0)

    def run(self, seconds: float) -> None:
        """Let time pass, in small steps."""
        end_s = self.now + seconds
        while self.now < end_s - STEP_S / 2:
            self.now += STEP_S
            for _ in range(4):
                self._serve()
                self.loop.step(0)

    def _serve(self) -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                sock, _ = self.listener.accept()
                sock.setblocking(False)
                self.unsent[sock] = b""
                self.accepted_count += 1
        for sock in list(self.unsent):
            self._read(sock)
        for poll in list(self._held):
            self._answer_if_due(poll)

    def _read(self, sock: socket.socket) -> None:
        try:
            received = sock.recv(1 << 16)
        except BlockingIOError:
            return
        except OSError:
            received = b""
        if not received:
            self.announcements.close(sock, self.now)
            self._forget(sock)
            return
        for known, linger_ms in POLL.findall(received):
            self._read_poll(sock, int(known), int(linger_ms) / 1000)

    def _read_poll(self, sock: socket.socket, known_revision: int, wait_s: float) -> None:
        self.polled_at_s.append(self.now)
        self.announcements.poll(sock, known_revision, wait_s, self.now)
        if sock in self._stopped:
            self.announcements.stop(sock)
            return
        self.announcements.read(sock, self.now)
        self._held.append(HeldPoll(sock, known_revision, self.now, self.now + wait_s, self.delay_s))

    def _answer_if_due(self, poll: HeldPoll) -> None:
        if poll.sock in self._stopped:
            return
        is_new = self._service_revision > poll.known_revision
        due_s = max(poll.read_at_s, self._changed_at_s) if is_new else poll.wait_ends_s
        if self.now < due_s + poll.delay_s:
            return
        self._held.remove(poll)
        notice = {"rev": self._service_revision, "pool": {"reset": False, "instances": []}}
        document = {"rev": self._service_revision, "notices": [notice] if is_new else []}
        body = json.dumps(document).encode()
        self.announcements.answer(poll.sock, self._service_revision, self.now)
        with contextlib.suppress(OSError):
            poll.sock.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    def _forget(self, sock: socket.socket) -> None:
        self._held = [poll for poll in self._held if poll.sock is not sock]
        self._stopped.discard(sock)
        self.unsent.pop(sock, None)
        sock.close()
