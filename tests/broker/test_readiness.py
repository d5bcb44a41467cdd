"""When the broker accepts clients."""

from __future__ import annotations

from umberusher.broker.readiness import MAX_DISCOVERY_WAIT_S


def test_clients_are_accepted_after_discovery_answered_or_timed_out(rig):
    """Guards against requests to a drained engine: a broker that restarted after a kill sent to one at once."""
    rig = rig(1)
    rig.broker.discovery.has_answered = False
    assert not rig.broker.readiness.accepts_clients()
    rig.publish_endpoints(("s-0", "s-0", "SERVING"))
    assert rig.broker.readiness.accepts_clients()
    rig.broker.discovery.has_answered = False
    assert not rig.broker.readiness.accepts_clients()
    rig.now += MAX_DISCOVERY_WAIT_S + 0.1
    assert rig.broker.readiness.accepts_clients()
