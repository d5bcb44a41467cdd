"""Random orders of client, engine, discovery and signal events, on sockets and a fake clock.

Guards against races between events that cross. The state machine simulates everyone but the broker
and checks after each step: one answer for each call that must get one, one attempt in flight, no
request sent for a client that has disconnected or to an engine that drains, no load sent twice, and
no descriptor leaked.
"""

from __future__ import annotations

import re
import socket
import struct
from dataclasses import dataclass, field

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tests.client_calls import interrupt
from tests.rig import Peer, Rig
from tests.thrift_messages import execute
from tests.upstream.life_player import ROWS
from umberusher.broker.shutdown import GracefulShutdown
from umberusher.decisions.events import AttemptOutcome
from umberusher.endpoints.directory import STATE_UP
from umberusher.endpoints.registry import EndpointRegistry
from umberusher.frontend.client_connection import ClientConnection
from umberusher.frontend.thrift_frontend import ThriftFrontend
from umberusher.net.ring import RingBuffer
from umberusher.pipeline import request_registry
from umberusher.pipeline.admission import RequestAdmission
from umberusher.protocol import thrift

REQUEST_LINE = re.compile(rb"REQ (\w+) lane=(\w+)\S* (\d+)\r\n")
ENGINES = ("s-0", "s-1", "s-2")
MAX_SEND_AFTER_DISCONNECT_MS, MAX_SEND_AFTER_DRAIN_MS = 100.0, 250.0


@dataclass(eq=False)
class Call:
    rid: str
    seqid: int
    load: bool
    left_ms: float | None = None  # when its client stopped waiting for an answer
    answers: int = 0
    ran: bool = False  # an engine has all of it and has not replied that it never ran
    holder: Peer | None = None  # the engine connection that has it


@dataclass(eq=False)
class Caller:
    peer: Peer
    calls: dict[int, Call] = field(default_factory=dict)
    gone: bool = False
    seqid: int = 0


