"""A stand-in discovery for measurements: one list of any length for any number of brokers. Standard library only.

    python scripts/slopes_discovery.py LENGTH

It is independent of the broker's code and the same for each version that is measured. The first line of output is its
port; after that each line of JSON on its input is a command, which is answered by one line with the counts:
{"do": "told"} only returns them, {"do": "change", "entries": n} publishes n changes in one notice, {"do": "rate",
"per_s": r} publishes one change r times per second from now on (0: none), {"do": "end"} stops the process. Each notice
is encoded once for all brokers; the full list is encoded once for each revision.
"""

from __future__ import annotations

import contextlib
import heapq
import json
import os
import re
import select
import socket
import sys
import time
from typing import Any

ZONES = tuple(
    f"region-{region}-zone-{zone}"
    for region, count in (("a", 3), ("b", 3), ("c", 2))
    for zone in range(1, count + 1)
)  # 8 zones in 3 regions
KINDS = (("std-8", 8), ("std-16", 16))  # the machine types of replay/site.py
POLL_REQUEST = re.compile(rb"GET /board/poll\?watch=(\d+)&linger=(\d+) ")
MAX_LINGER_S = 5.0
MAX_NOTICES = 4_096  # a broker that lags further behind gets the full list


def entry(number: int, incarnation: int, state: str) -> dict[str, Any]:
    """Return the list entry of an engine after that many starts; nothing listens at its address."""
    kind, cores = KINDS[number // len(ZONES) % len(KINDS)]
    index = number % 16_000_000
    host = f"127.{1 + (index >> 16) % 254}.{(index >> 8) % 256}.{1 + index % 254}"
    return {
        "instanceId": f"db-{number:06d}-{incarnation:04d}",
        "hostPort": f"{host}:{1_024 + number % 60_000}",
        "zone": ZONES[number % len(ZONES)],
        "machineType": kind,
        "cell": number // 4_000,
        "lifecycle": state,
        "weight": cores,
        "startedAtMs": 0,
    }


class Changes:
    """The changes of a list: each engine in turn drains, is deleted, and is listed again under a new id."""

    def __init__(self, length: int) -> None:
        self.incarnations = [1] * length
        self.phase = [0] * length  # 0 serving, 1 draining, 2 deleted
        self.change_count = 0
        # A prime, so that successive changes cover all zones and machine types.
        self.stride = 7_919 if length % 7_919 else 1

    def full_list(self) -> list[dict[str, Any]]:
        """Return the entries of all listed engines."""
        return [
            entry(number, self.incarnations[number], ("SERVING", "DRAINING")[phase])
            for number, phase in enumerate(self.phase)
            if phase < 2
        ]

    def next(self, count: int) -> list[dict[str, Any]]:
        """Return the next ``count`` changes; no engine changes twice in them unless all engines have changed."""
        entries = []
        for _ in range(count):
            number = (
                self.change_count // 3 * self.stride % len(self.incarnations)
                if count == 1
                else self.change_count * self.stride % len(self.incarnations)
            )
            self.change_count += 1
            phase = self.phase[number] = (self.phase[number] + 1) % 3
            if phase == 0:
                self.incarnations[number] += 1
            entries.append(
                entry(number, self.incarnations[number], ("SERVING", "DRAINING", "DELETED")[phase])
            )
        return entries


class Discovery:
    """The listener, its connections and their pending polls."""

    def __init__(self, length: int) -> None:
        self.changes, self.rev = Changes(length), 1
        self.notices: dict[int, bytes] = {}  # by revision
        self.cached_list: tuple[int, bytes] = (0, b"")
        # The last answer, with the revision that it leads to and the one that it starts from.
        self.cached_answer: tuple[int, int, bytes] = (0, 0, b"")
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=4_096)
        self.listener.setblocking(False)
        self.epoll = select.epoll()
        self.epoll.register(self.listener, select.EPOLLIN)
        self.epoll.register(0, select.EPOLLIN)
        self.conns: dict[int, socket.socket] = {}
        self.unread: dict[int, bytes] = {}
        self.unsent: dict[int, memoryview] = {}
        # By descriptor: the revision that the broker has, and the deadline of its poll.
        self.waiting_polls: dict[int, tuple[int, float]] = {}
        self.poll_deadlines: list[tuple[float, int]] = []
        self.counts = {
            "bytes_out": 0,
            "bytes_in": 0,
            "answers": 0,
            "lists": 0,
            "accepted": 0,
            "settled_at": 0.0,
        }
        self.change_interval_s, self.next_change_s = 0.0, 0.0
        self.running = True
        self.unread_input = b""

    # -- The list

    def publish_change(self, count: int) -> None:
        """Publish that many changes in one notice."""
        self.rev += 1
        self.notices[self.rev] = json.dumps(
            {
                "rev": self.rev,
                "pool": {"generation": 1, "reset": False, "instances": self.changes.next(count)},
            }
        ).encode()
        self.notices.pop(self.rev - MAX_NOTICES, None)
        for fd in [fd for fd, (watch, _) in self.waiting_polls.items() if watch < self.rev]:
            self.answer_poll(fd, self.waiting_polls.pop(fd)[0])

    def body_since(self, watch: int) -> bytes:
        """Return the body with the notices after a revision."""
        if watch >= self.rev:
            return b'{"rev": %d, "notices": []}' % self.rev
        if watch + 1 in self.notices:
            newer = [self.notices[number] for number in range(watch + 1, self.rev + 1)]
        else:
            if self.cached_list[0] != self.rev:
                self.cached_list = (
                    self.rev,
                    json.dumps(
                        {
                            "rev": self.rev,
                            "pool": {
                                "generation": 1,
                                "reset": True,
                                "instances": self.changes.full_list(),
                            },
                        }
                    ).encode(),
                )
            newer = [self.cached_list[1]]
        return b'{"rev": %d, "notices": [%b]}' % (self.rev, b", ".join(newer))

    # -- Connections

    def answer_poll(self, fd: int, watch: int) -> None:
        """Answer a poll."""
        # Brokers that received the same notice poll from the same revision and share one answer.
        if self.cached_answer[:2] != (self.rev, watch):
            body = self.body_since(watch)
            self.cached_answer = (
                self.rev,
                watch,
                b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d"
                b"\r\n\r\n%b" % (len(body), body),
            )
        data = self.cached_answer[2]
        self.counts["lists"] += watch < self.rev and watch + 1 not in self.notices
        self.counts["answers"] += 1
        self.unsent[fd] = memoryview(data)
        self.write(fd)

    def write(self, fd: int) -> None:
        """Write as much as the kernel accepts."""
        try:
            while remaining := self.unsent[fd]:
                sent = self.conns[fd].send(remaining)
                self.counts["bytes_out"] += sent
                self.unsent[fd] = remaining[sent:]
        except BlockingIOError:
            self.epoll.modify(fd, select.EPOLLIN | select.EPOLLOUT)
            return
        except OSError:
            self.drop(fd)
            return
        del self.unsent[fd]
        self.epoll.modify(fd, select.EPOLLIN)

    def drop(self, fd: int) -> None:
        """Close a connection and discard its state."""
        self.epoll.unregister(fd)
        self.conns.pop(fd).close()
        for by_connection in (self.unread, self.unsent, self.waiting_polls):
            by_connection.pop(fd, None)

    def read(self, fd: int) -> None:
        """Read a poll; answer it, or keep it pending if the broker is up to date."""
        try:
            data = self.conns[fd].recv(65_536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.drop(fd)
            return
        self.counts["bytes_in"] += len(data)
        request = self.unread.pop(fd, b"") + data
        if not request.endswith(b"\r\n\r\n"):
            self.unread[fd] = request
            return
        match = POLL_REQUEST.match(request)
        if match is None:
            self.drop(fd)
            return
        watch, linger_s = int(match[1]), min(int(match[2]) / 1_000, MAX_LINGER_S)
        if watch < self.rev:
            self.answer_poll(fd, watch)
            return
        self.counts["settled_at"] = self.counts["settled_at"] or time.time()
        deadline = time.monotonic() + linger_s
        self.waiting_polls[fd] = watch, deadline
        heapq.heappush(self.poll_deadlines, (deadline, fd))

    # -- Commands

    def read_commands(self) -> None:
        """Run the commands on the input; its end stops the process."""
        data = os.read(0, 65_536)
        self.running = bool(data)
        self.unread_input += data
        *lines, self.unread_input = self.unread_input.split(b"\n")
        for line in lines:
            command = json.loads(line)
            if command["do"] == "change":
                self.publish_change(command["entries"])
            elif command["do"] == "rate":
                self.change_interval_s = 1 / command["per_s"] if command["per_s"] else 0.0
                self.next_change_s = time.monotonic() + self.change_interval_s
            elif command["do"] == "end":
                self.running = False
            print(
                json.dumps(
                    self.counts
                    | {
                        "rev": self.rev,
                        "connections": len(self.conns),
                        "waiting": len(self.waiting_polls),
                        "cpu_s": time.process_time(),
                        "at": time.time(),
                    }
                ),
                flush=True,
            )

    def run(self) -> None:
        """Serve until the ``end`` command or the end of the input."""
        print(self.listener.getsockname()[1], flush=True)
        while self.running:
            now = time.monotonic()
            next_event = min(
                self.poll_deadlines[0][0] if self.poll_deadlines else now + 1,
                self.next_change_s if self.change_interval_s else now + 1,
            )
            for fd, events in self.epoll.poll(max(next_event - now, 0.0)):
                if fd == 0:
                    self.read_commands()
                elif fd == self.listener.fileno():
                    with contextlib.suppress(BlockingIOError):
                        while True:
                            sock, _ = self.listener.accept()
                            sock.setblocking(False)
                            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                            self.conns[sock.fileno()] = sock
                            self.epoll.register(sock.fileno(), select.EPOLLIN)
                            self.counts["accepted"] += 1
                elif fd in self.conns:
                    if events & select.EPOLLOUT and fd in self.unsent:
                        self.write(fd)
                    if fd in self.conns and events & ~select.EPOLLOUT:
                        self.read(fd)
            now = time.monotonic()
            while self.change_interval_s and self.next_change_s <= now:
                self.next_change_s += self.change_interval_s
                self.publish_change(1)
            while self.poll_deadlines and self.poll_deadlines[0][0] <= now:
                deadline, fd = heapq.heappop(self.poll_deadlines)
                if fd in self.waiting_polls and self.waiting_polls[fd][1] == deadline:
                    self.answer_poll(fd, self.waiting_polls.pop(fd)[0])


if __name__ == "__main__":
    Discovery(int(sys.argv[1])).run()
