"""The open requests, and the single final answer that each of them receives."""

from __future__ import annotations

from umberusher.decisions.actions import Action, FailRequest, RejectRequest
from umberusher.decisions.key_order import KeyOrder
from umberusher.decisions.request import Request
from umberusher.decisions.request_queue import RequestQueue
from umberusher.decisions.settings import DeduplicationScope, Idempotency, Limits


class OpenRequests:
    """Requests from their arrival to their final answer.

    Attributes:
        requests: The open requests by id.
    """

    def __init__(
        self, limits: Limits, queue: RequestQueue, key_order: KeyOrder, actions: list[Action]
    ) -> None:
        self.requests: dict[str, Request] = {}
        self._limits = limits
        self._queue = queue
        self._key_order = key_order
        self._actions = actions

    def add(self, request: Request) -> None:
        """Add a request that has arrived."""
        self.requests[request.id] = request

    def end(self, request: Request) -> None:
        """Close a request that needs no further answer; its attempts in flight stay counted."""
        request.ended = True
        if self.requests.pop(request.id, None):
            self._queue.remove(request)
        self._key_order.leave_if_done(request)

    def answer(self, request: Request) -> None:
        """Send the final answer: rejected if a retry is harmless, failed otherwise."""
        if request.ended:
            return
        if self._may_reject(request):
            retry_after_ms = self._limits.max_retry_after_ms if self._limits.retry_after else None
            self._actions.append(RejectRequest(request.id, retry_after_ms or None))
        else:
            self._actions.append(FailRequest(request.id))
        self.end(request)

    def _may_reject(self, request: Request) -> bool:
        """Return whether a retry by the client does no harm."""
        if not request.in_flight and not request.unresolved:
            return True
        query_class = request.query_class
        if query_class.idempotency is Idempotency.KEYED:
            return query_class.deduplication_scope is DeduplicationScope.ALL
        return query_class.idempotency is Idempotency.IDEMPOTENT
