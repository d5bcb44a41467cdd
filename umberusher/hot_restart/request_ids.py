"""Keeps an id of a non-idempotent request from running in both processes of an upgrade.

The predecessor owns all ids. A successor asks it before it runs such a request; the predecessor
grants an id once, unless a request of it is open or has run there. It also reports each id that it
admits itself, so that the successor knows them when the predecessor has ended.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Protocol

from umberusher.hot_restart.messages import IdClaim, IdClaimAnswer, IdReport

if TYPE_CHECKING:
    from umberusher.hot_restart.interfaces import Message

# Ids of one report; a longer one is sent in several.
MAX_IDS_PER_REPORT = 1_000


if TYPE_CHECKING:  # Saves memory.

    class IdPeer(Protocol):
        """The link to another process."""

        def send(self, message: Message) -> None:
            """Send one message."""


if TYPE_CHECKING:  # Saves memory.

    class IdRecord(Protocol):
        """The ids of non-idempotent requests that are open or may have run in this process."""

        def may_have_run(self, request_id: str) -> bool:
            """Return whether a request of this id is open or may have run."""

        def remember(self, request_id: str) -> None:
            """Remember an id for the time in which it must not run again."""

        def known_ids(self) -> Iterable[str]:
            """Return the ids that are open or remembered."""


class RequestIds:
    """The ids that this process asks its predecessor for, and answers its successors about.

    Attributes:
        owner: The link to the predecessor; None if there is none, or it knows no such claims.
    """

    __slots__ = ("_numbers", "_pending", "_record", "_successors", "owner")

    def __init__(self, record: IdRecord) -> None:
        """Create the ids of a process that has no peers."""
        self._record = record
        self._numbers = itertools.count(1)
        self._pending: dict[int, Callable[[bool], None]] = {}
        self._successors: list[IdPeer] = []
        self.owner: IdPeer | None = None

    @property
    def is_alone(self) -> bool:
        """Whether no other process has to know of an id."""
        return self.owner is None and not self._successors

    def claim(self, request_id: str, on_decided: Callable[[bool], None]) -> None:
        """Ask whether a request may run; at once where this process owns all ids.

        Args:
            request_id: The id of a non-idempotent request.
            on_decided: Called with whether it may run.
        """
        if self.owner is not None:
            number = next(self._numbers)
            self._pending[number] = on_decided
            self.owner.send(IdClaim(number, request_id))
            return
        self._report([request_id], self._successors)
        on_decided(True)

    def on_claim(self, peer: IdPeer, claim: IdClaim) -> None:
        """Grant an id to a successor, once."""
        granted = not self._record.may_have_run(claim.request_id)
        if granted:
            self._record.remember(claim.request_id)
            self._report([claim.request_id], [each for each in self._successors if each != peer])
        peer.send(IdClaimAnswer(claim.number, granted))

    def on_claim_answer(self, answer: IdClaimAnswer) -> None:
        """Pass on whether a request may run."""
        on_decided = self._pending.pop(answer.number, None)
        if on_decided is not None:
            on_decided(answer.granted)

    def on_report(self, report: IdReport) -> None:
        """Remember ids that run in the predecessor."""
        for request_id in report.request_ids:
            self._record.remember(request_id)

    def on_owner_closed(self) -> None:
        """Run what waits: no other process serves clients, and its ids were reported."""
        self.owner = None
        pending = self._pending
        self._pending = {}
        for on_decided in pending.values():
            on_decided(True)

    def add_successor(self, peer: IdPeer) -> None:
        """Report all ids to a successor, and each further one from now on."""
        self._successors.append(peer)
        self._report(list(self._record.known_ids()), [peer])

    def on_successor_closed(self, peer: IdPeer) -> None:
        """Stop reporting to a successor that has ended."""
        if peer in self._successors:
            self._successors.remove(peer)

    @staticmethod
    def _report(request_ids: list[str], peers: list[IdPeer]) -> None:
        for begin in range(0, len(request_ids), MAX_IDS_PER_REPORT):
            report = IdReport(request_ids[begin : begin + MAX_IDS_PER_REPORT])
            for peer in peers:
                peer.send(report)
