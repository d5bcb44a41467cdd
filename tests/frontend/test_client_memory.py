"""Memory that clients make the broker hold: what is charged, who is called on, who is spared.

Guards against clients that exhaust the memory of a broker, and against the close of a connection
with open requests for what others hold (docs/incidents/2026-12-05-clients-exhaust-memory.md).
"""

from __future__ import annotations

import contextlib

from tests.client_calls import execute_call, interrupt
from tests.rig import Peer, Rig
from tests.thrift_messages import execute
from umberusher.frontend.call_queue import CallQueue
from umberusher.net.connection import Connection

LARGE_BYTES = 100_000


def large_call(number: int, size: int = LARGE_BYTES, **more: str) -> bytes:
    fields = {"method": "lookup", "rid": f"{number:016x}", "budget": "2000"} | more
    return execute(number, fields, b"select 1 -- ".ljust(size, b"x"))


def limit_account(rig: Rig, limit_bytes: float) -> None:
    """Let the account of the broker grant that much, whatever the process holds."""
    account = rig.broker.memory
    account._max_bytes = limit_bytes
    account._headroom_bytes = lambda: limit_bytes - account.peak_bytes
    account.measure()


def client_of(rig: Rig, peer: Peer):
    """Return the broker's connection of a client."""
    address = peer.sock.getsockname()
    clients = rig.broker.frontend.clients
    rig.until(lambda: any(each.connection.sock.getpeername() == address for each in clients))
    return next(each for each in clients if each.connection.sock.getpeername() == address)


def send_all(rig: Rig, peer: Peer, data: bytes) -> None:
    """Send all data, while the broker reads."""
    while data:
        with contextlib.suppress(BlockingIOError):
            data = data[peer.sock.send(data) :]
        rig.step(0)


def keep_requests_queued(rig: Rig) -> None:
    rig.broker.balancer.choice.choose = lambda request, now_ms: None


def test_charges_of_buffers_calls_requests_and_answers_are_all_released(rig):
    rig = rig()
    account = rig.broker.memory
    client = rig.client()
    connection = client_of(rig, client)
    send_all(rig, client, large_call(1)[:-10])
    assert connection.held_bytes >= LARGE_BYTES
    send_all(rig, client, large_call(1)[-10:])
    rig.until(lambda: rig.broker.registry.requests)
    assert LARGE_BYTES <= connection.held_bytes <= 1.5 * LARGE_BYTES
    engine = rig.accept("s-0")
    rig.until(lambda: engine.read().endswith(b"x\r\n"))
    engine.sock.send(f"{1:016x} HIT count=1 6\r\na\tb\tc\n\r\n".encode())
    rig.read_answer(client)
    send_all(rig, client, large_call(2) + interrupt(2))
    send_all(rig, client, large_call(3))
    client.sock.close()
    rig.until(lambda: not rig.broker.frontend.clients)
    rig.until(lambda: not rig.broker.frontend.call_queue.is_pending)
    assert connection.held_bytes == 0
    engine.sock.close()
    rig.until(lambda: not rig.broker.upstream.pool.count)
    rig.until(lambda: account.used_bytes <= 1 << 15)  # discovery's buffers


def test_calls_of_the_largest_holder_are_rejected_for_a_small_one(rig):
    rig = rig()
    keep_requests_queued(rig)
    limit_account(rig, 8 * LARGE_BYTES)
    greedy, sound = rig.client(), rig.client()
    first = rig.send_request(sound)
    seqids = range(10, 40)
    send_all(rig, greedy, b"".join(large_call(number) for number in seqids))
    second = rig.send_request(sound, rid="f" * 16)
    rig.until(lambda: b"backoff" in greedy.read())
    assert {first, second} <= set(rig.broker.registry.requests)
    assert len(rig.broker.frontend.clients) == 2 and not sound.read()
    assert rig.broker.memory.used_bytes <= rig.broker.memory.limit_bytes


