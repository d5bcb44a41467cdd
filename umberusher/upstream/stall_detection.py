"""Finds replies and results that broke off, and gives up what would wait for them in vain."""

from __future__ import annotations

import logging

from umberusher.pipeline.request import Attempt, AttemptFailure, SendProgress
from umberusher.upstream.context import UpstreamContext
from umberusher.upstream.engine_connection import EngineConnection

log = logging.getLogger(__name__)

# Between two parts of a reply: the engine writes each reply in one go.
MAX_REPLY_GAP_MS = 500.0
# For a reply in all, from its first byte.
MAX_REPLY_TIME_MS = 1_500.0
# Until the next page of a result that has begun.
MAX_PAGE_GAP_MS = 1_500.0


class StallDetector:
    """Reviews connections by time; reading alone can't notice what does not come."""

    __slots__ = ("_context",)

    def __init__(self, context: UpstreamContext) -> None:
        self._context = context

    def review(self, connection: EngineConnection, now_ms: float) -> None:
        """Close a connection, or give up results on it, where waiting is in vain."""
        if self._has_stalled_reply(connection, now_ms):
            log.warning(
                "engine_connection_closed engine=%s reason=%r", connection.engine, "reply stalled"
            )
            connection.transport.close("reply stalled")
            return
        has_unresolved = connection.cancellations.unresolved_since_ms is not None
        if has_unresolved and connection.can_close_as_unread():
            # A cancel command lies behind its request: if both are unread, the query begins late.
            connection.transport.abort("cancelled request may be unread")
            return
        self._give_up_stalled_results(connection, now_ms)
        if connection.superseded or connection.unresponsive or connection.is_exhausted:
            connection.close_if_idle()

    @staticmethod
    def _has_stalled_reply(connection: EngineConnection, now_ms: float) -> bool:
        """Return whether a reply broke off; all others behind it would wait in vain."""
        if connection.partial_reply_since_ms is None:
            return False
        return (
            now_ms - connection.last_received_ms > MAX_REPLY_GAP_MS
            or now_ms - connection.partial_reply_since_ms > MAX_REPLY_TIME_MS
        )

    def _give_up_stalled_results(self, connection: EngineConnection, now_ms: float) -> None:
        """Give up results whose next page does not come.

        A page that is late or lost says little of the other attempts while those get replies.
        Where nothing else has arrived since, the connection is dead and is closed.
        """
        for attempt in list(connection.attempts.values()):
            if not self._has_stalled_result(connection, attempt, now_ms):
                continue
            log.warning("result_stalled engine=%s", connection.engine)
            if connection.last_received_ms <= attempt.last_page_ms:
                connection.transport.close("result stalled")
                return
            connection.release(attempt)
            connection.release_result(attempt)
            failure = AttemptFailure(
                SendProgress.PAGE_RECEIVED, "result stalled", len(attempt.pages)
            )
            self._context.registry.fail_attempt(attempt, failure)

    @staticmethod
    def _has_stalled_result(connection: EngineConnection, attempt: Attempt, now_ms: float) -> bool:
        """Return whether a result's pages stopped; a part of a reply may be the next page."""
        if not attempt.page_count or connection.partial_reply_since_ms is not None:
            return False
        return now_ms - attempt.last_page_ms > MAX_PAGE_GAP_MS
