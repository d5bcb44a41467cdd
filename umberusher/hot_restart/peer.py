"""The link to another process of this broker: applies its messages and sends local changes."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from umberusher.hot_restart import messages
from umberusher.hot_restart.channel import MessageLink
from umberusher.hot_restart.client_transfer import ClientTransfer
from umberusher.hot_restart.messages import (
    CallAnswer,
    CallDisconnect,
    EndpointChange,
    EndpointSnapshot,
    Greeting,
    IdClaim,
    IdClaimAnswer,
    IdReport,
    KeyClaim,
    KeyClaimAnswer,
    KeyRelease,
    ManualDrainChange,
    ReceivedMessage,
    ResourceUsage,
    SnapshotRequest,
    SuccessorReady,
    TeamBudgets,
    UsageReport,
    VersionAnnouncement,
)
from umberusher.net.loop import Loop
from umberusher.protocol.discovery import WatchEvent, watch_events

if TYPE_CHECKING:
    from umberusher.hot_restart.interfaces import Message, PeerObserver, RestartHost

log = logging.getLogger(__name__)

CHANGES_VERSION = 2
"""The first version of the messages that has single endpoint changes."""

KEY_CLAIMS_VERSION = 3
"""The first version of the messages that has claims on order keys."""


ID_CLAIMS_VERSION = 4
"""The first version of the messages that has claims on request ids."""


class Peer:
    """Another process of this broker.

    Attributes:
        is_successor: Whether it started after this process, or before.
        is_ready: Whether it accepts clients in this process's place.
        version: The newest version of the messages that it reads.
        snapshot_is_due: Whether it must still be sent the whole list. That waits until the kernel
            has accepted all earlier messages: otherwise megabytes of outdated lists would queue up
            for a slow peer.
        usage: The usage of the shared limits that it reported.
        reported_usage: The usage that it was last sent.
    """

    __slots__ = (
        "_host",
        "_observer",
        "_snapshot_requested",
        "is_ready",
        "is_successor",
        "link",
        "reported_usage",
        "snapshot_is_due",
        "transfer",
        "usage",
        "version",
    )

    def __init__(
        self,
        loop: Loop,
        link: socket.socket,
        channel: socket.socket | None,
        is_successor: bool,
        max_message_bytes: int,
        host: RestartHost,
        observer: PeerObserver,
    ) -> None:
        self._host = host
        self._observer = observer
        self._snapshot_requested = False
        self.is_successor = is_successor
        self.is_ready = False
        self.version = messages.FIRST_VERSION
        self.snapshot_is_due = False
        self.usage = ResourceUsage()
        self.reported_usage: ResourceUsage | None = None
        self.link = MessageLink(loop, link, max_message_bytes, self._on_line, self._on_closed)
        adopt_client = None if is_successor else host.adopt_client
        self.transfer = ClientTransfer(loop, channel, self.send, adopt_client)

    # -- Sending

    def send(self, message: Message) -> None:
        """Send one message."""
        self.link.send(messages.encode(message))

    def send_greeting(self, greeting: Greeting) -> None:
        """Send a successor the state that it needs before it can accept clients."""
        self.link.send_in_pieces(messages.encode_greeting(greeting, self._host.endpoint_list()))

    def send_endpoint_change(self, event: WatchEvent, follows: int) -> None:
        """Send a watch event that was applied here to the list of revision ``follows``."""
        if self.snapshot_is_due:
            return
        if self.version < CHANGES_VERSION or event.complete or self.link.is_congested:
            self.request_snapshot()
            return
        self.link.send_in_pieces(messages.encode_endpoint_change(event, follows))

    def request_snapshot(self) -> None:
        """Send the whole list now, or once all earlier messages are written."""
        self.snapshot_is_due = True
        self.send_due_snapshot()

    def send_due_snapshot(self) -> None:
        """Send the whole list if it is due and no earlier message is pending."""
        if self.snapshot_is_due and self.link.is_flushed:
            self.snapshot_is_due = False
            endpoint_list = self._host.endpoint_list()
            self.link.send_in_pieces(messages.encode_endpoint_snapshot(endpoint_list))

    def send_usage(self, usage: ResourceUsage) -> None:
        """Report the usage of this process and its other peers, if it has changed."""
        if usage != self.reported_usage:
            self.reported_usage = usage
            self.send(UsageReport(usage))

    # -- Receiving

    def _on_line(self, line: bytearray) -> None:
        """Apply the messages of one line.

        A peer of another version, or one that malfunctions, is disconnected; service continues.
        """
        try:
            for message in messages.decode(line):
                self.receive(message)
        except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
            self.link.close(f"malformed message: {type(error).__name__} {error}")

    def receive(self, message: ReceivedMessage) -> None:
        """Apply one message."""
        _HANDLERS[type(message)](self, message)

    def _on_usage_report(self, message: UsageReport) -> None:
        self.usage = message.usage

    def _on_version(self, message: VersionAnnouncement) -> None:
        self.version = message.version

    def _on_endpoint_snapshot(self, message: EndpointSnapshot) -> None:
        self._snapshot_requested = False
        self._apply_watch_events(message.document)

    def _on_endpoint_change(self, message: EndpointChange) -> None:
        """Apply a change to the local list; if an earlier one is missing, request the list once."""
        if message.follows <= self._host.endpoint_revision:
            self._apply_watch_events({"notices": [message.watch_event]})
        elif not self._snapshot_requested:
            self._snapshot_requested = True
            self.send(SnapshotRequest(self._host.endpoint_revision))

    def _apply_watch_events(self, document: object) -> None:
        """Apply the watch events that are newer than the local list."""
        events = watch_events(document, self._host.endpoint_revision)
        self._observer.update_source = self
        try:
            for event in events:
                self._host.apply_watch_event(event)
        finally:
            self._observer.update_source = None

    def _on_snapshot_request(self, _message: SnapshotRequest) -> None:
        self.request_snapshot()

    def _on_manual_drain(self, message: ManualDrainChange) -> None:
        self._observer.update_source = self
        try:
            self._host.apply_manual_drain(message.engine, message.since_unix_ms)
        finally:
            self._observer.update_source = None

    def _on_call_answer(self, message: CallAnswer) -> None:
        self.transfer.on_answer(message)

    def _on_call_disconnect(self, message: CallDisconnect) -> None:
        self.transfer.on_disconnect(message)

    def _on_key_claim(self, message: KeyClaim) -> None:
        self._host.key_ownership.on_claim(self, message)

    def _on_key_claim_answer(self, message: KeyClaimAnswer) -> None:
        self._host.key_ownership.on_claim_answer(message)

    def _on_key_release(self, message: KeyRelease) -> None:
        self._host.key_ownership.on_release(self, message)

    def _on_id_claim(self, message: IdClaim) -> None:
        self._host.request_ids.on_claim(self, message)

    def _on_id_claim_answer(self, message: IdClaimAnswer) -> None:
        self._host.request_ids.on_claim_answer(message)

    def _on_id_report(self, message: IdReport) -> None:
        self._host.request_ids.on_report(message)

    def _on_team_budgets(self, message: TeamBudgets) -> None:
        self._host.apply_team_budgets(message.state)

    def _on_successor_ready(self, _message: SuccessorReady) -> None:
        if not self.is_successor or self.is_ready:
            return
        self.is_ready = True
        log.info("hot_restart_successor_ready")
        # This process has continued to admit requests since the greeting.
        changed_budgets = self._host.changed_team_budgets()
        if changed_budgets:
            self.send(TeamBudgets(changed_budgets))
        self._observer.on_successor_ready()

    def _on_closed(self, reason: str) -> None:
        log.info("hot_restart_link_closed reason=%s", reason)
        self.transfer.on_link_closed()
        self._observer.on_peer_closed(self)


_HANDLERS: dict[type[Any], Callable[[Peer, Any], None]] = {
    UsageReport: Peer._on_usage_report,
    VersionAnnouncement: Peer._on_version,
    EndpointSnapshot: Peer._on_endpoint_snapshot,
    EndpointChange: Peer._on_endpoint_change,
    SnapshotRequest: Peer._on_snapshot_request,
    ManualDrainChange: Peer._on_manual_drain,
    CallAnswer: Peer._on_call_answer,
    CallDisconnect: Peer._on_call_disconnect,
    KeyClaim: Peer._on_key_claim,
    KeyClaimAnswer: Peer._on_key_claim_answer,
    KeyRelease: Peer._on_key_release,
    IdClaim: Peer._on_id_claim,
    IdClaimAnswer: Peer._on_id_claim_answer,
    IdReport: Peer._on_id_report,
    TeamBudgets: Peer._on_team_budgets,
    SuccessorReady: Peer._on_successor_ready,
}
