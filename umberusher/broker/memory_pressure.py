"""Limits that all processes of one broker share, and admission under memory pressure."""

from __future__ import annotations

import os
from collections.abc import Callable

from umberusher.frontend.thrift_frontend import ThriftFrontend
from umberusher.hot_restart.hot_restart import HotRestart
from umberusher.pipeline.admission import RequestAdmission
from umberusher.pipeline.request_registry import RequestRegistry
from umberusher.upstream.upstream import Upstream

PRESSURE_FRACTION = 0.75
"""Fraction of the memory limit above which requests are rejected until half of the open ones have
ended."""

FULL_FRACTION = 0.92
"""Fraction of the memory limit above which no request is admitted."""

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
BYTES_PER_MB = 1e6


def resident_mb() -> float:
    """Return the private resident memory of this process, in MB.

    File-backed pages are not counted: they are shared, and the kernel can reclaim them.
    """
    with open("/proc/self/statm", encoding="ascii") as source:  # noqa: PTH123
        _, resident, shared, *_ = map(int, source.read().split())
    return (resident - shared) * PAGE_BYTES / BYTES_PER_MB


class MemoryPressure:
    """Decides whether requests are admitted while memory is short.

    Attributes:
        peak_open_requests: The largest number of open requests since memory became short; None
            while it is not.
    """

    __slots__ = ("peak_open_requests",)

    def __init__(self) -> None:
        self.peak_open_requests: int | None = None

    def update(self, used_fraction: float, open_request_count: int) -> bool:
        """Return whether new requests must be rejected.

        Above ``PRESSURE_FRACTION`` they are rejected until half of the open requests have ended.
        This prevents an out-of-memory kill, and also rejecting forever: freed memory is reused by
        the next requests, but seldom returned to the operating system.

        Args:
            used_fraction: The memory in use, as a fraction of the limit.
            open_request_count: The number of open requests.
        """
        if used_fraction <= PRESSURE_FRACTION:
            self.peak_open_requests = None
            return False
        self.peak_open_requests = max(self.peak_open_requests or 0, open_request_count)
        return used_fraction > FULL_FRACTION or open_request_count > self.peak_open_requests / 2


class SharedLimits:
    """Applies the shared limits: usage of the other processes reduces what this one may use."""

    __slots__ = (
        "_admission",
        "_frontend",
        "_hot_restart",
        "_memory_limit_mb",
        "_memory_mb",
        "_registry",
        "_upstream",
        "pressure",
    )

    def __init__(
        self,
        memory_limit_mb: float,
        memory_mb: Callable[[], float],
        hot_restart: HotRestart,
        registry: RequestRegistry,
        admission: RequestAdmission,
        frontend: ThriftFrontend,
        upstream: Upstream,
    ) -> None:
        self._memory_limit_mb = memory_limit_mb
        self._memory_mb = memory_mb
        self._hot_restart = hot_restart
        self._registry = registry
        self._admission = admission
        self._frontend = frontend
        self._upstream = upstream
        self.pressure = MemoryPressure()

    def update(self) -> None:
        """Exchange resource usage with the other processes and apply the remaining limits."""
        self._hot_restart.publish_usage()
        peers = self._hot_restart.usage_of_peers()
        self._frontend.peer_client_count = peers.client_count
        self._upstream.pool.open_elsewhere = peers.engine_connection_count
        used_fraction = (self._memory_mb() + peers.memory_mb) / self._memory_limit_mb
        open_request_count = len(self._registry.requests)
        self._admission.memory_pressure = self.pressure.update(used_fraction, open_request_count)
