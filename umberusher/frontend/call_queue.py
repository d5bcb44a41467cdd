"""The calls of all clients that were received and not begun yet, with fair turns between clients.

Input is read from all connections before any call of it is begun, and again after a short time.
What is read together is sorted by arrival, as far as the kernel tells it. Calls are begun in the
order of arrival as long as no client has used much more of the loop's time than others; those of
clients that have are begun after the others. A call that is long to read is read in several turns.
"""

from __future__ import annotations

import bisect
import heapq
import logging
import math
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple, Protocol

from umberusher.frontend.call_decoder import waits_until_ms
from umberusher.protocol import thrift

if TYPE_CHECKING:
    from umberusher.net.loop import Timer
    from umberusher.pipeline.request import Request
    from umberusher.protocol.statement import TableGroupScan

log = logging.getLogger(__name__)

# Time after which all connections are read again before further calls are begun.
MAX_RUN_S = 0.005
# Calls are begun for as long as the connections were read before, up to this time.
MAX_LONG_RUN_S = 0.1
# The expiry times are not compacted while there are at most this many.
COMPACTION_THRESHOLD = 64


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


if TYPE_CHECKING:  # Saves memory.

    class CallingClient(Protocol):
        """The connection on which a call has arrived."""

        def begin_call(self, pending: PendingCall) -> None:
            """Begin one of its open calls; its ``scan`` says if that takes further turns."""

        def drop_call(self) -> None:
            """Account for a withdrawn call, now that the queue has come to it."""

        def expire_call(self, pending: PendingCall) -> None:
            """Answer one of its calls whose time has passed before it was begun."""

        def usage_level(self) -> int:
            """Return how much of the loop's time it has used; lower levels are begun first."""

        def close_after_fault(self) -> None:
            """Close the connection: one of its calls has raised an exception."""


class PendingCall:
    """A call that waits to be begun.

    Attributes:
        client: The connection on which it arrived.
        call: The call.
        arrival: When it arrived.
        is_withdrawn: Whether its client no longer waits for it.
        is_finished: Whether it was begun or is over.
        held_bytes: What is charged to its client for it.
        request: Its request, once its fields were decoded.
        scan: The scan of its statement, while that takes further turns.
        timer: Rejects it at its deadline, while it waits for another process.
    """

    __slots__ = (
        "arrival",
        "call",
        "client",
        "held_bytes",
        "is_finished",
        "is_withdrawn",
        "request",
        "scan",
        "timer",
    )

    def __init__(self, client: CallingClient, call: thrift.Execute, arrival: Arrival) -> None:
        """Create a call that is not queued yet."""
        self.client = client
        self.call = call
        self.arrival = arrival
        self.is_withdrawn = False
        self.is_finished = False
        self.held_bytes = 0
        self.request: Request | None = None
        self.scan: TableGroupScan | None = None
        self.timer: Timer | None = None

    def withdraw(self) -> None:
        """Mark the call as withdrawn and free its statement; the queue drops it in its turn."""
        self.is_withdrawn = True
        if self.timer is not None:
            self.timer.cancel()
        self.finish()

    def finish(self) -> None:
        """Free what the call holds: it was begun, or is over."""
        self.is_finished = True
        self.call.body = b""
        self.request = None
        self.scan = None


if TYPE_CHECKING:  # Saves memory.

    class BusyLoop(Protocol):
        """The event loop that runs the queue.

        Attributes:
            busy_since_s: Since when it has not waited for input.
        """

        busy_since_s: float


class _IdleLoop:
    """A loop that has just waited."""

    busy_since_s = math.inf


