"""Tests of a broker on sockets with a discovery service that fails.

Guards against a missed drain, after which the broker would continue using a drained engine, and
against a broker that becomes ready late or polls in a loop.
"""

from __future__ import annotations

import copy
import errno
import json
import socket

import pytest

from tests.rig import Peer
from umberusher.broker import readiness
from umberusher.decisions.events import EndpointState
from umberusher.net import connection
from umberusher.net.connection import State


def send_raw_entry(rig, entry: dict) -> None:
    """Send one entry of a watch event without changes, and wait until it is applied."""
    rig.rev += 1
    body = json.dumps(
        {
            "rev": rig.rev,
            "notices": [{"rev": rig.rev, "pool": {"reset": False, "instances": [entry]}}],
        }
    )
    rig.discovery_peer.sock.send(
        b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body.encode())
    )
    rig.until(lambda: rig.broker.endpoints.revision == rig.rev)


@pytest.mark.parametrize(
    "fields",
    [
        {"zone": ["room-a"]},
        {"machineType": {}},
        {"cell": 1.5},
        {"weight": "much"},
        {"startedAtMs": "soon"},
        {"startedAtMs": -1},
        {"weight": 1e999},
        {"hostPort": "nowhere"},
        {"hostPort": None},
        {"hostPort": 7},
    ],
)
@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
def test_broker_applies_a_drain_when_other_fields_of_its_entry_are_malformed(rig, fields, state):
    """A field of a wrong type once discarded the watch event or its entry.

    The engine then stayed in use.
    """
    rig = rig(2)
    good = {
        "instanceId": "s-0",
        "hostPort": rig.address("s-0"),
        "zone": "room-a",
        "machineType": "std-8",
        "cell": 1,
        "lifecycle": state,
        "weight": 1,
        "startedAtMs": 0,
    }
    send_raw_entry(rig, good | fields)
    assert {each.id for each in rig.broker.balancer.up} == {"s-1"}
    assert rig.broker.endpoints.find("s-0") is None


def test_broker_hands_over_a_draining_engine_without_address_and_accepts_it_again(rig):
    rig = rig()
    send_raw_entry(rig, {"instanceId": "s-9", "lifecycle": "DRAINING"})
    assert (
        json.loads("".join(rig.broker.restart_host.endpoint_list()))["notices"][0]["pool"][
            "instances"
        ][1]["lifecycle"]
        == "DRAINING"
    )
    send_raw_entry(
        rig, {"instanceId": "s-9", "lifecycle": "SERVING", "hostPort": rig.address("s-0")}
    )
    assert rig.broker.endpoints.find("s-9").address[1] and rig.broker.balancer.engines["s-9"].up


def test_broker_skips_a_serving_engine_without_address(rig):
    rig = rig()
    send_raw_entry(rig, {"instanceId": "s-9", "lifecycle": "SERVING"})
    assert (
        "s-9" not in rig.broker.endpoints.directory
        and rig.broker.endpoints.directory["s-0"].state is EndpointState.UP
    )


def accept_poll(rig, name: str = "board"):
    """Accept a new connection and wait for its poll."""
    peer = rig.accept(name)
    rig.expect(peer, b"GET /board/poll?watch=")
    return peer


def list_answer(rig, *entries, reset: bool = False) -> bytes:
    body = json.dumps(rig.discovery_answer(*entries, reset=reset)).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body


def reconfigure_discovery(rig, name: str) -> None:
    """Load a configuration that names another discovery service, at once."""
    config = copy.deepcopy(rig.broker.config)
    config.discovery = rig.listeners[name].getsockname()
    rig.broker.reloader.load_config = lambda: config
    rig.broker.reloader.run()


def test_broker_applies_a_drain_over_a_new_connection_when_an_answer_is_cut_off(rig):
    rig = rig(2)
    rig.expect(rig.discovery_peer, b"GET")
    answer = list_answer(rig, ("s-0", "s-0", "DRAINING"))
    rig.discovery_peer.sock.send(
        answer[:-20]
    )  # nothing else is sent, and the connection stays open
    rig.advance_ms(600)
    assert rig.broker.endpoints.find("s-0") and not rig.discovery_peer.ended
    rig.advance_ms(200)
    accept_poll(rig).sock.send(answer)
    rig.until(lambda: rig.broker.endpoints.find("s-0") is None)


def test_broker_applies_a_drain_announced_while_it_was_disconnected(rig):
    rig = rig(2)
    rig.discovery_peer.sock.close()
    answer = list_answer(rig, ("s-0", "s-0", "DRAINING"))
    rig.advance_ms(100)
    accept_poll(rig).sock.send(answer)
    rig.until(lambda: rig.broker.endpoints.find("s-0") is None)


