"""The messages that the processes of one broker exchange, by version of the messages."""

from __future__ import annotations

import json

import pytest

from tests.hot_restart.processes import (
    broker_with_successor,
    greeted_as_older_successor,
    record_messages,
    with_engines_listed,
)
from umberusher.broker import restart_host
from umberusher.hot_restart import messages
from umberusher.protocol import discovery as discovery_protocol


@pytest.mark.parametrize(
    "line", [b"{]\n", b"[]\n", b'{"use":[1]}\n', b'{"ban":3}\n', b'{"use":["x",{},1]}\n']
)
def test_peer_with_malformed_message_is_disconnected(rig, tmp_path, line):
    made, new = broker_with_successor(rig, tmp_path)
    new.hot_restart.peers[0].link.connection.sock.send(line)
    made.until(lambda: not made.broker.hot_restart.peers)
    made.until(lambda: not made.broker.frontend.paused)


def test_change_is_sent_without_the_whole_list(rig, tmp_path):
    """The whole list was sent at every change: megabytes with thousands of endpoints."""
    made = with_engines_listed(rig, 1000, tmp_path)
    new = made.successor()
    made.advance_ms(200)
    link = made.broker.hot_restart.peers[0].link.connection
    before = link.sent_bytes
    made.expect(made.discovery_peer, b"watch=")
    for number in range(5):
        made.publish_endpoints((f"e-{number:05d}", "s-0", "DRAINING"))
        made.until(lambda: new.endpoints.revision == made.rev)
    assert (
        link.sent_bytes - before < 5 * 500
        and new.endpoints.find("e-00004") is None
        and len(new.endpoints.directory) == 1001
    )


def test_change_that_both_know_is_not_sent_back(rig, tmp_path, monkeypatch):
    made, new = broker_with_successor(rig, tmp_path)
    received = record_messages(monkeypatch)
    made.publish_endpoints(("s-0", "s-0", "DRAINING"))
    made.until(lambda: new.endpoints.revision == made.rev)
    made.advance_ms(200)
    assert sum("notice" in each for each in received) == 1 and not any(
        "known" in each for each in received
    )
    peer, posted = made.broker.hot_restart.peers[0], []
    new.endpoints.publisher.post = posted.append
    peer.send_endpoint_change(
        made.broker.config.initial_endpoints[0], 0
    )  # an old, complete event: the current list is sent instead
    made.broker.hot_restart.publish_watch_event(
        discovery_protocol.WatchEvent(made.rev, False, (), {}), 0
    )  # an event that the peer has already
    made.advance_ms(200)
    assert not posted and not any("ask" in each for each in received)


def test_missing_change_requests_the_whole_list_once(rig, tmp_path, monkeypatch):
    made = with_engines_listed(rig, 300, tmp_path)
    new = made.successor()
    made.advance_ms(200)
    received, list_revisions = record_messages(monkeypatch), []
    endpoint_list = restart_host.BrokerRestartHost.endpoint_list

    def counted(host):
        if host is made.broker.restart_host:
            list_revisions.append(made.broker.endpoints.revision)
        return endpoint_list(host)

    monkeypatch.setattr(restart_host.BrokerRestartHost, "endpoint_list", counted)
    made.broker.endpoints.subscribe(on_watch_event=lambda *_: None)
    made.publish_endpoints(("e-00001", "s-0", "DRAINING"))  # not sent to the successor
    made.broker.endpoints.subscribe(on_watch_event=made.broker.hot_restart.publish_watch_event)
    for number in (2, 3, 4):
        made.publish_endpoints((f"e-{number:05d}", "s-0", "DRAINING"))
    made.until(lambda: new.endpoints.revision == made.rev)
    assert all(
        new.endpoints.find(f"e-{number:05d}") is None for number in (1, 2, 3, 4)
    ) and new.endpoints.find("e-00005")
    assert len(list_revisions) == 1 and sum("ask" in each for each in received) == 1
    made.publish_endpoints(("e-00005", "s-0", "DRAINING"))
    made.until(lambda: new.endpoints.revision == made.rev)
    assert len(list_revisions) == 1


def test_greeting_names_only_engines_that_are_not_listed(rig, tmp_path):
    made = with_engines_listed(rig, 50, tmp_path)
    made.publish_endpoints(("e-00007", "s-0", "DELETED"))
    assert greeted_as_older_successor(made, str(tmp_path / "s"))[1]["seen"] == ["e-00007"]


def test_older_successor_gets_one_whole_list_at_a_time(rig, tmp_path):
    made = with_engines_listed(rig, 2000, tmp_path)
    peer, hello = greeted_as_older_successor(made, str(tmp_path / "s"))
    assert len(hello["known"]["notices"][0]["pool"]["instances"]) == 2001
    assert hello.keys() >= {"seen", "banned", "fresh"}
    made.advance_ms(200)
    for number in range(40):  # the successor reads nothing meanwhile
        made.publish_endpoints((f"e-{number:05d}", "s-0", "DRAINING"))
    link = made.broker.hot_restart.peers[0].link.connection
    assert (
        sum(len(message.encode()) for message in link.outbox) < 1_000_000
        and not made.broker.hot_restart.is_flushed
    )

    def newest() -> bool:
        for _ in range(50):
            peer.read()
        made.now += 0.02
        return b'"rev":%d' % made.rev in peer.received.replace(
            b" ", b""
        ) and peer.received.endswith(b"\n")

    made.until(newest)
    received = [json.loads(line) for line in peer.received.splitlines()]
    known = [each["known"]["notices"][0] for each in received if "known" in each]
    assert (
        not any("notice" in each for each in received)
        and 1 <= len(known) <= 6
        and known[-1]["rev"] == made.rev
    )
    drained = [each for each in known[-1]["pool"]["instances"] if each["lifecycle"] == "DRAINING"]
    assert len(drained) == 40 and made.broker.hot_restart.is_flushed


def test_older_predecessor_gets_whole_list_after_a_change(rig, tmp_path, monkeypatch):
    """An older predecessor knows no single changes, and announces no version."""
    monkeypatch.setattr(messages, "announced_version", lambda fields: messages.FIRST_VERSION)
    made = rig(2, str(tmp_path / "s"))
    new = made.successor()
    received = record_messages(monkeypatch)
    new.discovery.on_watch_event(made.notice(("s-0", "s-0", "DRAINING")))
    made.until(lambda: made.broker.endpoints.find("s-0") is None)
    assert any("known" in each for each in received) and not any(
        "notice" in each for each in received
    )
