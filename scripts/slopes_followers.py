"""Stand-in brokers that poll discovery, for measurements. Standard library only.

    python scripts/slopes_followers.py PORT COUNT

Each stand-in is one connection that polls and reads the answers without parsing the list. The first line of output says
that each connection has read the whole list and is polling again. Each line of input is answered by one line of JSON with
the counts. The process exits at the end of its input.
"""

from __future__ import annotations

import json
import re
import select
import socket
import sys
import time

LINGER_MS = 2_000  # the value that brokers send
CONTENT_LENGTH = re.compile(rb"Content-Length: (\d+)")
REVISION = re.compile(rb'\{"rev": (\d+)')


class Follower:
    """The connection of one stand-in broker."""

    def __init__(self, port: int) -> None:
        self.sock = socket.create_connection(("127.0.0.1", port))
        self.sock.setblocking(False)
        self.unparsed, self.remaining_bytes, self.rev, self.answers = b"", 0, 0, 0
        self.poll()

    def poll(self) -> None:
        """Send a poll."""
        self.sock.send(
            b"GET /board/poll?watch=%d&linger=%d HTTP/1.1\r\nHost: 127.0.0.1\r\nAccept: application/json"
            b"\r\n\r\n" % (self.rev, LINGER_MS)
        )

    def read(self) -> int:
        """Read available bytes, poll again after a complete answer, and return the number of bytes."""
        data = self.sock.recv(1 << 18)
        if not data:
            raise SystemExit("discovery closed a connection")
        if self.remaining_bytes:
            self.remaining_bytes -= len(data)
        else:
            self.unparsed += data
            header_end = self.unparsed.find(b"\r\n\r\n")
            rev = REVISION.match(self.unparsed, header_end + 4)
            if header_end < 0 or rev is None:
                return len(data)
            self.remaining_bytes = int(CONTENT_LENGTH.search(self.unparsed)[1]) - (
                len(self.unparsed) - header_end - 4
            )
            self.rev, self.unparsed = int(rev[1]), b""
        if not self.remaining_bytes:
            self.answers += 1
            self.poll()
        return len(data)


def main() -> None:
    """Poll discovery until the input ends."""
    port, count = int(sys.argv[1]), int(sys.argv[2])
    epoll, followers, bytes_read, ready = select.epoll(), {}, 0, False
    epoll.register(0, select.EPOLLIN)
    for _ in range(count):
        follower = Follower(port)
        followers[follower.sock.fileno()] = follower
        epoll.register(follower.sock.fileno(), select.EPOLLIN)
    while True:
        for fd, _ in epoll.poll(1.0):
            if fd in followers:
                bytes_read += followers[fd].read()
            elif not sys.stdin.buffer.readline():
                return
            else:
                revs = [each.rev for each in followers.values()]
                print(
                    json.dumps(
                        {
                            "least": min(revs),
                            "most": max(revs),
                            "bytes": bytes_read,
                            "at": time.time(),
                        }
                    ),
                    flush=True,
                )
        if not ready and all(each.answers for each in followers.values()):
            ready = True
            print(json.dumps({"ready": True}), flush=True)


if __name__ == "__main__":
    main()
