"""One account of all memory that peers make the process hold, with a limit.

A buffer or a decoded message is charged to its holder before it is allocated, and released once.
Memory that a peer can be made to wait for is requested with ``try_charge``; memory that is needed
for work in progress, such as an answer, is charged in any case. At the limit the account calls on
the holders that hold most to release memory, at a point where no message is being processed.
"""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

# Lower bound of the limit, as a fraction of what is available at the start.
MIN_LIMIT_FRACTION = 1 / 16
# The process's memory is measured again after the account has grown by this much.
MEASURE_INTERVAL_BYTES = 1 << 18
# Fraction of the limit above which room is checked for each message.
SHORT_FRACTION = 3 / 4
# Memory is released until this fraction of the limit is free, so that the next requests succeed.
RELIEF_FRACTION = 1 / 16
# A holder of no more than this is never called on: nearly all clients, for nearly all of the time.
SMALL_HOLDER_BYTES = 1 << 14


if TYPE_CHECKING:  # Saves memory.

    class MemoryHolder(Protocol):
        """A connection, or a group of them, that memory is charged to.

        Attributes:
            held_bytes: What is charged to it; changed by the account only.
        """

        held_bytes: int

        def shed_memory(self) -> bool:
            """Release memory that others need; return False if none can be released now."""

        def memory_available(self) -> None:
            """Continue after a denied request: memory may be available now."""


