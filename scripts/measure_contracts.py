"""Measure the time of a contract decision and the memory of a team, with 1, 100 and 10,000 teams, at most 50 active.

    python scripts/measure_contracts.py [--decisions 100000] [--rounds 5]

The comparison is a plain implementation: one token bucket for requests and one for work per team and class, refilled on
access, and a sum of the unused work of all teams whenever a team wants to borrow. Both admit and settle the same requests,
alternating in one process. The result is the median of the rounds: microseconds for an admission and its settlement.
"""

from __future__ import annotations

import argparse
import gc
import statistics
import sys
import time
import tracemalloc
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from immutables import Map

from umberusher.teams.admission import TeamAdmission
from umberusher.teams.charge import Charge
from umberusher.teams.contract import Contract, Team, Terms
from umberusher.teams.retry_budget import RetryBudgetTerms

RATE_PER_S, WORK_MS, ACTIVE_TEAMS = 10.0, 50.0, 50


class PlainTokenBuckets:
    """Token buckets that are refilled on access; unused work is summed over all teams for each loan."""

    def __init__(self, teams: list[str]) -> None:
        self.levels = {team: [RATE_PER_S, RATE_PER_S * WORK_MS, 0.0] for team in teams}
        self.lent = 0.0

    def _refill(self, team: str, now: float) -> list[float]:
        level = self.levels[team]
        elapsed_ms, level[2] = now - level[2], now
        level[0] = min(level[0] + elapsed_ms * RATE_PER_S / 1000.0, RATE_PER_S)
        level[1] = min(level[1] + elapsed_ms * RATE_PER_S * WORK_MS / 1000.0, RATE_PER_S * WORK_MS)
        return level

    def admit(self, now: float, team: str, cost: float) -> bool:
        """Admit from the team's own buckets, or from the unused work of all teams."""
        level = self._refill(team, now)
        if level[0] >= 1.0 and level[1] >= cost:
            level[0] -= 1.0
            level[1] -= cost
            return True
        idle = sum(self._refill(each, now)[1] for each in self.levels)
        return idle - self.lent >= cost

    def settle(self, team: str, cost: float, actual: float) -> None:
        """Credit or charge the difference between estimated and actual work."""
        self.levels[team][1] += cost - actual


def make_contract(count: int) -> Contract:
    """Build a contract of ``count`` teams with one class."""
    terms = Map({"lookup": Terms(RATE_PER_S, RATE_PER_S, WORK_MS)})
    teams = {
        f"team-{n}": Team(f"team-{n}", terms, 1.0 / count, 1.0 / count, "lend")
        for n in range(count)
    }
    return Contract(Map(teams), count * RATE_PER_S * WORK_MS, 1e6, 1e9)


def us_per_decision(call, decisions: int) -> float:
    """Return the microseconds per decision."""
    gc.collect()
    started_s = time.perf_counter()
    call(decisions)
    return (time.perf_counter() - started_s) / decisions * 1e6


def main() -> int:
    """Print one line for each count of teams and load."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--decisions", type=int, default=100_000)
    parser.add_argument("--rounds", type=int, default=5)
    args = parser.parse_args()
    for count in (1, 100, 10_000):
        for load, interval_ms in (
            ("within", 4.0),
            ("over", 0.5),
        ):  # 250 and 2,000 requests per second; 50 active teams are promised 500
            results: dict[str, list[float]] = {"plain": [], "here": []}
            active = [f"team-{n}" for n in range(min(ACTIVE_TEAMS, count))]
            team_interval_ms = interval_ms * ACTIVE_TEAMS / len(active)
            for _ in range(args.rounds):
                admission = TeamAdmission(
                    make_contract(count), 1, 0.0, RetryBudgetTerms(5.0, 0.1, 10_000.0)
                )
                plain = PlainTokenBuckets(list(make_contract(count).teams))
                if load == "over":
                    for team in active:
                        plain.levels[team] = [0.0, 0.0, 0.0]

                def run_admission(
                    n: int, admission=admission, active=active, team_interval_ms=team_interval_ms
                ) -> None:
                    for number in range(n):
                        now = number * team_interval_ms
                        charge = admission.admit(
                            now, active[number % len(active)], "lookup", estimate=WORK_MS
                        )
                        if isinstance(charge, Charge):
                            admission.settle(now + 1.0, charge, WORK_MS)

                def run_plain(
                    n: int, plain=plain, active=active, team_interval_ms=team_interval_ms
                ) -> None:
                    for number in range(n):
                        team = active[number % len(active)]
                        if plain.admit(number * team_interval_ms, team, WORK_MS):
                            plain.settle(team, WORK_MS, WORK_MS)

                results["here"].append(us_per_decision(run_admission, args.decisions))
                results["plain"].append(
                    us_per_decision(
                        run_plain, args.decisions if count < 10_000 or load == "within" else 300
                    )
                )
            summary = ", ".join(
                f"{name} {statistics.median(each):.1f} us ({min(each):.1f} to {max(each):.1f})"
                for name, each in results.items()
            )
            print(f"{count} teams, {load} their promise: {summary}", flush=True)
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    new_contract = make_contract(10_000)
    after = tracemalloc.get_traced_memory()[0]
    admission = TeamAdmission(new_contract, 1, 0.0, RetryBudgetTerms(5.0, 0.1, 10_000.0))
    for number in range(2_000):
        admission.admit(1.0, f"team-{number}", "lookup", estimate=WORK_MS)
    used = tracemalloc.get_traced_memory()[0]
    print(
        f"memory a team: contract {(after - before) / 10_000:.0f} bytes, state while it is active "
        f"{(used - after) / 2_000:.0f} bytes"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
