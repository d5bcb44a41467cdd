"""A call that another process of the broker admitted and answers."""

from __future__ import annotations

from collections.abc import Callable


class HandedOverCall:
    """An open call on a connection that was adopted from the predecessor.

    Attributes:
        held_bytes: What it holds of this process's memory for peers.
    """

    __slots__ = ("_on_disconnect", "_seqid", "held_bytes")

    def __init__(self, seqid: int, on_disconnect: Callable[[int], None]) -> None:
        """Create the call.

        Args:
            seqid: Its sequence id.
            on_disconnect: Notifies the predecessor that the client no longer waits for the call.
        """
        self._seqid = seqid
        self.held_bytes = 0
        self._on_disconnect = on_disconnect

    def disconnect(self) -> None:
        """Notify the predecessor that the client no longer waits for the call."""
        self._on_disconnect(self._seqid)
