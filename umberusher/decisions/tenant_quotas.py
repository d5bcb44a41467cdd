"""Tenant quotas: requests beyond a tenant's quota have a lower priority weight."""

from __future__ import annotations

from umberusher.decisions.settings import Settings

# Seconds of its quota that a tenant may save, so that short bursts stay within the quota.
BURST_S = 1.0
# With many brokers, the share of one may be less than a request; its bucket must still hold one.
MIN_BURST_REQUESTS = 1.0


class Quota:
    """A token bucket with this broker's share of one tenant's quota."""

    __slots__ = ("available", "rate_per_s", "updated_at")

    def __init__(self, rate_per_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.available = 0.0
        self.updated_at = 0.0


class TenantQuotas:
    """The quotas of the tenants that have one."""

    def __init__(self, settings: Settings, broker_count: int) -> None:
        self.by_tenant = {
            tenant.name: Quota(tenant.quota_per_s / broker_count)
            for tenant in settings.tenants
            if tenant.quota_per_s
        }
        self._over_quota_weight = settings.over_quota_weight

    def consume(self, tenant: str | None, now_ms: float) -> float:
        """Count one request against its quota; return the factor for its priority weight.

        A request without a known tenant keeps its full weight.
        """
        if tenant is None:
            return 1.0
        quota = self.by_tenant.get(tenant)
        if quota is None:
            return 1.0
        gained = (now_ms - quota.updated_at) * quota.rate_per_s / 1000
        burst = max(BURST_S * quota.rate_per_s, MIN_BURST_REQUESTS)
        available = min(quota.available + gained, burst)
        quota.updated_at = now_ms
        if available >= 1:
            quota.available = available - 1
            return 1.0
        quota.available = available
        return self._over_quota_weight
