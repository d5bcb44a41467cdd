"""Manual drains by admin calls, and their effect on requests."""

from __future__ import annotations

from tests.admin.calls import call, open_admin, read_metrics
from umberusher.decisions.events import EndpointState, EndpointUpdate
from umberusher.endpoints import manual_drains
from umberusher.endpoints.registry import EndpointRegistry
from umberusher.protocol.discovery import WatchEvent


def test_manual_drain_holds_against_watch_events(rig):
    rig = rig(2)
    open_admin(rig)
    assert (
        call(rig, "PUT", "/ops/engines/down/s-0")[0]
        == call(rig, "PUT", "/ops/engines/down/s-0")[0]
        == 200
    )
    engine = rig.broker.balancer.engines["s-0"]
    for entries, reset in (
        ([("s-0", "s-0", "SERVING")], False),
        ([("s-0", "s-0", "DELETED")], False),
        ([("s-0", "s-0", "SERVING"), ("s-1", "s-1", "SERVING")], True),
    ):
        rig.broker.endpoints.apply(rig.notice(*entries, reset=reset))
        engine = rig.broker.balancer.engines.get("s-0", engine)
        assert not engine.up and rig.broker.endpoints.find("s-0") is None
    found = read_metrics(rig)
    assert found["svc_engines_excluded"] == 1 and found["svc_engines_known"] == 2
    rig.broker.endpoints.apply(rig.notice(("s-0", "s-0", "DRAINING")))
    assert call(rig, "PUT", "/ops/engines/up/s-0")[0] == 200
    assert rig.broker.endpoints.find("s-0") is None  # the discovery service's latest state applies
    rig.broker.endpoints.apply(rig.notice(("s-0", "s-0", "SERVING")))
    assert rig.broker.endpoints.find("s-0") and engine.up


def test_manual_drain_withdraws_requests_that_wait_for_a_connection(rig):
    rig = rig(2)
    rid = rig.send_request(rig.client())
    attempt = rig.broker.registry.requests[rid].attempt
    other = "s-1" if attempt.engine == "s-0" else "s-0"
    if attempt.progress < 2:
        rig.broker.endpoints.start_manual_drain(attempt.engine)
        assert attempt.ended
        rig.expect(rig.accept(other), f"REQ {rid} ".encode())


def test_engine_is_reset_and_gets_a_new_connection_when_its_manual_drain_ends(rig):
    rig = rig()
    _, _, first = rig.start_request()
    engine = rig.broker.balancer.engines["s-0"]
    engine.consecutive_ejections = 5
    engine.unresponsive = True
    engine.selection_probability = 0.01
    engine.ejected_until = rig.now * 1000 + 8000
    rig.broker.endpoints.start_manual_drain("s-0")
    rig.now += 1
    rig.broker.endpoints.end_manual_drain("s-0")
    assert (engine.consecutive_ejections, engine.unresponsive) == (0, False)
    assert (engine.selection_probability, engine.started_ms) == (1.0, rig.now * 1000)
    assert engine.ejected_until < 0 and engine.health_checked_at < 0 and engine.up
    rig.broker.endpoints.apply(
        rig.notice(("s-0", "s-0", "SERVING"))
    )  # without a start time it stays in warm-up
    assert engine.started_ms == rig.now * 1000
    second = rig.send_request(rig.client())
    rig.expect(rig.accept("s-0"), f"REQ {second} ".encode())
    assert second.encode() not in first.read()


def test_manual_drains_are_bounded_and_keep_listed_engines():
    published = []
    registry = EndpointRegistry(published.append, lambda: 5.0)
    registry.apply(
        WatchEvent(1, True, (EndpointUpdate("s-0", EndpointState.UP),), {"s-0": ("h", 1)})
    )
    for number in range(manual_drains.MAX_REMOVED_IDS + 50):
        registry.remember_removed(f"s-{number}")
        registry.start_manual_drain(f"s-{number}")
    assert (
        len(registry.removed_ids) <= manual_drains.MAX_REMOVED_IDS
        and len(registry.manual_drains) <= manual_drains.MAX_MANUAL_DRAINS
    )
    assert (
        "s-0" in registry.manual_drains
        and registry.start_manual_drain("s-0")
        and not registry.start_manual_drain("s-1")
        and registry.end_manual_drain("s-0")
    )
    assert (
        published[1].entries[0].state is EndpointState.DRAINING
        and published[-1].entries[0].state is EndpointState.UP
    )
