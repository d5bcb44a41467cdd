"""Ids of loads while two processes serve clients: an id runs in one of them, once.

Guards against a load that runs a second time at the other process of an upgrade
(docs/incidents/2026-12-05-load-runs-twice-when-its-id-comes-again.md).
"""

from __future__ import annotations

import pytest

from tests.client_calls import execute_call
from tests.hot_restart.processes import broker_with_successor
from tests.hot_restart.test_key_ownership import client_of, with_load_at_predecessor
from umberusher.hot_restart import messages
from umberusher.hot_restart.messages import IdClaim, IdClaimAnswer, IdReport
from umberusher.hot_restart.request_ids import MAX_IDS_PER_REPORT, RequestIds


class Record:
    """The ids of one process."""

    def __init__(self, *known: str) -> None:
        self.ids = dict.fromkeys(known)

    def may_have_run(self, request_id: str) -> bool:
        return request_id in self.ids

    def remember(self, request_id: str) -> None:
        self.ids[request_id] = None

    def known_ids(self) -> list[str]:
        return list(self.ids)


class Link:
    def __init__(self) -> None:
        self.sent: list[object] = []

    def send(self, message) -> None:
        self.sent.append(message)


def load(number: int, key: str = "k") -> bytes:
    return execute_call(number, "load", budget="20000", obj=key)


def test_owner_grants_an_id_once():
    owner, link = RequestIds(Record("open")), Link()
    for number, request_id in enumerate(("open", "new", "new")):
        owner.on_claim(link, IdClaim(number, request_id))
    assert [each.granted for each in link.sent] == [False, True, False]


def test_owner_reports_its_ids_to_a_successor_and_each_further_one():
    owner, link, decided = RequestIds(Record("a", "b")), Link(), []
    owner.add_successor(link)
    owner.claim("c", decided.append)
    assert decided == [True]
    assert link.sent == [IdReport(["a", "b"]), IdReport(["c"])]
    owner.on_successor_closed(link)
    assert owner.is_alone


def test_long_report_is_sent_in_pieces():
    link = Link()
    count = 2 * MAX_IDS_PER_REPORT + 1
    RequestIds(Record(*map(str, range(count)))).add_successor(link)
    assert [len(each.request_ids) for each in link.sent] == [
        MAX_IDS_PER_REPORT,
        MAX_IDS_PER_REPORT,
        1,
    ]


def test_successor_waits_for_the_answer_or_the_end_of_its_predecessor():
    made, link, decided = RequestIds(Record()), Link(), []
    made.owner = link
    made.claim("a", decided.append)
    made.claim("b", decided.append)
    assert not decided and link.sent == [IdClaim(1, "a"), IdClaim(2, "b")]
    made.on_claim_answer(IdClaimAnswer(1, False))
    made.on_claim_answer(IdClaimAnswer(7, True))
    assert decided == [False]
    made.on_owner_closed()
    assert decided == [False, True] and made.is_alone


@pytest.mark.parametrize(
    "message", [IdClaim(3, "0f" * 8), IdClaimAnswer(3, True), IdReport(["a", "b"])]
)
def test_message_survives_encoding(message):
    assert messages.decode(messages.encode(message).strip()) == [message]


@pytest.mark.parametrize("key", ["k", "another"])
def test_load_does_not_run_at_the_successor_while_it_runs_at_the_predecessor(rig, tmp_path, key):
    """An open id with another key was served by the new process: two engines ran it at once."""
    rig, new, _, second, engine = with_load_at_predecessor(rig, tmp_path)
    second.sock.send(load(1, key))
    rig.until(lambda: rig.advance_ms(20) or second.read())
    rig.advance_ms(200)
    assert not new.registry.requests and engine.read().count(b"REQ %016x" % 1) == 1


def test_load_does_not_run_again_once_the_predecessor_has_ended(rig, tmp_path):
    rig, new, first, second, engine = with_load_at_predecessor(rig, tmp_path)
    engine.sock.send(b"%016x HIT count=1 6\r\na\t1\t2\n\r\n" % 1)
    rig.read_answer(first)
    rig.until(lambda: new.registry.may_have_run(f"{1:016x}"))
    rig.broker.hot_restart.close()
    rig.until(lambda: new.request_ids.owner is None)
    second.sock.send(load(1, "another"))
    rig.until(lambda: b"may have run" in second.read())


def test_load_of_the_successor_does_not_run_again_at_the_predecessor(rig, tmp_path):
    rig, new, first, second, _ = with_load_at_predecessor(rig, tmp_path)
    second.sock.send(load(2, "another"))
    rig.until(lambda: f"{2:016x}" in new.registry.requests)
    first.sock.send(load(2, "a third"))
    rig.until(lambda: b"may have run" in first.read())
    assert f"{2:016x}" not in rig.broker.registry.requests


def test_older_predecessor_is_asked_for_no_id(rig, tmp_path, monkeypatch):
    monkeypatch.setattr(messages, "announced_version", lambda fields: 3)
    rig, new = broker_with_successor(rig, tmp_path)
    assert new.request_ids.owner is None
    client = client_of(rig, new)
    client.sock.send(load(1))
    rig.until(lambda: rig.advance_ms(20) or f"{1:016x}" in new.registry.requests)