@pytest.mark.parametrize("moment", ["poll", "pause", "back-off", "connect", "answered"])
def test_broker_polls_only_the_new_address_when_reconfigured_at_any_moment(rig, moment):
    rig = rig(2)
    rig.listeners["other"] = rig._listen()
    client, old_peer = rig.broker.discovery, rig.discovery_peer
    rig.expect(old_peer, b"GET")
    if moment == "pause":  # the old service answers without waiting
        for _ in range(3):
            old_peer.received = b""
            old_peer.sock.send(
                b"HTTP/1.1 200 OK\r\nContent-Length: 22\r\n\r\n" + b'{"rev":1,"notices":[]}'
            )
            rig.advance_ms(40)
    elif moment == "back-off":
        listener = rig.listeners.pop("board")
        listener.close()
        old_peer.sock.close()
        rig.until(lambda: rig.advance_ms(20) or not client.watches)
    elif moment == "connect":
        client._disconnect()
        client.start()
        assert client.watches[-1].connection.state is State.CONNECTING
    elif (
        moment == "answered"
    ):  # its answer is in the socket buffer when the configuration is loaded
        old_peer.sock.send(list_answer(rig, ("s-1", "s-1", "DRAINING")))
    rig.rev = 1
    reconfigure_discovery(rig, "other")
    new_peer = accept_poll(rig, "other")
    if moment == "poll":  # the old service answers after the new connection has polled
        try:
            old_peer.sock.send(list_answer(rig, ("s-1", "s-1", "DRAINING")))
        except OSError:
            pass
        rig.rev = 1
    new_peer.sock.send(list_answer(rig, ("s-0", "s-0", "DRAINING")))
    rig.until(lambda: rig.broker.endpoints.find("s-0") is None)
    rig.advance_ms(3000)
    assert (
        rig.broker.endpoints.find("s-1") and client.address == rig.listeners["other"].getsockname()
    )


def test_broker_removes_every_engine_on_an_empty_list_and_restores_them_on_the_next(rig):
    rig = rig(2)
    rig.discovery_peer.sock.send(list_answer(rig, reset=True))
    rig.until(lambda: not rig.broker.endpoints.directory)
    assert not rig.broker.readiness.accepts_clients() and not rig.broker.balancer.up
    rig.expect(rig.discovery_peer, b"watch=2")
    rig.discovery_peer.sock.send(list_answer(rig, ("s-0", "s-0", "SERVING")))
    rig.until(lambda: rig.broker.endpoints.find("s-0"))
    assert rig.broker.readiness.accepts_clients()


def test_broker_ignores_regressed_revisions_without_polling_in_a_loop(rig):
    rig = rig(2)
    rig.publish_endpoints(("s-0", "s-0", "SERVING"))
    revision_before, rig.rev = rig.broker.endpoints.revision, 0
    rig.discovery_peer.read()
    rig.discovery_peer.received = b""
    for _ in range(20):
        rig.rev = 0
        rig.discovery_peer.sock.send(list_answer(rig, ("s-0", "s-0", "DELETED"), reset=True))
        rig.advance_ms(20)
    assert rig.broker.endpoints.revision == revision_before and rig.broker.endpoints.find("s-0")
    assert rig.discovery_peer.read().count(b"GET") <= 8


def test_broker_polls_again_later_when_no_descriptor_is_free(rig, monkeypatch):
    rig = rig()
    original_socket, failures_left = socket.socket, [3]

    def fail_without_descriptor(*args, **kwargs):
        if failures_left[0]:
            failures_left[0] -= 1
            raise OSError(errno.EMFILE, "too many")
        return original_socket(*args, **kwargs)

    monkeypatch.setattr(connection.socket, "socket", fail_without_descriptor)
    rig.discovery_peer.sock.close()
    rig.advance_ms(1000)
    monkeypatch.undo()
    assert not failures_left[0]
    accept_poll(rig)


@pytest.mark.parametrize(
    ("entries", "expected_line"),
    [
        (
            [("s-0", "s-0", "SERVING")],
            "broker_ready after_s=3.1 engines=1 in_subset=1 discovery=unanswered:127.0.0.1:",
        ),
        ([], "broker_not_ready after_s=3.1 reason=no_endpoints"),
    ],
)
def test_broker_logs_what_delays_its_start(rig, caplog, entries, expected_line):
    caplog.set_level("INFO", logger="umberusher.broker.readiness")
    rig = rig(len(entries))
    rig.broker.discovery.has_answered = False
    rig.broker.readiness.logged_start = readiness.LoggedStart.NOTHING
    rig.advance_ms(4000)
    lines = [r.getMessage() for r in caplog.records if "ready" in r.getMessage()]
    assert len(lines) == 1 and lines[0].startswith(expected_line)


@pytest.mark.parametrize(("answers_ms", "ready_ms"), [(None, 3_100), (2_000, 2_400), (0, 200)])
def test_broker_is_ready_in_time_with_1024_engines_when_discovery_is_down_or_slow(
    rig, answers_ms, ready_ms
):
    rig = rig()
    broker = rig.broker
    broker.endpoints.apply(
        rig.notice(*[(f"e-{n}", "s-0", "SERVING") for n in range(1024)], reset=True)
    )
    broker.discovery.has_answered = False
    started_s, polls = rig.now, [rig.discovery_peer]
    while not broker.readiness.is_ready():
        rig.advance_ms(100)
        try:
            polls.append(
                rig.register_peer(Peer(rig.listeners["board"].accept()[0]))
            )  # it polls again over a new connection
        except BlockingIOError:
            pass
        if (
            answers_ms is not None
            and (rig.now - started_s) * 1000 >= answers_ms
            and b"GET" in polls[-1].read()
        ):
            polls[-1].sock.send(list_answer(rig))
            rig.step(0)
    assert (rig.now - started_s) * 1000 <= ready_ms and len(broker.balancer.up) == 1024
