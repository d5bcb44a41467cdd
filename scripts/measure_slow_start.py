"""Count the seeds on which a fleet sends a cold engine more calls than N + 2 sqrt(N) + 2 in a window.

python scripts/measure_slow_start.py [SEEDS] [NAME ...]     # 12 seeds of each of 16 scenarios: about two minutes
"""

from __future__ import annotations

import sys
from multiprocessing import Pool
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.decisions.fleet_player import RULES, Fleet, simulate_fleet, worst_budget_excess


def late_notification_ms(rng) -> float:
    """Return the delay in ms after which brokers are notified of an engine's start."""
    return 2500 + 900 * rng.random()


SECOND_SITE = RULES | {
    "overload_multiple": 2.5,
    "overload_window_ms": 3000.0,
    "warm_up_floor": 0.34,
    "warm_up_ms": 14_000.0,
}
VARIANT = RULES | {"overload_multiple": 3.0, "overload_window_ms": 2000.0}
FLEETS = {
    "20lost": Fleet(20, 20, 20, outage_at_ms=3000, load=1.0),
    "30lost": Fleet(30, 20, 20, outage_at_ms=3000, load=1.0),
    "200lost": Fleet(200, 40, 20, outage_at_ms=4500, seconds=7, load=1.0),
    "200late": Fleet(200, 40, 20, notification_delay_ms=late_notification_ms, seconds=7, load=1.1),
    "30late": Fleet(30, 20, 10, notification_delay_ms=late_notification_ms, load=1.1),
    "30one": Fleet(30, 8, 1, load=1.2),
    "200one": Fleet(200, 30, 1, load=1.2, seconds=6),
    "20one": Fleet(20, 8, 1, load=1.2),
    "2one": Fleet(2, 8, 1, load=1.2),
    "20U": Fleet(20, 8, 8, load=1.2, rules=SECOND_SITE, outage_at_ms=3000),
    "30U": Fleet(30, 8, 8, load=1.2, rules=SECOND_SITE, outage_at_ms=3000),
    "30V": Fleet(30, 8, 4, load=1.2, rules=VARIANT, outage_at_ms=3000),
    "30few": Fleet(30, 20, 2, load=1.0, outage_at_ms=3000),
    "200few": Fleet(200, 40, 4, load=1.0, outage_at_ms=4500, seconds=7),
    "30idle": Fleet(30, 8, 1, load=1.2, keepalive_ms=4000.0),
    "200scope": Fleet(200, 560, 40, load=0.8, seconds=4, subset_only=True),
    "60scope": Fleet(60, 400, 8, load=0.15, seconds=4, outage_at_ms=2000, subset_only=True),
    "60whole": Fleet(60, 400, 8, load=0.15, seconds=4, outage_at_ms=2000),
    "200lscope": Fleet(200, 400, 8, load=0.15, seconds=4, outage_at_ms=2000, subset_only=True),
    "200few6": Fleet(200, 40, 4, load=0.8, outage_at_ms=7000, seconds=10, max_traffic_ratio=8),
}


def run_seed(job: tuple[str, int]) -> tuple[str, float]:
    """Return the scenario's name and the excess of its worst window over the bound, in units of N."""
    name, seed = job
    return name, worst_budget_excess(FLEETS[name], simulate_fleet(FLEETS[name], seed))


def main() -> None:
    """Print one line for each scenario."""
    seeds, names = int(sys.argv[1]) if sys.argv[1:] else 12, sys.argv[2:] or list(FLEETS)
    with Pool() as pool:
        results = pool.map(
            run_seed, [(name, seed) for name in names for seed in range(seeds)], chunksize=1
        )
    for name in names:
        excesses = sorted(value for each, value in results if each == name)
        print(
            f"{name:8} over on {sum(value > 0 for value in excesses)} of {seeds}, worst {excesses[-1]:+.2f} N, "
            f"median {excesses[len(excesses) // 2]:+.2f} N"
        )


if __name__ == "__main__":
    main()
