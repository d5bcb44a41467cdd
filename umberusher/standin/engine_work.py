"""The work of one incarnation of a stand-in engine: its machine, and the attempts on it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from umberusher.checker.events import EventKind, EventSink
from umberusher.net.loop import Loop, Timer
from umberusher.standin.engine_connection import EngineAttempt
from umberusher.standin.machine import Admission, Machine


@dataclass(slots=True)
class WorkAccount:
    """Work of all incarnations of an engine, ms of one thread."""

    worked_ms: float = 0.0
    wasted_ms: float = 0.0


class WorkListener(Protocol):
    """Answers the attempts whose work is over."""

    def on_work_done(self, attempt: EngineAttempt, /) -> None:
        """Answer an attempt with its result."""

    def on_expired_in_queue(self, attempt: EngineAttempt, /) -> None:
        """Answer an attempt whose deadline passed before its work started."""


class EngineWork:
    """Runs attempts on a machine and reviews it when one is due to end."""

    __slots__ = (
        "_account",
        "_attempts",
        "_cancellation",
        "_engine",
        "_listener",
        "_loop",
        "_now_ms",
        "_review_timer",
        "_sink",
        "_stopped",
        "machine",
    )

    def __init__(
        self,
        engine: str,
        machine: Machine,
        account: WorkAccount,
        loop: Loop,
        now_ms: Callable[[], float],
        sink: EventSink,
        listener: WorkListener,
        cancellation: bool,
    ) -> None:
        self.machine = machine
        self._engine = engine
        self._account = account
        self._loop = loop
        self._now_ms = now_ms
        self._sink = sink
        self._listener = listener
        self._cancellation = cancellation
        # By task name.
        self._attempts: dict[str, EngineAttempt] = {}
        self._review_timer: Timer | None = None
        self._stopped = False

    def attempts(self) -> list[EngineAttempt]:
        """Return all attempts, running and queued."""
        return list(self._attempts.values())

    def admit(self, attempt: EngineAttempt, now_ms: float) -> Admission:
        """Offer an attempt to the machine, which has been advanced to ``now_ms``."""
        admission = self.machine.offer(now_ms, attempt.task)
        if admission in (Admission.RUNNING, Admission.QUEUED):
            self._attempts[attempt.task.name] = attempt
            attempt.connection.attempts[attempt.request_id] = attempt
        if admission is Admission.RUNNING:
            self._sink(EventKind.WORK_STARTED, self._engine, attempt.request_id)
        return admission

    def set_priority(self, attempt: EngineAttempt, priority: int) -> None:
        """Set the priority of an attempt."""
        self.advance()
        self.machine.set_priority(attempt.task.name, priority)
        attempt.task.priority = priority
        self.schedule_review()

    def abandon(self, attempt: EngineAttempt) -> None:
        """Cancel an attempt that no broker waits for, or let it run if the engine can't cancel."""
        attempt.connection.attempts.pop(attempt.request_id, None)
        attempt.wanted = False
        if not self._cancellation or self._stopped:
            return
        self.advance()
        task = attempt.task
        done_ms = task.work_ms * (self.machine.completion(task.name) or 0.0)
        if self.machine.cancel(task.name) and self._attempts.pop(task.name, None):
            self._account.worked_ms += done_ms
            self._account.wasted_ms += done_ms
            if task.started_at_ms is not None:
                self._sink(EventKind.WORK_ENDED, self._engine, attempt.request_id, False)
        self.schedule_review()

    def advance(self) -> None:
        """Advance the machine to the current time and answer the attempts that have ended."""
        progress = self.machine.advance(self._now_ms())
        for task in progress.ended:
            self._end(self._attempts.pop(task.name))
        for task in progress.expired:
            attempt = self._attempts.pop(task.name)
            if attempt.wanted:
                self._listener.on_expired_in_queue(attempt)
        for task in progress.started:
            request_id = self._attempts[task.name].request_id
            self._sink(EventKind.WORK_STARTED, self._engine, request_id)

    def schedule_review(self) -> None:
        """Set the timer for the next end of a task."""
        due_ms = self.machine.next_review_ms()
        if self._review_timer:
            self._review_timer.cancel()
            self._review_timer = None
        if due_ms is not None:
            self._review_timer = self._loop.call_later(due_ms - self._now_ms(), self._review)

    def stop_reviews(self) -> None:
        """Stop the timer, and ignore later cancels."""
        self._stopped = True
        if self._review_timer:
            self._review_timer.cancel()
            self._review_timer = None

    def abandon_all(self) -> None:
        """Drop all attempts, as a crash of the process does."""
        for attempt in self._attempts.values():
            if attempt.task.started_at_ms is not None:
                self._sink(EventKind.WORK_ENDED, self._engine, attempt.request_id, False)
        self._attempts.clear()

    def _end(self, attempt: EngineAttempt) -> None:
        self._account.worked_ms += attempt.task.work_ms
        self._sink(EventKind.WORK_ENDED, self._engine, attempt.request_id, attempt.wanted)
        if attempt.wanted:
            self._listener.on_work_done(attempt)
        else:
            self._account.wasted_ms += attempt.task.work_ms

    def _review(self) -> None:
        self._review_timer = None
        self.advance()
        self.schedule_review()
