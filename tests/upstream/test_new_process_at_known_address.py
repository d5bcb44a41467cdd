"""A new process at the address, or under the id, of an engine that has gone.

Guards against work that is sent on a connection to the old process, and against figures of the old
one (docs/incidents/2026-12-05-new-process-taken-for-the-old-one.md).
"""

from __future__ import annotations

import json

import pytest

from tests.client_calls import execute_call
from tests.rig import Rig

START_UNIX_MS = 1_700_000_000_000


def publish(rig: Rig, *entries, started_ms: float = 0.0) -> None:
    """Send a watch event whose engines began at ``started_ms``, and wait until it is applied."""
    answer = rig.discovery_answer(*entries)
    for instance in answer["notices"][0]["pool"]["instances"]:
        instance["startedAtMs"] = started_ms
    body = json.dumps(answer).encode()
    rig.discovery_peer.sock.send(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    )
    rig.until(lambda: rig.broker.endpoints.revision == rig.rev)


def remove_and_list_again(rig: Rig) -> None:
    publish(rig, ("s-0", "s-0", "DELETED"))
    publish(rig, ("s-0", "s-0", "SERVING"))


def announce_later_start(rig: Rig) -> None:
    publish(rig, ("s-0", "s-0", "SERVING"), started_ms=START_UNIX_MS + 5_000)


@pytest.mark.parametrize("change", [remove_and_list_again, announce_later_start])
def test_request_goes_to_the_new_process_on_a_connection_of_its_own(rig, change):
    """A silent connection to the process that had gone was used on."""
    rig = rig()
    _, _, old = rig.start_request()
    rig.broker.registry.network_delays.observe("s-0", rig.broker.now_ms(), 40.0)
    change(rig)
    assert "s-0" not in rig.broker.registry.network_delays.engines
    client = rig.client()
    client.sock.send(execute_call(5))
    new = rig.accept("s-0")
    rig.until(lambda: b"REQ %016x" % 5 in new.read())
    assert b"REQ %016x" % 5 not in old.read()


def test_same_announcement_keeps_the_connection(rig):
    rig = rig()
    _, _, engine = rig.start_request()
    publish(rig, ("s-0", "s-0", "SERVING"))
    client = rig.client()
    client.sock.send(execute_call(5))
    rig.until(lambda: b"REQ %016x" % 5 in engine.read())


def test_engine_at_the_address_of_one_that_has_gone_gets_connections_of_its_own(rig):
    rig = rig()
    _, _, old = rig.start_request()
    publish(rig, ("s-0", "s-0", "DELETED"), ("s-9", "s-0", "SERVING"))
    client = rig.client()
    client.sock.send(execute_call(5))
    new = rig.accept("s-0")
    rig.until(lambda: b"REQ %016x" % 5 in new.read())
    assert b"REQ %016x" % 5 not in old.read()
