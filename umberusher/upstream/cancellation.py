"""Tracks the cancel commands of each connection until their outcomes are known.

Engines don't answer a cancel command, but they process the commands of a connection in order: the
answer to a ping that was written after it proves that the engine has read it.
"""

from __future__ import annotations

from umberusher.deadlines import cancels
from umberusher.deadlines.cancels import CancelOutcome, PendingCancel, PendingCancels
from umberusher.decisions.events import AttemptOutcome
from umberusher.net.connection import CLOSED
from umberusher.pipeline.request import Attempt
from umberusher.pipeline.request_registry import RequestRegistry
from umberusher.protocol import engine as codec
from umberusher.protocol.engine import ReplyKind
from umberusher.upstream.channel import EngineChannel
from umberusher.upstream.context import UpstreamContext
from umberusher.upstream.result_collector import ResultCollector

_ATTEMPT_OUTCOMES = {
    CancelOutcome.OVERTOOK: AttemptOutcome.SUCCEEDED,
    CancelOutcome.ERROR: AttemptOutcome.ERROR,
}


def record_abandoned_work(registry: RequestRegistry, attempt: Attempt, stopped: bool) -> None:
    """Account for work that an engine does, or has done, for a client that disconnected.

    Args:
        registry: Has the account in which the work is recorded.
        attempt: The attempt that was cancelled.
        stopped: Whether the engine has stopped the work.
    """
    if not attempt.request.is_open:
        registry.record_wasted_work(attempt, stopped)


class CancellationOutcomes:
    """Ends attempts by the outcomes of their cancel commands."""

    __slots__ = ("_registry", "_results")

    def __init__(self, registry: RequestRegistry, results: ResultCollector) -> None:
        self._registry = registry
        self._results = results

    def settle(
        self,
        channel: EngineChannel,
        cancel: PendingCancel[Attempt],
        outcome: CancelOutcome,
        reply: codec.Reply | None = None,
    ) -> None:
        """End a cancelled attempt, or process its result where the client still waits.

        Args:
            channel: The connection that carried the attempt.
            cancel: The command whose outcome is known.
            outcome: The outcome.
            reply: The late reply that showed the outcome, if any.
        """
        attempt = cancel.owner
        self._registry.account.cancel_outcomes[outcome.name] += 1
        if outcome is CancelOutcome.OVERTOOK and reply is not None:
            if self._is_wanted(attempt):
                attempt.cancel_pending = False
                channel.resume(attempt)
                self._results.process_reply(channel, attempt, reply)
                return
            if codec.has_further_pages(reply):
                channel.write(codec.release_result(cancel.request_id))
        if attempt.ended:
            return
        if outcome is not CancelOutcome.NEVER_RAN:
            was_stopped = outcome is CancelOutcome.CANCELLED
            record_abandoned_work(self._registry, attempt, stopped=was_stopped)
        report = codec.report(reply.fields) if reply else None
        self._registry.end_attempt(attempt, self._outcome(channel, outcome, reply), report)

    @staticmethod
    def _is_wanted(attempt: Attempt) -> bool:
        """Return whether the client still waits and the attempt has not ended."""
        return attempt.cancel_pending and not attempt.ended and attempt.request.is_open

    @staticmethod
    def _outcome(
        channel: EngineChannel, outcome: CancelOutcome, reply: codec.Reply | None
    ) -> AttemptOutcome:
        if outcome is CancelOutcome.NEVER_RAN:
            was_overloaded = reply is not None and reply.kind is ReplyKind.OVERLOADED
            return AttemptOutcome.OVERLOADED if was_overloaded else AttemptOutcome.WITHDRAWN
        if outcome is CancelOutcome.UNKNOWN and channel.transport.state is CLOSED:
            return AttemptOutcome.RESET
        return _ATTEMPT_OUTCOMES.get(outcome, AttemptOutcome.CANCELLED)


