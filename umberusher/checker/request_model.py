"""A model of the lifecycle of one request: its possible states, and the invariants of its steps.

The model is independent of the broker's code. Its states are explicit and few, so that
:func:`explore` visits all of them, breadth first. The same steps give all traces up to a depth
(:func:`traces`), which are then played against the real components of the broker
(tests/upstream/test_request_life.py, scripts/explore_life.py).

A state holds what can be observed from outside: the request's phase, its final outcome, the number
of its attempts and whether one may have run. An event is an action of an engine, a client or the
discovery service, or the passing of time. The model doesn't fix the broker's decisions (one more
attempt, or which final answer): an event leads to several states, and the real broker enters one of
them.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from enum import Enum, StrEnum

from umberusher.checker.events import Outcome

MAX_ATTEMPTS = 6
"""Attempts of a request that the settings allow."""


class Phase(Enum):
    """The phases of a request."""

    QUEUED = "queued"
    SENT = "sent"
    RECEIVING_PAGES = "receiving pages"
    AWAITING_RETRY = "awaiting retry"
    ENDED = "ended"


class Event(StrEnum):
    """An action of an engine, a client or the discovery service, or the passing of time."""

    FULLY_SENT = "fully_sent"
    RESULT = "result"
    FIRST_PAGE = "first_page"
    LAST_PAGE = "last_page"
    SHED = "shed"
    EXPIRED_AT_ENGINE = "expired_at_engine"
    ENGINE_FAULT = "engine_fault"
    CONNECTION_RESET = "connection_reset"
    ENGINE_DRAINING = "engine_draining"
    DEADLINE = "deadline"
    CLIENT_DISCONNECTED = "client_disconnected"
    CLIENT_INTERRUPTED = "client_interrupted"
    STALL = "stall"
    PAGES_STOPPED = "pages_stopped"
    SECOND_ANSWER = "second_answer"


UNREPEATED_EVENTS = (Event.STALL, Event.ENGINE_DRAINING, Event.SECOND_ANSWER)
"""Events that change nothing when they are repeated; traces never contain them twice in a row."""

EVENTS_AFTER_END = (
    Event.SECOND_ANSWER,
    Event.STALL,
    Event.ENGINE_DRAINING,
    Event.CONNECTION_RESET,
)


@dataclass(slots=True, frozen=True)
class RequestState:
    """The state of a request.

    Attributes:
        outcome: The final answer, or that the client disconnected; None while neither has happened.
        attempt_count: How often it was sent.
        may_have_run: An attempt that has ended may have run.
        current_may_have_run: The attempt that is in flight may have run.
    """

    non_idempotent: bool
    phase: Phase = Phase.QUEUED
    outcome: Outcome | None = None
    attempt_count: int = 0
    may_have_run: bool = False
    current_may_have_run: bool = False

    @property
    def ended(self) -> bool:
        """Whether the request has its final outcome."""
        return self.phase is Phase.ENDED

    @property
    def waiting(self) -> bool:
        """Whether the broker holds the request, with no attempt in flight."""
        return self.phase in (Phase.QUEUED, Phase.AWAITING_RETRY)


States = set[RequestState]


def _end(state: RequestState, *outcomes: Outcome) -> States:
    return {replace(state, phase=Phase.ENDED, outcome=outcome) for outcome in outcomes}


def _resolve_attempt(state: RequestState, may_have_run: bool) -> RequestState:
    return replace(
        state,
        may_have_run=state.may_have_run or may_have_run,
        current_may_have_run=False,
    )


def _end_without_result(state: RequestState) -> States:
    """Answer at once; reject only where the client may safely retry."""
    if state.non_idempotent and state.may_have_run:
        return _end(state, Outcome.FAILED)
    return _end(state, Outcome.FAILED, Outcome.REJECTED)


def _fail_attempt(state: RequestState, may_have_run: bool) -> States:
    """End an attempt without a result: retry it where that is safe, or answer."""
    resolved = _resolve_attempt(state, may_have_run)
    answered = _end_without_result(resolved)
    if resolved.non_idempotent and resolved.may_have_run:
        return answered
    if resolved.attempt_count >= MAX_ATTEMPTS:
        return answered
    return answered | {replace(resolved, phase=Phase.AWAITING_RETRY)}


def _expire(state: RequestState) -> States:
    return _end_without_result(_resolve_attempt(state, state.current_may_have_run))


def _disconnect(state: RequestState) -> States:
    resolved = _resolve_attempt(state, state.current_may_have_run)
    return _end(resolved, Outcome.DISCONNECTED)


def _step_ended(state: RequestState, event: Event) -> States:
    if state.attempt_count and event in EVENTS_AFTER_END:
        return {state}
    return set()


def _step_waiting(state: RequestState, event: Event) -> States:
    if event is not Event.FULLY_SENT:
        return set()
    sent = replace(
        state,
        phase=Phase.SENT,
        attempt_count=state.attempt_count + 1,
        current_may_have_run=True,
    )
    return {sent}


def _step_receiving_pages(state: RequestState, event: Event) -> States:
    if event is Event.PAGES_STOPPED:
        return _fail_attempt(state, may_have_run=True)
    if event is Event.LAST_PAGE:
        return _end(state, Outcome.SERVED)
    return set()


def _step_sent(state: RequestState, event: Event) -> States:
    if event is Event.RESULT:
        return _end(state, Outcome.SERVED)
    if event is Event.FIRST_PAGE:
        return {replace(state, phase=Phase.RECEIVING_PAGES)}
    if event is Event.SHED:
        return _fail_attempt(state, may_have_run=False)
    if event is Event.EXPIRED_AT_ENGINE:
        # The engine states that the request never ran; it is answered, not retried.
        never_ran = replace(state, current_may_have_run=False)
        return _end(never_ran, Outcome.FAILED, Outcome.REJECTED)
    return set()


def _step_in_flight(state: RequestState, event: Event) -> States:
    if event is Event.ENGINE_DRAINING:
        return {state}
    if event in (Event.CONNECTION_RESET, Event.ENGINE_FAULT):
        return _fail_attempt(state, may_have_run=True)
    if state.phase is Phase.RECEIVING_PAGES:
        return _step_receiving_pages(state, event)
    return _step_sent(state, event)


def step(state: RequestState, event: Event) -> States:
    """Return the states that an event may lead to; empty where it can't occur."""
    if state.ended:
        return _step_ended(state, event)
    if event is Event.DEADLINE:
        # A result whose pages stop is abandoned long before the deadline (PAGES_STOPPED), so
        # that no pages are being received at the deadline.
        return set() if state.phase is Phase.RECEIVING_PAGES else _expire(state)
    if event in (Event.CLIENT_DISCONNECTED, Event.CLIENT_INTERRUPTED):
        return _disconnect(state)
    if event is Event.STALL:
        # A waiting request may be rejected once time has passed.
        return {state} | _expire(state) if state.waiting else {state}
    if state.waiting:
        return _step_waiting(state, event)
    return _step_in_flight(state, event)