class Crossings(RuleBasedStateMachine):
    """Simulates everyone but the broker."""

    @initialize()
    def begin(self):
        self.rig = Rig(len(ENGINES))
        self.callers, self.calls, self.links = [], {}, []
        self.drained = dict.fromkeys(ENGINES, None)
        self.stopped_ms, self.count, self.ended = None, 0, False
        self.look()

    @property
    def now_ms(self):
        return self.rig.now * 1000.0

    # -- Observation

    def look(self):
        """Step the broker until it is idle, read all sockets, and check the invariants."""
        for _ in range(4):
            if not self.ended:
                self.rig.step(0)
            if self.stopped_ms is not None and not self.rig.broker.loop.running and not self.ended:
                self.ended = True
                self.rig.broker.close()
            for name in ENGINES:
                try:
                    peer = self.rig.register_peer(Peer(self.rig.listeners[name].accept()[0]))
                except BlockingIOError:
                    continue
                peer.name = name
                self.links.append(peer)
            for peer in self.links:
                self.read_engine(peer)
            for caller in self.callers:
                self.read_client(caller)
        self.check_broker_state()

    def read_engine(self, peer):
        peer.read()
        while (found := REQUEST_LINE.search(peer.received)) and len(
            peer.received
        ) >= found.end() + int(found[3]) + 2:
            peer.received = peer.received[found.end() + int(found[3]) + 2 :]
            call = self.calls[found[1].decode()]
            assert (
                call.left_ms is None or self.now_ms - call.left_ms <= MAX_SEND_AFTER_DISCONNECT_MS
            ), "sent for a client who has left"
            assert call.holder is None or call.holder.ended, "two attempts out"
            assert not (call.load and call.ran), "a load was sent twice"
            drained_ms = self.drained[peer.name]
            assert (
                drained_ms is None or self.now_ms - drained_ms <= MAX_SEND_AFTER_DRAIN_MS
            ), "sent to an engine that drains"
            call.holder, call.ran = peer, True
        for call in [call for call in self.calls.values() if call.holder is peer]:
            if (
                f"STOP {call.rid}".encode() in peer.received
                or f"END {call.rid}".encode() in peer.received
            ):
                call.holder = None

    def read_client(self, caller):
        if caller.gone:
            return
        ring = RingBuffer(1 << 20)
        ring.write(caller.peer.read())
        while (frame := thrift.next_frame(ring)) is not None:
            (seqid,) = struct.unpack(">i", frame[frame.index(b"execute") + 7 :][:4])
            call = caller.calls[seqid]
            call.answers += 1
            assert call.answers == 1 and (
                call.left_ms is None or self.crossed_answer(call)
            ), "an answer too many"
            if b"backoff" in frame:
                assert not (call.load and call.ran), "refused what may have run"
        caller.peer.received = ring.take(len(ring))
        if caller.peer.ended:
            owed = [
                call for call in caller.calls.values() if not call.answers and call.left_ms is None
            ]
            assert not owed, "closed with an answer owed"
            caller.gone = True
            caller.peer.sock.close()

    def crossed_answer(self, call):
        return self.now_ms - call.left_ms < 1.0

    def check_broker_state(self):
        if self.ended:
            return
        broker = self.rig.broker
        attempts_in_flight = [
            attempt
            for links in broker.upstream.pool.by_engine.values()
            for link in links
            for attempt in link.attempts.values()
        ]
        assert len({attempt.request.request_id for attempt in attempts_in_flight}) == len(
            attempts_in_flight
        )
        assert not any(
            request.is_open and not self.owed(rid)
            for rid, request in broker.registry.requests.items()
        ), "not owed"
        for call in self.calls.values():
            if self.owed(call.rid) and call.read:
                assert broker.registry.requests[call.rid].is_open, "forgotten"
        there = sum(not caller.gone for caller in self.callers)
        assert len(broker.frontend.clients) + len(broker.frontend.closing) <= len(self.callers)
        assert len(broker.frontend.clients) <= there

    def owed(self, rid):
        call = self.calls[rid]
        return call.left_ms is None and not call.answers

    # -- Clients

    @rule()
    @precondition(
        lambda self: self.stopped_ms is None and sum(not c.gone for c in self.callers) < 4
    )
    def comes(self):
        self.callers.append(Caller(self.rig.client()))
        self.look()

    @rule(number=st.integers(0, 3), loads=st.lists(st.booleans(), min_size=1, max_size=3))
    @precondition(lambda self: self.may_ask())
    def asks_for_some(self, number, loads):
        for load in loads:
            if self.may_ask():
                self.asks(number, load, "")

    @rule(
        number=st.integers(0, 3), load=st.booleans(), leaves=st.sampled_from(["interrupt", "close"])
    )
    @precondition(lambda self: self.may_ask())
    def asks_and_leaves(self, number, load, leaves):
        self.asks(number, load, leaves)

    def may_ask(self):
        return not self.ended and (
            self.stopped_ms is None or any(not caller.gone for caller in self.callers)
        )

    def asks(self, number, load, leaves):
        if all(caller.gone for caller in self.callers):
            self.comes()
        there = [caller for caller in self.callers if not caller.gone]
        caller = there[number % len(there)]
        caller.seqid += 1
        self.count += 1
        call = Call(f"{self.count:016x}", caller.seqid, load)
        call.read = False
        fields = {"method": "load" if load else "lookup", "rid": call.rid, "budget": "2000"}
        fields |= {"obj": "k"} if load else {}
        data = execute(call.seqid, fields, b"select 1")
        caller.calls[call.seqid] = self.calls[call.rid] = call
        if leaves == "interrupt":  # in the same write
            data += interrupt(call.seqid)
            call.left_ms = self.now_ms
        if not self.write(caller, data):
            call.left_ms = self.now_ms  # the call crossed a close by the broker
        elif leaves == "close" and len(there) > 2:
            self.goes(caller)
        self.look()
        if call.left_ms is None and not call.answers and not caller.gone:
            call.read = call.rid in self.rig.broker.registry.requests if not self.ended else False

    def write(self, caller, data):
        try:
            caller.peer.sock.send(data)
        except OSError:
            return False
        # A call sent after the broker has shut down its side has crossed the close: its client
        # sends it again to another broker.
        caller.peer.read()
        return not caller.peer.ended

    def goes(self, caller, ending="close"):
        caller.gone = True
        for call in caller.calls.values():
            if not call.answers and call.left_ms is None:
                call.left_ms = self.now_ms
        if ending == "reset":
            caller.peer.sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
        if ending == "half":
            caller.peer.sock.shutdown(socket.SHUT_WR)
        else:
            caller.peer.sock.close()

    @rule(number=st.integers(0, 3), way=st.sampled_from(["close", "reset", "half"]))
    @precondition(lambda self: sum(not c.gone for c in self.callers) > 2)
    def leaves(self, number, way):
        there = [caller for caller in self.callers if not caller.gone]
        self.goes(there[number % len(there)], way)
        self.look()

    @rule(number=st.integers(0, 9))
    @precondition(lambda self: sum(self.owed(rid) for rid in self.calls) > 2)
    def takes_back(self, number):
        waiting = [
            (caller, call)
            for caller in self.callers
            if not caller.gone
            for call in caller.calls.values()
            if self.owed(call.rid)
        ]
        if waiting:
            caller, call = waiting[number % len(waiting)]
            if self.write(caller, interrupt(call.seqid)):
                call.left_ms = self.now_ms
        self.look()

    # -- Engines

    @rule(number=st.integers(0, 9), word=st.sampled_from(["HIT", "HIT", "first", "page"]))
    @precondition(lambda self: self.something_out())
    def answers_well(self, number, word):
        self.answers(number, word)

    @rule(number=st.integers(0, 9), word=st.sampled_from(["SHED", "FAULT", "LATE", "SHED"]))
    @precondition(lambda self: self.something_out())
    def answers_no(self, number, word):
        self.answers(number, word)

    @rule(number=st.integers(0, 9), word=st.sampled_from(["half", "reset", "twice", "junk"]))
    @precondition(lambda self: self.something_out())
    def answers_badly(self, number, word):
        self.answers(number, word)

    def something_out(self):
        return any(call.holder and not call.holder.ended for call in self.calls.values())

    def answers(self, number, word):
        pending_calls = [
            call for call in self.calls.values() if call.holder and not call.holder.ended
        ]
        call = pending_calls[number % len(pending_calls)]
        peer, rid = call.holder, call.rid.encode()
        if word == "reset":
            peer.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.close(peer)
        else:
            hit = rid + b" HIT count=1 6\r\n" + ROWS + b"\r\n"
            data = {
                "HIT": hit,
                "first": hit.replace(b"=1", b"=2"),
                "page": rid + b" PART pos=1 6\r\n" + ROWS + b"\r\n",
                "half": hit[:-9],
                "twice": hit + rid + b" FAULT -\r\n",
                "junk": b"\0\xff\r\n",
            }.get(word, rid + f" {word} -\r\n".encode())
            try:
                peer.sock.send(data)
            except OSError:
                self.close(peer)
            if word in ("HIT", "SHED", "FAULT", "LATE", "twice"):
                call.holder = None
            if word in ("SHED", "LATE"):
                call.ran = False
            if word in ("half", "junk"):
                self.close(peer)
        self.look()

    def close(self, peer):
        peer.sock.close()
        peer.ended, peer.read = True, lambda: b""

    # -- Discovery, signals, time

    @rule(
        engine=st.sampled_from(ENGINES), state=st.sampled_from(["DRAINING", "DELETED", "SERVING"])
    )
    @precondition(lambda self: not self.ended and self.calls)
    def told(self, engine, state):
        if state != "SERVING" and sum(since is None for since in self.drained.values()) == 1:
            return  # one goes on: with none there is nothing to cross
        self.rig.broker.endpoints.apply(self.rig.notice((engine, engine, state)))
        self.drained[engine] = None if state == "SERVING" else self.drained[engine] or self.now_ms
        self.look()

    @rule()
    @precondition(lambda self: self.stopped_ms is None and len(self.calls) > 3)
    def sigterm(self):
        self.rig.broker.loop.running = True
        self.rig.broker.request_shutdown()
        self.stopped_ms = self.now_ms
        self.look()

    @rule(ms=st.sampled_from([5, 60, 200, 600, 1200]))
    def waits(self, ms):
        for _ in range(6):
            self.rig.now += ms / 6000
            self.look()

    def teardown(self):
        if not hasattr(self, "rig"):
            return
        try:
            for _ in range(60):  # each call gets its answer by its deadline, whatever engines do
                self.rig.now += 0.1
                self.look()
            for call in self.calls.values():
                assert not self.owed(call.rid), f"{call.rid} never got its answer"
            assert (
                self.ended
                or not self.rig.broker.registry.requests
                and not self.rig.broker.balancer.requests
            )
            assert self.stopped_ms is None or self.ended, "it does not end"
        finally:
            self.rig.close()


