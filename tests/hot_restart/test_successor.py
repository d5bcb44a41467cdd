"""The start of a successor, also with predecessors whose handover can't be used."""

from __future__ import annotations

import socket

import pytest

from umberusher.hot_restart import successor
from umberusher.net.loop import Loop


@pytest.mark.parametrize("fault", ["stale", "silent", "garbage", "half", "list"])
def test_broker_starts_by_itself_when_handover_can_not_be_used(
    rig, tmp_path, fault, monkeypatch, caplog
):
    monkeypatch.setattr(successor, "GREETING_TIMEOUT_S", 0.1)
    path = str(tmp_path / "s")
    predecessor_listener = socket.socket(socket.AF_UNIX)
    predecessor_listener.bind(path)
    if fault == "stale":
        predecessor_listener.close()
    else:
        predecessor_listener.listen(1)
        peer = socket.socket(socket.AF_UNIX)
    link = None
    if fault in ("garbage", "half", "list"):
        text = {"garbage": b"{]\n", "half": b'{"hello"', "list": b"[1]\n"}[fault]
        real_recv_fds = socket.recv_fds

        def answer(sock, *more):
            nonlocal link
            link, _ = predecessor_listener.accept()
            socket.send_fds(link, [b"L"], [predecessor_listener.fileno()])
            link.send(text)
            return real_recv_fds(sock, *more)

        monkeypatch.setattr(socket, "recv_fds", answer)
    made = rig(1, path)
    assert made.broker.readiness.is_ready() and made.broker.hot_restart.listener.is_open
    assert sum("hot_restart" in record.message for record in caplog.records) == (fault != "stale")
    made.start_request()
    for sock in filter(None, [predecessor_listener, link, None if fault == "stale" else peer]):
        sock.close()


def test_handover_is_refused_when_greeting_trickles_in(tmp_path):
    """A predecessor that sends a few bytes at a time must not delay the start beyond the timeout."""
    path, now = str(tmp_path / "s"), [0.0]

    def clock() -> float:
        now[0] += 0.4
        return now[0]

    server = socket.socket(socket.AF_UNIX)
    server.bind(path)
    server.listen(1)
    loop = Loop()
    real_recv_fds = socket.recv_fds
    links = []

    def answer(sock, *more):
        links.append(server.accept()[0])
        socket.send_fds(links[0], [b"L"], [server.fileno()])
        links[0].send(b"x" * 10)
        return real_recv_fds(sock, *more)

    socket.recv_fds = answer
    try:
        with pytest.raises(successor.HandoverRefused) as raised:
            successor.request_handover(path, clock)
    finally:
        socket.recv_fds = real_recv_fds
        loop.close()
    assert raised.value.reason == str(raised.value) == "TimeoutError timed out"
    for sock in [server, *links]:
        sock.close()
