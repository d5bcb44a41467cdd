"""A model of an engine's machine, without I/O: query times on shared cores, memory and groups.

All threads run at the same rate (processor sharing, Kleinrock 1967), so that one virtual clock
serves all: a query with w ms of work on n threads ends when that clock has advanced by w/n, and no
query has to be updated when the rate changes. Up to ``knee`` threads per core each thread runs at
full speed, since a part of its work is I/O; beyond it the total throughput falls by ``thrash``. An
engine that has started is warming up: its capacity grows from ``warm_up_floor`` to 1 within
``warm_up_ms``.
"""

from __future__ import annotations

import heapq
from collections import deque
from dataclasses import dataclass, field
from enum import Enum

TIME_TOLERANCE_MS = 1e-3
"""Tolerates rounding errors between times, which would otherwise set the same timer without end."""

WARM_UP_REVIEW_MS = 250.0
"""Interval of reviews while warming up, when the rate changes with time."""


class Admission(Enum):
    """The result of offering a task."""

    RUNNING = "running"
    QUEUED = "queued"
    REJECTED_FULL = "rejected, full"
    EXPIRED = "expired"


@dataclass(slots=True)
class Task:
    """One query on a machine.

    Attributes:
        work_ms: Work in ms of one thread.
        deadline_ms: When it expires unless it is running.
        locked_group: The group of tables that it locks while it runs; None for a reader.
        priority: Orders the queue, highest first; running tasks share the cores equally.
        started_at_ms: When it began to run; None before.
        ends_at_virtual_ms: The virtual time at which it ends.
        cancelled: Cancelled while it ran; its resources are free.
    """

    name: str
    work_ms: float
    threads: int
    memory_mb: float
    deadline_ms: float
    locked_group: int | None = None
    priority: int = 1
    started_at_ms: float | None = None
    ends_at_virtual_ms: float = 0.0
    cancelled: bool = False


@dataclass(slots=True, frozen=True)
class MachineShape:
    """The size and the speed of a machine.

    Attributes:
        speed: Rate of a thread below the knee.
        knee: Threads per core up to which each runs at full speed.
        thrash: Beyond the knee the total throughput is divided by ``1 + thrash * (overload - 1)``;
            the overload is the number of threads over the number at the knee.
        max_sessions_per_core: Limit of the queries, running and queued.
        warm_up_floor: Fraction of the capacity at the start.
    """

    cores: int
    memory_mb: float
    speed: float = 1.0
    knee: float = 1.6
    thrash: float = 0.5
    max_sessions_per_core: int = 8
    warm_up_floor: float = 0.35
    warm_up_ms: float = 15_000.0


@dataclass(slots=True)
class Progress:
    """The tasks that ended, started and expired while a machine advanced, each in order."""

    ended: list[Task] = field(default_factory=list)
    started: list[Task] = field(default_factory=list)
    expired: list[Task] = field(default_factory=list)


