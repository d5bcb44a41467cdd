"""Transfer of clients' connections from a process that shuts down to its successor.

The calls that are open on a connection stay with the process that admitted them. It sends their
answers through the process that has the connection, which reports disconnects of the clients.
"""

from __future__ import annotations

import itertools
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING

from umberusher.hot_restart.channel import DescriptorChannel
from umberusher.hot_restart.messages import CallAnswer, CallDisconnect, ClientPacket
from umberusher.net.loop import Loop

if TYPE_CHECKING:
    from umberusher.hot_restart.interfaces import AdoptClient, Message, TransferableClient


class ClientTransfer:
    """The connections that were handed over on one link, in the process at either end.

    Attributes:
        channel: The channel that carries connections; None if the peer passed none.
    """

    __slots__ = ("_adopt_client", "_clients", "_numbers", "_send", "channel")

    def __init__(
        self,
        loop: Loop,
        channel: socket.socket | None,
        send: Callable[[Message], None],
        adopt_client: AdoptClient | None,
    ) -> None:
        """Create the transfer.

        Args:
            loop: The event loop.
            channel: This process's end of the descriptor channel.
            send: Sends a message to the peer.
            adopt_client: How to adopt a received connection; None in the predecessor.
        """
        self._send = send
        self._adopt_client = adopt_client
        self._clients: dict[int, TransferableClient] = {}
        self._numbers = itertools.count(1)
        self.channel: DescriptorChannel | None = None
        if channel is not None:
            on_packet = None if adopt_client is None else self._adopt
            self.channel = DescriptorChannel(loop, channel, on_packet)

    @property
    def is_possible(self) -> bool:
        """Whether connections can be handed over."""
        return self.channel is not None and self.channel.is_open

    def hand_over(self, client: TransferableClient) -> bool:
        """Pass a client's connection to the successor; return False if that fails now."""
        number = next(self._numbers)
        packet = ClientPacket(number, list(client.open_calls)).encode()
        if self.channel is None or not self.channel.send(packet, client.connection.fd):
            return False
        self._clients[number] = client
        client.hand_over(
            lambda sequence_id, frame: self._send(CallAnswer(number, sequence_id, frame))
        )
        return True

    def _adopt(self, packet: bytes, sock: socket.socket) -> None:
        """Adopt a received connection."""
        received = ClientPacket.decode(packet)
        number = received.client_number
        if self._adopt_client is not None:
            self._clients[number] = self._adopt_client(
                sock,
                received.open_sequence_ids,
                lambda sequence_id: self._send(CallDisconnect(number, sequence_id)),
            )

    def _adopt_pending(self) -> None:
        if self.channel is not None and self._adopt_client is not None:
            self.channel.receive_pending()

    def on_answer(self, answer: CallAnswer) -> None:
        """Write an answer of the predecessor to the client that awaits it."""
        # The connection was sent before its answer, on the other socket.
        self._adopt_pending()
        client = self._clients.get(answer.client_number)
        if client is not None:
            client.answer(answer.sequence_id, answer.frame)

    def on_disconnect(self, disconnect: CallDisconnect) -> None:
        """End a call whose client has disconnected from the successor."""
        client = self._clients.get(disconnect.client_number)
        if client is not None:
            client.disconnect_call(disconnect.sequence_id)

    def on_link_closed(self) -> None:
        """End the calls that can't continue without the other process."""
        if self._adopt_client is not None:
            self._adopt_pending()
            for client in self._clients.values():
                client.fail_handed_over_calls()
        else:
            # The clients' connections have ended with the successor.
            for client in self._clients.values():
                client.on_successor_lost()
        self.close_channel()

    def close_channel(self) -> None:
        """Close the channel."""
        if self.channel is not None:
            self.channel.close()
