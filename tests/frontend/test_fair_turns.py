"""Turns of the loop between clients: by what they have used, each of bounded length.

Guards against few clients whose calls hold up those of all others
(docs/incidents/2026-12-05-floods-hold-up-sound-calls.md). Costs are counted in steps, not in time.
"""

from __future__ import annotations

import contextlib
import struct

import pytest

from tests.client_calls import execute_call, newest_client_connection
from tests.rig import Peer, Rig
from tests.thrift_messages import execute
from umberusher.frontend import call_queue
from umberusher.frontend.call_admission import MAX_STEPS_PER_TURN
from umberusher.frontend.client_usage import HALF_LIFE_S, LEVEL_UNITS, ClientUsage
from umberusher.net.timed_connection import UNITS_PER_TURN
from umberusher.protocol import thrift
from umberusher.protocol.statement import MAX_SKIPPED_PER_STEP, TableGroupScan

CHECK = struct.pack(">iIi5siB", 18, 0x80010001, 5, b"check", 1, 0)


def long_call(number: int) -> bytes:
    fields = {"method": "lookup", "rid": f"{number:016x}", "budget": "2000"}
    return execute(number % 1_000 + 1, fields, b"select " + b"a " * 15_000)


def send_all(rig: Rig, peer: Peer, data: bytes) -> None:
    while data:
        with contextlib.suppress(BlockingIOError):
            data = data[peer.sock.send(data) :]
        rig.step(0)


@pytest.fixture
def steps(monkeypatch) -> list[int]:
    """Return the lengths of all turns in which statements are read."""
    found: list[int] = []
    advance = TableGroupScan.advance

    def counted(scan: TableGroupScan, max_steps: int) -> bool:
        before = scan.step_count
        try:
            return advance(scan, max_steps)
        finally:
            found.append(scan.step_count - before)

    monkeypatch.setattr(TableGroupScan, "advance", counted)
    return found


@pytest.mark.parametrize("count", [5, 10, 20])
def test_short_call_is_begun_after_one_turn_of_each_client_with_long_ones(
    rig, steps, monkeypatch, count
):
    """Calls were begun strictly in the order of arrival, each in one go."""
    monkeypatch.setattr(call_queue, "MAX_RUN_S", 0.0)  # a turn for each step of the loop
    monkeypatch.setattr(call_queue, "MAX_LONG_RUN_S", 0.0)
    rig = rig()
    rig.broker.balancer.choice.choose = lambda request, now_ms: None
    sound = rig.client()
    hostile = [rig.client() for _ in range(count)]
    rig.until(lambda: len(rig.broker.frontend.clients) == count + 1)
    for number, peer in enumerate(hostile):
        for n in range(2):
            peer.sock.send(long_call(number * 100 + n))
    rig.until(lambda: len(steps) >= count)
    del steps[:]
    sound.sock.send(execute_call(7_777))
    rig.until(lambda: f"{7_777:016x}" in rig.broker.registry.requests, steps=1_000)
    assert max(steps) <= MAX_STEPS_PER_TURN
    assert sum(steps) <= (count + 2) * MAX_STEPS_PER_TURN


def test_call_is_rejected_at_its_time_while_it_waits_behind_others(rig, monkeypatch):
    """Nothing looked at the deadlines of calls that had not been begun."""
    monkeypatch.setattr(call_queue, "MAX_RUN_S", 0.0)
    monkeypatch.setattr(call_queue, "MAX_LONG_RUN_S", 0.0)
    monkeypatch.setattr(TableGroupScan, "advance", lambda scan, max_steps: False)  # never ends
    rig = rig()
    client = rig.client()
    send_all(rig, client, execute_call(1, budget="500") + execute_call(2, budget="900"))
    rig.advance_ms(400)
    assert not client.read()
    rig.advance_ms(150)
    assert client.read().count(b"backoff") == 1
    rig.advance_ms(400)
    assert client.read().count(b"backoff") == 2
    assert not rig.broker.registry.requests


@pytest.mark.parametrize("count", [500, 2_000])
def test_client_processes_a_bounded_number_of_frames_in_a_turn(rig, monkeypatch, count):
    """One client's small calls held the loop for as long as there were any in the buffer."""
    rig = rig()
    client, other = rig.client(), rig.client()
    rig.until(lambda: len(rig.broker.frontend.clients) == 2)
    decoded: list[bytes] = []
    decode = thrift.decode_call
    monkeypatch.setattr(
        thrift, "decode_call", lambda frame, kept: (decoded.append(frame), decode(frame, kept))[1]
    )
    client.sock.send(CHECK * count)
    most = 0
    answered = 0
    for _ in range(20_000):
        before = len(decoded)
        rig.broker.loop.step(0)
        most = max(most, len(decoded) - before)
        client.received = b""
        answered += client.read().count(b"check")
        if answered >= count:
            break
    assert answered >= count and most <= 2 * UNITS_PER_TURN  # a read and a resumed turn
    other.sock.send(CHECK)
    rig.until(lambda: b"check" in other.read())


def test_statement_is_skipped_in_bounded_steps():
    """Blanks and signs between names were skipped in one go, however many there were."""
    scan = TableGroupScan(b", " * 100_000 + b"from sales_17.orders")
    assert not scan.advance(10) and scan._position <= 10 * MAX_SKIPPED_PER_STEP
    while not scan.advance(100):
        pass
    assert scan.group == 17 and scan.step_count >= 200_000 // MAX_SKIPPED_PER_STEP


def test_usage_rises_by_levels_and_decays():
    usage = ClientUsage(0.0)
    assert usage.level(0.0) == 0
    usage.add(LEVEL_UNITS, 0.0)
    assert usage.level(0.0) == 1
    usage.add(3 * LEVEL_UNITS, 0.0)
    assert usage.level(0.0) == 3
    assert usage.level(HALF_LIFE_S) == 2
    assert usage.level(20 * HALF_LIFE_S) == 0


def test_client_whose_calls_are_served_uses_nothing(rig):
    rig = rig()
    client, rid, engine = rig.start_request()
    engine.sock.send(f"{rid} HIT count=1 6\r\na\tb\tc\n\r\n".encode())
    rig.read_answer(client)
    assert newest_client_connection(rig).usage is None
    client.sock.send(execute_call(9, "no such class"))
    rig.until(lambda: client.read())
    assert newest_client_connection(rig).usage is not None


def test_keys_are_forgotten_while_calls_wait_all_the_time(rig, monkeypatch):
    """The arrivals of keys were kept for as long as any call waited, under ever new keys."""
    rig = rig()
    client, other = rig.client(), rig.client()
    for number in range(1, 20):
        fields = {"method": "load", "obj": f"key {number}", "budget": "2000"}
        client.sock.send(execute_call(number, **fields))
    rig.until(lambda: len(rig.broker.key_arrivals) == 19)
    monkeypatch.setattr(call_queue, "MAX_RUN_S", 0.0)
    monkeypatch.setattr(call_queue, "MAX_LONG_RUN_S", 0.0)
    monkeypatch.setattr(TableGroupScan, "advance", lambda scan, max_steps: False)
    rig.advance_ms(100)
    send_all(rig, other, execute_call(30, budget="3000"))
    rig.advance_ms(1_500)
    assert rig.broker.frontend.call_queue.is_pending and not len(rig.broker.key_arrivals)