class Machine:
    """The running and queued tasks of one engine; times that are passed in must not decrease."""

    def __init__(self, shape: MachineShape, now_ms: float, warming_up: bool = False) -> None:
        self.shape = shape
        self.started_at_ms = now_ms if warming_up else now_ms - shape.warm_up_ms
        self.now_ms = now_ms
        self.virtual_ms = 0.0
        self.threads = 0
        self.memory_mb = 0.0
        self.running: dict[str, Task] = {}
        self.queue: deque[Task] = deque()
        self.locked_groups: set[int] = set()
        self.completed_work_ms = 0.0
        # Heap by virtual end; the count keeps tasks with equal ends in order.
        self._ends: list[tuple[float, int, Task]] = []
        self._started_count = 0

    @property
    def session_count(self) -> int:
        """Number of queries, running and queued."""
        return len(self.running) + len(self.queue)

    @property
    def memory_fraction(self) -> float:
        """Fraction of the memory that is granted."""
        return min(self.memory_mb / self.shape.memory_mb, 1.0)

    @property
    def _warming_up(self) -> bool:
        return self.now_ms - self.started_at_ms < self.shape.warm_up_ms

    def next_review_ms(self) -> float | None:
        """Return when to advance again; None where nothing runs."""
        while self._ends and self._ends[0][2].cancelled:
            heapq.heappop(self._ends)
        if not self._ends:
            return None
        remaining_virtual_ms = max(self._ends[0][0] - self.virtual_ms, 0.0)
        due_ms = self.now_ms + remaining_virtual_ms / self._rate()
        if self._warming_up:
            return min(due_ms, self.now_ms + WARM_UP_REVIEW_MS)
        return due_ms

    def advance(self, now_ms: float) -> Progress:
        """Advance to a time; return the tasks that ended, started and expired by then."""
        progress = Progress()
        while True:
            due_ms = self.next_review_ms()
            if due_ms is None or due_ms > now_ms + TIME_TOLERANCE_MS:
                break
            self._move_to(due_ms)
            self._end_due(progress)
            self._start_queued(progress)
        self._move_to(now_ms)
        self._start_queued(progress)
        return progress

    def offer(self, now_ms: float, task: Task) -> Admission:
        """Start, queue or reject a task at the time to which the machine has been advanced."""
        if task.deadline_ms <= now_ms:
            return Admission.EXPIRED
        if self.session_count >= self.shape.max_sessions_per_core * self.shape.cores:
            return Admission.REJECTED_FULL
        task.memory_mb = min(task.memory_mb, self.shape.memory_mb)
        if self.queue or not self._fits(task):
            self._enqueue(task)
            return Admission.QUEUED
        self._start(task)
        return Admission.RUNNING

    def set_priority(self, name: str, priority: int) -> None:
        """Set the priority of a queued task, which changes its position in the queue."""
        for task in [each for each in self.queue if each.name == name]:
            self.queue.remove(task)
            task.priority = priority
            self._enqueue(task)

    def completion(self, name: str) -> float | None:
        """Return the fraction done of a running task; None where it doesn't run."""
        task = self.running.get(name)
        if task is None:
            return None
        total_virtual_ms = task.work_ms / task.threads
        remaining_virtual_ms = task.ends_at_virtual_ms - self.virtual_ms
        return min(max(1.0 - remaining_virtual_ms / total_virtual_ms, 0.0), 1.0)

    def cancel(self, name: str) -> Task | None:
        """Cancel a task and free its resources; return it, or None if it is unknown."""
        for queued in self.queue:
            if queued.name == name:
                self.queue.remove(queued)
                return queued
        task = self.running.get(name)
        if task is not None:
            task.cancelled = True
            self._release(task)
        return task

    def _rate(self) -> float:
        """Return the virtual milliseconds per millisecond."""
        shape = self.shape
        if not self.threads:
            return shape.speed
        warm_up_progress = (
            (self.now_ms - self.started_at_ms) / shape.warm_up_ms if shape.warm_up_ms else 1.0
        )
        warm_up_factor = min(
            shape.warm_up_floor + (1.0 - shape.warm_up_floor) * max(warm_up_progress, 0.0), 1.0
        )
        capacity = shape.cores * shape.knee * warm_up_factor
        overload = self.threads / capacity
        if overload <= 1.0:
            return shape.speed
        return shape.speed / overload / (1.0 + shape.thrash * (overload - 1.0))

    def _move_to(self, now_ms: float) -> None:
        if now_ms > self.now_ms:
            self.virtual_ms += (now_ms - self.now_ms) * self._rate()
            self.now_ms = now_ms

    def _end_due(self, progress: Progress) -> None:
        """End the tasks that are due by the virtual clock."""
        while self._ends:
            ends_at_virtual_ms, _, task = self._ends[0]
            is_due = ends_at_virtual_ms <= self.virtual_ms + TIME_TOLERANCE_MS
            if not task.cancelled and not is_due:
                return
            heapq.heappop(self._ends)
            if not task.cancelled:
                self._release(task)
                self.completed_work_ms += task.work_ms
                progress.ended.append(task)

    def _start_queued(self, progress: Progress) -> None:
        """Start queued tasks in order.

        A task that waits for its group doesn't block those behind it; one that waits for memory
        does.
        """
        for task in list(self.queue):
            if task.deadline_ms <= self.now_ms:
                self.queue.remove(task)
                progress.expired.append(task)
            elif self._fits(task):
                self.queue.remove(task)
                self._start(task)
                progress.started.append(task)
            elif not self._waits_for_group(task):
                return

    def _start(self, task: Task) -> None:
        task.started_at_ms = self.now_ms
        task.ends_at_virtual_ms = self.virtual_ms + task.work_ms / task.threads
        self.running[task.name] = task
        self.threads += task.threads
        self.memory_mb += task.memory_mb
        if task.locked_group is not None:
            self.locked_groups.add(task.locked_group)
        self._started_count += 1
        heapq.heappush(self._ends, (task.ends_at_virtual_ms, self._started_count, task))

    def _release(self, task: Task) -> None:
        del self.running[task.name]
        self.threads -= task.threads
        self.memory_mb -= task.memory_mb
        if task.locked_group is not None:
            self.locked_groups.discard(task.locked_group)

    def _waits_for_group(self, task: Task) -> bool:
        return task.locked_group is not None and task.locked_group in self.locked_groups

    def _fits(self, task: Task) -> bool:
        if self._waits_for_group(task):
            return False
        return not self.running or self.memory_mb + task.memory_mb <= self.shape.memory_mb

    def _enqueue(self, task: Task) -> None:
        """Insert a task behind all tasks of its priority, before those of a lower one."""
        position = len(self.queue)
        for index, queued in enumerate(self.queue):
            if queued.priority < task.priority:
                position = index
                break
        self.queue.insert(position, task)