def test_incomplete_call_of_the_largest_holder_is_rejected_and_the_next_one_read(rig):
    rig = rig()
    keep_requests_queued(rig)
    limit_account(rig, 4 * LARGE_BYTES)
    slow = [rig.client() for _ in range(6)]
    for number, peer in enumerate(slow):
        send_all(rig, peer, large_call(50 + number)[: LARGE_BYTES - 500 * number])
    rig.until(lambda: any(b"backoff" in peer.read() for peer in slow))
    assert len(rig.broker.frontend.clients) == len(slow)
    refused = next(number for number, peer in enumerate(slow) if peer.received)
    rest = large_call(50 + refused)[LARGE_BYTES - 500 * refused :]
    send_all(rig, slow[refused], rest + execute_call(99))
    rig.until(lambda: f"{99:016x}" in rig.broker.registry.requests)


def test_names_of_fields_that_clients_invent_are_not_held(rig, monkeypatch):
    """Heads of very many short fields took twenty times their size."""
    rig = rig()
    client = rig.client()
    invented = {f"{number:x}": "" for number in range(1_000)}
    decoded = []
    monkeypatch.setattr(CallQueue, "add", lambda _, pending: decoded.append(pending))
    send_all(rig, client, execute_call(2, **invented))
    rig.until(lambda: decoded)
    assert sorted(decoded[0].call.fields) == ["budget", "method", "rid"]


def test_client_that_leaves_answers_unread_is_closed_for_what_it_holds_itself(rig, monkeypatch):
    rig = rig()
    limit_account(rig, 4 * LARGE_BYTES)
    unread, sound = rig.client(), rig.client()
    connection = client_of(rig, unread)
    rid = rig.send_request(sound)
    with monkeypatch.context() as blocked:
        blocked.setattr(Connection, "_flush", Connection._note_write_blocked)
        connection.write_answer(b"x")
    rig.now += 1.0
    monkeypatch.setattr(Connection, "_flush", Connection._note_write_blocked)
    for _ in range(5):
        connection.write_answer(b"x" * LARGE_BYTES)
    rig.until(lambda: len(rig.broker.frontend.clients) == 1)
    assert connection.held_bytes == 0 and rid in rig.broker.registry.requests


def test_large_calls_being_received_are_bounded_by_the_account(rig):
    """Replaces a bound on the number of large calls, which closed the connection beyond it."""
    rig = rig()
    limit_account(rig, 10 * LARGE_BYTES)
    peers = [rig.client() for _ in range(30)]
    for number, peer in enumerate(peers):
        send_all(rig, peer, large_call(number)[:-10_000])
        assert rig.broker.memory.used_bytes <= rig.broker.memory.limit_bytes
    rig.until(lambda: sum(b"backoff" in peer.read() for peer in peers) >= len(peers) - 10)
    assert not any(peer.ended for peer in peers)


def test_connection_with_open_requests_survives_half_calls_of_others(rig):
    """Case 9 of the review: 40 half calls closed a connection with three loads at engines."""
    rig = rig()
    sound = rig.client()
    first = rig.send_request(sound, "load", obj="k1")
    engine = rig.accept("s-0")
    rig.expect(engine, b"REQ")
    for _ in range(2):  # the second time with twice as many
        for number in range(40):
            send_all(rig, rig.client(), large_call(number)[:40_000])
    large_load = large_call(70, 75_000, method="load", obj="k2", budget="20000")
    send_all(rig, sound, large_load)
    rig.until(lambda: f"{70:016x}" in rig.broker.registry.requests)
    assert first in rig.broker.registry.requests and not sound.ended


def test_cancellation_behind_calls_that_are_rejected_for_memory_is_processed(rig):
    rig = rig()
    keep_requests_queued(rig)
    client = rig.client()
    client.sock.send(execute_call(1))
    rig.until(lambda: rig.broker.registry.requests)
    connection = client_of(rig, client)
    third = large_call(3)
    connection.connection.inbound.write(large_call(2) + interrupt(1) + third[:5_000])
    assert connection.shed_memory()
    rig.until(lambda: not rig.broker.registry.requests)
    send_all(rig, client, third[5_000:] + execute_call(4))
    rig.until(lambda: f"{4:016x}" in rig.broker.registry.requests)
    rig.until(lambda: client.read().count(b"backoff") == 2)
    assert not client.ended
