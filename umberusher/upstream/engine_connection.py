"""One connection to an engine, with the attempts and health checks that it carries."""

from __future__ import annotations

import logging
from collections.abc import Callable

from umberusher.deadlines.disposition import ByteLocation
from umberusher.deadlines.network_delay import ConnectionDelay
from umberusher.net.connection import OPEN, Connection, Message, RawMessage
from umberusher.pipeline.request import Attempt, AttemptFailure, SendProgress
from umberusher.protocol import engine as codec
from umberusher.upstream.cancellation import CancellationOutcomes, ConnectionCancellations
from umberusher.upstream.channel import HealthCheckHandler
from umberusher.upstream.context import UpstreamContext
from umberusher.upstream.outgoing_request import read_client_input
from umberusher.upstream.receipts import ReceiptTracker
from umberusher.upstream.result_collector import ResultCollector

log = logging.getLogger(__name__)

# A connection is not reused this close to its keep-alive time, when the engine may be closing it.
IDLE_MARGIN_MS = 1_000.0
# A connection that remembers this many abandoned requests accepts no new ones.
MAX_ABANDONED_IDS = 256
# A ping unanswered for this long means that the engine may have stopped reading requests.
MAX_PING_SILENCE_MS = 250.0


class EngineConnection:
    """One connection to an engine.

    Attributes:
        engine: The engine's id.
        transport: The socket, with its buffers.
        attempts: The attempts that it carries, by request.
        messages: Their requests; one can be withdrawn until its first byte is written.
        health_checks: Pending health checks, by tag.
        abandoned_ids: Requests that were given up here; late replies to them may still arrive.
        last_used_ms: When a request or health check was last queued, or something was last read.
        last_received_ms: When something was last read.
        opened_ms: When it was established; 0 before.
        partial_reply_since_ms: When the first part of an incomplete reply arrived; None if none is
            pending.
        superseded: Belongs to an earlier incarnation or address of the engine: it finishes its
            attempts and accepts no new ones.
        unresponsive: A health check timed out, and no data has arrived since it was sent.
        cancellations: The cancel commands written on it.
        receipts: The outstanding receipts.
        delay: Its round-trip times.
    """

    __slots__ = (
        "_carries_non_idempotent",
        "_connect_timer",
        "_context",
        "_on_closed",
        "_results",
        "abandoned_ids",
        "attempts",
        "cancellations",
        "delay",
        "engine",
        "health_checks",
        "last_received_ms",
        "last_used_ms",
        "messages",
        "opened_ms",
        "partial_reply_since_ms",
        "receipts",
        "superseded",
        "transport",
        "unresponsive",
    )

    def __init__(
        self,
        context: UpstreamContext,
        engine: str,
        transport: Connection,
        results: ResultCollector,
        outcomes: CancellationOutcomes,
        on_closed: Callable[[EngineConnection], None],
    ) -> None:
        now_ms = context.now_ms()
        self._context = context
        self._results = results
        self._on_closed = on_closed
        self.engine = engine
        self.transport = transport
        self.attempts: dict[str, Attempt] = {}
        self.messages: dict[str, Message] = {}
        self.health_checks: dict[str, HealthCheckHandler] = {}
        self.abandoned_ids: set[str] = set()
        self.last_used_ms = now_ms
        self.last_received_ms = now_ms
        self.opened_ms = 0.0
        self.superseded = False
        self.unresponsive = False
        self.cancellations = ConnectionCancellations(context, self, outcomes)
        self.receipts = ReceiptTracker(context, self)
        self.delay = ConnectionDelay()
        self.partial_reply_since_ms: float | None = None
        self._carries_non_idempotent: bool | None = None
        transport.on_connected = self._before_open
        transport.on_open = self._opened
        transport.on_data = self._process_input
        transport.on_closed = self._closed
        self._connect_timer = context.loop.call_later(
            context.settings.connect_timeout_ms, self._connect_timed_out
        )

    # -- Attempts

    def accepts(self, request_id: str, now_ms: float, non_idempotent: bool | None = None) -> bool:
        """Return whether a request may be sent on this connection.

        Args:
            request_id: The request; empty for a health check.
            now_ms: The time.
            non_idempotent: Whether the request may run only once; None for a health check.
        """
        # Idempotent requests may be ended by closing the connection, which would fail
        # non-idempotent ones that share it.
        if (
            self.attempts
            and non_idempotent is not None
            and self._carries_non_idempotent is not non_idempotent
        ):
            return False
        return (
            not self.superseded
            and not self.transport.output_held
            and len(self.attempts) < self._context.settings.max_attempts_per_connection
            and request_id not in self.attempts
            and request_id not in self.abandoned_ids
            and len(self.abandoned_ids) < MAX_ABANDONED_IDS
            and not self.unresponsive
            and not self.is_expiring(now_ms)
            and not self.transport.is_write_stalled()
        )

    def enqueue(self, attempt: Attempt, message: Message) -> None:
        """Queue an attempt's request."""
        request = attempt.request
        attempt.carrier = self
        if self.transport.state is OPEN:
            attempt.progress = SendProgress.NOT_WRITTEN
        else:
            attempt.progress = SendProgress.NOT_CONNECTED
        self.last_used_ms = self._context.now_ms()
        self._carries_non_idempotent = request.non_idempotent
        self.attempts[request.request_id] = attempt
        self.messages[request.request_id] = message
        self.transport.send(message)

    def release(self, attempt: Attempt) -> bool:
        """Detach an attempt; return whether its request was withdrawn before its first byte."""
        request_id = attempt.request.request_id
        if self.attempts.get(request_id) is not attempt:
            return False
        del self.attempts[request_id]
        # An attempt that was resumed after its cancel command has no message left.
        message = self.messages.pop(request_id, None)
        return message is not None and self.transport.withdraw(message)

    def resume(self, attempt: Attempt) -> None:
        """Accept replies again to an attempt that was given up."""
        request_id = attempt.request.request_id
        self.abandoned_ids.discard(request_id)
        self.attempts[request_id] = attempt

    def cancel(self, attempt: Attempt) -> None:
        """Write the cancel command once, and track its outcome."""
        request_id = attempt.request.request_id
        self.abandoned_ids.add(request_id)
        self.write(codec.cancel(request_id))
        self.receipts.check_after_cancel(attempt)
        self.cancellations.add(attempt)

    def release_result(self, attempt: Attempt) -> None:
        """Have the engine free the pages of a result that is no longer needed."""
        request_id = attempt.request.request_id
        self.abandoned_ids.add(request_id)
        self.write(codec.release_result(request_id))

    def ignore_replies(self, request_id: str) -> None:
        """Drop further replies to a request, and don't send it on this connection again.

        A second reply to this attempt must not be mistaken for a reply to the next attempt.
        """
        self.abandoned_ids.add(request_id)

    def request_receipt(self, attempt: Attempt) -> None:
        """Request proof that the engine has read an attempt's request."""
        self.receipts.request(attempt)

    def byte_location(self, attempt: Attempt) -> ByteLocation:
        """Return where the bytes of an attempt's request are."""
        if attempt.page_count:
            return ByteLocation.RESPONSE_STARTED
        if attempt.progress < SendProgress.PARTLY_WRITTEN:
            return ByteLocation.QUEUED
        if attempt.progress < SendProgress.FULLY_SENT:
            return ByteLocation.PARTLY_WRITTEN
        acknowledged_bytes = self.transport.sent_bytes - self.transport.unacknowledged_bytes()
        if acknowledged_bytes < attempt.end_offset:
            return ByteLocation.IN_KERNEL
        return ByteLocation.AT_ENGINE

    def write(self, command: bytes) -> None:
        """Queue one command; drop it if the connection is written no more."""
        if not self.transport.output_held:
            self.transport.send(RawMessage(command))

    def fetch_page(self, request_id: str, number: int) -> None:
        """Request a further page of a result; without it the result can't be completed."""
        if self.transport.output_held:
            self.transport.abort("a page can't be requested behind a partly written request")
            return
        self.write(codec.fetch_page(request_id, number))

    # -- State

    @property
    def is_exhausted(self) -> bool:
        """Return whether it accepts no new requests because too many were given up on it."""
        return len(self.abandoned_ids) >= MAX_ABANDONED_IDS

    def is_expiring(self, now_ms: float) -> bool:
        """Return whether the engine may be closing it as idle, so that a request could be lost."""
        keepalive_ms = self._context.settings.keepalive_ms
        return (
            not self.attempts
            and not self.health_checks
            and now_ms - self.last_used_ms > keepalive_ms - IDLE_MARGIN_MS
        )

    def has_no_other_non_idempotent(self, attempt: Attempt | None) -> bool:
        """Return whether a close ends no non-idempotent attempt but this one."""
        return all(
            other is attempt or not other.request.non_idempotent for other in self.attempts.values()
        )

    def can_close_as_unread(self, attempt: Attempt | None = None) -> bool:
        """Return whether the engine may have stopped reading and the connection can be closed.

        It can be closed where the close ends no non-idempotent attempt other than ``attempt``.
        """
        pending_since_ms = self.delay.pending_since_ms
        if pending_since_ms is None or self.last_received_ms >= pending_since_ms:
            return False
        if self._context.now_ms() - pending_since_ms < MAX_PING_SILENCE_MS:
            return False
        return self.has_no_other_non_idempotent(attempt)

    def record_round_trip(self, sent_ms: float) -> None:
        """Record that the answer to a command written at ``sent_ms`` has just arrived."""
        now_ms = self._context.now_ms()
        round_trip_ms = now_ms - sent_ms
        self._context.network_delays.observe(self.engine, now_ms, round_trip_ms)
        self.delay.probe_answered(now_ms, round_trip_ms)
        self.cancellations.mark_read_until(sent_ms)

    def close_if_idle(self) -> bool:
        """Close the connection if it carries nothing; return whether it was closed."""
        if self.attempts or self.health_checks:
            return False
        if self.transport.output_held:
            self.transport.abort("a request given up here is partly written")
        else:
            self.transport.close("idle")
        return True

    # -- Callbacks of the transport

    def _before_open(self) -> None:
        """Read the clients' input before the first byte is written: some may have disconnected."""
        for attempt in list(self.attempts.values()):
            read_client_input(self._context, attempt.request)

    def _opened(self) -> None:
        self._connect_timer.cancel()
        self.opened_ms = self._context.now_ms()
        for attempt in self.attempts.values():
            attempt.progress = max(attempt.progress, SendProgress.NOT_WRITTEN)

    def _connect_timed_out(self) -> None:
        self.transport.close("connect: timed out")

    def _process_input(self) -> None:
        """Process all replies that have arrived completely."""
        now_ms = self._context.now_ms()
        self.last_used_ms = now_ms
        self.last_received_ms = now_ms
        self.unresponsive = False
        inbound = self.transport.inbound
        while self.transport.state is OPEN:
            try:
                reply = codec.next_reply(inbound)
            except codec.MalformedReplyError as error:
                self._close_malformed(error)
                return
            if reply is None:
                if len(inbound) and self.partial_reply_since_ms is None:
                    self.partial_reply_since_ms = self.last_used_ms
                return
            self.partial_reply_since_ms = None
            attempt = self.attempts.get(reply.id)
            if attempt is not None:
                self._results.process_reply(self, attempt, reply)
            else:
                self._process_other_reply(reply)

    def _close_malformed(self, error: codec.MalformedReplyError) -> None:
        log.warning("malformed_reply engine=%s reason=%r", self.engine, error.reason)
        self.transport.close(f"malformed reply: {error.reason}")

    def _process_other_reply(self, reply: codec.Reply) -> None:
        """Process a reply to a health check, to a ping, or to a request that was given up."""
        health_check = self.health_checks.get(reply.id)
        if health_check is not None:
            health_check.end_with_reply(reply)
            return
        if self.cancellations.confirm(reply.id) or self.receipts.confirm(reply.id):
            return
        self.cancellations.process_late_reply(reply)

    def _closed(self, reason: str) -> None:
        self._connect_timer.cancel()
        self._on_closed(self)
        if log.isEnabledFor(logging.DEBUG):
            log.debug(
                "engine_connection_closed engine=%s reason=%r requests=%s",
                self.engine,
                reason,
                ",".join(self.attempts),
            )
        for attempt in list(self.attempts.values()):
            failure = AttemptFailure(attempt.progress, reason, len(attempt.pages))
            self._context.registry.fail_attempt(attempt, failure)
        self.cancellations.on_closed()
        for health_check in list(self.health_checks.values()):
            health_check.end_by_disconnect()
