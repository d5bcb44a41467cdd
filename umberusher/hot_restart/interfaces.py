"""Interfaces between the modules of hot restart, and between them and the broker.

Only type checkers import this module: the protocols would occupy memory in each broker.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable
from typing import Protocol

from umberusher.hot_restart.key_ownership import KeyOwnership
from umberusher.hot_restart.messages import Greeting, JsonObject, ResourceUsage
from umberusher.hot_restart.peer import Peer
from umberusher.hot_restart.request_ids import RequestIds
from umberusher.protocol.discovery import WatchEvent


class Message(Protocol):
    """A message that fits into one short line."""

    def to_json(self) -> JsonObject:
        """Return the object that is written as one line."""


class Descriptor(Protocol):
    """A connection that has a descriptor."""

    fd: int


class TransferableClient(Protocol):
    """The part of a client's connection that hot restart uses."""

    @property
    def connection(self) -> Descriptor:
        """The connection whose descriptor is passed on."""

    @property
    def open_calls(self) -> Iterable[int]:
        """Sequence ids of the calls that await an answer."""

    @property
    def can_be_handed_over(self) -> bool:
        """Whether no byte is in flight here, so that another process can continue reading."""

    def hand_over(self, forward_answer: Callable[[int, bytes], None]) -> None:
        """Release the connection; pass answers of its open calls to ``forward_answer``."""

    def answer(self, sequence_id: int, frame: bytes) -> None:
        """Write the answer of an open call."""

    def disconnect_call(self, sequence_id: int) -> None:
        """End a call for which the client no longer waits."""

    def fail_handed_over_calls(self) -> None:
        """Fail the calls that the predecessor would answer: it has ended."""

    def on_successor_lost(self) -> None:
        """Treat the client as disconnected: the successor with its connection has ended."""


AdoptClient = Callable[[socket.socket, list[int], Callable[[int], None]], TransferableClient]
"""Adopts a connection with its open calls; the function is called if a client abandons a call."""


class RestartHost(Protocol):
    """The part of the broker that hot restart uses.

    Attributes:
        key_ownership: Which process may run requests of an order key.
        request_ids: Which process may run a non-idempotent request of an id.
    """

    key_ownership: KeyOwnership
    request_ids: RequestIds

    @property
    def listening_socket(self) -> socket.socket | None:
        """The clients' listening socket, which is sent to a successor; None if it is closed."""

    @property
    def endpoint_revision(self) -> int:
        """The revision of the endpoint list."""

    @property
    def clients(self) -> Iterable[TransferableClient]:
        """The clients' connections of this process."""

    def greeting(self) -> Greeting:
        """Return the state for a successor besides the endpoint list."""

    def endpoint_list(self) -> Iterable[str]:
        """Return the whole endpoint list as pieces of JSON."""

    def resource_usage(self) -> ResourceUsage:
        """Return this process's usage of the limits that the broker's processes share."""

    def changed_team_budgets(self) -> JsonObject:
        """Return how the teams' budgets have changed since the greeting; empty if unchanged."""

    def apply_watch_event(self, event: WatchEvent) -> None:
        """Apply a watch event of the peer."""

    def apply_manual_drain(self, engine: str, since_unix_ms: float | None) -> None:
        """Start or end a manual drain that the peer has started or ended."""

    def apply_team_budgets(self, state: JsonObject) -> None:
        """Apply the peer's state of the teams' budgets."""

    def adopt_client(
        self, sock: socket.socket, open_calls: list[int], on_disconnect: Callable[[int], None]
    ) -> TransferableClient:
        """Adopt a client's connection from the peer, which still answers the open calls."""

    def stop_accepting(self) -> None:
        """Stop accepting clients: the successor accepts them."""

    def resume_accepting(self) -> bool:
        """Accept clients again unless shutdown was requested; return whether they are accepted."""


class PeerObserver(Protocol):
    """The owner of the peers of this process.

    Attributes:
        update_source: The peer whose message is being applied; it need not be sent the change.
    """

    update_source: Peer | None

    def on_successor_ready(self) -> None:
        """Called once a successor accepts clients."""

    def on_peer_closed(self, peer: Peer) -> None:
        """Called once a link has closed."""
