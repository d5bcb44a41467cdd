"""The pool of a node's PostgreSQL sessions: assignment to clients, prepared statements and cleaning.

Guards against a client that gets a session with another client's open transaction or settings, which happens when a
session is assigned again before it is cleaned.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule

from umberusher.pg import pool
from umberusher.pg.pool import Cleaning, Pool, ServerSession, Standing


def test_transaction_pins_its_session_until_it_ends():
    node_pool = Pool(2)
    one, two = node_pool.open(), node_pool.open()
    node_pool.up(one)
    node_pool.up(two)
    assert node_pool.take("kim") is one
    assert node_pool.ready(one, "T", True) is Cleaning.NOTHING and one.standing is Standing.PINNED
    assert node_pool.take("lee") is two and node_pool.take("lou") is None and node_pool.full
    assert node_pool.take("kim") is one
    assert node_pool.ready(one, "I", True) is Cleaning.NOTHING and node_pool.take("lou") is one


def test_transaction_of_a_disconnected_client_is_rolled_back_before_the_session_is_reused():
    node_pool = Pool(2)
    one = node_pool.open()
    node_pool.up(one)
    node_pool.take("kim")
    node_pool.ready(one, "T", True)
    assert node_pool.left("kim") == [(one, Cleaning.ROLLBACK)] and node_pool.take("lee") is None
    assert node_pool.cleaned(one, "I") is Cleaning.NOTHING and node_pool.take("lee") is one
    assert node_pool.left("lee") == [(one, Cleaning.CLOSE)] and not node_pool.sessions


def test_statements_of_a_session_are_bounded_and_names_are_never_reused(monkeypatch):
    monkeypatch.setattr(pool, "MAX_PREPARED_STATEMENTS", 3)
    one = ServerSession(1)
    names = [one.prepare(f"select {n}") for n in range(3)]
    assert one.prepared_name("select 0") == names[0][0]
    name, evicted = one.prepare("select 9")
    assert (
        evicted == names[1][0]
        and name not in [each for each, _ in names]
        and one.prepared_name("select 1") is None
    )
    one.forget_statement("select 9")
    assert one.prepared_name("select 9") is None and one.prepare("select 9")[0] != name


def test_drain_closes_idle_sessions_at_once_and_pinned_ones_after_their_transaction():
    node_pool = Pool(4)
    one, two, three = node_pool.open(), node_pool.open(), node_pool.open()
    node_pool.up(one)
    node_pool.up(two)
    assert node_pool.take("kim") in (one, two)
    busy = one if one.owner else two
    node_pool.ready(busy, "T", True)
    assert len(node_pool.drain()) == 2 and node_pool.full and node_pool.take("lee") is None
    assert node_pool.take("kim") is busy  # the transaction ends on the session where it began
    assert (
        node_pool.ready(busy, "I", True) is Cleaning.CLOSE
        and not node_pool.sessions
        and three.standing is Standing.CLOSED
    )


class Life(RuleBasedStateMachine):
    """Clients take, end, leave; the server answers; the node drains."""

    sessions = Bundle("sessions")
    clients = st.sampled_from(["kim", "lee", "lou"])

    def __init__(self) -> None:
        super().__init__()
        self.pool, self.inside, self.dirty = (
            Pool(3),
            {},
            set(),
        )  # sessions in whose transaction; touched ones

    @rule(target=sessions)
    def open(self):
        if self.pool.full:
            return None
        return self.pool.open()

    @rule(found=sessions)
    def up(self, found):
        if found:
            self.pool.up(found)

    @rule(client=clients)
    def take(self, client):
        pinned = [each for each, owner in self.inside.items() if owner == client]
        got = self.pool.take(client)
        if got is not None:
            assert got.standing is Standing.BUSY and got.owner == client
            assert self.inside.get(got, client) == client and (
                got not in self.dirty or got in pinned
            )
            assert not pinned or got in pinned

    @rule(found=sessions, state=st.sampled_from("ITE"), wanted=st.booleans(), touches=st.booleans())
    def ready(self, found, state, wanted, touches):
        if not found or found.standing is not Standing.BUSY:
            return
        found.touched = found.touched or touches
        if found.touched:
            self.dirty.add(found)
        owner = found.owner
        self.inside.pop(found, None)
        what = self.pool.ready(found, state, wanted)
        if state != "I":
            self.inside[found] = owner
            assert what is (Cleaning.NOTHING if wanted else Cleaning.ROLLBACK)

    @rule(found=sessions, state=st.sampled_from("IIE"))
    def cleaned(self, found, state):
        if found and found.standing is Standing.UNCLEAN:
            self.pool.cleaned(found, state)
            if state == "I":
                self.inside.pop(found, None)
                self.dirty.discard(found)

    @rule(client=clients)
    def left(self, client):
        self.pool.left(client)
        assert all(
            each.owner != client or each.standing is Standing.UNCLEAN
            for each in self.pool.sessions.values()
        )

    @rule()
    def drain(self):
        self.pool.drain()

    @invariant()
    def nothing_unclean_is_idle(self):
        for each in self.pool.sessions.values():
            if each.standing is Standing.IDLE:
                assert each not in self.inside and each not in self.dirty and each.owner is None
        assert len(self.pool.sessions) <= self.pool.most


TestLife = Life.TestCase
TestLife.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)
