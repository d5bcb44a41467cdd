"""Guards against loads of one key that change places while the broker is busy or stopped.

While large statements were read, the second load of a key overtook the first: all input of one
connection was processed before the input of the next one, which had arrived earlier
(docs/incidents/2026-12-04-loads-of-a-key-change-places.md).
"""

from __future__ import annotations

import re
import socket
import time

import pytest

from tests.client_calls import newest_client_connection
from tests.rig import Rig
from tests.thrift_messages import execute
from umberusher.frontend import call_admission, client_connection
from umberusher.net.connection import RawMessage

LOAD = re.compile(rb"REQ ([0-9a-f]{16}) lane=load")
LARGE_BYTES = 30_000


class RealTimeRig(Rig):
    """A rig on the system's clock, by which the kernel's timestamps go."""

    @property
    def now(self) -> float:
        return time.time()

    @now.setter
    def now(self, value: float) -> None:
        """Ignore the start time of a simulated clock."""


@pytest.fixture
def real_time_rig():
    made = RealTimeRig()
    yield made
    made.close()


def call(number: int, method: str = "lookup", size: int = 8, **more) -> bytes:
    fields = {"method": method, "rid": f"{number:016x}", "budget": "2000"} | more
    return execute(number, fields, b"select 1".ljust(size))


def load(number: int, key: str = "k") -> bytes:
    return call(number, "load", budget="20000", obj=key)


def two_clients(rig):
    clients = [rig.client(), rig.client()]
    rig.until(lambda: len(rig.broker.frontend.clients) == 2)
    rig.step(0)
    rig.step(0)
    return clients


def loads_in_order(rig, count: int) -> list[int]:
    """Return the numbers of the loads that engines got, in order; each is answered at once."""
    started: list[int] = []
    peers = []

    def answer_engines() -> bool:
        try:
            peers.append(rig.register_peer(_accepted(rig)))
        except BlockingIOError:
            pass
        for peer in peers:
            peer.read()
            for rid in re.findall(rb"REQ ([0-9a-f]{16})", peer.received):
                peer.sock.send(rid + b" HIT count=1 6\r\na\tb\tc\n\r\n")
            started.extend(int(rid, 16) for rid in LOAD.findall(peer.received))
            peer.received = b""
        return len(started) >= count

    rig.until(answer_engines)
    return started


def _accepted(rig):
    from tests.rig import Peer

    return Peer(rig.listeners["s-0"].accept()[0])


def while_decoding(monkeypatch, rig, cost_s: float, actions: dict[int, object]) -> None:
    """Let each call take ``cost_s`` to decode; after the n-th one ``actions[n]`` is called."""
    decode = call_admission.decode_request
    decoded = []

    def slow_decode(*arguments):
        decoded.append(arguments)
        rig.now += cost_s
        action = actions.get(len(decoded))
        if action is not None:
            action()
        return decode(*arguments)

    monkeypatch.setattr(call_admission, "decode_request", slow_decode)


def test_loads_keep_their_order_when_they_arrive_while_large_statements_are_read(rig, monkeypatch):
    """Case 2 of the review: few large inputs, each of which holds the loop for 40 ms."""
    rig = rig()
    first, second = two_clients(rig)
    large = [rig.client() for _ in range(3)]
    rig.until(lambda: len(rig.broker.frontend.clients) == 5)

    def send_first() -> None:
        second.sock.send(call(100))
        first.sock.send(load(1))

    while_decoding(monkeypatch, rig, 0.04, {1: send_first, 3: lambda: second.sock.send(load(2))})
    for number, client in enumerate(large, 200):
        client.sock.send(call(number, size=LARGE_BYTES))
    assert loads_in_order(rig, 2) == [1, 2]


