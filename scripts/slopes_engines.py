"""Stand-in engines that answer each command at once, for measurements. Standard library only.

    python scripts/slopes_engines.py COUNT

The first line of output is the list of its ports. Each line of input is answered by one line of JSON with the counts of
all engines. The process exits at the end of its input.
"""

from __future__ import annotations

import contextlib
import json
import select
import socket
import sys
import time


class Connection:
    """A connection from the broker."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.unread = sock, b""


def main() -> None:
    """Answer commands until the input ends."""
    epoll = select.epoll()
    epoll.register(0, select.EPOLLIN)
    listeners, conns = {}, {}
    counts = {
        "statements": 0,
        "probes": 0,
        "messages": 0,
        "bytes_in": 0,
        "bytes_out": 0,
        "accepted": 0,
    }
    for _ in range(int(sys.argv[1])):
        sock = socket.create_server(("127.0.0.1", 0), backlog=512)
        sock.setblocking(False)
        listeners[sock.fileno()] = sock
        epoll.register(sock, select.EPOLLIN)
    print(json.dumps([sock.getsockname()[1] for sock in listeners.values()]), flush=True)

    def answers_and_remainder(data: bytes) -> tuple[bytes, bytes]:
        """Return the answers to the complete commands, and the bytes after them."""
        answers = []
        while (end := data.find(b"\r\n")) >= 0:
            words = data[:end].split(b" ")
            counts["messages"] += 1
            if words[0] == b"REQ":
                size = end + 2 + int(words[3]) + 2
                if len(data) < size:
                    counts["messages"] -= 1
                    break
                counts["statements"] += 1
                row = words[1] + b"\t0\tdone\n"
                answers.append(b"%b HIT count=1 %d\r\n%b\r\n" % (words[1], len(row), row))
                data = data[size:]
                continue
            if words[0] in (b"STAT", b"HELO"):
                counts["probes"] += words[0] == b"STAT"
                answers.append(words[1] + b" PONG rep=inflight:1;queue:0;x0:0.010\r\n")
            data = data[end + 2 :]
        return b"".join(answers), data

    while True:
        for fd, _ in epoll.poll(1.0):
            if fd == 0:
                if not sys.stdin.buffer.readline():
                    return
                print(
                    json.dumps(counts | {"connections": len(conns), "cpu_s": time.process_time()}),
                    flush=True,
                )
            elif fd in listeners:
                with contextlib.suppress(BlockingIOError):
                    while True:
                        sock, _ = listeners[fd].accept()
                        sock.setblocking(False)
                        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                        conns[sock.fileno()] = Connection(sock)
                        epoll.register(sock.fileno(), select.EPOLLIN)
                        counts["accepted"] += 1
            elif fd in conns:
                conn = conns[fd]
                try:
                    data = conn.sock.recv(65_536)
                except OSError:
                    data = b""
                if not data:
                    epoll.unregister(fd)
                    conns.pop(fd).sock.close()
                    continue
                counts["bytes_in"] += len(data)
                answers, conn.unread = answers_and_remainder(conn.unread + data)
                if answers:
                    counts["bytes_out"] += len(answers)
                    conn.sock.send(answers)


if __name__ == "__main__":
    main()
