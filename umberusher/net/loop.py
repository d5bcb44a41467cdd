"""One thread's event loop: select.epoll, generators as coroutines, and timers.

A coroutine yields a :class:`Wait` and is resumed with its events. The loop keeps at most
one coroutine per descriptor. One poll reports all ready descriptors; they are resumed in one or
several steps, and the next poll follows once all of them were. Work that the coroutines have queued
runs between two polls, a bounded part at a time.
"""

from __future__ import annotations

import heapq
import itertools
import logging
import select
import time
from collections.abc import Callable, Generator
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

log = logging.getLogger(__name__)

READ = select.EPOLLIN
WRITE = select.EPOLLOUT
# The peer has shut down its write side; unread input may precede that.
READ_CLOSED = select.EPOLLRDHUP
# The peer has closed or reset the connection, or it has failed.
HUNG_UP = select.EPOLLRDHUP | select.EPOLLHUP | select.EPOLLERR

MAX_EVENTS_PER_STEP = 64
# Inputs that a poll reports together may have arrived in another order if the poll before it is
# longer ago than this.
MAX_UNORDERED_INPUT_S = 0.005
# Thousands of timers due together must not keep ready descriptors waiting.
MAX_TIMERS_PER_STEP = 64
# A poll that takes longer than this has blocked: no event was ready when it began.
MIN_BLOCKING_POLL_S = 0.001
# The time at which a poll has found a descriptor empty is known to within this.
MAX_POLL_UNCERTAINTY_S = 0.02
# A step that is late by more than this shows that the process was suspended or not scheduled.
STALL_THRESHOLD_S = 0.05
# Upper bound of the time after a stall in which the input that arrived during it is read.
MAX_CATCH_UP_S = 0.5
# The heap is not compacted while it holds at most this many cancelled timers.
COMPACTION_THRESHOLD_TIMERS = 64
DEFAULT_MAX_WAIT_MS = 1000.0
# Bounds the polls of ``run_prioritized`` where the clock stands still.
MAX_PRIORITIZED_POLLS = 64
MS_PER_S = 1000.0


@dataclass(slots=True)
class Wait:
    """The events of a descriptor that a coroutine waits for."""

    fd: int
    events: int


Coroutine = Generator[Wait, int, None]


if TYPE_CHECKING:  # Saves memory.

    class DeferredWork(Protocol):
        """Work that coroutines queue while they are resumed, and that runs once all of them were.

        Attributes:
            is_pending: Whether any work is queued.
        """

        is_pending: bool

        def run(self) -> None:
            """Run a bounded part of the work."""


class Timer:
    """A scheduled call, which can be cancelled.

    Attributes:
        due_s: When it is due, on the loop's clock.
        call: The function to call; None once it ran or was cancelled.
    """

    __slots__ = ("_loop", "call", "due_s")

    def __init__(self, due_s: float, call: Callable[[], None], loop: Loop) -> None:
        """Create the timer of ``loop``."""
        self.due_s = due_s
        self.call: Callable[[], None] | None = call
        self._loop = loop

    def cancel(self) -> None:
        """Cancel the call; harmless once it ran."""
        if self.call is not None:
            self.call = None
            self._loop.timer_cancelled()


