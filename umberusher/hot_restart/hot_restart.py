"""Hot restart: an old process and its successor act as one broker, linked by a Unix socket.

The predecessor sends one byte that carries the clients' listener and one end of a channel, then its
greeting; after that each side sends messages (``messages.py``). While the predecessor shuts down,
each packet of the channel carries one client's connection. No fault here may interrupt service:
each is reported as one log line.
"""

from __future__ import annotations

import logging
import socket
from typing import TYPE_CHECKING

from umberusher.hot_restart.messages import (
    MESSAGE_VERSION,
    ManualDrainChange,
    ResourceUsage,
    SuccessorReady,
    VersionAnnouncement,
)
from umberusher.hot_restart.peer import ID_CLAIMS_VERSION, KEY_CLAIMS_VERSION, Peer
from umberusher.hot_restart.predecessor import MAX_PEERS, HandoverListener
from umberusher.hot_restart.successor import MESSAGE_TO_LIST_RATIO, HandoverState
from umberusher.net.loop import Loop
from umberusher.protocol.discovery import DEFAULT_MAX_ANSWER_BYTES, WatchEvent

if TYPE_CHECKING:
    from umberusher.hot_restart.interfaces import RestartHost

log = logging.getLogger(__name__)

GREETING_BYTE = b"L"
"""Carries the descriptors: a stream socket passes none without a byte."""


class HotRestart:
    """The links to the other processes of this broker.

    Attributes:
        listener: Accepts successors.
        peers: The other processes.
        update_source: The peer whose message is being applied; it need not be sent the change.
    """

    __slots__ = ("_host", "_loop", "_max_message_bytes", "listener", "peers", "update_source")

    def __init__(
        self,
        loop: Loop,
        path: str | None,
        host: RestartHost,
        max_list_bytes: int = DEFAULT_MAX_ANSWER_BYTES,
    ) -> None:
        self._loop = loop
        self._host = host
        self._max_message_bytes = MESSAGE_TO_LIST_RATIO * max_list_bytes
        self.listener = HandoverListener(loop, path, self._greet)
        self.peers: list[Peer] = []
        self.update_source: Peer | None = None

    # -- In the predecessor

    def listen(self) -> None:
        """Listen for a successor."""
        self.listener.open()

    def _greet(self, link: socket.socket) -> None:
        """Send the listener and the state to a successor that has connected."""
        listening_socket = self._host.listening_socket
        if listening_socket is None or len(self.peers) >= MAX_PEERS:
            link.close()
            return
        try:
            own_end, peer_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            with peer_end:
                descriptors = [listening_socket.fileno(), peer_end.fileno()]
                socket.send_fds(link, [GREETING_BYTE], descriptors)
        except OSError as error:
            log.warning("hot_restart_greeting_failed reason=%s", error)
            link.close()
            return
        log.info("hot_restart_successor_connected")
        peer = self._add_peer(link, own_end, is_successor=True)
        peer.send_greeting(self._host.greeting())
        self._host.request_ids.add_successor(peer)

    def on_successor_ready(self) -> None:
        """Stop accepting: the successor accepts, and its own socket is at the path now."""
        self.listener.close()
        self._host.stop_accepting()

    def hand_over_clients(self) -> bool:
        """Hand over each connection in which no byte is in flight.

        Returns:
            Whether there is a successor that accepts connections.
        """
        for peer in self.peers:
            if peer.is_ready and peer.transfer.is_possible:
                self._hand_over_clients_to(peer)
                return True
        return False

    def _hand_over_clients_to(self, peer: Peer) -> None:
        movable = [client for client in self._host.clients if client.can_be_handed_over]
        for client in movable:
            if not peer.transfer.hand_over(client):
                break

    # -- In the successor

    def join(self, handover: HandoverState) -> None:
        """Add the link to the process that has served until now."""
        peer = self._add_peer(handover.link, handover.channel, is_successor=False)
        peer.link.receive(handover.data_after_greeting)
        peer.version = max(peer.version, handover.greeting.version)
        peer.send(VersionAnnouncement(MESSAGE_VERSION))
        if peer.version >= KEY_CLAIMS_VERSION:
            self._host.key_ownership.owner = peer
        if peer.version >= ID_CLAIMS_VERSION:
            self._host.request_ids.owner = peer

    def announce_ready(self) -> None:
        """Notify the predecessor that this process accepts clients from now on."""
        self.listen()
        for peer in list(self.peers):
            if not peer.is_successor:
                peer.send(SuccessorReady())

    # -- In both

    def _add_peer(
        self, link: socket.socket, channel: socket.socket | None, is_successor: bool
    ) -> Peer:
        peer = Peer(
            self._loop, link, channel, is_successor, self._max_message_bytes, self._host, self
        )
        self.peers.append(peer)
        self._loop.spawn(peer.link.connection.serve())
        return peer

    def on_peer_closed(self, peer: Peer) -> None:
        """Resume accepting if no successor remains, unless this process shuts down."""
        self.peers.remove(peer)
        key_ownership = self._host.key_ownership
        if key_ownership.owner is peer:
            key_ownership.on_owner_closed()
        key_ownership.on_borrower_closed(peer)
        request_ids = self._host.request_ids
        if request_ids.owner is peer:
            request_ids.on_owner_closed()
        request_ids.on_successor_closed(peer)
        if peer.is_ready and not self.successor_is_ready and self._host.resume_accepting():
            self.listen()

    @property
    def successor_is_ready(self) -> bool:
        """Whether a successor accepts in this process's place."""
        return any(peer.is_ready for peer in self.peers)

    @property
    def is_flushed(self) -> bool:
        """Whether the kernel has accepted all messages that were sent to peers."""
        return all(peer.link.is_flushed and not peer.snapshot_is_due for peer in self.peers)

    def publish_manual_drain(self, engine: str, since_unix_ms: float | None) -> None:
        """Send the beginning or the end of a manual drain to all peers but its source.

        Prevents an echo: two changes that cross would be sent back and forth forever.
        """
        for peer in list(self.peers):
            if peer is not self.update_source:
                peer.send(ManualDrainChange(engine, since_unix_ms))

    def publish_watch_event(self, event: WatchEvent, follows: int) -> None:
        """Send a watch event that was applied to the list of revision ``follows``.

        Prevents a process from missing drains: a discovery service that has moved or no longer
        responds to one process may still notify another.
        """
        for peer in list(self.peers):
            if peer is not self.update_source:
                peer.send_endpoint_change(event, follows)

    def usage_of_peers(self) -> ResourceUsage:
        """Return the resource usage of all other processes of this broker."""
        return sum((peer.usage for peer in self.peers), ResourceUsage())

    def publish_usage(self) -> None:
        """Send each peer the whole list if it is due, and the usage of all processes but itself."""
        own_usage = self._host.resource_usage()
        for peer in list(self.peers):
            peer.send_due_snapshot()
            others = [other.usage for other in self.peers if other is not peer]
            peer.send_usage(sum(others, own_usage))

    def close(self) -> None:
        """Close all links; the path is removed only if it is still this process's own."""
        self.listener.close_and_remove_path()
        for peer in list(self.peers):
            peer.link.close_silently("the broker shuts down")
            peer.transfer.close_channel()
