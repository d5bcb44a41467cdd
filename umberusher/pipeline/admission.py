"""Admission: passes a request to the decisions, or rejects it by the broker's own limits."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Protocol

from umberusher.deadlines.account import FinalOutcome
from umberusher.decisions.events import AttemptOutcome, ClientDisconnected, Event
from umberusher.pipeline.request import Attempt, Request
from umberusher.pipeline.request_registry import RequestRegistry

if TYPE_CHECKING:  # without a contract none of its modules is loaded
    from umberusher.teams.charge import Rejection

log = logging.getLogger(__name__)


if TYPE_CHECKING:  # Saves memory.

    class AttemptCanceller(Protocol):
        """Gives up attempts in flight."""

        def give_up(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
            """Stop waiting for an attempt; end it with this outcome if it may have run."""


class NotCoveredError(Exception):
    """No contract can admit the request, now or later; the message gives the reason."""


if TYPE_CHECKING:  # Saves memory.

    class ContractCheck(Protocol):
        """Admits requests by their teams' contracts."""

        def admit(self, request: Request) -> Rejection | None:
            """Admit a request, or return its rejection.

            Raises:
                NotCoveredError: No contract covers the request.
            """


class RequestAdmission:
    """Decides whether the broker admits a request, which then gets exactly one final answer.

    Attributes:
        registry: The open requests.
        retry_after_ms: Time after which a rejected client may retry; None where the settings allow
            no Retry-After.
        closes_at_s: The clock's time after which nothing is admitted, since the process is about to
            end.
        memory_pressure: Whether memory is so short that nothing is admitted.
    """

    __slots__ = (
        "_attempts",
        "_clock",
        "_contracts",
        "_max_open_requests",
        "_post",
        "closes_at_s",
        "memory_pressure",
        "registry",
        "retry_after_ms",
    )

    def __init__(
        self,
        clock: Callable[[], float],
        registry: RequestRegistry,
        attempts: AttemptCanceller,
        post: Callable[[Event], None],
        max_open_requests: int,
        retry_after_ms: float | None,
        contracts: ContractCheck | None = None,
    ) -> None:
        self._clock = clock
        self.registry = registry
        self._attempts = attempts
        self._post = post
        self._max_open_requests = max_open_requests
        self.retry_after_ms = retry_after_ms
        self._contracts = contracts
        self.closes_at_s = math.inf
        self.memory_pressure = False

    def admit(self, request: Request) -> None:
        """Admit a request and pass it to the decisions, or give it its final answer."""
        open_requests = self.registry.requests
        if request.request_id in open_requests:
            # The decisions identify a request by its id and can't tell the two apart.
            log.warning("request_id_already_open request=%s", request.request_id)
            self.registry.close(request, FinalOutcome.FAILED)
            request.response_sink.send_failure("this id is open already")
        elif request.request_id in self.registry.finished_ids:
            self.fail_repeated(request)
        elif (
            self.memory_pressure
            or self._clock() > self.closes_at_s
            or len(open_requests) >= self._max_open_requests
        ):
            log.warning(
                "request_rejected reason=broker_limits limit=%s request=%s",
                self._limit_reached(),
                request.request_id,
            )
            self.registry.close(request, FinalOutcome.REJECTED)
            request.response_sink.send_rejection(self.retry_after_ms)
        elif self._contracts is None or self._admitted_by_contract(self._contracts, request):
            open_requests[request.request_id] = request
            self._post(request.arrival)

    def _limit_reached(self) -> str:
        """Return the name of the limit for which requests are rejected now."""
        if self.memory_pressure:
            return "memory_pressure"
        if self._clock() > self.closes_at_s:
            return "shutting_down"
        return "too_many_open_requests"

    def fail_repeated(self, request: Request) -> None:
        """Fail a request whose id comes again after it may have run."""
        log.warning("request_id_may_have_run request=%s", request.request_id)
        self.registry.close(request, FinalOutcome.FAILED)
        request.response_sink.send_failure("a request of this id may have run")

    def _admitted_by_contract(self, contracts: ContractCheck, request: Request) -> bool:
        """Return whether the team's contract admits the request; else give it its final answer."""
        try:
            rejection = contracts.admit(request)
        except NotCoveredError as error:
            log.warning("request_not_covered request=%s reason=%r", request.request_id, str(error))
            self.registry.close(request, FinalOutcome.FAILED)
            request.response_sink.send_failure(str(error))
            return False
        if rejection is None:
            return True
        log.debug("request_rejected reason=contract request=%s", request.request_id)
        retry_after_ms = self.retry_after_ms
        if retry_after_ms is not None:
            retry_after_ms = min(rejection.retry_after_ms, retry_after_ms)
        self.registry.close(request, FinalOutcome.REJECTED)
        request.response_sink.send_rejection(retry_after_ms)
        return False

    def end_all(self, requests: Iterable[Request]) -> None:
        """Give requests their final answer now: rejected if no attempt was started, else failed."""
        for request in requests:
            if request.attempt_count and self.registry.close(request, FinalOutcome.FAILED):
                request.response_sink.send_failure("the broker ends it")
            elif self.registry.close(request, FinalOutcome.REJECTED):
                request.response_sink.send_rejection(self.retry_after_ms)
            self._abandon(request)

    def disconnect(self, request: Request) -> None:
        """Close a request whose client has disconnected, unanswered, and give up its attempt."""
        if self.registry.close(request):
            self._abandon(request)

    def _abandon(self, request: Request) -> None:
        self._post(ClientDisconnected(request.request_id))
        if request.attempt is not None:
            self._attempts.give_up(request.attempt, AttemptOutcome.CANCELLED)
