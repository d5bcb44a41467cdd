"""Two processes of one broker: listener, manual drains, watch events and limits in both."""

from __future__ import annotations

import struct

from tests.hot_restart.processes import broker_with_successor
from umberusher.broker import readiness, shutdown
from umberusher.decisions.events import EndpointState
from umberusher.hot_restart import peer as restart_peer
from umberusher.hot_restart.messages import ManualDrainChange

ABORTED, TRYLATER = struct.pack(">bh", 12, 2), struct.pack(">bh", 12, 1)


def test_successor_accepts_after_bounded_wait_for_discovery(rig, tmp_path):
    made, new = broker_with_successor(rig, tmp_path, accepts=False)
    made.advance_ms(500)
    assert not new.readiness.is_ready() and not made.broker.frontend.paused
    made.advance_ms(1000 * readiness.MAX_DISCOVERY_WAIT_S)
    made.until(lambda: new.readiness.is_ready() and made.broker.frontend.paused)


def test_successor_receives_endpoint_list_and_manual_drains(rig, tmp_path):
    rig = rig(3, str(tmp_path / "s"))
    rig.broker.endpoints.apply(rig.notice(("s-1", "s-1", "DELETED")))
    rig.broker.endpoints.start_manual_drain("s-0")
    rig.broker.endpoints.start_manual_drain("s-2")
    rig.broker.endpoints.end_manual_drain("s-2")
    new = rig.successor()
    assert (
        new.balancer.engines["s-2"].started_ms == rig.broker.balancer.engines["s-2"].started_ms
    )  # its slow start has begun at the same time
    assert new.endpoints.revision == rig.broker.endpoints.revision and set(
        new.endpoints.directory
    ) == {
        "s-0",
        "s-2",
    }
    assert (
        new.endpoints.find("s-0") is None
        and new.endpoints.start_manual_drain("s-1")
        and new.endpoints.end_manual_drain("s-1")
    )
    new.endpoints.start_manual_drain("s-2")
    rig.until(lambda: rig.broker.endpoints.find("s-2") is None)
    rig.broker.endpoints.end_manual_drain("s-0")
    rig.until(lambda: new.endpoints.find("s-0"))
    assert rig.broker.endpoints.directory["s-2"].last_update.state is EndpointState.UP


def test_crossing_manual_drains_are_not_echoed(rig, tmp_path, monkeypatch):
    rig = rig(1, str(tmp_path / "s"))
    new = rig.successor()
    sent = []
    monkeypatch.setattr(restart_peer.Peer, "send", lambda self, message: sent.append(message))
    for each in rig.brokers:
        each.hot_restart.peers[0].receive(ManualDrainChange("s-0", 1.0))
        each.hot_restart.peers[0].receive(ManualDrainChange("s-0", None))
    assert not sent and not new.endpoints.manual_drains


def test_shared_limits_count_what_both_processes_hold(rig, tmp_path):
    made, new = broker_with_successor(rig, tmp_path)
    made.client()
    made.until(lambda: new.frontend.clients)
    made.memory_mb = 80.0
    made.advance_ms(400)
    assert (
        made.broker.frontend.peer_client_count == 1
        and new.hot_restart.usage_of_peers().memory_mb == 80.0
    )
    assert (
        new.admission.memory_pressure is False
        and made.broker.hot_restart.usage_of_peers().memory_mb == 80.0
    )
    assert made.broker.shared_limits.pressure.update((80 + 80) / 192, 10)


def test_predecessor_accepts_again_when_link_breaks_before_shutdown(rig, tmp_path):
    made, new = broker_with_successor(rig, tmp_path)
    new.close()
    made.brokers.remove(new)
    made.until(lambda: not made.broker.frontend.paused)
    made.start_request()
    assert made.broker.hot_restart.listener.is_open


def test_listener_stays_with_successor_when_link_breaks_after_shutdown_request(rig, tmp_path):
    made, new = broker_with_successor(rig, tmp_path)
    made.broker.request_shutdown()
    made.advance_ms(200)
    new.hot_restart.peers[0].link.close("broken")
    made.advance_ms(200)
    assert (
        made.broker.frontend.paused
        and made.broker.shutdown.phase is shutdown.ShutdownPhase.HANDING_OVER
    )


def test_open_requests_are_answered_shortly_before_the_predecessor_ends(rig, tmp_path, monkeypatch):
    monkeypatch.setattr(shutdown, "MAX_HANDOVER_S", 1.0)
    made = rig(1, str(tmp_path / "s"))
    client = made.client()
    made.send_request(client, "load", obj="k", budget="25000")
    made.expect(made.accept("s-0"), b"REQ")
    new = made.successor()
    made.advance_ms(1000 * readiness.MAX_DISCOVERY_WAIT_S + 300)
    made.until(lambda: made.broker.frontend.paused)
    # Waits for the earlier request with the same key.
    queued = made.send_request(client, "load", obj="k", budget="25000")
    made.broker.request_shutdown()
    made.broker.loop.running = True
    made.advance_ms(1200)
    assert (
        made.broker.registry.requests[queued].is_open
        and made.broker.loop.running
        and not client.read()
    )
    made.advance_ms(200)
    assert ABORTED in client.read() and TRYLATER in client.read() and b"backoff" in client.received
    made.advance_ms(200)
    assert (
        not made.broker.loop.running
        and not made.broker.registry.in_flight
        and new.readiness.is_ready()
    )


def test_second_successor_finds_the_newest_process(rig, tmp_path):
    made, new = broker_with_successor(rig, tmp_path)
    third = made.successor()
    assert third.hot_restart.peers and any(peer.is_successor for peer in new.hot_restart.peers)
    assert not any(
        peer.is_successor and not peer.is_ready for peer in made.broker.hot_restart.peers
    )
    third.endpoints.start_manual_drain("s-0")
    made.until(lambda: made.broker.endpoints.find("s-0") is None)  # through the second process


def test_successor_leaves_listener_when_it_shuts_down_before_it_accepts(rig, tmp_path):
    made, new = broker_with_successor(rig, tmp_path, accepts=False)
    new.request_shutdown()
    new.loop.running = True
    made.advance_ms(1000 * readiness.MAX_DISCOVERY_WAIT_S + 500)
    assert not new.readiness.is_serving and not made.broker.frontend.paused and not new.loop.running


def test_watch_event_of_one_process_applies_in_both(rig, tmp_path):
    made = rig(3, str(tmp_path / "s"))
    new = made.successor()
    # The predecessor does not receive these events from discovery.
    new.endpoints.apply(made.notice(("s-0", "s-0", "DELETED")))
    new.endpoints.apply(made.notice(("s-1", "s-1", "DRAINING")))
    made.until(lambda: made.broker.endpoints.revision == new.endpoints.revision)
    assert (
        "s-0" not in made.broker.endpoints.directory and made.broker.endpoints.find("s-1") is None
    )
    made.broker.endpoints.apply(made.notice(("s-2", "s-2", "DRAINING")))
    made.broker.request_shutdown()  # at the same moment
    made.until(lambda: new.endpoints.find("s-2") is None)
