"""Deadlines on sockets: clock steps, network delay, unsent requests, stalls of the broker and slow engines."""

from __future__ import annotations

import errno
import socket

import pytest

from tests.thrift_messages import execute
from umberusher.decisions.events import AttemptEnded, AttemptOutcome
from umberusher.net.loop import MAX_TIMERS_PER_STEP, Loop
from umberusher.pipeline.request import SendProgress

BIG = b"select '" + b"x" * 600_000 + b"' from park_1.sites"


def send_partly_written_request(rig, method: str = "lookup", **more):
    """Send a request that is too large for the socket buffers to an engine that does not read."""
    rig.listeners["s-0"].setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_608)
    client = rig.client()
    rig.seqid += 1
    rid = f"{rig.seqid:016x}"
    client.sock.setblocking(True)
    client.sock.sendall(
        execute(rig.seqid, {"method": method, "rid": rid, "budget": "2000"} | more, BIG)
    )
    client.sock.setblocking(False)
    rig.until(
        lambda: rid in rig.broker.registry.requests and rig.broker.registry.requests[rid].attempt
    )
    engine = rig.accept("s-0")
    rig.until(
        lambda: rig.broker.registry.requests[rid].attempt.progress is SendProgress.PARTLY_WRITTEN
    )
    return client, rid, engine


def test_request_partly_written_at_its_deadline_is_never_completed(rig):
    rig = rig()
    events = []
    post, rig.broker.registry.post = (
        rig.broker.registry.post,
        lambda event: (events.append(event), post(event)),
    )
    client, rid, engine = send_partly_written_request(rig)
    rig.advance_ms(2_100)
    rig.until(lambda: rig.read_answer(client))
    rig.until(lambda: engine.read() and engine.ended)
    assert len(engine.received) < len(BIG) and rig.broker.upstream.given_up == {"PARTLY_WRITTEN": 1}
    assert [event.outcome for event in events if isinstance(event, AttemptEnded)] == [
        AttemptOutcome.NO_CONNECTION
    ]


def test_client_that_disconnects_during_a_partly_written_load_frees_its_key(rig):
    rig = rig()
    client, rid, engine = send_partly_written_request(rig, "load", obj="k")
    client.sock.close()
    rig.until(lambda: rid not in rig.broker.registry.requests)
    other = rig.client()
    following = rig.send_request(other, "load", obj="k")
    rig.advance_ms(800)
    again = rig.accept("s-0")
    rig.expect(again, following.encode())
    assert (
        rid.encode() not in again.received
        and not rig.broker.registry.requests[following].attempt.ended
    )


def test_expired_request_is_not_sent_in_the_first_loop_step_after_a_stall(rig):
    rig = rig()
    client = rig.client()
    rid = rig.send_request(
        client, budget="400"
    )  # its connection is being opened, or its bytes are in the outbox
    rig.now += 0.5  # the process was stopped: ready sockets are handled before due timers
    rig.broker.loop.step(0)
    engine = rig.accept("s-0")
    rig.until(lambda: rid not in rig.broker.registry.requests)
    rig.advance_ms(200)
    assert b"REQ" not in engine.read() and rig.read_answer(client)


def test_request_with_less_time_than_the_network_delay_ends_at_once_and_ejects_no_engine(rig):
    rig = rig()
    client = rig.client()
    fields = {
        "method": "lookup",
        "rid": "5" * 16,
        "budget": "5",
    }  # less than the network delay that is assumed for an unknown engine
    client.sock.send(execute(1, fields, b"select * from park_1.sites"))
    assert rig.read_answer(client)
    assert rig.broker.upstream.expired == {
        "NO_WAY": 1
    } and not rig.broker.balancer.ejected_endpoints(rig.broker.now_ms())


def test_step_of_the_unix_clock_neither_ends_nor_extends_open_requests(rig):
    rig = rig()
    client, rid, engine = rig.start_request()
    for step in (10.0, -20.0, 10.0):
        rig.broker.timeline._unix = lambda step=step: rig.now + step
        rig.advance_ms(400)
        assert (
            rid in rig.broker.registry.requests
            and not engine.ended
            and b"STOP" not in engine.read()
        )
    rig.advance_ms(1_000)
    assert rid not in rig.broker.registry.requests  # at its time on the monotonic clock
    assert rig.read_answer(client)


def test_stalled_connection_accepts_no_new_request(rig):
    rig = rig()
    send_partly_written_request(rig)
    rig.advance_ms(300)
    (connection,) = rig.broker.upstream.pool.by_engine["s-0"]
    assert connection.transport.is_write_stalled() and not connection.accepts(
        "f" * 16, rig.broker.now_ms()
    )


def test_call_that_arrives_during_a_stall_counts_from_the_previous_loop_step(rig):
    rig = rig()
    client = rig.client()
    rig.step(1)
    rig.now += 3.0  # the process was stopped, and a call arrived meanwhile
    client.sock.send(
        execute(
            1,
            {"method": "lookup", "rid": "a" * 16, "budget": "2000"},
            b"select * from park_1.sites",
        )
    )
    rig.broker.loop.step(0)
    rig.advance_ms(40)  # one tick of the load balancer
    assert rig.read_answer(client) and rig.broker.registry.attempts_sent == 0
    rig.advance_ms(100)
    rid = rig.send_request(client, budget="2000")  # later calls count from now
    assert rig.broker.registry.requests[rid].budget.remaining_ms(rig.broker.now_ms()) > 1_900


@pytest.mark.parametrize("waits_before_call", [False, True])
def test_first_call_counts_from_a_shortage_in_which_its_connection_waited(rig, waits_before_call):
    """Its engine was told of time that had passed while accept failed."""
    rig = rig()
    listener = rig.broker.frontend.listener
    accept = listener.sock.accept
    listener.sock = FailingAccept(listener.sock)
    client = rig.client()
    if not waits_before_call:
        send_lookup(client)
    rig.advance_ms(300)
    listener.sock.accept = accept
    rig.advance_ms(100)
    if waits_before_call:
        rig.advance_ms(1_000)
        send_lookup(client)
    rig.until(lambda: "a" * 16 in rig.broker.registry.requests)
    request = rig.broker.registry.requests["a" * 16]
    remaining_ms = request.budget.remaining_ms(rig.broker.now_ms())
    assert (remaining_ms > 1_850) if waits_before_call else (1_500 < remaining_ms <= 1_700)


class FailingAccept:
    """A listening socket whose accept fails for a shortage of the system."""

    def __init__(self, sock: socket.socket) -> None:
        self._sock = sock

    def accept(self):
        raise OSError(errno.ENFILE, "for a moment")

    def __getattr__(self, name: str):
        return getattr(self._sock, name)


def send_lookup(client) -> None:
    fields = {"method": "lookup", "rid": "a" * 16, "budget": "2000"}
    client.sock.send(execute(1, fields, b"select * from park_1.sites"))


def test_thousands_of_timers_in_one_millisecond_are_spread_over_loop_steps():
    now, fired = [0.0], []
    loop = Loop(lambda: now[0])
    for number in range(5_000):
        loop.call_later(1.0, lambda number=number: fired.append(number))
    now[0] = 0.002
    rounds = 0
    while len(fired) < 5_000:
        loop.step(0)
        rounds += 1
        assert len(fired) <= rounds * MAX_TIMERS_PER_STEP
    assert fired == list(range(5_000))
    loop.close()
