"""Set-up of the hot-restart tests: two processes of one broker, and the messages between them."""

from __future__ import annotations

import json
import os
import socket

from tests.rig import Peer, Rig
from umberusher.broker import broker
from umberusher.discovery import client as discovery
from umberusher.hot_restart import messages


def broker_with_successor(
    rig, tmp_path, engines: int = 1, accepts: bool = True
) -> tuple[Rig, broker.Broker]:
    """Return a rig and its successor; if that ``accepts``, the discovery service has answered it."""
    made = rig(engines, str(tmp_path / "s"))
    new = made.successor()
    if accepts:
        made.successor_discovery = made.accept("board")
        made.expect(made.successor_discovery, b"linger=%d " % discovery.FIRST_POLL_LINGER_MS)
        body = b'{"rev":%d,"notices":[]}' % made.rev
        made.successor_discovery.sock.send(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )
        made.until(lambda: new.discovery.has_answered)
        made.advance_ms(200)
        made.until(lambda: made.broker.hot_restart.successor_is_ready)
    return made, new


def with_client_handed_over(rig, tmp_path) -> tuple[Rig, broker.Broker, Peer, str]:
    """Return a client with a call at the predecessor, whose connection was handed over."""
    made = rig(1, str(tmp_path / "s"))
    client, rid, made.engine = made.start_request()
    new = made.successor()
    made.advance_ms(200)
    body = b'{"rev":%d,"notices":[]}' % made.rev
    made.accept("board").sock.send(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    )
    made.until(lambda: new.discovery.has_answered)
    made.advance_ms(200)
    made.until(lambda: made.broker.frontend.paused)
    made.broker.request_shutdown()
    made.advance_ms(200)
    assert new.frontend.clients and not made.broker.frontend.clients
    return made, new, client, rid


def with_engines_listed(rig, count: int, path) -> Rig:
    """Return a rig whose broker has ``count`` further engines in its list."""
    made = rig(1, str(path / "s"))
    made.broker.endpoints.apply(
        made.notice(*[(f"e-{number:05d}", "s-0", "SERVING") for number in range(count)])
    )
    return made


def record_messages(monkeypatch) -> list[dict]:
    """Return a list to which each message that a process of the test receives is added."""
    found, decode = [], messages.decode

    def recorded(line):
        found.append(json.loads(line))
        return decode(line)

    monkeypatch.setattr(messages, "decode", recorded)
    return found


def greeted_as_older_successor(rig, path) -> tuple[Peer, dict]:
    """Return a simulated successor of an older version, and the greeting that it receives."""
    link = socket.socket(socket.AF_UNIX)
    link.connect(path)
    rig.until(lambda: rig.broker.hot_restart.peers)
    _, fds, _, _ = socket.recv_fds(link, 1, 2)
    for fd in fds:
        os.close(fd)
    peer = rig.register_peer(Peer(link))
    rig.until(lambda: b"\n" in peer.read())
    line, _, peer.received = peer.received.partition(b"\n")
    return peer, json.loads(line)["hello"]
