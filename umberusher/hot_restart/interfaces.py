"""What the parts of hot restart need of each other and of the broker.

Type checkers alone import this module: a protocol holds memory, in each broker from its start on.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable
from typing import Protocol

from umberusher.hot_restart.messages import Greeting, JsonObject, ResourceUsage
from umberusher.hot_restart.peer import Peer
from umberusher.protocol.discovery import WatchEvent


class Message(Protocol):
    """A message that fits into one short line."""

    def to_json(self) -> JsonObject:
        """Return the object that is written as one line."""


class Descriptor(Protocol):
    """A connection that has a descriptor."""

    fd: int


class TransferableClient(Protocol):
    """A client's connection as hot restart sees it."""

    @property
    def connection(self) -> Descriptor:
        """The connection whose descriptor is passed on."""

    @property
    def open_calls(self) -> Iterable[int]:
        """Sequence ids of the calls that await an answer."""

    @property
    def can_be_handed_over(self) -> bool:
        """Whether no byte is in flight here, so that another process can read on."""

    def hand_over(self, forward_answer: Callable[[int, bytes], None]) -> None:
        """Let go of the connection; pass answers of its open calls to ``forward_answer``."""

    def answer(self, sequence_id: int, frame: bytes) -> None:
        """Write the answer of an open call."""

    def disconnect_call(self, sequence_id: int) -> None:
        """Note that the client waits no longer for a call."""

    def fail_handed_over_calls(self) -> None:
        """Fail the calls that the other process held; it has ended."""

    def on_successor_lost(self) -> None:
        """Note that the process with the connection has ended: the client is gone."""


AdoptClient = Callable[[socket.socket, list[int], Callable[[int], None]], TransferableClient]
"""Adopts a connection with its open calls, given what to call when a client leaves one."""


class RestartHost(Protocol):
    """The broker, as its predecessor and its successor see it."""

    @property
    def listening_socket(self) -> socket.socket | None:
        """The socket that a successor is given; None where this process has none."""

    @property
    def endpoint_revision(self) -> int:
        """The revision of the endpoint list."""

    @property
    def clients(self) -> Iterable[TransferableClient]:
        """The clients' connections of this process."""

    def greeting(self) -> Greeting:
        """Return what a successor is given besides the endpoint list."""

    def endpoint_list(self) -> Iterable[str]:
        """Return the whole endpoint list as pieces of JSON."""

    def resource_usage(self) -> ResourceUsage:
        """Return what this process holds of the joint limits."""

    def changed_team_budgets(self) -> JsonObject:
        """Return how the teams' budgets have changed since the greeting; empty where not."""

    def apply_watch_event(self, event: WatchEvent) -> None:
        """Apply a watch event of the peer."""

    def apply_manual_drain(self, engine: str, since_unix_ms: float | None) -> None:
        """Begin or end a manual drain, as the peer has."""

    def apply_team_budgets(self, state: JsonObject) -> None:
        """Take the peer's state of the teams' budgets."""

    def adopt_client(
        self, sock: socket.socket, open_calls: list[int], on_disconnect: Callable[[int], None]
    ) -> TransferableClient:
        """Take over a client's connection from the peer, which answers these calls."""

    def stop_accepting(self) -> None:
        """Leave accepting clients to a successor."""

    def resume_accepting(self) -> bool:
        """Accept clients again, unless this process shuts down; return whether it does."""


class PeerObserver(Protocol):
    """Who keeps the peers of this process.

    Attributes:
        update_source: The peer whose message is being applied; it need not be sent the change.
    """

    update_source: Peer | None

    def on_successor_ready(self) -> None:
        """Note that a successor accepts clients from now on."""

    def on_peer_closed(self, peer: Peer) -> None:
        """Note that a link has closed."""
