"""When a change of the endpoint list counts as announced to a broker, whether it arrived or not.

The earliest of these times counts:

| the watch | a change counts as announced |
| --- | --- |
| is answered | with the answer |
| is asked anew | at once, if it is newer than the number asked for |
| breaks off | 2 s after the break |
| stops but stays open | 2 s after the end of the wait that was asked for |
| SIGHUP names another address | 4 s after SIGHUP |
| anything else | 7 s after the change |
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass

AFTER_BREAK_S = 2.0
AFTER_WAIT_S = 2.0
AFTER_RELOAD_S = 4.0
AFTER_CHANGE_S = 7.0


@dataclass(slots=True)
class _Poll:
    """The poll that is outstanding on one connection."""

    known_revision: int
    wait_ends_s: float


class Announcements:
    """Computes when each change counts as announced to one broker.

    All times are seconds of one clock. Revisions count up from 1.

    Args:
        service_delay_s: The longest time by which the service is late with an answer. It is allowed
            for changes that are announced because the watch was asked anew.
    """

    def __init__(self, service_delay_s: float = 0.0) -> None:
        self.changed_at_s: dict[int, float] = {}
        self._service_delay_s = service_delay_s
        self._announced_at_s: dict[int, float] = {}
        self._polls: dict[Hashable, _Poll] = {}
        # Times at which all changes up to then count as announced.
        self._thresholds_s: dict[Hashable, float] = {}
        self._threshold_count = 0

    def change(self, revision: int, now_s: float) -> None:
        """Record a change of the list."""
        self.changed_at_s[revision] = now_s

    def poll(self, watch: Hashable, known_revision: int, wait_s: float, now_s: float) -> None:
        """Record a poll that the service reads, or would read if the watch had not stopped."""
        self._polls[watch] = _Poll(known_revision, now_s + wait_s)

    def read(self, watch: Hashable, now_s: float) -> None:
        """Record that the service has read the last poll of a watch.

        That watch counts from now on: earlier changes count as announced by its poll, and a stop or
        a break of an earlier watch says nothing of later ones.
        """
        newer = [r for r in self.changed_at_s if r > self._polls[watch].known_revision]
        for revision in newer:
            self._announce(revision, now_s + self._service_delay_s)
        self._thresholds_s = {
            key: at_s for key, at_s in self._thresholds_s.items() if key == watch or at_s <= now_s
        }

    def answer(self, watch: Hashable, revision: int, now_s: float) -> None:
        """Record an answer with the changes up to a revision."""
        poll = self._polls.pop(watch)
        for each in range(poll.known_revision + 1, revision + 1):
            self._announce(each, now_s)

    def stop(self, watch: Hashable) -> None:
        """Record that a watch stays open, and that nothing on it passes any more."""
        poll = self._polls.get(watch)
        if poll is not None:
            self._thresholds_s[watch] = poll.wait_ends_s + AFTER_WAIT_S

    def break_off(self, watch: Hashable, now_s: float) -> None:
        """Record that the service or the network has ended a watch."""
        if self._polls.pop(watch, None) is not None:
            self._add_threshold(now_s + AFTER_BREAK_S)

    def reload(self, now_s: float) -> None:
        """Record SIGHUP with another address."""
        self._add_threshold(now_s + AFTER_RELOAD_S)

    def close(self, watch: Hashable, now_s: float) -> None:
        """Record that the broker itself has ended a watch; what counts by then still counts."""
        self._polls.pop(watch, None)
        if self._thresholds_s.get(watch, -math.inf) > now_s:
            del self._thresholds_s[watch]

    def announced_at_s(self, revision: int) -> float:
        """Return the time at which a change counts as announced."""
        changed_at_s = self.changed_at_s[revision]
        later = [each for each in self._thresholds_s.values() if each >= changed_at_s]
        return min(
            self._announced_at_s.get(revision, math.inf),
            changed_at_s + AFTER_CHANGE_S,
            *later,
        )

    def _announce(self, revision: int, now_s: float) -> None:
        known_s = self._announced_at_s.get(revision, math.inf)
        self._announced_at_s[revision] = min(known_s, now_s)

    def _add_threshold(self, at_s: float) -> None:
        self._threshold_count += 1
        self._thresholds_s["threshold", self._threshold_count] = at_s
