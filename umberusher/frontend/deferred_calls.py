"""The calls of a client that are deferred until it reads its answers."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from umberusher.frontend.call_queue import Arrival
from umberusher.protocol import thrift

Call = thrift.Execute | thrift.Check | thrift.Malformed

# At this number of deferred calls, a client is no longer read and its open calls are ended.
MAX_DEFERRED_CALLS = 64


class DeferredCall(NamedTuple):
    """A call that was read but not begun."""

    arrival: Arrival
    call: Call


class WithdrawnCalls(NamedTuple):
    """How many calls were removed, and the size of their statements."""

    call_count: int
    statement_bytes: int


class DeferredCalls:
    """A bounded queue of calls, in the order in which they arrived.

    Attributes:
        statement_bytes: The size of their statements together.
    """

    __slots__ = ("_calls", "statement_bytes")

    def __init__(self) -> None:
        """Create an empty queue."""
        self._calls: deque[DeferredCall] = deque()
        self.statement_bytes = 0

    def __len__(self) -> int:
        """Return the number of calls."""
        return len(self._calls)

    def __iter__(self) -> Iterator[DeferredCall]:
        """Iterate over the calls in order."""
        return iter(self._calls)

    def is_full(self, max_bytes: int) -> bool:
        """Return whether the limit of calls, or of their statements' size, is reached."""
        return len(self._calls) >= MAX_DEFERRED_CALLS or self.statement_bytes >= max_bytes

    @property
    def first_arrival(self) -> Arrival:
        """When the first call arrived; the queue must not be empty."""
        return self._calls[0].arrival

    def append(self, call: Call, arrival: Arrival) -> None:
        """Add a call at the end."""
        self._calls.append(DeferredCall(arrival, call))
        self.statement_bytes += _statement_bytes(call)

    def pop_first(self) -> DeferredCall:
        """Remove and return the first call."""
        first = self._calls.popleft()
        self.statement_bytes -= _statement_bytes(first.call)
        return first

    def withdraw(self, seqid: int) -> WithdrawnCalls:
        """Remove the calls with this sequence id; O(n) of a bounded n."""
        remaining = deque(each for each in self._calls if each.call.seqid != seqid)
        remaining_bytes = sum(_statement_bytes(each.call) for each in remaining)
        withdrawn = WithdrawnCalls(
            len(self._calls) - len(remaining), self.statement_bytes - remaining_bytes
        )
        self._calls = remaining
        self.statement_bytes = remaining_bytes
        return withdrawn


def _statement_bytes(call: Call) -> int:
    return len(call.body) if isinstance(call, thrift.Execute) else 0
