"""Limits that all processes of one broker share, and admission under memory pressure."""

from __future__ import annotations

import contextlib
import os
from collections.abc import Callable

from umberusher.frontend.thrift_frontend import ThriftFrontend
from umberusher.hot_restart.hot_restart import HotRestart
from umberusher.net.memory_account import MemoryAccount
from umberusher.pipeline.admission import RequestAdmission
from umberusher.pipeline.request_registry import RequestRegistry
from umberusher.upstream.upstream import Upstream

PRESSURE_FRACTION = 0.75
"""Fraction of the memory limit above which requests are rejected until half of the open ones have
ended."""

FULL_FRACTION = 0.92
"""Fraction of the memory limit above which no request is admitted."""

ACCOUNT_FRACTION = 0.72
"""Fraction of the memory limit up to which memory is charged to peers: less than
``PRESSURE_FRACTION``, so that clients that hold much have no other client's requests rejected. The
rest is for copies that exist while one message is processed, and for what the allocator loses."""

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


class ProcessMemory:
    """What this process may still allocate, beside the other processes of its broker.

    Attributes:
        peers_mb: The memory of the other processes.
    """

    __slots__ = ("_last_mb", "_limit_mb", "_memory_mb", "peers_mb")

    def __init__(self, limit_mb: float, memory_mb: Callable[[], float]) -> None:
        self._limit_mb = limit_mb
        self._memory_mb = memory_mb
        self._last_mb = 0.0
        self.peers_mb = 0.0

    @property
    def total_mb(self) -> float:
        """The memory of all processes of this broker."""
        # Reading it takes a descriptor. Without one the last value counts: an exception would skip
        # the rest of a sweep, on which the shutdown depends.
        with contextlib.suppress(OSError):
            self._last_mb = self._memory_mb()
        return self._last_mb + self.peers_mb

    @property
    def used_fraction(self) -> float:
        """The memory in use, as a fraction of the limit."""
        return self.total_mb / self._limit_mb

    def headroom_bytes(self) -> float:
        """Return how much more may be allocated; in an upgrade each process has half of it."""
        headroom_mb = ACCOUNT_FRACTION * self._limit_mb - self.total_mb
        if self.peers_mb and headroom_mb > 0.0:
            headroom_mb /= 2
        return headroom_mb * BYTES_PER_MB


class SharedLimits:
    """Applies the shared limits: usage of the other processes reduces what this one may use."""

    __slots__ = (
        "_account",
        "_admission",
        "_frontend",
        "_hot_restart",
        "_process_memory",
        "_registry",
        "_upstream",
        "pressure",
    )

    def __init__(
        self,
        process_memory: ProcessMemory,
        account: MemoryAccount,
        hot_restart: HotRestart,
        registry: RequestRegistry,
        admission: RequestAdmission,
        frontend: ThriftFrontend,
        upstream: Upstream,
    ) -> None:
        self._process_memory = process_memory
        self._account = account
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
        self._process_memory.peers_mb = peers.memory_mb
        self._account.measure()
        self._admission.memory_pressure = self.pressure.update(
            self._process_memory.used_fraction, len(self._registry.requests)
        )
