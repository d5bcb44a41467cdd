"""Refuses a call that may have arrived before a call of its order key that was begun already.

The requests of one order key run in the order in which they arrived. Where the order of two calls
of different connections is not known, one of them is begun and the other is rejected, which is
allowed out of turn: its client may retry, and the retry takes the last position.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple, Protocol

# Clients write the requests of one key at least 60 ms apart. Two that are read within less are in
# the order in which they were read.
MIN_KEY_INTERVAL_S = 0.05
# Arrivals are forgotten this long after they were read, if no earlier call is pending or deferred.
RETENTION_S = 1.0


class KeyLoans(Protocol):
    """The keys that this process shares with another one in an upgrade."""

    @property
    def owner(self) -> object | None:
        """The process that owns all keys; None if this process does."""

    def is_lent(self, key: str) -> bool:
        """Return whether another process has claimed the key."""

    def claim(
        self, key: str, after_s: float, by_s: float, on_decided: Callable[[bool], None]
    ) -> None:
        """Ask the owner whether a call may be begun; it arrived between the two times."""


class _KeyArrival(NamedTuple):
    """The latest call of a key that was begun."""

    client: object
    by_s: float


class KeyArrivals:
    """The latest arrival of each order key that was begun in the last second."""

    __slots__ = ("_latest",)

    def __init__(self) -> None:
        """Create an empty record."""
        self._latest: dict[str, _KeyArrival] = {}

    def __len__(self) -> int:
        """Return the number of keys that are remembered."""
        return len(self._latest)

    def admits(self, key: str, client: object, after_s: float, by_s: float) -> bool:
        """Return whether a call may be begun now, and record that it is.

        Args:
            key: The order key.
            client: The connection, which keeps the order of its own calls.
            after_s: The call arrived after this time of the loop.
            by_s: The call had arrived by this time of the loop.
        """
        latest = self._latest.get(key)
        if latest is None:
            self._latest[key] = _KeyArrival(client, by_s)
            return True
        if latest.client is not client and latest.by_s - after_s >= MIN_KEY_INTERVAL_S:
            return False
        self._latest[key] = _KeyArrival(client, max(by_s, latest.by_s))
        return True

    def forget_before(self, time_s: float) -> None:
        """Forget the keys whose latest call arrived before a time; O(n)."""
        if self._latest:
            old = [key for key, latest in self._latest.items() if latest.by_s < time_s]
            for key in old:
                del self._latest[key]
