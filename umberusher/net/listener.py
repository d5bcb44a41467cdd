"""Accepting connections from one listening socket."""

from __future__ import annotations

import errno
import logging
import math
import socket
from collections.abc import Callable

from umberusher.net.loop import READ, Coroutine, Loop, Wait
from umberusher.net.system_errors import ErrorClass, classify_accept_error

log = logging.getLogger(__name__)

# How long a listener accepts nothing once descriptors or another resource have run out.
SHORTAGE_PAUSE_MS = 20.0
# Failures and batches after which a listener that closes gives up on what is still pending.
MAX_FINAL_BATCHES = 64


class Listener:
    """Accepts connections in batches, so that open connections are served in between.

    Attributes:
        sock: The listening socket.
        paused: Whether nothing is accepted.
        backlog_since_s: The connections that are accepted now were established after this time of
            the loop.
        shortage_since_s: When accepting failed for a shortage; pending connections may have waited
            since then. None once all of them were accepted.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        batch_size: int,
        on_accepted: Callable[[socket.socket], None],
        on_descriptors_exhausted: Callable[[], object],
    ) -> None:
        """Create a paused listener.

        Args:
            loop: The event loop.
            sock: The listening socket, owned from now on.
            batch_size: Connections accepted at once.
            on_accepted: Called with each accepted socket.
            on_descriptors_exhausted: Called when this process may open no descriptor for a pending
                connection.
        """
        self.sock = sock
        self.paused = True
        self.backlog_since_s = -math.inf
        self.shortage_since_s: float | None = None
        # Connections may have been pending since then, when the loop made this poll.
        self._unaccepted_since_s = -math.inf
        self._unaccepted_at_poll = 0
        self._loop = loop
        self._batch_size = batch_size
        self._on_accepted = on_accepted
        self._on_descriptors_exhausted = on_descriptors_exhausted
        sock.setblocking(False)

    def set_paused(self, paused: bool) -> None:
        """Pause or resume accepting.

        The socket stays open, since another process may share its queue.
        """
        if paused is self.paused:
            return
        self.paused = paused
        if paused:
            self._unaccepted_since_s = self._pending_since_s()
            self._loop.unregister(self.sock.fileno())
        else:
            self._unaccepted_at_poll = self._loop.poll_count
            self._loop.spawn(self._accept())

    def _pending_since_s(self) -> float:
        """Return the time after which all pending connections were established."""
        # A later poll would have reported connections that were pending then.
        if self._loop.poll_count <= self._unaccepted_at_poll + 1:
            return min(self._unaccepted_since_s, self._loop.previous_poll_s)
        return self._loop.previous_poll_s

    def _accept(self) -> Coroutine:
        events = READ
        while True:
            yield Wait(self.sock.fileno(), events)
            if self._accept_batch() in (None, ErrorClass.NOTHING_READY):
                events = READ
            else:
                # In a shortage, the listener neither busy-loops nor stops for good.
                events = 0
                self._loop.call_later(SHORTAGE_PAUSE_MS, self._resume)

    def _accept_batch(self) -> ErrorClass | None:
        """Accept pending connections, up to a batch.

        Returns:
            The failure that has ended the batch; None after a full one.
        """
        self.backlog_since_s = self._pending_since_s()
        for _ in range(self._batch_size):
            try:
                accepted, _address = self.sock.accept()
            except OSError as error:
                failure = classify_accept_error(error.errno)
                if failure is ErrorClass.NOTHING_READY:
                    self.shortage_since_s = None
                    return failure
                reason = errno.errorcode.get(error.errno or 0, error.errno)
                log.warning("accept_failed error=%s class=%r", reason, failure.value)
                if failure is ErrorClass.CONNECTION_GONE:
                    continue
                if failure is ErrorClass.DESCRIPTORS_EXHAUSTED:
                    self._on_descriptors_exhausted()
                self._keep_backlog()
                if self.shortage_since_s is None:
                    self.shortage_since_s = self._loop.clock()
                return failure
            try:
                self._on_accepted(accepted)
            except Exception:
                # A fault in setting up one connection must not stop the listener for all others.
                log.exception("connection_setup_failed")
                accepted.close()
        self._keep_backlog()
        return None

    def _keep_backlog(self) -> None:
        """Record that further connections may be pending."""
        self._unaccepted_since_s = self.backlog_since_s
        self._unaccepted_at_poll = self._loop.poll_count

    def _resume(self) -> None:
        if not self.paused:
            self._unaccepted_at_poll = self._loop.poll_count
            self._loop.watch(self.sock.fileno(), READ)

    def accept_pending_and_close(self) -> None:
        """Accept the pending connections, then close the socket."""
        if not self.paused:
            for _ in range(MAX_FINAL_BATCHES):
                if self._accept_batch() is ErrorClass.NOTHING_READY:
                    break
        self.close()

    def close(self) -> None:
        """Close the socket."""
        self.set_paused(True)
        self.sock.close()
