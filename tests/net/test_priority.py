"""Descriptors whose events the loop handles first."""

from __future__ import annotations

import socket

from umberusher.net.loop import READ, Loop, Wait


def test_prioritized_descriptor_is_served_before_a_flood():
    """Fails if all events share one queue, or if a step handles all ready events at once."""
    loop, order, pairs = Loop(), [], [socket.socketpair() for _ in range(200)]

    def reader(name, sock):
        while True:
            yield Wait(sock.fileno(), READ)
            order.append(name)

    for name, (ours, _) in enumerate(pairs):
        if name == 199:
            loop.prioritize(ours.fileno())
        loop.spawn(reader(name, ours))
    for _, peer in pairs:
        peer.send(b"x")
    loop.step(0)
    assert order[0] == 199 and len(order) <= 65
    loop.step(0)
    assert order.count(199) == 2
    loop.close()
    for pair in pairs:
        for sock in pair:
            sock.close()
