"""The retry budget of a running broker, checked by counting requests at the engines' sockets.

Guards against retries beyond the budget: calls that no engine serves, or that clients cancel, must
not raise it. The count uses none of the broker's own code.
"""

from __future__ import annotations

import re

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.client_calls import interrupt
from tests.rig import Peer, Rig
from tests.thrift_messages import execute

RETRY_FLOOR, RETRY_RATIO, WINDOW_MS = 1, 0.1, 2_000.0


REQUEST_LINE = re.compile(rb"REQ (\w+) \S+ (\d+)\r\n")


class Play:
    """Simulates clients and engines, and counts the requests that reach an engine.

    Engines answer every request of a failing client with an error.
    """

    def __init__(self, engines: int = 4) -> None:
        self.rig = Rig(engines)
        rules = self.rig.broker.balancer.settings.rules
        rules.retry_budget_floor, rules.retry_budget_ratio, rules.retry_budget_window_ms = (
            RETRY_FLOOR,
            RETRY_RATIO,
            WINDOW_MS,
        )
        self.names = [f"s-{number}" for number in range(engines)]
        self.engines: list[Peer] = []
        self.earnest: dict[str, float] = {}  # requests of regular clients, with when they were sent
        self.reached_ids: set[str] = set()
        self.retry_times_ms: list[float] = []
        self.faults = 0  # so many of the next attempts for regular clients end with an error
        self.failing_calls = self.seqid = 0
        # Retries and admitted requests of a window, whenever the retries exceed the budget.
        self.over: list[tuple[int, int]] = []

    @property
    def now_ms(self) -> float:
        return self.rig.now * 1000.0

    def count_in_window(self, times) -> int:
        return sum(self.now_ms - WINDOW_MS <= at <= self.now_ms for at in times)

    def pump(self) -> None:
        """Step until everything sent has arrived, is counted and is answered."""
        idle_steps = 0
        while idle_steps < 3:
            self.rig.step(0)
            idle_steps = (
                0
                if self._accept_connections()
                + sum(self._serve_engine(each) for each in self.engines)
                else idle_steps + 1
            )

    def _accept_connections(self) -> int:
        before = len(self.engines)
        for name in self.names:
            try:
                self.engines.append(
                    self.rig.register_peer(Peer(self.rig.listeners[name].accept()[0]))
                )
            except BlockingIOError:
                pass
        return len(self.engines) - before

    def _serve_engine(self, engine: Peer) -> int:
        count = 0
        engine.read()
        while (found := REQUEST_LINE.search(engine.received)) and len(
            engine.received
        ) >= found.end() + int(found[2]) + 2:
            statement = engine.received[found.end() : found.end() + int(found[2])]
            engine.received = engine.received[found.end() + int(found[2]) + 2 :]
            count += 1
            self._answer(engine, found[1].decode(), b"bad" in statement)
        return count

    def _answer(self, engine: Peer, rid: str, failing: bool) -> None:
        fault = failing or self.faults > 0
        if not failing:
            self.faults = max(self.faults - 1, 0)
            if rid in self.reached_ids:
                self.retry_times_ms.append(self.now_ms)
                retries, admitted = (
                    self.count_in_window(self.retry_times_ms),
                    self.count_in_window(self.earnest.values()),
                )
                if retries > RETRY_FLOOR + RETRY_RATIO * admitted + 1e-9:
                    self.over.append((retries, admitted))
            self.reached_ids.add(rid)
        answer = f"{rid} FAULT - 0\r\n\r\n" if fault else f"{rid} HIT count=1 6\r\na\t1\t2\n\r\n"
        self.write(engine, answer.encode())

    def call(self, client: Peer, rid: str, body: bytes, **more: str) -> int:
        self.seqid += 1
        self.write(
            client,
            execute(self.seqid, {"method": "lookup", "rid": rid, "budget": "2000"} | more, body),
        )
        return self.seqid

    @staticmethod
    def write(peer: Peer, data: bytes) -> None:
        try:
            peer.sock.send(data)
        except OSError:
            pass  # the broker has closed the connection

    def ask(self, client: Peer) -> tuple[str, int]:
        """Send a request of a regular client."""
        rid = f"{len(self.earnest) + 1:016x}"
        self.earnest[rid] = self.now_ms
        return rid, self.call(client, rid, b"select * from park_1.sites")

    def send_one_by_one(self, client: Peer, count: int) -> None:
        """Send requests of a regular client, each after the answer to the one before."""
        for _ in range(count):
            self.ask(client)
            self.pump()

    def flood(self, count: int, departure: str, rid: str = "") -> None:
        """Send calls of a failing client; it then cancels them, disconnects or stays connected."""
        client, seqids = self.rig.client(), []
        for _ in range(count):
            self.failing_calls += 1
            seqids.append(
                self.call(
                    client,
                    rid or f"{self.failing_calls:016x}".replace("0", "f", 4),
                    b"bad from park_1.sites",
                    budget="300",
                )
            )
            if departure == "each":  # answered before it is cancelled
                self.pump()
                self.write(client, interrupt(seqids[-1]))
            if departure == "at once":
                self.write(client, interrupt(seqids[-1]))
        self.pump()
        if departure == "late":
            for seqid in seqids:
                self.write(client, interrupt(seqid))
        if departure == "close":
            client.sock.close()
        self.pump()

    def wait(self, ms: float) -> None:
        for _ in range(int(ms // 50)):
            self.rig.now += 0.05
            self.pump()

    def close(self) -> None:
        self.rig.close()


@pytest.fixture
def play():
    made = Play()
    yield made
    made.close()


@pytest.mark.parametrize("departure", ["at once", "each", "late", "close", "stay"])
def test_budget_is_not_raised_by_calls_that_no_engine_serves(play, departure):
    """Calls that failed before their client cancelled them used to stay counted.

    Found with 200 gateways.
    """
    client = play.rig.client()
    play.send_one_by_one(client, 10)
    play.flood(30, departure)
    # By then these calls are given up; their retries may have used up the budget.
    play.wait(WINDOW_MS / 4)
    play.rig.broker.balancer.retry_budget.retries.clear()
    play.faults = 1_000
    play.send_one_by_one(client, 8)
    assert play.retry_times_ms and not play.over


def test_budget_grows_with_the_admitted_requests_of_a_served_client(play):
    """The budget counts admitted requests, also those that are cancelled or rejected later."""
    client = play.rig.client()
    play.send_one_by_one(client, 20)
    play.faults = 1_000
    play.send_one_by_one(client, 10)
    assert len(play.retry_times_ms) == int(RETRY_FLOOR + RETRY_RATIO * 30) and not play.over
    assert len(play.rig.broker.balancer.retry_budget.requests) == 30


OPS = st.one_of(
    st.tuples(st.just("ask"), st.integers(0, 2), st.integers(1, 12)),
    st.tuples(st.just("faults"), st.integers(10, 40)),
    st.tuples(
        st.just("flood"),
        st.integers(10, 40),
        st.sampled_from(["at once", "each", "late", "close", "stay"]),
        st.sampled_from(["new", "one", "copied"]),
    ),
    st.tuples(st.just("leave"), st.integers(0, 2)),
    st.tuples(st.just("wait"), st.sampled_from([50, 500, 1_950, 2_000, 2_050])),
)


@settings(deadline=None, derandomize=True, database=None, max_examples=80)
@given(st.lists(OPS, min_size=3, max_size=16))
def test_budget_is_kept_whatever_clients_do(ops):
    play = Play()
    try:
        clients = [play.rig.client() for _ in range(3)]
        for op, *rest in ops:
            if op == "ask":
                for _ in range(rest[1]):
                    play.ask(clients[rest[0]])
                play.pump()
            elif op == "faults":
                play.faults += rest[0]
            elif op == "flood":
                known = next(reversed(play.earnest), "f" * 16) if rest[2] == "copied" else "e" * 16
                play.flood(rest[0], rest[1], "" if rest[2] == "new" else known)
            elif op == "leave":
                _, seqid = play.ask(clients[rest[0]])
                play.write(clients[rest[0]], interrupt(seqid))
                play.pump()
            else:
                play.wait(rest[0])
        assert not play.over
    finally:
        play.close()
