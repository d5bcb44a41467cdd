"""Tenant quotas: requests beyond them have a lower priority weight."""

from __future__ import annotations

from tests.decisions.bench import Bench, make_settings
from umberusher.decisions.settings import Tenant


def test_surge_of_a_tenant_is_queued_behind_requests_within_the_quotas():
    """At one site, a tenant that sent several times its quota was served like the others."""
    settings = make_settings(
        tenants=(Tenant("big", 20.0), Tenant("small", 20.0)), over_quota_weight=0.1
    )
    bench = Bench(settings, 0)  # without engines all requests are queued, in order
    for _ in range(60):
        bench.now += 10
        bench.arrive(tenant="big")
    bench.arrive(tenant="small")
    bench.arrive(tenant="unknown")
    bench.arrive()
    weights = [request.priority_weight for request in bench.balancer.queue.requests]
    assert weights.count(0.1) >= 25 and weights == sorted(weights, reverse=True)
    assert {"r61", "r62", "r63"} <= {
        request.id for request in bench.balancer.queue.requests if request.priority_weight == 1
    }


def test_quota_admits_requests_when_the_share_of_a_broker_is_small():
    """With 200 brokers, the share of one is under one request per second, but must not be zero."""
    settings = make_settings(tenants=(Tenant("big", 20.0),), over_quota_weight=0.1, brokers=200)
    balancer = Bench(settings, 0).balancer
    weight_factors = []
    now_ms = 1000.0
    for _ in range(10):
        now_ms += 10_000.0
        weight_factors.append(balancer.quotas.consume("big", now_ms))
    assert weight_factors == [1.0] * 10 and balancer.quotas.consume("big", now_ms) == 0.1
