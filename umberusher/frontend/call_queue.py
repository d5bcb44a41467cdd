"""The calls of all clients that were received and not begun yet, in the order of their arrival.

Input is read from all connections before any call of it is begun, and again after a short time.
What is read together is sorted by arrival, as far as the kernel tells it.
"""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Callable
from typing import NamedTuple, Protocol

from umberusher.protocol import thrift

log = logging.getLogger(__name__)

# Time after which all connections are read again before further calls are begun.
MAX_RUN_S = 0.005


class Arrival(NamedTuple):
    """When the last byte of a call arrived.

    Attributes:
        counted_from_ms: The broker's time from which the call's time budget counts.
        after_s: It arrived after this time of the loop.
        by_s: It had arrived by this time of the loop.
    """

    counted_from_ms: float
    after_s: float
    by_s: float


class CallingClient(Protocol):
    """The connection on which a call has arrived."""

    def begin_call(self, pending: PendingCall) -> None:
        """Begin one of its calls, which is open."""

    def drop_call(self) -> None:
        """Account for a withdrawn call, now that the queue has come to it."""

    def close_after_fault(self) -> None:
        """Close the connection: one of its calls has raised an exception."""


class PendingCall:
    """A call that waits to be begun.

    Attributes:
        client: The connection on which it arrived.
        call: The call.
        arrival: When it arrived.
        is_withdrawn: Whether its client no longer waits for it.
        held_bytes: What is charged to its client for it.
    """

    __slots__ = ("arrival", "call", "client", "held_bytes", "is_withdrawn")

    def __init__(self, client: CallingClient, call: thrift.Execute, arrival: Arrival) -> None:
        """Create a call that is not queued yet."""
        self.client = client
        self.call = call
        self.arrival = arrival
        self.is_withdrawn = False
        self.held_bytes = 0

    def withdraw(self) -> None:
        """Mark the call as withdrawn and free its statement; the queue drops it in its turn."""
        self.is_withdrawn = True
        self.call.body = b""


def _arrived_by_s(pending: PendingCall) -> float:
    return pending.arrival.by_s


class CallQueue:
    """A queue in the order of arrival; the loop runs it between its polls.

    Calls that are read between two polls are queued only when all ready connections were read: one
    that is read later may have arrived earlier.

    Attributes:
        is_pending: Whether any call waits.
    """

    __slots__ = ("_clock", "_received", "_sorted", "is_pending")

    def __init__(self, clock: Callable[[], float]) -> None:
        """Create an empty queue that measures its runs by ``clock``, in seconds."""
        self._clock = clock
        self._received: list[PendingCall] = []
        self._sorted: deque[PendingCall] = deque()
        self.is_pending = False

    def add(self, pending: PendingCall) -> None:
        """Add a call that was just read."""
        self._received.append(pending)
        self.is_pending = True

    def run(self) -> None:
        """Begin calls for a bounded time; all connections that were ready have been read.

        An exception of a call ends its connection, and this run.
        """
        received = self._received
        self._received = []
        if len(received) > 1 or self._sorted:
            self._merge(received)
        else:
            self._sorted.extend(received)
        ends_at_s = self._clock() + MAX_RUN_S
        pending = None
        try:
            while self._sorted:
                pending = self._sorted.popleft()
                if pending.is_withdrawn:
                    pending.client.drop_call()
                else:
                    pending.client.begin_call(pending)
                if self._clock() >= ends_at_s:
                    break
        except Exception:
            log.exception("call_failed")
            if pending is not None:
                pending.client.close_after_fault()
        # Beginning a call may have read further ones.
        self.is_pending = bool(self._sorted or self._received)

    def _merge(self, received: list[PendingCall]) -> None:
        """Queue the calls that were read since the last run; O(n) if they are in order already."""
        received.sort(key=_arrived_by_s)
        if (
            received
            and self._sorted
            and _arrived_by_s(received[0]) < _arrived_by_s(self._sorted[-1])
        ):
            self._sorted = deque(sorted([*self._sorted, *received], key=_arrived_by_s))
        else:
            self._sorted.extend(received)