class Loop:
    """Runs coroutines and timers until it is stopped.

    Invariants: each descriptor in ``_masks`` is registered with exactly one epoll object, with that
    event mask; ``_cancelled_count`` counts the cancelled timers in the heap; ``_ready`` holds the
    events of the last poll that were not handled yet.

    Attributes:
        clock: Returns monotonic time in seconds.
        epoll: Polls all descriptors but the prioritized ones.
        priority_epoll: Polls the prioritized descriptors.
        oldest_input_at_s: The earliest time at which input that is read now may have arrived.
        previous_poll_s: When the poll before the last one began. Input of a descriptor that was
            watched and empty then has arrived since.
        poll_count: The number of polls.
        busy_since_s: When the last poll that had to wait has returned.
        inputs_may_be_unordered: Whether inputs that the last poll has reported may have arrived in
            another order than that in which they are read.
        on_stall: Called with the seconds since the last check when the process may have been
            suspended, and with whether the loop may wait now.
        running: Whether ``run`` continues.
    """

    def __init__(self, clock: Callable[[], float] = time.monotonic) -> None:
        """Create a loop that watches nothing."""
        self.clock = clock
        self.epoll = select.epoll()
        self.priority_epoll = select.epoll()
        # Prioritized events must end a wait on the other epoll object too.
        self.epoll.register(self.priority_epoll.fileno(), READ)
        self._prioritized: set[int] = set()
        self._parked: dict[int, Coroutine] = {}
        self._masks: dict[int, int] = {}
        self._ready: dict[int, int] = {}
        self._deferred_work: list[DeferredWork] = []
        # A heap by due time; the serial keeps timers of the same time in order.
        self._timers: list[tuple[float, int, Timer]] = []
        self._timer_serial = 0
        self._cancelled_count = 0
        self.oldest_input_at_s = clock()
        self._last_poll_s = self.oldest_input_at_s
        self._polled_at_s = self.oldest_input_at_s
        self.previous_poll_s = self.oldest_input_at_s
        self.poll_count = 0
        self.busy_since_s = self.oldest_input_at_s
        self.inputs_may_be_unordered = False
        # The latest time until which input of a stall is still read; 0 if there was no stall.
        self._catch_up_until_s = 0.0
        self.on_stall: Callable[[float, bool], None] = _ignore_stall
        self._checked_at_s = self.oldest_input_at_s
        self.running = False

    # -- Timers

    def call_later(self, delay_ms: float, call: Callable[[], None]) -> Timer:
        """Schedule a call in ``delay_ms``, in the next step if that is not positive; O(log n)."""
        timer = Timer(self.clock() + max(delay_ms, 0.0) / MS_PER_S, call, self)
        self._timer_serial += 1
        heapq.heappush(self._timers, (timer.due_s, self._timer_serial, timer))
        return timer

    def timer_cancelled(self) -> None:
        """Count a cancelled timer, and compact the heap once over half of it is cancelled.

        Bounds memory: nearly all timers are cancelled long before they are due. O(1) amortised.
        """
        self._cancelled_count += 1
        if self._cancelled_count <= COMPACTION_THRESHOLD_TIMERS:
            return
        if 2 * self._cancelled_count > len(self._timers):
            self._timers = [item for item in self._timers if item[2].call is not None]
            heapq.heapify(self._timers)
            self._cancelled_count = 0

    def next_timer_due_s(self) -> float | None:
        """Return when the next timer is due, on the loop's clock; None if there is none."""
        while self._timers and self._timers[0][2].call is None:
            heapq.heappop(self._timers)
            self._cancelled_count -= 1
        return self._timers[0][0] if self._timers else None

    def _run_due_timers(self) -> None:
        """Run the timers that are due, in order, up to a bounded number."""
        now = self.clock()
        remaining = MAX_TIMERS_PER_STEP
        while self._timers and self._timers[0][0] <= now and remaining:
            remaining -= 1
            timer = heapq.heappop(self._timers)[2]
            call = timer.call
            timer.call = None
            if call is None:
                self._cancelled_count -= 1
                continue
            try:
                call()
            except Exception:
                log.exception("timer_failed")

    # -- Coroutines and descriptors

    def spawn(self, coroutine: Coroutine) -> None:
        """Start a coroutine; it runs to its first wait immediately."""
        try:
            wait = next(coroutine)
        except StopIteration:
            return
        except Exception:
            log.exception("coroutine_failed")
            return
        self._parked[wait.fd] = coroutine
        self.watch(wait.fd, wait.events)

    def _resume(self, coroutine: Coroutine, events: int, fd: int) -> None:
        try:
            wait = coroutine.send(events)
        except StopIteration:
            return
        except Exception:
            # A fault of one connection must not end the process. Its descriptor is unregistered,
            # since its events would be reported forever with no coroutine to handle them.
            log.exception("coroutine_failed")
            self.unregister(fd)
            return
        self._parked[wait.fd] = coroutine
        self.watch(wait.fd, wait.events)

    def watch(self, fd: int, events: int) -> None:
        """Set the events that a descriptor's parked coroutine waits for; O(1)."""
        known = self._masks.get(fd)
        epoll = self.priority_epoll if fd in self._prioritized else self.epoll
        if known is None:
            epoll.register(fd, events)
        elif known != events:
            epoll.modify(fd, events)
        self._masks[fd] = events

    def prioritize(self, fd: int) -> None:
        """Handle a descriptor's events first in each step; call it before it is watched.

        Protects the descriptor from floods on others: a step is bounded, and these events wait for
        at most one step.
        """
        self._prioritized.add(fd)

    def unregister(self, fd: int) -> None:
        """Drop a descriptor that is about to be closed, with the coroutine parked on it."""
        if self._masks.pop(fd, None) is not None:
            epoll = self.priority_epoll if fd in self._prioritized else self.epoll
            epoll.unregister(fd)
        self._prioritized.discard(fd)
        self._parked.pop(fd, None)
        self._ready.pop(fd, None)

    # -- Deferred work

    def add_deferred_work(self, work: DeferredWork) -> None:
        """Run this work between polls from now on."""
        self._deferred_work.append(work)

    def remove_deferred_work(self, work: DeferredWork) -> None:
        """Stop running this work; harmless if it is not run."""
        if work in self._deferred_work:
            self._deferred_work.remove(work)

    @property
    def _has_pending_work(self) -> bool:
        for work in self._deferred_work:  # noqa: SIM110  (called in each step)
            if work.is_pending:
                return True
        return False

    def _run_deferred_work(self) -> None:
        for work in self._deferred_work:
            if not work.is_pending:
                continue
            try:
                work.run()
            except Exception:
                log.exception("deferred_work_failed")

    # -- Steps

    def step(self, longest_ms: float = DEFAULT_MAX_WAIT_MS) -> None:
        """Wait for events or the next timer, at most ``longest_ms``, then run what is ready."""
        ready = self._take_ready() if self._ready else self._poll_ready(longest_ms)
        if self._prioritized:
            ready = self.priority_epoll.poll(0) + ready
        self._resume_ready(ready)
        if not self._ready:
            self._run_deferred_work()
        self._run_due_timers()

    def _take_ready(self) -> list[tuple[int, int]]:
        """Return events of the last poll that were not handled yet, up to a bounded number."""
        fds = list(itertools.islice(self._ready, MAX_EVENTS_PER_STEP))
        return [(fd, self._ready.pop(fd)) for fd in fds]

    def _poll_ready(self, longest_ms: float) -> list[tuple[int, int]]:
        """Poll all descriptors, waiting only if no work is pending; return the events to handle."""
        timeout_s = 0.0 if self._has_pending_work else longest_ms / MS_PER_S
        due_s = self.next_timer_due_s()
        began_s = self.clock()
        if due_s is not None:
            timeout_s = min(timeout_s, max(due_s - began_s, 0.0))
        previous_poll_s = self._last_poll_s
        ready = self._poll_all(timeout_s)
        stalled = self._update_oldest_input_time(began_s, timeout_s, bool(ready))
        self._checked_at_s = self._last_poll_s
        if stalled:
            self.on_stall(self._last_poll_s - previous_poll_s, True)
            # A wait that a suspension has interrupted may report nothing although input is pending.
            ready = self._poll_all(0.0)
        if ready and self._last_poll_s - began_s > MAX_POLL_UNCERTAINTY_S:
            # The poll has waited, so the time at which it looked last is not known.
            began_s = self.clock()
            ready = self._poll_all(0.0)
        self.previous_poll_s = self._polled_at_s
        self.poll_count += 1
        self._polled_at_s = began_s
        self.inputs_may_be_unordered = (
            len(ready) > 1 and self._last_poll_s - self.previous_poll_s > MAX_UNORDERED_INPUT_S
        )
        if len(ready) <= MAX_EVENTS_PER_STEP:
            return ready
        self._ready = dict(ready)
        return self._take_ready()

    def _poll_all(self, timeout_s: float) -> list[tuple[int, int]]:
        """Return the events of all ready descriptors, however many."""
        return self.epoll.poll(timeout_s, max(len(self._masks), 1))

    def _update_oldest_input_time(self, began_s: float, timeout_s: float, any_ready: bool) -> bool:
        """Update the earliest time at which input that is read in this step may have arrived.

        While a process is suspended or not scheduled, input arrives in the kernel without a time.
        It arrived after the loop's last poll, and is assumed to have arrived right then, until no
        more input is pending.

        Returns:
            Whether the process was suspended or not scheduled.
        """
        now = self.clock()
        stalled = now - self._last_poll_s > timeout_s + STALL_THRESHOLD_S
        waited = now - began_s > MIN_BLOCKING_POLL_S
        if waited or not any_ready:
            self.busy_since_s = now
        if stalled:
            # Connections that were accepted since an earlier stall may hold input of that time.
            if not self.catching_up or now > self._catch_up_until_s:
                self.oldest_input_at_s = self._last_poll_s
                self._catch_up_until_s = now + MAX_CATCH_UP_S
        elif not any_ready or waited or now > self._catch_up_until_s:
            self.oldest_input_at_s = now
            self._catch_up_until_s = 0.0
        self._last_poll_s = now
        return stalled

    def check_stall(self) -> None:
        """Call ``on_stall`` if the process may have been suspended since the last check.

        It is called before work goes out that unread input may forbid. The loop itself checks after
        each wait.
        """
        now_s = self.clock()
        pause_s = now_s - self._checked_at_s
        self._checked_at_s = now_s
        if pause_s > STALL_THRESHOLD_S:
            self.on_stall(pause_s, False)

    def run_prioritized(self, is_done: Callable[[], bool], max_wait_ms: float) -> None:
        """Handle prioritized descriptors, and nothing else, until a condition holds.

        Not to be called from a coroutine or a hook of a connection.

        Args:
            is_done: The condition.
            max_wait_ms: The longest wait.
        """
        due_s = self.clock() + max_wait_ms / MS_PER_S
        for _ in range(MAX_PRIORITIZED_POLLS):
            remaining_s = due_s - self.clock()
            if is_done() or remaining_s <= 0.0:
                return
            ready = self.priority_epoll.poll(remaining_s)
            if not ready:
                return
            self._resume_ready(ready)

    @property
    def catching_up(self) -> bool:
        """Whether input that arrived during a stall may be unread.

        A peer that seems silent may then have sent data.
        """
        return self._catch_up_until_s > 0.0

    def _resume_ready(self, ready: list[tuple[int, int]]) -> None:
        """Resume the coroutines of ready descriptors."""
        for fd, events in ready:
            coroutine = self._parked.pop(fd, None)
            # A coroutine that was resumed earlier in this step may have closed the descriptor.
            if coroutine is not None:
                self._resume(coroutine, events, fd)

    def run(self) -> None:
        """Run until ``running`` is cleared."""
        self.running = True
        while self.running:
            self.step()

    def close(self) -> None:
        """Close the epoll descriptors."""
        self.epoll.close()
        self.priority_epoll.close()


def _ignore_stall(pause_s: float, may_wait: bool) -> None:
    """Do nothing: nothing depends on unread input."""
