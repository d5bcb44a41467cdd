"""A discovery client connected to a scripted discovery service, on a stepped clock."""

from __future__ import annotations

import errno
import socket
import time

from umberusher.discovery.client import DiscoveryClient
from umberusher.net.loop import Loop
from umberusher.protocol import discovery as codec

MAX_POLLS = 500  # limit of a test: a client that polls in a loop would never finish


class ScriptedDiscovery:
    """A discovery client and a service that answers each poll the same way, on a stepped clock.

    Attributes:
        now: The clock, in s.
        reply: The bytes that answer each poll.
        revision: The newest revision that the client has delivered.
        events: The watch events delivered.
        polled_at_s: Arrival times of the polls.
        unsent: Bytes that must still be sent, by connection.
    """

    def __init__(self, reply: bytes, revision: int = 0, listens: bool = True) -> None:
        self.now = 1000.0
        self.reply = reply
        self.revision = revision
        self.events: list[codec.WatchEvent] = []
        self.polled_at_s: list[float] = []
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=64)
        self.listener.setblocking(False)
        self.address = self.listener.getsockname()
        self.unsent: dict[socket.socket, bytes] = {}
        if not listens:
            self.listener.close()
        self.loop = Loop(lambda: self.now)
        self.client = DiscoveryClient(
            self.loop, self.address, lambda: self.revision, self._on_event
        )

    def _on_event(self, event: codec.WatchEvent) -> None:
        self.events.append(event)
        self.revision = event.revision

    def _serve(self) -> None:
        try:
            while True:
                sock, _ = self.listener.accept()
                sock.setblocking(False)
                self.unsent[sock] = b""
        except OSError:
            pass
        for sock in list(self.unsent):
            try:
                received = sock.recv(1 << 16)
                if not received:
                    raise OSError(errno.EPIPE, "closed")
                for _ in range(received.count(b"GET ")):
                    self.polled_at_s.append(self.now)
                    self.unsent[sock] += self.reply
            except BlockingIOError:
                pass
            except OSError:
                self.unsent.pop(sock).strip()
                sock.close()
                continue
            try:
                if self.unsent[sock]:
                    self.unsent[sock] = self.unsent[sock][sock.send(self.unsent[sock][: 1 << 17]) :]
            except BlockingIOError:
                pass
            except OSError:
                self.unsent.pop(sock)
                sock.close()

    def settle(self, rounds: int = 12) -> None:
        """Process all input and output of this moment.

        A long answer may need several rounds, since the kernel accepts only a part of it at a time.
        """
        started_s, body_bytes = time.monotonic(), len(self.reply.partition(b"\r\n\r\n")[2])
        while rounds > 0:
            self._serve()
            answer_is_partial = (
                len(self.client.watches) > 0
                and 0 < self.client.watches[-1].poll_client.answer_bytes < body_bytes
            )
            self.loop.step(1 if answer_is_partial else 0)
            if (
                not (answer_is_partial or any(self.unsent.values()))
                or time.monotonic() > started_s + 5
            ):
                rounds -= 1

    def until(self, condition, rounds: int = 4000) -> None:
        for _ in range(rounds):
            if condition():
                return
            self._serve()
            self.loop.step(1)
        raise AssertionError("the condition did not become true")

    def advance(self, seconds: float) -> None:
        """Advance the clock in steps from one timer to the next."""
        end = self.now + seconds
        while len(self.polled_at_s) <= MAX_POLLS:
            self.settle()
            due = self.loop.next_timer_due_s()
            if due is None or due > end:
                break
            self.now = max(self.now, due) + 0.0001
        self.now = end

    def close(self) -> None:
        self.client.close()
        self.loop.close()
        for sock in [self.listener, *self.unsent]:
            sock.close()
