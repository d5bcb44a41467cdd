"""Tenant quotas: what is beyond them weighs less."""

from __future__ import annotations

from tests.decisions.bench import Bench, make_settings
from umberusher.decisions.settings import Tenant


def test_surge_of_a_tenant_is_queued_behind_what_is_within_the_quotas():
    """Found on the second site: a chain that sent several times its share was served like the
    others."""
    settings = make_settings(
        tenants=(Tenant("big", 20.0), Tenant("small", 20.0)), over_quota_weight=0.1
    )
    bench = Bench(settings, 0)  # no engine: all is held, in the order in which it would go
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


def test_quota_lets_requests_through_when_a_broker_has_a_small_part_of_it():
    """With 200 brokers a part is less than one request a second: it must not be nothing."""
    settings = make_settings(tenants=(Tenant("big", 20.0),), over_quota_weight=0.1, brokers=200)
    balancer = Bench(settings, 0).balancer
    weight_factors = []
    now_ms = 1000.0
    for _ in range(10):
        now_ms += 10_000.0
        weight_factors.append(balancer.quotas.consume("big", now_ms))
    assert weight_factors == [1.0] * 10 and balancer.quotas.consume("big", now_ms) == 0.1
