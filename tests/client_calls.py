"""Client calls, and clients with small buffers, shared by the tests of several packages."""

from __future__ import annotations

import socket
import struct

from tests.rig import Peer
from tests.thrift_messages import execute


def interrupt(seqid: int) -> bytes:
    call = struct.pack(">Ii9siBhiB", 0x80010004, 9, b"interrupt", 2, 8, 1, seqid, 0)
    return struct.pack(">i", len(call)) + call


def execute_call(number: int, method: str = "lookup", **more) -> bytes:
    return execute(
        number, {"method": method, "rid": f"{number:016x}", "budget": "2000"} | more, b"select 1"
    )


def client_with_small_buffer(rig) -> Peer:
    """Return a client with a small receive buffer, so that the broker can write little at a time."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.connect(rig.broker.frontend.listener.sock.getsockname())
    rig.until(lambda: rig.broker.frontend.clients)
    return rig.register_peer(Peer(sock))


def newest_client_connection(rig):
    """Return the broker's connection of the newest client."""
    return list(rig.broker.frontend.clients)[-1]


def read_to_end(peer: Peer, step) -> bytes:
    """Return all that a peer receives until its connection ends; a reset raises an exception."""
    peer.sock.setblocking(False)
    for _ in range(4000):
        try:
            data = peer.sock.recv(1 << 16)
        except BlockingIOError:
            step()
            continue
        if not data:
            return peer.received
        peer.received += data
    raise AssertionError("the connection did not end within 4000 reads")
