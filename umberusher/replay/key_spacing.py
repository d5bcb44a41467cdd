"""The minimum interval between the clients' requests of one key."""

from __future__ import annotations

from umberusher.standin.machine import TIME_TOLERANCE_MS

KEY_INTERVAL_MS = 60.0
MAX_KEYS = 8_192  # above this number, keys whose interval has passed are removed


class KeySpacing:
    """When each key may be written next, and when it was written last."""

    __slots__ = ("_free_at_ms", "_written_at_ms", "delay_count")

    def __init__(self) -> None:
        self._free_at_ms: dict[str, float] = {}
        self._written_at_ms: dict[str, float] = {}
        # Requests that had to wait for their key.
        self.delay_count = 0

    def reserve(self, key: str, earliest_ms: float, now_ms: float) -> float:
        """Reserve a key's next free time at or after ``earliest_ms``; return it."""
        free_at_ms = self._free_at_ms.get(key, 0.0)
        start_ms = max(free_at_ms, earliest_ms)
        self._free_at_ms[key] = start_ms + KEY_INTERVAL_MS
        if free_at_ms > earliest_ms:
            self.delay_count += 1
        if len(self._free_at_ms) > MAX_KEYS:
            self._free_at_ms = {
                each: until_ms for each, until_ms in self._free_at_ms.items() if until_ms > now_ms
            }
        return start_ms

    def write(self, key: str, now_ms: float) -> float:
        """Record a write of a key now and return 0, or return how long to wait before it.

        This keeps the interval after a stall of all parties, when all due timers fire at once.
        """
        since_ms = now_ms - self._written_at_ms.get(key, -KEY_INTERVAL_MS)
        if since_ms < KEY_INTERVAL_MS - TIME_TOLERANCE_MS:
            return KEY_INTERVAL_MS - since_ms
        self._written_at_ms[key] = now_ms
        if len(self._written_at_ms) > MAX_KEYS:
            oldest_ms = now_ms - KEY_INTERVAL_MS
            self._written_at_ms = {
                each: at_ms for each, at_ms in self._written_at_ms.items() if at_ms > oldest_ms
            }
        return 0.0
