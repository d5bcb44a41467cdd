"""The cost of a statement and of an idle connection, in calls, exceptions and objects, not time."""

from __future__ import annotations

import socket
import sys
import types
from collections import Counter, deque
from collections.abc import Callable

import pytest

from tests.rig import Rig
from tests.thrift_messages import execute
from umberusher.net import connection
from umberusher.net.connection import RawMessage, State
from umberusher.net.loop import Loop
from umberusher.net.ring import IDLE_CAPACITY_BYTES
from umberusher.protocol import engine as codec
from umberusher.protocol import thrift

# Paths below umberusher/ whose calls are counted; those of the decisions are counted elsewhere.
COUNTED_PATHS = (
    "net/",
    "protocol/",
    "frontend/",
    "pipeline/",
    "upstream/",
    "endpoints/registry.py",
    "deadlines/",
)
# Calls of Python functions in these paths: a statement takes 182, and took 312 without this bound.
MAX_CALLS_PER_STATEMENT = 200


def count_events(counted_event: str, work: Callable[[], object]) -> Counter[str]:
    """Run ``work`` and return how often each file of the program had the event."""
    counts: Counter[str] = Counter()

    def trace(frame: types.FrameType, event: str, _: object) -> Callable | None:
        if event == counted_event and "umberusher/" in frame.f_code.co_filename:
            counts[frame.f_code.co_filename.rpartition("umberusher/")[2]] += 1
        return trace

    start = sys.setprofile if counted_event == "call" else sys.settrace
    previous_trace = sys.gettrace()
    start(trace)
    try:
        work()
    finally:
        sys.setprofile(None)
        sys.settrace(previous_trace)
    return counts


@pytest.fixture
def rig():
    made = Rig()
    yield made
    made.close()


def serve_statement(rig: Rig, client, engine) -> None:
    """Send one statement, which is answered with one page."""
    rid = rig.send_request(client, est="2.0", ram="8", acct="t", token="x")
    rig.expect(engine, b"REQ " + rid.encode())
    engine.received = b""
    engine.sock.send(f"{rid} HIT count=1 6\r\na\tb\tc\n\r\n".encode())
    assert rid.encode() not in rig.read_answer(client)
    rig.until(lambda: rid not in rig.broker.registry.requests)


def test_statement_takes_a_bounded_number_of_calls(rig):
    client = rig.client()
    first = rig.send_request(client)
    engine = rig.accept("s-0")
    rig.expect(engine, b"REQ")
    engine.sock.send(f"{first} HIT count=1 6\r\na\tb\tc\n\r\n".encode())
    rig.read_answer(client)
    calls_by_file: Counter[str] = Counter()
    step = rig.broker.loop.step

    def counting_step(longest_ms: float) -> None:
        calls_by_file.update(count_events("call", lambda: step(0)))
        calls_by_file["rounds"] += 1

    for _ in range(3):
        serve_statement(rig, client, engine)
    rig.broker.loop.step = counting_step
    for _ in range(20):
        serve_statement(rig, client, engine)
    calls = (
        sum(
            count
            for file, count in calls_by_file.items()
            if file.startswith(COUNTED_PATHS) and file != "net/loop.py"
        )
        / 20
    )
    assert 50 < calls < MAX_CALLS_PER_STATEMENT, calls_by_file


def test_decoder_makes_no_method_call_for_each_field():
    def calls(fields: int) -> int:
        frame = execute(1, {f"name{number}": "value" for number in range(fields)}, b"select 1")[4:]
        return sum(count_events("call", lambda: thrift.decode_call(frame)).values())

    assert calls(12) == calls(3)


def test_answer_without_load_and_cost_creates_no_report(monkeypatch):
    made = []
    monkeypatch.setattr(codec, "LoadReport", lambda: made.append(1))
    raised = count_events(
        "exception", lambda: (codec.report({"count": "1"}), codec.cost({"count": "1"}))
    )
    assert not made and not raised
    assert codec.report({"count": "1"}) is None and codec.cost({"count": "1"}) == (None, None)


@pytest.fixture
def pair():
    ours, peer = socket.socketpair()
    ours.setblocking(False)
    peer.setblocking(False)
    loop = Loop()
    conn = connection.Connection(loop, ours, State.OPEN, 1 << 16, 1 << 20)
    loop.spawn(conn.serve())
    yield conn, peer
    conn.close("done")
    peer.close()
    loop.close()


def read_all(conn: connection.Connection, peer: socket.socket) -> bytes:
    """Return all that arrives while the loop writes the remaining output."""
    got = bytearray()
    for _ in range(200):
        conn.loop.step(1)
        try:
            got += peer.recv(1 << 16)
        except BlockingIOError:
            if conn.is_flushed:
                break
    return bytes(got)


def test_connection_copies_nothing_into_ring_when_kernel_accepts_all(pair):
    conn, peer = pair
    for number in range(3):
        conn.send(RawMessage(bytes([number]) * 5_000))
    assert (
        conn.outbound.allocated_bytes == IDLE_CAPACITY_BYTES
        and conn.is_flushed
        and conn.sent_bytes == 15_000
    )
    assert read_all(conn, peer) == b"".join(bytes([number]) * 5_000 for number in range(3))


def test_connection_writes_all_in_order_when_kernel_accepts_a_part(pair):
    conn, peer = pair
    conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4_608)
    wanted = [bytes([number]) * (700_000 if number == 1 else 3_000) for number in range(4)]
    for data in wanted:
        conn.send(RawMessage(data))
    assert not conn.is_flushed and conn.outbound.allocated_bytes > IDLE_CAPACITY_BYTES
    assert read_all(conn, peer) == b"".join(wanted) and conn.sent_bytes == sum(map(len, wanted))


def test_connection_closes_when_message_is_larger_than_buffer(pair):
    conn, peer = pair
    closed: list[str] = []
    conn.on_closed = closed.append
    conn.send(RawMessage(bytes((1 << 20) + 1)))
    assert (
        closed == ["a message is larger than the buffer"]
        and conn.sent_bytes == 0
        and peer.recv(9) == b""
    )


def test_idle_connection_holds_no_queue_function_or_dictionary_of_its_own(rig):
    clients = [rig.client(), rig.client()]
    for peer in clients:
        peer.sock.send(execute(1, {}, b"", name="check"))
        rig.read_answer(peer)
    rig.advance_ms(1_500)
    assert len(rig.broker.frontend.clients) == 2
    first, second = rig.broker.frontend.clients
    held = [
        getattr(each, name) for each in (first, first.connection) for name in type(each).__slots__
    ]
    assert not [each for each in held if isinstance(each, deque)]
    for name in ("on_connected", "on_open", "on_released"):
        assert getattr(first.connection, name) is getattr(second.connection, name)
    for each in (first, first.connection, first.connection.inbound):
        assert not hasattr(each, "__dict__"), type(each)
    assert (
        first.connection.inbound.allocated_bytes
        == first.connection.outbound.allocated_bytes
        == IDLE_CAPACITY_BYTES
    )