SETTINGS = settings(
    max_examples=40,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    database=None,
    suppress_health_check=list(HealthCheck),
)


def test_broker_keeps_invariants_when_events_cross_at_random():
    run_state_machine_as_test(Crossings, settings=SETTINGS)


@pytest.mark.parametrize(
    ("where", "name", "bug", "expected_problem"),
    [
        (
            request_registry,
            "outcome_of",
            lambda failure: AttemptOutcome.NO_CONNECTION,
            "a load was sent twice|refused what may have run",
        ),
        (RequestAdmission, "disconnect", lambda self, request: None, "who has left|not owed"),
        (ClientConnection, "_interrupt", lambda self, seqid: None, "an answer too many|not owed"),
        (
            EndpointRegistry,
            "_update_state",
            lambda self, slot: self.directory.set_state(slot, STATE_UP),
            "engine that drains",
        ),
        (
            ThriftFrontend,
            "drain_idle_connections",
            lambda self: [each.connection.close("") for each in list(self.clients)],
            "answer owed|forgotten|never",
        ),
        (
            GracefulShutdown,
            "advance",
            lambda self: self._request.elapsed_s() > 0.05,
            "answer owed|never got",
        ),
        (
            ClientConnection,
            "overdue",
            lambda self, now_ms: "idle" if self.open_calls else "",
            "answer owed|forgotten",
        ),
    ],
    ids=["never-run", "leave", "interrupt", "drain", "close", "end", "idle"],
)
def test_crossings_find_bug_when_seeded_in_the_broker(
    monkeypatch, where, name, bug, expected_problem
):
    monkeypatch.setattr(where, name, bug)
    with pytest.raises(Exception, match=expected_problem):  # raised by hypothesis or by a check
        run_state_machine_as_test(Crossings, settings=settings(SETTINGS, phases=[Phase.generate]))
