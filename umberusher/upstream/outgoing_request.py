"""An attempt's request as an outbound message, encoded only when it is about to be written."""

from __future__ import annotations

from umberusher.deadlines.budget import BudgetExhausted
from umberusher.pipeline.request import Attempt, AttemptFailure, Request, SendProgress
from umberusher.protocol import engine as codec
from umberusher.upstream.channel import EngineChannel
from umberusher.upstream.context import UpstreamContext
from umberusher.upstream.remaining_time import RemainingTime

# The client's input is read again where its request was received longer ago than this. Work must
# not be started for a client that disconnected 100 ms ago.
MAX_INPUT_AGE_MS = 20.0


def read_client_input(context: UpstreamContext, request: Request) -> None:
    """Process pending input of the client before its request, which has waited, is forwarded.

    During a long iteration of the event loop a cancellation or disconnect may still be in the
    kernel's buffer; an engine should do no work for such a client.
    """
    if context.now_ms() - request.budget.received_ms > MAX_INPUT_AGE_MS:
        request.response_sink.read_pending()


class OutgoingRequest:
    """An attempt's request in the outbound queue of its engine connection."""

    __slots__ = ("_attempt", "_channel", "_context", "_remaining_time")

    def __init__(
        self,
        context: UpstreamContext,
        attempt: Attempt,
        channel: EngineChannel,
        remaining_time: RemainingTime,
    ) -> None:
        self._context = context
        self._attempt = attempt
        self._channel = channel
        self._remaining_time = remaining_time

    def encode(self) -> bytes:
        """Return the encoded request with the engine's time limit; empty where no time is left.

        After the process was suspended, queued requests may have expired before their timers fire.
        No request may start after its client's deadline.
        """
        attempt = self._attempt
        # News that arrived while the process was suspended may forbid the request.
        self._context.loop.check_stall()
        if attempt.ended:
            return b""
        if not self._context.endpoints.is_available(attempt.engine):
            self._fail_later()
            return b""
        ttl_ms = self._remaining_time.engine_ttl_ms(attempt, self._channel)
        if isinstance(ttl_ms, BudgetExhausted):
            self._expire_later(ttl_ms)
            return b""
        attempt.progress = SendProgress.PARTLY_WRITTEN
        attempt.encoded_ms = self._context.now_ms()
        request = attempt.request
        return codec.request(
            request.request_id,
            request.arrival.query_class,
            ttl_ms,
            request.statement,
            request.priority,
            request.idempotency_key,
        )

    def _expire_later(self, reason: BudgetExhausted) -> None:
        """End the attempt in the next iteration of the loop: the connection is writing now."""
        self._context.loop.call_later(
            0.0, lambda: self._remaining_time.end_expired(self._attempt, reason)
        )

    def _fail_later(self) -> None:
        """Fail the attempt in the next iteration of the loop: the connection is writing now."""
        failure = AttemptFailure(SendProgress.NOT_WRITTEN, "engine accepts no new requests")
        self._context.loop.call_later(
            0.0, lambda: self._context.registry.fail_attempt(self._attempt, failure)
        )

    def written(self) -> None:
        """Record that the kernel has the last byte: from now on the engine may run the query."""
        attempt = self._attempt
        attempt.progress = max(attempt.progress, SendProgress.FULLY_SENT)
        attempt.end_offset = self._channel.transport.sent_bytes
        attempt.fully_sent_ms = self._context.now_ms()
        self._context.registry.attempts_sent += 1
        if self._context.settings.receipts:
            self._channel.request_receipt(attempt)
