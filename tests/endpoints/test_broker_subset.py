"""A broker's log line on readiness must name the size of its subset, not only of the list."""

from __future__ import annotations

from tests.endpoints.harness import (
    EndpointHarness,
    endpoint_update,
    fleet_settings,
    watch_event,
)
from umberusher.endpoints.subset_ring import SUBSET_SIZE


def test_broker_logs_the_size_of_its_subset_when_ready(rig, caplog):
    caplog.set_level("INFO", logger="umberusher.broker.readiness")
    rig = rig(0)
    broker = rig.broker
    broker.endpoints = broker.upstream.context.endpoints = EndpointHarness(
        fleet_settings(2100, 9)
    ).registry
    broker.readiness.endpoints = broker.endpoints
    broker.endpoints.publisher.post = broker.post
    broker.endpoints.apply(watch_event(1, map(endpoint_update, range(4000)), complete=True))
    rig.advance_ms(200)
    (line,) = [r.getMessage() for r in caplog.records if r.getMessage().startswith("broker_ready")]
    assert f" engines=4000 in_subset={len(broker.balancer.engines)} " in line
    assert len(broker.balancer.engines) < 2 * SUBSET_SIZE