def violation(before: RequestState, after: RequestState) -> str | None:
    """Return the invariant that a step breaks; None where all hold."""
    problem = _ending_violation(before, after)
    if problem is None and after.attempt_count > before.attempt_count:
        problem = _sending_violation(before)
    if problem is not None:
        return problem
    if after.outcome is Outcome.REJECTED and after.non_idempotent and after.may_have_run:
        return "rejected a request that may have run"
    if before.may_have_run and not after.may_have_run:
        return "a request that may have run is marked as never run"
    return None


def _ending_violation(before: RequestState, after: RequestState) -> str | None:
    if before.ended and after != before:
        return "something changed after the end"
    if before.outcome is not None and after.outcome != before.outcome:
        return "two final answers"
    if after.ended and after.outcome is None:
        return "ended without a final answer"
    return None


def _sending_violation(before: RequestState) -> str | None:
    if before.ended:
        return "sent after the end"
    if not before.waiting:
        return "two attempts in flight"
    if before.non_idempotent and before.may_have_run:
        return "sent again what must run once"
    return None


@dataclass(slots=True, frozen=True)
class Violation:
    """A step that breaks an invariant."""

    before: RequestState
    event: Event
    after: RequestState
    problem: str


@dataclass(slots=True)
class Exploration:
    """The result of a search over all states."""

    state_count: int = 0
    step_count: int = 0
    depth: int = 0
    violations: list[Violation] = field(default_factory=list)


Stepper = Callable[[RequestState, Event], States]


def explore(stepper: Stepper = step) -> Exploration:
    """Visit all reachable states, breadth first."""
    exploration = Exploration()
    frontier = {RequestState(non_idempotent) for non_idempotent in (False, True)}
    seen = set(frontier)
    while frontier:
        discovered: States = set()
        for state in frontier:
            discovered |= _explore_state(state, stepper, exploration) - seen
        seen |= discovered
        frontier = discovered
        if frontier:
            exploration.depth += 1
    exploration.state_count = len(seen)
    return exploration


def _explore_state(state: RequestState, stepper: Stepper, exploration: Exploration) -> States:
    """Check every step from one state; return the states that the steps lead to."""
    reached: States = set()
    for event in Event:
        for after in stepper(state, event):
            exploration.step_count += 1
            problem = violation(state, after)
            if problem:
                exploration.violations.append(Violation(state, event, after, problem))
            reached.add(after)
    return reached


def traces(depth: int, non_idempotent: bool) -> Iterator[tuple[Event, ...]]:
    """Yield all possible sequences of events up to a depth; none is a prefix of another."""
    yield from _extend({RequestState(non_idempotent)}, (), depth)


def _extend(states: States, trace: tuple[Event, ...], depth: int) -> Iterator[tuple[Event, ...]]:
    is_complete = True
    if len(trace) < depth:
        for event in Event:
            if trace and trace[-1] == event and event in UNREPEATED_EVENTS:
                continue
            reached = {after for state in states for after in step(state, event)}
            if reached:
                is_complete = False
                yield from _extend(reached, (*trace, event), depth)
    if is_complete:
        yield trace
