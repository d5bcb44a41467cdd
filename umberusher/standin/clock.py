"""A loop with simulated time, on which all parties of a replay behave the same each time.

Its clock stands still while any descriptor is ready. Sockets are real, and the kernel is polled for
readiness. Loopback delivers within the sender's call, so two empty polls in a row show that no data
is in transit, and only then does the clock advance to the next timer.
"""

from __future__ import annotations

import itertools

from umberusher.net.loop import Loop

EPOCH_S = 1_000_000.0
"""Start of the clock; small enough that a float resolves a tenth of a nanosecond."""

MAX_POLLED_EVENTS = 1 << 14
"""Limit of one poll; it covers all ready descriptors, so that the kernel doesn't select some."""


class StepLoop(Loop):
    """A loop with a clock of its own; ``now`` is in seconds."""

    def __init__(self, start_s: float = EPOCH_S) -> None:
        self.now = start_s
        super().__init__(lambda: self.now)
        # By descriptor: its position in the order of processing, given when it is first watched.
        self._serials: dict[int, int] = {}
        self._next_serial = itertools.count()
        self.steps = 0

    def unix(self) -> float:
        """Return the simulated time in place of Unix time."""
        return self.now

    def watch(self, fd: int, events: int) -> None:
        """Watch a descriptor; the first call sets its position in the order of processing."""
        if fd not in self._serials:
            self._serials[fd] = next(self._next_serial)
        super().watch(fd, events)

    def unregister(self, fd: int) -> None:
        """Remove a descriptor; the kernel may reuse its number for another file."""
        self._serials.pop(fd, None)
        super().unregister(fd)

    def step(self, longest_ms: float = 1000.0) -> None:
        """Process ready descriptors in a fixed order, or advance the clock to the next timer."""
        ready = self._poll() or self._poll()
        self.oldest_input_at_s = self.now  # no input arrives while the clock stands still
        self.previous_poll_s = self.now
        self.poll_count += 1
        if ready:
            self._resume_ready(ready)
        elif self._has_pending_work:
            self._run_deferred_work()
        else:
            self._move_clock(longest_ms)
        self.steps += 1
        self._run_due_timers()

    def check_stall(self) -> None:
        """Do nothing: the clock moves only while nothing is ready."""

    def _resume_ready(self, ready: list[tuple[int, int]]) -> None:
        """Resume coroutines, and run the work that each queues before the next one."""
        for item in ready:
            super()._resume_ready([item])
            self._run_deferred_work()

    def _move_clock(self, longest_ms: float) -> None:
        due = self.next_timer_due_s()
        limit = self.now + longest_ms / 1000.0
        target = limit if due is None else min(due, limit)
        self.now = max(self.now, target)

    def _poll(self) -> list[tuple[int, int]]:
        ready = self.epoll.poll(0, MAX_POLLED_EVENTS)
        if self._prioritized:
            ready += self.priority_epoll.poll(0, MAX_POLLED_EVENTS)
        ready = [item for item in ready if item[0] in self._serials]
        ready.sort(key=lambda item: self._serials[item[0]])
        return ready
