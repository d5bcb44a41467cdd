"""Loads of one key while two processes serve clients: one process at a time, in order of arrival."""

from __future__ import annotations

import math

import pytest

from tests.client_calls import execute_call, interrupt
from tests.hot_restart.processes import broker_with_successor
from umberusher.hot_restart import messages
from umberusher.hot_restart.key_ownership import MAX_CLAIM_S, KeyOwnership
from umberusher.hot_restart.messages import KeyClaim, KeyClaimAnswer, KeyRelease


class Link:
    """The link between two ownerships, whose messages arrive when the test delivers them."""

    def __init__(self) -> None:
        self.sent: list[object] = []

    def send(self, message) -> None:
        self.sent.append(message)


class Process:
    """One process: the keys that are busy in it, and what became of its claims."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.busy: set[str] = set()
        self.late_keys: set[str] = set()
        self.decided: list[bool] = []
        self.link = Link()
        self.ownership = KeyOwnership(
            lambda: self.now_s,
            lambda key: key not in self.busy,
            lambda key, client, after_s, by_s: key not in self.late_keys,
        )

    def claim(self, key: str = "k") -> None:
        self.ownership.claim(key, 99.0, 100.0, self.decided.append)


@pytest.fixture
def owner():
    return Process()


@pytest.fixture
def borrower(owner):
    made = Process()
    made.ownership.owner = made.link
    return made


def deliver(owner: Process, borrower: Process) -> None:
    """Deliver all messages both ways."""
    while borrower.link.sent or owner.link.sent:
        for message in borrower.link.sent:
            if isinstance(message, KeyClaim):
                owner.ownership.on_claim(owner.link, message)
            else:
                owner.ownership.on_release(owner.link, message)
        borrower.link.sent = []
        for answer in owner.link.sent:
            borrower.ownership.on_claim_answer(answer)
        owner.link.sent = []


def test_idle_key_is_lent_until_its_requests_have_ended(owner, borrower):
    borrower.claim()
    assert not borrower.decided
    deliver(owner, borrower)
    assert borrower.decided == [True] and owner.ownership.is_lent("k")
    borrower.busy.add("k")
    borrower.ownership.sweep()
    deliver(owner, borrower)
    assert owner.ownership.is_lent("k")
    borrower.claim()  # the key is still lent: no further message is needed
    assert borrower.decided == [True, True] and not borrower.link.sent
    borrower.busy.clear()
    borrower.ownership.sweep()
    deliver(owner, borrower)
    assert not owner.ownership.is_lent("k")


def test_busy_key_is_lent_once_it_is_idle_and_begun_nowhere_until_then(owner, borrower):
    owner.busy.add("k")
    borrower.claim()
    borrower.claim()
    deliver(owner, borrower)
    assert not borrower.decided and owner.ownership.is_lent("k")
    owner.busy.clear()
    owner.ownership.sweep()
    deliver(owner, borrower)
    assert borrower.decided == [True, True]


def test_claim_is_declined_when_its_call_may_precede_one_that_was_begun(owner, borrower):
    owner.late_keys.add("k")
    borrower.claim()
    deliver(owner, borrower)
    assert borrower.decided == [False] and not owner.ownership.is_lent("k")


def test_claim_is_given_up_when_it_is_not_granted_in_time(owner, borrower):
    owner.busy.add("k")
    borrower.claim()
    deliver(owner, borrower)
    borrower.now_s += MAX_CLAIM_S + 0.1
    borrower.ownership.sweep()
    deliver(owner, borrower)
    assert borrower.decided == [False] and not owner.ownership.is_lent("k")


def test_grant_of_a_claim_that_was_given_up_is_ignored(owner, borrower):
    """It must not be taken for the grant of a later claim on the same key."""
    borrower.claim()
    first = borrower.link.sent.pop()
    borrower.now_s += MAX_CLAIM_S + 0.1
    borrower.ownership.sweep()
    borrower.claim()
    borrower.ownership.on_claim_answer(KeyClaimAnswer(first.number, True))
    assert borrower.decided == [False]


def test_keys_are_free_again_when_the_other_process_has_ended(owner, borrower):
    owner.busy.add("k")
    borrower.claim()
    deliver(owner, borrower)
    borrower.ownership.on_owner_closed()
    assert borrower.decided == [True] and borrower.ownership.owner is None
    owner.ownership.on_borrower_closed(owner.link)
    assert not owner.ownership.is_lent("k")


def test_process_that_has_a_predecessor_itself_lends_no_key(owner, borrower):
    owner.ownership.owner = Link()
    borrower.claim()
    deliver(owner, borrower)
    assert borrower.decided == [False]


@pytest.mark.parametrize(
    "message", [KeyClaim(1, "k", 2.0, 3.0), KeyClaimAnswer(1, True), KeyRelease(1)]
)
def test_message_is_read_back(message):
    assert messages.decode(messages.encode(message)) == [message]


def test_claim_without_lower_bound_is_read_back():
    claim = KeyClaim(1, "k", -math.inf, 3.0)
    line = messages.encode(claim)
    assert b"Infinity" not in line and messages.decode(line) == [claim]


def load(number: int) -> bytes:
    return execute_call(number, "load", obj="k", budget="20000")


def client_of(rig, broker):
    """Return a new client whose connection ``broker`` accepts."""
    client = rig.client()
    rig.until(lambda: broker.frontend.clients)
    return client


def with_load_at_predecessor(rig, tmp_path):
    """Return a rig, its successor, a client of each, and the engine that runs the first one's load."""
    made = rig(1, str(tmp_path / "s"))
    client = made.client()
    client.sock.send(load(1))
    engine = made.accept("s-0")
    made.expect(engine, f"REQ {1:016x}".encode())
    new = made.successor()
    made.advance_ms(200)
    body = b'{"rev":%d,"notices":[]}' % made.rev
    made.accept("board").sock.send(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    )
    made.until(lambda: new.discovery.has_answered)
    made.advance_ms(200)
    made.until(lambda: made.broker.frontend.paused)
    return made, new, client, client_of(made, new), engine


