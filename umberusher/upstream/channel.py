"""Interfaces between an engine connection and the attempts and health checks that it carries."""

from __future__ import annotations

from typing import Protocol

from umberusher.deadlines.network_delay import ConnectionDelay
from umberusher.net.connection import Connection
from umberusher.pipeline.request import Attempt
from umberusher.protocol import engine as codec


class EngineChannel(Protocol):
    """One connection to an engine, as seen by the classes that track what was written on it.

    Attributes:
        engine: The engine's id.
        transport: The socket, with its buffers.
        abandoned_ids: Requests that were given up here; late replies to them may still arrive.
        delay: Round trips of this connection.
    """

    engine: str
    transport: Connection
    abandoned_ids: set[str]
    delay: ConnectionDelay

    def write(self, command: bytes) -> None:
        """Queue one command."""

    def fetch_page(self, request_id: str, number: int) -> None:
        """Request a further page of a result."""

    def record_round_trip(self, sent_ms: float) -> None:
        """Record that the answer to a command written at ``sent_ms`` has just arrived."""

    def has_no_other_non_idempotent(self, attempt: Attempt | None) -> bool:
        """Return whether a close ends no non-idempotent attempt but this one."""

    def release(self, attempt: Attempt) -> bool:
        """Detach an attempt; return whether its request was withdrawn before its first byte."""

    def ignore_replies(self, request_id: str) -> None:
        """Drop further replies to a request, and don't send it on this connection again."""

    def resume(self, attempt: Attempt) -> None:
        """Accept replies again to an attempt that was given up."""

    def request_receipt(self, attempt: Attempt) -> None:
        """Request proof that the engine has read an attempt's request."""


class HealthCheckHandler(Protocol):
    """A pending health check on a connection."""

    def end_with_reply(self, reply: codec.Reply) -> None:
        """End the health check with the engine's answer."""

    def end_by_disconnect(self) -> None:
        """End the health check because its connection has closed."""