def test_loads_keep_their_order_when_they_arrive_in_a_flood_of_small_calls(rig, monkeypatch):
    """Many small inputs hold the loop as long as few large ones."""
    rig = rig()
    first, second = two_clients(rig)
    flood = [rig.client() for _ in range(10)]
    rig.until(lambda: len(rig.broker.frontend.clients) == 12)

    def send_first() -> None:
        second.sock.send(call(100))
        first.sock.send(load(1))

    while_decoding(monkeypatch, rig, 0.002, {20: send_first, 60: lambda: second.sock.send(load(2))})
    for number, client in enumerate(flood):
        client.sock.send(b"".join(call(1000 + 20 * number + n) for n in range(20)))
    assert loads_in_order(rig, 2) == [1, 2]


def test_load_is_rejected_when_it_may_precede_one_that_was_begun(rig):
    """Without timestamps nobody knows which of two loads came first while the process stood still."""
    rig = rig()
    first, second = two_clients(rig)
    second.sock.send(call(100))
    first.sock.send(load(1))
    second.sock.send(load(2))
    rig.now += 0.2
    started = loads_in_order(rig, 1)
    refused = first if started == [2] else second
    rig.until(lambda: b"backoff" in refused.read())
    rig.advance_ms(1000)
    assert len(started) == 1


def test_load_is_begun_when_the_last_one_of_its_key_was_read_before_a_pause(rig):
    rig = rig()
    first, second = two_clients(rig)
    first.sock.send(load(1))
    assert loads_in_order(rig, 1) == [1]
    rig.now += 0.2
    rig.step(0)
    second.sock.send(load(2))
    rig.until(lambda: f"{2:016x}" in rig.broker.registry.requests)


def test_loads_of_other_keys_are_begun_whatever_their_order(rig):
    rig = rig()
    first, second = two_clients(rig)
    second.sock.send(call(100))
    first.sock.send(load(1, "a"))
    second.sock.send(load(2, "b"))
    rig.now += 0.2
    assert sorted(loads_in_order(rig, 2)) == [1, 2]


def test_loads_keep_their_order_by_timestamps_when_the_process_was_stopped(real_time_rig):
    rig = real_time_rig
    first, second = two_clients(rig)
    if newest_client_connection(rig).connection._timestamps is None:
        pytest.skip("sockets have no receive timestamps here")
    second.sock.send(call(100))
    first.sock.send(load(1))
    time.sleep(0.07)  # clients write the loads of a key 60 ms apart
    second.sock.send(load(2))
    assert loads_in_order(rig, 2) == [1, 2]


def test_deferred_load_is_rejected_when_a_later_one_of_its_key_was_begun(rig):
    """A client that reads no answers has its calls deferred, while others overtake it."""
    rig = rig()
    first, second = two_clients(rig)
    deferring = next(iter(rig.broker.frontend.clients))
    deferring.connection.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4608)
    deferring.connection.send(RawMessage(b"x" * 500_000))
    for _ in range(client_connection.MAX_UNWRITTEN_ANSWERS + 1):
        deferring.write_answer(b"y")
    first.sock.send(load(1))
    rig.until(lambda: deferring.deferred_calls)
    rig.advance_ms(100)
    second.sock.send(load(2))
    assert loads_in_order(rig, 1) == [2]
    rig.until(lambda: first.read().endswith(b"y") or b"backoff" in first.received)
    rig.until(lambda: b"backoff" in first.read())
    assert f"{1:016x}" not in rig.broker.registry.requests


def test_pending_call_is_answered_by_nobody_when_its_client_disconnects(rig, monkeypatch):
    rig = rig()
    first, second = two_clients(rig)
    while_decoding(monkeypatch, rig, 0.01, {1: second.sock.close})
    first.sock.send(call(1))
    second.sock.send(call(2))
    rig.until(lambda: len(rig.broker.frontend.clients) == 1)
    rig.until(lambda: not rig.broker.frontend.call_queue.is_pending)
    assert list(rig.broker.registry.requests) == [f"{1:016x}"]
