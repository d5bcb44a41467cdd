"""Detects replies and results that have stalled, and gives up the attempts that wait for them."""

from __future__ import annotations

import logging

from umberusher.pipeline.request import Attempt, AttemptFailure, SendProgress
from umberusher.upstream.context import UpstreamContext
from umberusher.upstream.engine_connection import EngineConnection

log = logging.getLogger(__name__)

# Longest time between two parts of a reply: the engine writes each reply in one call.
MAX_REPLY_GAP_MS = 500.0
# Longest time for a whole reply, from its first byte.
MAX_REPLY_TIME_MS = 1_500.0
# Longest time between two pages of a result.
MAX_PAGE_GAP_MS = 1_500.0


class StallDetector:
    """Reviews connections periodically, since missing data triggers no read event."""

    __slots__ = ("_context",)

    def __init__(self, context: UpstreamContext) -> None:
        self._context = context

    def review(self, connection: EngineConnection, now_ms: float) -> None:
        """Close a stalled connection, or give up stalled results on it."""
        if self._has_stalled_reply(connection, now_ms):
            log.warning(
                "engine_connection_closed engine=%s reason=%r", connection.engine, "reply stalled"
            )
            connection.transport.close("reply stalled")
            return
        has_unresolved = connection.cancellations.unresolved_since_ms is not None
        if has_unresolved and connection.can_close_as_unread():
            # A cancel command follows its request: if the engine has read neither, the query starts
            # late.
            connection.transport.abort("cancelled request may be unread")
            return
        self._give_up_stalled_results(connection, now_ms)
        if connection.superseded or connection.unresponsive or connection.is_exhausted:
            connection.close_if_idle()

    @staticmethod
    def _has_stalled_reply(connection: EngineConnection, now_ms: float) -> bool:
        """Return whether a reply has stalled; replies after it could not arrive either."""
        if connection.partial_reply_since_ms is None:
            return False
        return (
            now_ms - connection.last_received_ms > MAX_REPLY_GAP_MS
            or now_ms - connection.partial_reply_since_ms > MAX_REPLY_TIME_MS
        )

    def _give_up_stalled_results(self, connection: EngineConnection, now_ms: float) -> None:
        """Give up results whose next page does not arrive.

        A late or lost page does not affect the other attempts while they get replies. Where nothing
        has arrived since the last page, the connection is dead and is closed.
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
        """Return whether a result's pages have stopped; a partial reply may be the next page."""
        if not attempt.page_count or connection.partial_reply_since_ms is not None:
            return False
        return now_ms - attempt.last_page_ms > MAX_PAGE_GAP_MS
