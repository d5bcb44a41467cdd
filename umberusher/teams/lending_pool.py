"""The pool of promised but unused capacity, which other teams may borrow.

The whole rate of a team whose budget is full flows into the pool; a team whose budget is not full
contributes nothing. So the inflow is the capacity less the rates of the teams with a budget that is
not full, and it changes only when a team is charged or its budget becomes full again. These times
are kept in a heap, so that a decision costs the same with 10 teams and with 10,000. The depth
bounds the work that borrowers can still use once the owners are active again.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable


class LendingPool:
    """A pool of work; rates are units of work per millisecond.

    Attributes:
        capacity: The rate of inflow when the budgets of all teams are full.
        depth: The maximum level of the pool.
        at_ms: The time up to which the inflow has been added.
        flow_rate: The current rate of inflow.
        level: The work that the pool holds.
        inflow: The total inflow.
        lent: The total work lent, less the work returned.
        overflow: The total inflow that was lost because the pool was full.
    """

    __slots__ = (
        "_full_heap",
        "_held_back_rates",
        "at_ms",
        "capacity",
        "depth",
        "flow_rate",
        "inflow",
        "lent",
        "level",
        "overflow",
    )

    def __init__(self, capacity: float, depth: float, now_ms: float) -> None:
        self.capacity = capacity
        self.depth = depth
        self.at_ms = now_ms
        self.flow_rate = capacity
        self.level = 0.0
        self.inflow = 0.0
        self.lent = 0.0
        self.overflow = 0.0
        self._held_back_rates: dict[str, float] = {}
        self._full_heap: list[tuple[float, str]] = []

    def advance(self, now_ms: float, full_ms: Callable[[str], float]) -> None:
        """Add the inflow up to now; an earlier time is ignored.

        Args:
            now_ms: The time now.
            full_ms: Returns the time at which a team's budget is full again.
        """
        while self._full_heap and self._full_heap[0][0] <= now_ms:
            at_ms, team = heapq.heappop(self._full_heap)
            team_full_ms = full_ms(team)
            if team_full_ms > at_ms:
                # The team has been charged since this time was queued.
                heapq.heappush(self._full_heap, (team_full_ms, team))
                continue
            self._add_inflow(at_ms)
            self.flow_rate += self._held_back_rates.pop(team, 0.0)
        self._add_inflow(now_ms)

    def _add_inflow(self, until_ms: float) -> None:
        if until_ms <= self.at_ms:
            return
        amount = max(self.flow_rate, 0.0) * (until_ms - self.at_ms)
        self.at_ms = until_ms
        self.inflow += amount
        self._add(amount)

    def _add(self, amount: float) -> None:
        unfilled = self.depth - self.level
        self.level += min(amount, unfilled)
        self.overflow += max(amount - unfilled, 0.0)

    def hold_back(self, team: str, rate: float, full_ms: float) -> None:
        """Stop the inflow of a team whose budget is no longer full, until it is full again."""
        if team not in self._held_back_rates:
            self._held_back_rates[team] = rate
            self.flow_rate -= rate
            heapq.heappush(self._full_heap, (full_ms, team))

    def lend(self, cost: float) -> bool:
        """Lend the work of a cost; return whether the pool held enough."""
        if self.level < cost:
            return False
        self.level -= cost
        self.lent += cost
        return True

    def give_back(self, cost: float) -> None:
        """Return lent work that was not used; what exceeds the depth overflows."""
        self.lent -= cost
        self._add(cost)

    def continue_from(self, predecessor: LendingPool) -> None:
        """Continue with the level and totals of the previous pool, as far as the depth allows."""
        self.level = min(predecessor.level, self.depth)
        self.inflow = predecessor.inflow
        self.lent = predecessor.lent
        self.overflow = predecessor.inflow - predecessor.lent - self.level
