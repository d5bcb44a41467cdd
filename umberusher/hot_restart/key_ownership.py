"""Keeps the order of an order key's requests while two processes of one broker serve clients.

The predecessor owns all keys. A successor claims a key while it runs requests of it. The
predecessor grants the claim once it runs none itself, and begins none of that key until the claim
is released. So the requests of a key run in one process at a time. Both processes are on one
machine, and their loops' clocks are the same.
"""

from __future__ import annotations

import itertools
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from umberusher.hot_restart.messages import KeyClaim, KeyClaimAnswer, KeyRelease

if TYPE_CHECKING:
    from umberusher.hot_restart.interfaces import Message

# A call whose claim is not granted within this time is rejected.
MAX_CLAIM_S = 1.0


if TYPE_CHECKING:  # Saves memory.

    class KeyPeer(Protocol):
        """The link to the other process."""

        def send(self, message: Message) -> None:
            """Send one message."""


if TYPE_CHECKING:  # Saves memory.

    class ArrivalCheck(Protocol):
        """Returns whether a call that arrived between two times may be begun, by its key."""

        def __call__(self, key: str, client: object, after_s: float, by_s: float) -> bool:
            """Check a call of ``client`` that arrived after ``after_s`` and by ``by_s``."""


class _Claim:
    """A claim of this process on a key of its predecessor."""

    __slots__ = ("claimed_at_s", "is_granted", "key", "on_decided")

    def __init__(self, key: str, claimed_at_s: float) -> None:
        self.key = key
        self.claimed_at_s = claimed_at_s
        self.is_granted = False
        self.on_decided: list[Callable[[bool], None]] = []


class _Loan:
    """A key that a successor has claimed from this process."""

    __slots__ = ("is_granted", "number", "peer")

    def __init__(self, peer: KeyPeer, number: int) -> None:
        self.peer = peer
        self.number = number
        self.is_granted = False


class KeyOwnership:
    """The keys that this process has claimed, and those that were claimed from it.

    Attributes:
        owner: The link to the predecessor; None if there is none, or it knows no claims.
    """

    __slots__ = ("_admits", "_claims", "_clock", "_is_idle", "_loans", "_numbers", "owner")

    def __init__(
        self, clock: Callable[[], float], is_idle: Callable[[str], bool], admits: ArrivalCheck
    ) -> None:
        """Create the ownership of a process that has no peers.

        Args:
            clock: The loop's clock, in seconds.
            is_idle: Returns whether this process has no request of a key and the key need not rest.
            admits: Checks the arrival of a call, and records it.
        """
        self._clock = clock
        self._is_idle = is_idle
        self._admits = admits
        self._claims: dict[int, _Claim] = {}
        self._loans: dict[str, _Loan] = {}
        self._numbers = itertools.count(1)
        self.owner: KeyPeer | None = None

    # -- In the successor

    def claim(
        self, key: str, after_s: float, by_s: float, on_decided: Callable[[bool], None]
    ) -> None:
        """Claim a key for a call.

        Args:
            key: The order key.
            after_s: The call arrived after this time.
            by_s: The call had arrived by this time.
            on_decided: Called with whether the call may be begun; at once if the key is granted.
        """
        for claim in self._claims.values():
            if claim.key == key:
                break
        else:
            claim = self._make_claim(key, after_s, by_s)
        if claim.is_granted:
            on_decided(True)
        else:
            claim.on_decided.append(on_decided)

    def _make_claim(self, key: str, after_s: float, by_s: float) -> _Claim:
        number = next(self._numbers)
        claim = _Claim(key, self._clock())
        self._claims[number] = claim
        self._send(KeyClaim(number, key, after_s, by_s))
        return claim

    def on_claim_answer(self, answer: KeyClaimAnswer) -> None:
        """Begin or reject the calls of a claim."""
        claim = self._claims.get(answer.number)
        if claim is None:
            return
        if answer.granted:
            claim.is_granted = True
        else:
            del self._claims[answer.number]
        _decide(claim, answer.granted)

    def on_owner_closed(self) -> None:
        """Begin all calls: no other process serves clients any more."""
        self.owner = None
        claims = list(self._claims.values())
        self._claims.clear()
        for claim in claims:
            _decide(claim, True)

    def _send(self, message: Message) -> None:
        if self.owner is not None:
            self.owner.send(message)

    # -- In the predecessor

    def is_lent(self, key: str) -> bool:
        """Return whether a successor has claimed the key, so that no call of it may be begun."""
        return key in self._loans

    def on_claim(self, peer: KeyPeer, claim: KeyClaim) -> None:
        """Lend a key once it is idle, unless its call may have arrived before one begun here."""
        is_free = self.owner is None and claim.key not in self._loans
        if not is_free or not self._admits(claim.key, peer, claim.after_s, claim.by_s):
            peer.send(KeyClaimAnswer(claim.number, False))
            return
        self._loans[claim.key] = _Loan(peer, claim.number)
        self._grant_if_idle(claim.key)

    def _grant_if_idle(self, key: str) -> None:
        loan = self._loans[key]
        if not loan.is_granted and self._is_idle(key):
            loan.is_granted = True
            loan.peer.send(KeyClaimAnswer(loan.number, True))

    def on_release(self, peer: KeyPeer, release: KeyRelease) -> None:
        """Take back a key, or forget a claim that was not granted."""
        for key, loan in list(self._loans.items()):
            if loan.peer is peer and loan.number == release.number:
                del self._loans[key]

    def on_borrower_closed(self, peer: KeyPeer) -> None:
        """Take back all keys of a successor that has ended."""
        self._loans = {key: loan for key, loan in self._loans.items() if loan.peer is not peer}

    # -- In both

    def sweep(self) -> None:
        """Grant and release the keys that have become idle; reject calls that wait too long."""
        for key in list(self._loans):
            self._grant_if_idle(key)
        now_s = self._clock()
        for number, claim in list(self._claims.items()):
            is_over = claim.is_granted and self._is_idle(claim.key)
            is_late = not claim.is_granted and now_s - claim.claimed_at_s > MAX_CLAIM_S
            if is_over or is_late:
                del self._claims[number]
                self._send(KeyRelease(number))
                _decide(claim, False)


def _decide(claim: _Claim, granted: bool) -> None:
    """Notify the calls of a claim."""
    waiting = claim.on_decided
    claim.on_decided = []
    for on_decided in waiting:
        on_decided(granted)
