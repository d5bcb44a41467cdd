"""Receipts: the answer to a ping written after a request proves that the engine has read both."""

from __future__ import annotations

from umberusher.net.connection import OPEN
from umberusher.pipeline.request import Attempt
from umberusher.protocol import engine as codec
from umberusher.upstream.channel import EngineChannel
from umberusher.upstream.context import UpstreamContext

# A receipt is overdue this long after the network delay allowance: timers and the engine's event
# loop take some time.
RECEIPT_TOLERANCE_MS = 3.0
# Added to the delay of the check, whose timer must not fire in the millisecond in which the
# tolerance ends.
RECEIPT_CHECK_MARGIN_MS = 1.0
# Limits memory where an engine answers requests but no pings; the oldest receipt is dropped.
MAX_PENDING_RECEIPTS = 256


class ReceiptTracker:
    """The outstanding receipts of one connection.

    Attributes:
        pending: Attempts whose receipt has not arrived, by the tag of the ping written after them.
    """

    __slots__ = ("_channel", "_context", "pending")

    def __init__(self, context: UpstreamContext, channel: EngineChannel) -> None:
        self._context = context
        self._channel = channel
        self.pending: dict[str, Attempt] = {}

    def request(self, attempt: Attempt) -> None:
        """Write a ping after a request that is fully sent."""
        tag = f"r{next(self._context.tags)}"
        self.pending[tag] = attempt
        if len(self.pending) > MAX_PENDING_RECEIPTS:
            oldest = next(iter(self.pending))
            self.pending.pop(oldest)
        self._channel.delay.probe_sent(attempt.fully_sent_ms)
        self._channel.write(codec.ping(tag))

    def confirm(self, tag: str) -> bool:
        """Record the answer to a ping; return whether the ping was one of these."""
        attempt = self.pending.pop(tag, None)
        if attempt is None:
            return False
        attempt.receipt_ms = self._context.now_ms()
        self._channel.record_round_trip(attempt.fully_sent_ms)
        return True

    def check_after_cancel(self, attempt: Attempt) -> None:
        """Close the connection once the receipt of a cancelled request is overdue.

        The engine has then read neither the request nor its cancel command, and the query would
        start late.
        """
        if not self._context.settings.receipts or attempt.receipt_ms:
            return
        delay_ms = attempt.network_delay_ms + RECEIPT_TOLERANCE_MS + RECEIPT_CHECK_MARGIN_MS
        self._context.loop.call_later(delay_ms, lambda: self._close_if_overdue(attempt))

    def _close_if_overdue(self, attempt: Attempt) -> None:
        transport = self._channel.transport
        if not attempt.receipt_ms and transport.state is OPEN and self.is_overdue(attempt):
            transport.abort("cancelled request is unread")

    def is_overdue(self, attempt: Attempt) -> bool:
        """Return whether a request was or will be read too late, and its connection can be closed.

        An engine counts a request's time limit from when it reads the request. Where that was later
        than the network delay that was subtracted, the query may start after its deadline, and a
        cancel command would wait in the same byte stream. The connection can be closed where the
        close ends no other non-idempotent attempt.
        """
        if not self._context.settings.receipts or attempt.page_count:
            return False
        received_ms = attempt.receipt_ms or self._context.now_ms()
        allowed_ms = attempt.network_delay_ms + RECEIPT_TOLERANCE_MS
        is_late = received_ms - attempt.fully_sent_ms > allowed_ms
        return is_late and self._channel.has_no_other_non_idempotent(attempt)