def test_load_at_successor_waits_for_one_of_its_key_at_the_predecessor(rig, tmp_path):
    """Both processes ran loads of one key at once: the order was kept in each by itself."""
    rig, new, first, second, engine = with_load_at_predecessor(rig, tmp_path)
    second.sock.send(load(2))
    rig.advance_ms(400)
    assert not new.registry.requests and rig.broker.key_ownership.is_lent("k")
    engine.sock.send(f"{1:016x} HIT count=1 6\r\na\t1\t2\n\r\n".encode())
    rig.until(lambda: rig.advance_ms(20) or f"{2:016x}" in new.registry.requests)
    other_engine = rig.accept("s-0")
    rig.expect(other_engine, f"REQ {2:016x}".encode())


def test_load_at_predecessor_is_rejected_while_its_key_is_lent(rig, tmp_path):
    rig, new, first, second, engine = with_load_at_predecessor(rig, tmp_path)
    engine.sock.send(f"{1:016x} HIT count=1 6\r\na\t1\t2\n\r\n".encode())
    rig.read_answer(first)
    second.sock.send(load(2))
    rig.until(lambda: rig.advance_ms(20) or f"{2:016x}" in new.registry.requests)
    first.sock.send(load(3))
    assert b"backoff" in rig.read_answer(first)
    assert f"{3:016x}" not in rig.broker.registry.requests


def test_cancelled_load_gives_its_claim_back(rig, tmp_path):
    rig, new, first, second, engine = with_load_at_predecessor(rig, tmp_path)
    second.sock.send(load(2))
    rig.until(lambda: rig.broker.key_ownership.is_lent("k"))
    second.sock.send(interrupt(2))
    rig.advance_ms(1000 * MAX_CLAIM_S + 300)
    rig.until(lambda: not rig.broker.key_ownership.is_lent("k"))
    assert not new.registry.requests and not second.read()


def test_call_that_waits_for_the_predecessor_is_rejected_at_its_deadline(rig, tmp_path):
    """Case 10 of the review: it waited a second for its key, whatever its time was."""
    rig, new, _, second, _ = with_load_at_predecessor(rig, tmp_path)
    second.sock.send(execute_call(2, "load", budget="300", obj="k"))
    rig.advance_ms(240)
    assert not second.read()
    rig.advance_ms(120)
    rig.until(lambda: b"backoff" in second.read())
    assert not new.registry.requests


def test_older_predecessor_is_asked_for_no_key(rig, tmp_path, monkeypatch):
    monkeypatch.setattr(messages, "announced_version", lambda fields: 2)
    rig, new = broker_with_successor(rig, tmp_path)
    assert new.key_ownership.owner is None
    client = client_of(rig, new)
    client.sock.send(load(1))
    rig.until(lambda: f"{1:016x}" in new.registry.requests)