class CallQueue:
    """The waiting calls of each client, in order; the loop runs it between its polls.

    Calls that are read between two polls are queued only when all ready connections were read: one
    that is read later may have arrived earlier.

    Attributes:
        is_pending: Whether any call waits.
    """

    __slots__ = (
        "_clock",
        "_ended_s",
        "_expiry",
        "_loop",
        "_now_ms",
        "_received",
        "_schedule",
        "_serial",
        "_waiting",
        "_waiting_count",
        "is_pending",
    )

    def __init__(
        self,
        clock: Callable[[], float],
        loop: BusyLoop | None = None,
        now_ms: Callable[[], float] | None = None,
    ) -> None:
        """Create an empty queue.

        Args:
            clock: Measures the runs, in seconds.
            loop: Knows since when it has not waited; only the time of runs counts if None.
            now_ms: The broker's clock, by which calls expire; they don't if None.
        """
        self._clock = clock
        self._loop = loop or _IdleLoop()
        self._ended_s = clock()
        self._now_ms = now_ms
        self._received: list[PendingCall] = []
        self._waiting: dict[CallingClient, deque[PendingCall]] = {}
        self._waiting_count = 0
        # The clients with waiting calls by level and arrival; the serial keeps equal ones in order.
        self._schedule: list[tuple[int, float, int, CallingClient]] = []
        self._expiry: list[tuple[float, int, PendingCall]] = []
        self._serial = 0
        self.is_pending = False

    def add(self, pending: PendingCall) -> None:
        """Add a call that was just read."""
        self._received.append(pending)
        self.is_pending = True

    def oldest_arrival_s(self) -> float:
        """Return the time of the loop after which all waiting calls have arrived; O(clients)."""
        firsts = [waiting[0] for waiting in self._waiting.values()]
        return min((each.arrival.after_s for each in [*firsts, *self._received]), default=math.inf)

    def run(self) -> None:
        """Begin calls for a bounded time; all connections that were ready have been read.

        Calls that have expired are answered first. An exception of a call ends its connection.
        """
        received = self._received
        self._received = []
        if len(received) > 1:
            received.sort(key=_arrived_by_s)
        began_s = self._clock()
        busy_s = began_s - max(self._ended_s, self._loop.busy_since_s)
        ends_at_s = began_s + min(max(busy_s, MAX_RUN_S), MAX_LONG_RUN_S)
        if self._expiry:
            self._expire()
        if len(received) == 1 and not self._schedule:
            self._begin(received[0])
            if received[0].scan is None:
                received = []
        for pending in received:
            self._enqueue(pending)
        while self._schedule and self._take_turn() < ends_at_s:
            pass
        self._ended_s = self._clock()
        if self._schedule:
            self._watch_expiry(received)
        else:
            self._expiry = []
        # Beginning a call may have read further ones.
        self.is_pending = bool(self._schedule or self._received)

    @staticmethod
    def _begin(pending: PendingCall) -> None:
        """Begin a call, or go on with it."""
        if pending.is_withdrawn:
            pending.client.drop_call()
            return
        try:
            pending.client.begin_call(pending)
        except Exception:
            log.exception("call_failed")
            pending.scan = None
            pending.client.close_after_fault()

    def _enqueue(self, pending: PendingCall) -> None:
        client = pending.client
        self._waiting_count += 1
        waiting = self._waiting.get(client)
        if waiting is None:
            self._waiting[client] = deque((pending,))
            self._plan_turn(client, pending)
        elif pending.arrival.by_s < waiting[-1].arrival.by_s:
            waiting.insert(
                bisect.bisect_right(waiting, _arrived_by_s(pending), key=_arrived_by_s), pending
            )
        else:
            waiting.append(pending)

    def _plan_turn(self, client: CallingClient, first: PendingCall) -> None:
        self._serial += 1
        turn = (client.usage_level(), first.arrival.by_s, self._serial, client)
        heapq.heappush(self._schedule, turn)

    def _take_turn(self) -> float:
        """Give the next client its turn and plan its following one; return the time after it."""
        client = heapq.heappop(self._schedule)[3]
        waiting = self._waiting[client]
        pending = waiting[0]
        self._begin(pending)
        if pending.scan is None:
            pending.finish()
            waiting.popleft()
            self._waiting_count -= 1
        if waiting:
            self._plan_turn(client, waiting[0])
        else:
            del self._waiting[client]
        return self._clock()

    # -- Expiry

    def _watch_expiry(self, received: list[PendingCall]) -> None:
        """Remember when the calls that were not begun in this run expire."""
        if self._now_ms is None:
            return
        if len(self._expiry) > COMPACTION_THRESHOLD + 2 * self._waiting_count:
            self._expiry = [each for each in self._expiry if not each[2].is_finished]
            heapq.heapify(self._expiry)
        for pending in received:
            if not pending.is_finished:
                arrived_ms = pending.arrival.counted_from_ms
                expires_ms = waits_until_ms(pending.call.fields, arrived_ms)
                self._serial += 1
                heapq.heappush(self._expiry, (expires_ms, self._serial, pending))

    def _expire(self) -> None:
        """Answer the calls whose time has passed."""
        now_ms = self._now_ms() if self._now_ms is not None else -math.inf
        while self._expiry and self._expiry[0][0] <= now_ms:
            pending = heapq.heappop(self._expiry)[2]
            if not pending.is_finished:
                pending.client.expire_call(pending)


def _arrived_by_s(pending: PendingCall) -> float:
    return pending.arrival.by_s
