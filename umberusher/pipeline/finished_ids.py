"""Ids of non-idempotent requests that have ended and may have run, remembered for a time.

A request whose id comes again must not run again: its first run may go on at an engine after its
client has left, since a cancellation or a closed connection does not stop it everywhere.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

from umberusher.net.ring import RingMemory

# Memory of one id, with its places in the two containers.
BYTES_PER_ID = 320


class _FinishedId(NamedTuple):
    request_id: str
    forget_at_ms: float


class FinishedIds:
    """The ids of requests that may have run, the oldest first."""

    __slots__ = ("_ids", "_memory", "_now_ms", "_order", "_retention_ms")

    def __init__(
        self, now_ms: Callable[[], float], retention_ms: float, memory: RingMemory | None = None
    ) -> None:
        """Create an empty record.

        Args:
            now_ms: The broker's clock.
            retention_ms: How long an id is remembered after its request has ended.
            memory: Where the ids are charged; None without an account.
        """
        self._now_ms = now_ms
        self._memory = memory
        self._retention_ms = retention_ms
        self._ids: set[str] = set()
        self._order: deque[_FinishedId] = deque()

    def __len__(self) -> int:
        """Return the number of ids that are remembered."""
        return len(self._ids)

    def __iter__(self) -> Iterator[str]:
        """Iterate over the ids, the oldest first."""
        return (each.request_id for each in self._order)

    def __contains__(self, request_id: str) -> bool:
        """Return whether a request of this id may have run."""
        return request_id in self._ids

    def add(self, request_id: str) -> None:
        """Remember the id of a request that has ended and may have run; O(1) amortised."""
        self.forget_old()
        if request_id in self._ids:
            return
        if self._memory is not None:
            self._memory.charge(BYTES_PER_ID)
        self._ids.add(request_id)
        self._order.append(_FinishedId(request_id, self._now_ms() + self._retention_ms))

    def forget_old(self) -> None:
        """Forget the ids whose time has passed."""
        now_ms = self._now_ms()
        while self._order and self._order[0].forget_at_ms <= now_ms:
            self._ids.discard(self._order.popleft().request_id)
            if self._memory is not None:
                self._memory.release(BYTES_PER_ID)
