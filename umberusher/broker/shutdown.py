"""Graceful shutdown, from SIGTERM to the end of the process."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from enum import Enum

from umberusher.decisions.settings import QueryClass
from umberusher.frontend.thrift_frontend import ThriftFrontend
from umberusher.hot_restart.hot_restart import HotRestart
from umberusher.pipeline.admission import RequestAdmission
from umberusher.pipeline.request_registry import RequestRegistry

log = logging.getLogger(__name__)

ADMISSION_GRACE_S = 0.65
"""Requests are admitted for this long after SIGTERM. Clients send calls for 0.6 s after it; a call
that is admitted 0.7 s after it may still be open at SIGKILL and would be lost."""

LISTENER_GRACE_S = 1.0
"""The listener and idle connections stay open for this long: no call should arrive later."""

MAX_HANDOVER_S = 5.0
"""Upper bound of the time in which open requests may end while a successor accepts clients. That
time is the longest deadline of any class."""

REJECT_AFTER_HANDOVER_S = 0.25
"""Time after the end of the handover when the open requests are rejected or failed."""

EXIT_AFTER_HANDOVER_S = 0.45
"""Time after the end of the handover when the process exits."""


class ShutdownRequest:
    """Records whether and when a shutdown was requested.

    Attributes:
        made_at_s: When shutdown was requested, on the clock; None before.
    """

    __slots__ = ("_clock", "made_at_s")

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self.made_at_s: float | None = None

    @property
    def is_made(self) -> bool:
        """Whether shutdown was requested."""
        return self.made_at_s is not None

    def make(self) -> float:
        """Request the shutdown; return the time of the first request."""
        if self.made_at_s is None:
            self.made_at_s = self._clock()
        return self.made_at_s

    def elapsed_s(self) -> float:
        """Return the seconds since shutdown was requested; 0 before."""
        return 0.0 if self.made_at_s is None else self._clock() - self.made_at_s


class ShutdownPhase(Enum):
    """The phase of a graceful shutdown.

    ======================  =====================================================================
    ``RUNNING``             No shutdown was requested.
    ``GRACE``               Requests are still admitted for a short time; the listener is open.
    ``DRAINING``            The listener is closed; each idle connection is closed.
    ``HANDING_OVER``        A successor accepts clients and receives each idle connection. This
                            phase can follow any other and is the last one.
    ======================  =====================================================================
    """

    RUNNING = "running"
    GRACE = "grace"
    DRAINING = "draining"
    HANDING_OVER = "handing over"


class GracefulShutdown:
    """Ends this process without losing a request.

    Attributes:
        phase: The current phase.
    """

    __slots__ = (
        "_admission",
        "_classes",
        "_frontend",
        "_hot_restart",
        "_registry",
        "_request",
        "phase",
    )

    def __init__(
        self,
        request: ShutdownRequest,
        classes: Iterable[QueryClass],
        registry: RequestRegistry,
        admission: RequestAdmission,
        frontend: ThriftFrontend,
        hot_restart: HotRestart,
    ) -> None:
        self._request = request
        self._classes = classes
        self._registry = registry
        self._admission = admission
        self._frontend = frontend
        self._hot_restart = hot_restart
        self.phase = ShutdownPhase.RUNNING

    def request(self) -> None:
        """Request the shutdown; safe to call from a signal handler."""
        if not self._request.is_made:
            self._admission.closes_at_s = self._request.make() + ADMISSION_GRACE_S

    def advance(self) -> bool:
        """Run the steps that are due; return whether the process may exit."""
        if not self._request.is_made:
            return False
        elapsed_s = self._request.elapsed_s()
        if self.phase is ShutdownPhase.RUNNING:
            self._log_request()
        self.phase = self._phase_at(elapsed_s)
        if self.phase is ShutdownPhase.HANDING_OVER:
            return self._hand_over(elapsed_s)
        if self.phase is ShutdownPhase.DRAINING:
            return self._drain(elapsed_s)
        return False

    def _log_request(self) -> None:
        log.info(
            "shutdown_requested open_requests=%d successor_ready=%s",
            self._registry.in_flight,
            self._hot_restart.successor_is_ready,
        )

    def _phase_at(self, elapsed_s: float) -> ShutdownPhase:
        if self.phase is ShutdownPhase.HANDING_OVER or self._hot_restart.successor_is_ready:
            return ShutdownPhase.HANDING_OVER
        return ShutdownPhase.DRAINING if elapsed_s > LISTENER_GRACE_S else ShutdownPhase.GRACE

    def _longest_deadline_s(self) -> float:
        return max(each.deadline_ms for each in self._classes) / 1000.0

    def _drain(self, elapsed_s: float) -> bool:
        """Close idle connections; return whether all are closed or the time limit has passed.

        This order loses no request: pending connections of the listener are accepted, then each
        idle connection shuts down its write side and is read to its end; the process exits once
        the clients have closed too. A client that reads no answers must not delay the exit: after
        the longest deadline the process no longer waits for it.
        """
        if self._frontend.listener:
            self._frontend.stop_listening()
        self._frontend.drain_idle_connections()
        if self._frontend.is_drained:
            return True
        return elapsed_s > LISTENER_GRACE_S + self._longest_deadline_s()

    def _hand_over(self, elapsed_s: float) -> bool:
        """Answer open requests while a successor accepts clients; return whether to exit.

        The process exits before SIGKILL would end it.
        """
        overtime_s = elapsed_s - min(self._longest_deadline_s(), MAX_HANDOVER_S)
        if overtime_s > REJECT_AFTER_HANDOVER_S:
            self._answer_open_requests()
        if not self._hot_restart.hand_over_clients():
            self._frontend.drain_idle_connections()
        is_done = (
            self._frontend.is_drained
            and not self._registry.in_flight
            and self._hot_restart.is_flushed
        )
        return is_done or overtime_s > EXIT_AFTER_HANDOVER_S

    def _answer_open_requests(self) -> None:
        """Reject or fail all open requests, and admit no more."""
        self._admission.memory_pressure = True
        requests = self._registry.requests.values()
        self._admission.end_all([request for request in requests if request.is_open])
