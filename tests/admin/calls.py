"""Admin calls that tests make on sockets."""

from __future__ import annotations

import socket

from prometheus_client.parser import text_string_to_metric_families

from tests.rig import Peer, Rig


def open_admin(rig: Rig) -> None:
    rig.broker.admin.listen(("127.0.0.1", 0))


def send_call(rig: Rig, data: bytes = b""):
    sock = socket.create_connection(rig.broker.admin.listener.sock.getsockname())
    sock.send(data)
    return rig.register_peer(Peer(sock))


def call(rig: Rig, method: str, path: str, more: str = "") -> tuple[int, str]:
    caller = send_call(rig, f"{method} {path} HTTP/1.1\r\nHost: x\r\n{more}\r\n".encode())
    rig.until(lambda: caller.read() and caller.ended)
    head, _, body = caller.received.decode().partition("\r\n\r\n")
    assert "connection: close" in head.lower()
    return int(head.split()[1]), body


def read_metrics(rig: Rig) -> dict[str, float]:
    status, body = call(rig, "GET", "/ops/stats")
    assert status == 200
    return {
        name + "".join(labels.values()): value
        for family in text_string_to_metric_families(body)
        for name, labels, value, *_ in family.samples
    }
