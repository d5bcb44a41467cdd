"""How much of the loop's time a client has used that brought no result, for fair turns."""

from __future__ import annotations

HALF_LIFE_S = 1.0
# Usage at which a client's calls wait for those of clients with less; each doubling is a level.
LEVEL_UNITS = 512
# One unit is the time to read one token of a statement. A call that ends without a result:
UNSERVED_CALL_UNITS = 64
# A turn in which a connection had more frames than it may process:
FULL_TURN_UNITS = 256


class ClientUsage:
    """The usage of one client, which decays.

    Served calls cost nothing unless their statements are long, so a client that is served keeps
    level 0 at any rate of requests.
    """

    __slots__ = ("_units", "_updated_s")

    def __init__(self, now_s: float) -> None:
        """Create the usage of a client that has used nothing."""
        self._units = 0.0
        self._updated_s = now_s

    def add(self, units: float, now_s: float) -> None:
        """Add usage at a time of the loop."""
        self._units = self._at(now_s) + units
        self._updated_s = now_s

    def level(self, now_s: float) -> int:
        """Return the level at a time of the loop; 0 is the lowest."""
        return (int(self._at(now_s)) // LEVEL_UNITS).bit_length()

    def _at(self, now_s: float) -> float:
        elapsed_s = max(now_s - self._updated_s, 0.0)
        return float(self._units * 0.5 ** (elapsed_s / HALF_LIFE_S))