class ConfirmationPing:
    """A pending ping that was written after cancel commands."""

    __slots__ = ("sent_ms", "tag")

    def __init__(self, tag: str, sent_ms: float) -> None:
        self.tag = tag
        self.sent_ms = sent_ms


class ConnectionCancellations:
    """The cancel commands of one connection.

    Attributes:
        unresolved_since_ms: When the oldest command was written that the engine may not have read;
            None where it has read all of them.
    """

    __slots__ = (
        "_channel",
        "_confirmation",
        "_context",
        "_outcomes",
        "_pending",
        "unresolved_since_ms",
    )

    def __init__(
        self, context: UpstreamContext, channel: EngineChannel, outcomes: CancellationOutcomes
    ) -> None:
        self._context = context
        self._channel = channel
        self._outcomes = outcomes
        self._pending: PendingCancels[Attempt] = PendingCancels(context.settings.health_checks)
        self._confirmation: ConfirmationPing | None = None
        self.unresolved_since_ms: float | None = None

    def add(self, attempt: Attempt) -> None:
        """Track a cancel command that was just written until its outcome is known."""
        now_ms = self._context.now_ms()
        if self.unresolved_since_ms is None:
            self.unresolved_since_ms = now_ms
        if not self._context.settings.cancellation:
            return
        if len(self._pending.pending) >= cancels.MAX_PENDING_CANCELS:
            return
        request_id = attempt.request.request_id
        if self._pending.add(request_id, now_ms, attempt):
            self._write_ping()
        self._context.loop.call_later(cancels.CANCEL_TIMEOUT_MS, lambda: self._time_out(request_id))

    def _write_ping(self) -> None:
        now_ms = self._context.now_ms()
        tag = f"h{next(self._context.tags)}"
        self._confirmation = ConfirmationPing(tag, now_ms)
        self._channel.delay.probe_sent(now_ms)
        self._channel.write(codec.ping(tag))

    def confirm(self, tag: str) -> bool:
        """Process the answer to the pending ping; return False where the tag is another.

        After it no late reply can arrive to a request that was cancelled before the ping.
        """
        confirmation = self._confirmation
        if confirmation is None or confirmation.tag != tag:
            return False
        self._confirmation = None
        self._channel.record_round_trip(confirmation.sent_ms)
        confirmed, ping_again = self._pending.confirm_probed()
        if ping_again:
            self._write_ping()
        for cancel in confirmed:
            self._channel.abandoned_ids.discard(cancel.request_id)
            self._outcomes.settle(self._channel, cancel, CancelOutcome.CANCELLED)
        return True

    def mark_read_until(self, sent_ms: float) -> None:
        """Record that the engine has read everything that was written before this time."""
        if self.unresolved_since_ms is not None and sent_ms >= self.unresolved_since_ms:
            self.unresolved_since_ms = None

    def process_late_reply(self, reply: codec.Reply) -> None:
        """Process a reply to a request that was given up here."""
        resolved = self._pending.resolve(reply.id, reply.kind)
        if resolved is not None:
            cancel, outcome = resolved
            self._outcomes.settle(self._channel, cancel, outcome, reply)
            return
        is_abandoned_result = (
            reply.kind is ReplyKind.RESULT and reply.id in self._channel.abandoned_ids
        )
        if is_abandoned_result and codec.has_further_pages(reply):
            # Otherwise the engine would keep pages that are never fetched.
            self._channel.write(codec.release_result(reply.id))

    def _time_out(self, request_id: str) -> None:
        cancel = self._pending.pop_overdue(request_id, self._context.now_ms())
        if cancel is not None:
            self._outcomes.settle(self._channel, cancel, CancelOutcome.UNKNOWN)

    def on_closed(self) -> None:
        """Settle all pending commands as unknown: a closed connection brings no more replies."""
        for cancel in self._pending.pop_all():
            self._outcomes.settle(self._channel, cancel, CancelOutcome.UNKNOWN)
