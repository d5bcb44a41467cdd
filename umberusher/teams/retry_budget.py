"""The retry budget of a broker, divided among teams.

The platform's rule applies to each broker: in any window it may make a fixed number of retries,
plus a fraction of the requests admitted. Each team has a share of this budget. A share is exclusive
to its owner while the owner has been active in the window; half of the shares of idle teams is
lent. A lent retry counts for a whole window and cannot be reclaimed sooner, so the other half
remains available to owners that become active again.

Counts are kept in slices of the window, not per request, so that memory does not grow with the
rate. The retries of a slice that is partly too old still count against the budget, and its requests
no longer add to it, so the sums err on the safe side.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Any, NamedTuple

WINDOW_SLICES = 20
LENT_FRACTION = 0.5


class RetryRight(StrEnum):
    """The entitlement under which a retry is made; the values appear in metrics and statements."""

    OWN = "own"
    """The team's own share."""

    LENT = "lent"
    """The lent half of the shares of idle teams."""

    OVER = "over"
    """Made although the budget was exhausted."""


@dataclass(slots=True, frozen=True)
class RetryBudgetTerms:
    """The platform's rule: in any window ``floor`` retries plus ``ratio`` times the requests."""

    floor: float
    ratio: float
    window_ms: float


@dataclass(slots=True, order=True)
class SliceCounts:
    """The counts of one slice of the window; ordered by its number."""

    number: int
    requests: int
    retries: int


@dataclass(slots=True)
class WindowCounts:
    """Counts of a sliding window, by slice and in total."""

    slices: deque[SliceCounts] = field(default_factory=deque)
    requests: int = 0
    retries: int = 0

    def expire(self, current_slice: int) -> None:
        """Drop the slices that are too old; ``current_slice`` is the number of the current one."""
        while self.slices and self.slices[0].number < current_slice - WINDOW_SLICES:
            dropped = self.slices.popleft()
            self.requests -= dropped.requests
            self.retries -= dropped.retries

    def add(self, current_slice: int, requests: int, retries: int) -> None:
        """Add counts to the current slice."""
        self.expire(current_slice)
        if self.slices and self.slices[-1].number == current_slice:
            current = self.slices[-1]
            current.requests += requests
            current.retries += retries
        else:
            self.slices.append(SliceCounts(current_slice, requests, retries))
        self.requests += requests
        self.retries += retries

    def requests_within_window(self, current_slice: int) -> int:
        """Return the requests, without those of a slice that is partly too old."""
        if self.slices and self.slices[0].number == current_slice - WINDOW_SLICES:
            return self.requests - self.slices[0].requests
        return self.requests

    def is_idle(self, current_slice: int) -> bool:
        """Return whether nothing was counted in the window."""
        return not self.slices or self.slices[-1].number < current_slice - WINDOW_SLICES

    def by_age(self, current_slice: int) -> list[list[int]]:
        """Return age, requests and retries of each slice, for a successor."""
        return [[current_slice - each.number, each.requests, each.retries] for each in self.slices]


class TeamShare(NamedTuple):
    """An active team's counts, and its share of the budget."""

    counts: WindowCounts
    share: float


class TeamRetryBudgets:
    """The retry budgets of all teams.

    Attributes:
        floor: Retries in any window regardless of the number of requests.
        active: The teams that were active in the window.
        lent: Retries that were made on the shares of idle teams.
    """

    __slots__ = ("_ratio", "_slice_ms", "active", "floor", "lent")

    def __init__(self, terms: RetryBudgetTerms) -> None:
        self.floor = terms.floor
        self._ratio = terms.ratio
        self._slice_ms = terms.window_ms / WINDOW_SLICES
        self.active: dict[str, TeamShare] = {}
        self.lent = WindowCounts()

    def _slice(self, now_ms: float) -> int:
        return int(now_ms // self._slice_ms)

    def _counts(self, team: str, share: float, current_slice: int) -> WindowCounts:
        """Return a team's current counts; a share that a new contract changed is updated."""
        team_share = self.active.get(team)
        if team_share is None or team_share.share != share:
            counts = team_share.counts if team_share else WindowCounts()
            team_share = TeamShare(counts, share)
            self.active[team] = team_share
        team_share.counts.expire(current_slice)
        return team_share.counts

    def count_request(self, team: str, share: float, now_ms: float) -> None:
        """Count a request that was admitted."""
        current_slice = self._slice(now_ms)
        self._counts(team, share, current_slice).add(current_slice, 1, 0)

    def add_counts(
        self, team: str, share: float, now_ms: float, requests: int, retries: int
    ) -> None:
        """Add the counts of another process of this broker."""
        if requests or retries:
            current_slice = self._slice(now_ms)
            self._counts(team, share, current_slice).add(current_slice, requests, retries)

    def _idle_share(self, requesting_team: str, current_slice: int) -> float:
        """Return the sum of the shares of idle teams; drop their counts."""
        idle = [
            team
            for team, (counts, _) in self.active.items()
            if team != requesting_team and counts.is_idle(current_slice)
        ]
        for team in idle:
            del self.active[team]
        return max(1.0 - sum(share for _, share in self.active.values()), 0.0)

    def available_right(self, team: str, share: float, now_ms: float) -> RetryRight | None:
        """Return the right under which a team may retry now; None if it may not."""
        current_slice = self._slice(now_ms)
        counts = self._counts(team, share, current_slice)
        own_limit = self.floor * share + self._ratio * counts.requests_within_window(current_slice)
        if counts.retries + 1 <= own_limit:
            return RetryRight.OWN
        self.lent.expire(current_slice)
        lent_limit = LENT_FRACTION * self.floor * self._idle_share(team, current_slice)
        if self.lent.retries + 1 <= lent_limit:
            return RetryRight.LENT
        return None

    def spend(self, team: str, share: float, now_ms: float) -> RetryRight:
        """Count a retry; return the right under which it is made."""
        right = self.available_right(team, share, now_ms)
        current_slice = self._slice(now_ms)
        if right is RetryRight.LENT:
            self.lent.add(current_slice, 0, 1)
            # Marks the team as active, although the retry is not counted on its own share.
            self._counts(team, share, current_slice).add(current_slice, 0, 0)
        else:
            self._counts(team, share, current_slice).add(current_slice, 0, 1)
        return right or RetryRight.OVER

    # -- Hot restart

    def state(self, now_ms: float) -> dict[str, Any]:
        """Return the counts for a successor, with their age in slices."""
        current_slice = self._slice(now_ms)
        return {
            "teams": {
                team: [share, counts.by_age(current_slice)]
                for team, (counts, share) in self.active.items()
            },
            "lent": self.lent.by_age(current_slice),
        }

    def restore(self, state: Mapping[str, Any], now_ms: float) -> None:
        """Merge the predecessor's counts into those of this process."""
        current_slice = self._slice(now_ms)
        for team, (share, aged) in state["teams"].items():
            own = self.active[team].counts.slices if team in self.active else ()
            self.active[team] = TeamShare(_merge(aged, own, current_slice), float(share))
        self.lent = _merge(state["lent"], self.lent.slices, current_slice)


def _merge(
    aged: Iterable[list[int]], own: Iterable[SliceCounts], current_slice: int
) -> WindowCounts:
    """Return the counts of two processes as one window."""
    inherited = [
        SliceCounts(current_slice - int(age), int(requests), int(retries))
        for age, requests, retries in aged
    ]
    merged = WindowCounts()
    for counts in sorted([*inherited, *own]):
        merged.add(counts.number, counts.requests, counts.retries)
    return merged
