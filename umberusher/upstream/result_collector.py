"""Turns an engine's replies to an attempt into its outcome.

A result counts only once all its pages have arrived, intact.
"""

from __future__ import annotations

import logging
from collections.abc import Callable

from umberusher.decisions.events import AttemptOutcome, AttemptProgress, Event
from umberusher.pipeline.request import Attempt, AttemptFailure, SendProgress
from umberusher.pipeline.request_registry import RequestRegistry
from umberusher.protocol import engine as codec
from umberusher.protocol.engine import ReplyKind
from umberusher.upstream.channel import EngineChannel

log = logging.getLogger(__name__)

# The largest result that engines return; a larger one is malformed.
MAX_RESULT_BYTES = 48_000
# A page of complete rows is seldom much smaller than 6,000 bytes, so the largest result has far
# fewer pages.
MAX_PAGES = 64
# Memory of a page beside its rows.
PAGE_OVERHEAD_BYTES = 128


class ResultCollector:
    """Processes the replies that belong to attempts."""

    __slots__ = ("_handlers_before_result", "_handlers_within_result", "_post", "_registry")

    def __init__(self, registry: RequestRegistry, post: Callable[[Event], None]) -> None:
        self._registry = registry
        self._post = post
        self._handlers_before_result = {
            ReplyKind.PROGRESS: self._report_progress,
            ReplyKind.RESULT: self._start_result,
            ReplyKind.OVERLOADED: self._end_overloaded,
            ReplyKind.EXPIRED: self._end_expired,
            ReplyKind.ERROR: self._fail,
        }
        self._handlers_within_result = {
            ReplyKind.PROGRESS: self._report_progress,
            ReplyKind.PAGE: self._add_further_page,
            ReplyKind.ERROR: self._fail,
        }

    def process_reply(self, channel: EngineChannel, attempt: Attempt, reply: codec.Reply) -> None:
        """Process one reply to an attempt in flight.

        Args:
            channel: The connection that carries the attempt.
            attempt: The attempt.
            reply: The reply.
        """
        if attempt.page_count:
            handler = self._handlers_within_result.get(reply.kind)
        else:
            handler = self._handlers_before_result.get(reply.kind)
        if handler is None:
            log.warning("unexpected_reply engine=%s kind=%s", attempt.engine, reply.kind)
        else:
            handler(channel, attempt, reply)

    def _report_progress(self, _: EngineChannel, attempt: Attempt, reply: codec.Reply) -> None:
        progress = codec.progress(reply.fields)
        if progress is not None:
            self._post(
                AttemptProgress(
                    attempt.request.request_id,
                    attempt.number,
                    attempt.engine,
                    progress.kind,
                    progress.value,
                )
            )

    def _end_overloaded(self, channel: EngineChannel, attempt: Attempt, reply: codec.Reply) -> None:
        channel.ignore_replies(attempt.request.request_id)
        self._registry.end_attempt(attempt, AttemptOutcome.OVERLOADED, codec.report(reply.fields))

    def _end_expired(self, _: EngineChannel, attempt: Attempt, reply: codec.Reply) -> None:
        """End an attempt whose time limit had passed at the engine, which ran nothing.

        The outcome is withdrawn, not overloaded: the engine must not be avoided as full because of
        a client that has disconnected, and retries that get the same reply must not use up the
        retry budget.
        """
        self._registry.end_attempt(attempt, AttemptOutcome.WITHDRAWN, codec.report(reply.fields))

    def _fail(self, channel: EngineChannel, attempt: Attempt, reply: codec.Reply) -> None:
        """Fail an attempt that may have run; pages that have arrived are dropped."""
        request_id = attempt.request.request_id
        progress = SendProgress.RESPONSE_STARTED
        if attempt.pages:
            progress = SendProgress.PAGE_RECEIVED
            channel.write(codec.release_result(request_id))
        channel.ignore_replies(request_id)
        failure = AttemptFailure(progress, "engine reported an error", len(attempt.pages))
        self._registry.fail_attempt(attempt, failure, codec.report(reply.fields))

    def _close_malformed(self, channel: EngineChannel, attempt: Attempt, reason: str) -> None:
        """Close the connection of a malformed result: no bytes after it can be interpreted."""
        attempt.progress = max(attempt.progress, SendProgress.RESPONSE_STARTED)
        log.warning("malformed_result engine=%s reason=%r", attempt.engine, reason)
        channel.transport.close(f"malformed result: {reason}")

    def _start_result(self, channel: EngineChannel, attempt: Attempt, reply: codec.Reply) -> None:
        """Store the first page, and request the others if the client still waits."""
        page_count = codec.page_count(reply.fields)
        if not 0 < page_count <= MAX_PAGES:
            self._close_malformed(channel, attempt, "page count out of range")
            return
        attempt.page_count = page_count
        attempt.progress = SendProgress.RESPONSE_STARTED
        self._add_page(channel, attempt, 0, reply)
        if attempt.ended:
            return
        if not attempt.request.is_open:
            self._finish(channel, attempt)
            return
        # All pages are requested at once, since each would cost a round trip one by one.
        for number in range(1, page_count):
            channel.fetch_page(attempt.request.request_id, number)

    def _add_further_page(
        self, channel: EngineChannel, attempt: Attempt, reply: codec.Reply
    ) -> None:
        number = codec.page_number(reply.fields)
        if not 0 < number < attempt.page_count:
            self._close_malformed(channel, attempt, "page number out of range")
        elif number not in attempt.pages:
            attempt.progress = SendProgress.PAGE_RECEIVED
            self._add_page(channel, attempt, number, reply)

    def _add_page(
        self, channel: EngineChannel, attempt: Attempt, number: int, reply: codec.Reply
    ) -> None:
        is_first = number == 0
        # Only the first page may be empty: the result is empty then.
        if not codec.has_complete_rows(reply.body) or not (is_first or reply.body):
            self._close_malformed(channel, attempt, f"page {number} has incomplete rows")
            return
        if attempt.page_count > 1:
            attempt.request.response_sink.charge(len(reply.body) + PAGE_OVERHEAD_BYTES)
        attempt.pages[number] = reply.body
        if is_first:
            attempt.response_fields = reply.fields
        else:
            attempt.response_fields |= codec.report_fields(reply.fields)
        attempt.last_page_ms = self._registry.now_ms()
        if is_first:
            attempt.first_page_ms = attempt.last_page_ms
        attempt.received_bytes += len(reply.body)
        if attempt.received_bytes > MAX_RESULT_BYTES:
            self._close_malformed(channel, attempt, "result too large")
        elif len(attempt.pages) == attempt.page_count:
            self._finish(channel, attempt)

    def _finish(self, channel: EngineChannel, attempt: Attempt) -> None:
        """End an attempt whose result is complete, or whose client no longer waits.

        It is detached from the connection first, since a failure of the connection must not lose a
        complete result. The engine is told to release the result before the decisions are notified
        of the outcome, so that it is free when the next request is sent to it.
        """
        request = attempt.request
        rows = b""
        if request.is_open:
            rows = b"".join(attempt.pages[number] for number in range(attempt.page_count))
        channel.release(attempt)
        channel.write(codec.release_result(request.request_id))
        report = codec.report(attempt.response_fields)
        cost = codec.cost(attempt.response_fields)
        if request.is_open:
            self._registry.succeed_attempt(attempt, rows, report, cost)
        else:
            self._registry.end_attempt(attempt, AttemptOutcome.SUCCEEDED, report, cost)