class MemoryAccount:
    """The memory that peers make the process hold.

    The limit follows the process: what the account has held at its peak was allocated once and can
    be used again, and the headroom is what the process may still allocate beyond that.

    Attributes:
        used_bytes: The sum of what all holders hold.
        peak_bytes: The largest sum so far.
        limit_bytes: The sum up to which requests are granted.
        is_short: Whether the sum is near the limit, so that room must be checked for each message.
        is_pending: Whether holders have to release memory, or wait and may continue.
        shed_count: How often a holder has released memory for others.
    """

    __slots__ = (
        "_checked_bytes",
        "_headroom_bytes",
        "_holders",
        "_max_bytes",
        "_small_bytes",
        "_waiting",
        "is_pending",
        "is_short",
        "limit_bytes",
        "peak_bytes",
        "shed_count",
        "used_bytes",
    )

    def __init__(
        self, headroom_bytes: Callable[[], float], small_bytes: int = SMALL_HOLDER_BYTES
    ) -> None:
        """Create an empty account.

        Args:
            headroom_bytes: Returns how much more memory the process may allocate; negative if it
                holds too much.
            small_bytes: A holder of no more than this is never called on.
        """
        self._small_bytes = small_bytes
        self._headroom_bytes = headroom_bytes
        self._max_bytes = max(headroom_bytes(), 0.0)
        self._holders: dict[MemoryHolder, None] = {}
        self._waiting: dict[MemoryHolder, int] = {}
        self.used_bytes = 0
        self.peak_bytes = 0
        self.limit_bytes = self._max_bytes
        # A sum up to which nothing has to be checked.
        self._checked_bytes = 0.0
        self.is_short = False
        self.is_pending = False
        self.shed_count = 0

    # -- Charging

    def try_charge(self, holder: MemoryHolder, size_bytes: int) -> bool:
        """Charge memory that is about to be allocated, if the limit allows it.

        A holder that is denied is called back with ``memory_available``, once there is room or it
        has had to release memory itself. Until then it must not read.
        """
        if not self.has_room(holder, size_bytes):
            return False
        self.charge(holder, size_bytes)
        return True

    def has_room(self, holder: MemoryHolder, size_bytes: int) -> bool:
        """Return whether memory can be charged now; a holder that is denied is called back."""
        used_bytes = self.used_bytes + size_bytes
        if used_bytes <= self._checked_bytes or not self._exceeds_limit(used_bytes):
            return True
        self._waiting[holder] = size_bytes
        self.is_pending = True
        return False

    def charge(self, holder: MemoryHolder, size_bytes: int) -> None:
        """Charge memory that is needed for work in progress, also beyond the limit."""
        used_bytes = self.used_bytes + size_bytes
        if used_bytes > self._checked_bytes and self._exceeds_limit(used_bytes):
            self.is_pending = True
        held_bytes = holder.held_bytes + size_bytes
        holder.held_bytes = held_bytes
        if held_bytes > self._small_bytes:
            self._holders[holder] = None
        self.used_bytes = used_bytes
        if used_bytes > self.peak_bytes:
            self.peak_bytes = used_bytes

    def release(self, holder: MemoryHolder, size_bytes: int) -> None:
        """Release memory that was charged; waiting holders may continue."""
        if size_bytes > holder.held_bytes:
            size_bytes = holder.held_bytes
        holder.held_bytes -= size_bytes
        self.used_bytes -= size_bytes
        if holder.held_bytes <= self._small_bytes < holder.held_bytes + size_bytes:
            self._holders.pop(holder, None)
        if self._waiting:
            self.is_pending = True

    def stop_waiting(self, holder: MemoryHolder) -> None:
        """Forget a denied request: its holder has closed."""
        self._waiting.pop(holder, None)

    # -- The limit

    def _exceeds_limit(self, used_bytes: int) -> bool:
        """Measure the limit again, and return whether a sum exceeds it."""
        self.measure()
        self._checked_bytes = min(used_bytes + MEASURE_INTERVAL_BYTES, self.limit_bytes)
        return used_bytes > self.limit_bytes

    def measure(self) -> None:
        """Adapt the limit to the memory of the process; also call it regularly."""
        limit_bytes = min(self._max_bytes, self.peak_bytes + self._headroom_bytes())
        self.limit_bytes = max(limit_bytes, self._max_bytes * MIN_LIMIT_FRACTION)
        self._checked_bytes = min(self.used_bytes + MEASURE_INTERVAL_BYTES, self.limit_bytes)
        self.is_short = self.used_bytes > self.limit_bytes * SHORT_FRACTION
        if self._waiting:
            self.is_pending = True

    # -- Relief

    def run(self) -> None:
        """Let the largest holders release memory for what others wait for, then let those continue.

        A waiting holder that holds most itself has to release its own memory: it is not granted
        any at the cost of holders with less.
        """
        self.is_pending = False
        waiting = self._waiting
        self._waiting = {}
        needed_bytes = max(waiting.values(), default=0)
        if self.used_bytes + needed_bytes > self.limit_bytes:
            self._relieve(needed_bytes)
        for holder, size_bytes in sorted(waiting.items(), key=_bytes_after_grant):
            if self.used_bytes + size_bytes <= self.limit_bytes:
                holder.memory_available()
            else:
                self._waiting[holder] = size_bytes

    def _relieve(self, needed_bytes: int) -> None:
        """Call on the largest holder, again and again, until enough memory and a reserve are free.

        A holder that releases nothing is not called on again, and one that holds less than an equal
        share of the limit is spared: it has not caused the shortage.
        """
        large_bytes = sum(each.held_bytes for each in self._holders)
        small_bytes = self.used_bytes - large_bytes
        share_bytes = (self.limit_bytes - small_bytes) / max(len(self._holders), 1)
        target_bytes = self.limit_bytes * (1 - RELIEF_FRACTION) - needed_bytes
        serials = itertools.count()
        largest_first = [
            (-each.held_bytes, next(serials), each)
            for each in self._holders
            if each.held_bytes >= share_bytes
        ]
        heapq.heapify(largest_first)
        while self.used_bytes > target_bytes and largest_first:
            holder = heapq.heappop(largest_first)[2]
            if not holder.shed_memory():
                continue
            self.shed_count += 1
            if holder.held_bytes >= share_bytes:
                heapq.heappush(largest_first, (-holder.held_bytes, next(serials), holder))


class SharedMemory:
    """The memory of all peers of one kind, whose messages are bounded and needed.

    Attributes:
        held_bytes: What is charged to them.
    """

    __slots__ = ("_account", "held_bytes")

    def __init__(self, account: MemoryAccount) -> None:
        """Create a holder of nothing."""
        self._account = account
        self.held_bytes = 0

    def try_charge(self, size_bytes: int) -> bool:
        """Charge memory; it is granted in any case."""
        self._account.charge(self, size_bytes)
        return True

    def charge(self, size_bytes: int) -> None:
        """Charge memory."""
        self._account.charge(self, size_bytes)

    def release(self, size_bytes: int) -> None:
        """Release memory that was charged."""
        self._account.release(self, size_bytes)

    def shed_memory(self) -> bool:
        """Release nothing."""
        return False

    def memory_available(self) -> None:
        """Do nothing: these peers don't wait."""


def _bytes_after_grant(request: tuple[MemoryHolder, int]) -> int:
    holder, size_bytes = request
    return holder.held_bytes + size_bytes
