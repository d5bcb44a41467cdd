"""Clients of one broker, for measurements: statements at a fixed rate, or in a closed loop.

    python scripts/slopes_clients.py PORT CONNECTIONS RATE SECONDS

With RATE 0 each connection always has CALLS_PER_CONNECTION open calls. Prints its counts as one line of JSON at the
end. Of an answer it reads only whether the call was served.
"""

from __future__ import annotations

import json
import select
import socket
import struct
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from umberusher.standin.statements import encode_statement
from umberusher.standin.thrift_client import encode_execute

CALLS_PER_CONNECTION = 4  # open calls per connection in the closed loop
# Offset of the reply's first field: its type and its id, which is 0 for a served call.
RESULT_FIELD_OFFSET = 4 + 4 + 4 + len("execute") + 4
DRAIN_S = 1.0  # wait for open calls at the end


def encode_call(number: int) -> bytes:
    """Encode a call with a small statement."""
    fields = {
        "method": "lookup",
        "est": "2.0",
        "ram": "8",
        "budget": "2000",
        "rid": f"{number:016x}",
    }
    return encode_execute(
        number & 0x7FFFFFFF,
        fields,
        encode_statement(number % 5, 2.0, 8.0, 1, False, f"{number:08x}"),
    )


def main() -> None:
    """Send calls, count the answers and print the counts."""
    port, count, rate, seconds = (
        int(sys.argv[1]),
        int(sys.argv[2]),
        float(sys.argv[3]),
        float(sys.argv[4]),
    )
    epoll, conns, unread, socks = select.epoll(), {}, {}, []
    served = other = sent = 0
    for _ in range(count):
        sock = socket.create_connection(("127.0.0.1", port))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setblocking(False)
        conns[sock.fileno()], unread[sock.fileno()] = sock, b""
        socks.append(sock)
        epoll.register(sock, select.EPOLLIN)

    def send_call(sock: socket.socket) -> None:
        nonlocal sent
        sent += 1
        sock.send(encode_call(sent))

    started_s = time.monotonic()
    if not rate:
        for sock in socks * CALLS_PER_CONNECTION:
            send_call(sock)
    while True:
        elapsed_s = time.monotonic() - started_s
        while rate and elapsed_s < seconds and sent < elapsed_s * rate:
            send_call(socks[sent % count])
        if elapsed_s > seconds + DRAIN_S or (elapsed_s > seconds and served + other >= sent):
            break
        if elapsed_s <= seconds:
            last_read_s, served_in_time = elapsed_s, served
        for fd, _ in epoll.poll(
            min(max((sent + 1) / rate - elapsed_s, 0.0), 0.05) if rate else 0.05
        ):
            data = unread[fd] + conns[fd].recv(1 << 16)
            if not data:
                raise SystemExit("the broker closed a client connection")
            while len(data) >= 4 and len(data) >= (size := 4 + struct.unpack_from(">i", data)[0]):
                is_served = (
                    struct.unpack_from(">h", data, RESULT_FIELD_OFFSET + 1)[0] == 0 and data[7] == 2
                )
                served, other = served + is_served, other + (not is_served)
                data = data[size:]
                if not rate and time.monotonic() - started_s < seconds:
                    send_call(conns[fd])
            unread[fd] = data
    print(
        json.dumps(
            {
                "asked": sent,
                "served": served,
                "other": other,
                "per_s": served_in_time / last_read_s,
                "cpu_s": time.process_time(),
            }
        ),
        flush=True,
    )


if __name__ == "__main__":
    main()
