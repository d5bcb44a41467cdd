"""Compare methods that choose a broker's subset of engines without communication between brokers.

    python scripts/measure_subsets.py [--brokers 2100] [--engines 32000] [--held 256] [--json measurements/subsets.json]

For each method it counts balance, movement and overlap: brokers per engine (minimum, mean, maximum, maximum over mean);
the engines that all brokers together add or remove when an engine is removed (mean of eight removed at once) and when one
broker is added; and the largest fraction of its engines that a broker shares with any other (mean of 100 brokers). It
measures no time, so its results are the same in each run.
"""

from __future__ import annotations

import argparse
import bisect
import hashlib
import json
import random
import sys
from collections import Counter
from collections.abc import Callable
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from umberusher.endpoints import subset_ring
from umberusher.endpoints.subset_ring import SubsetRing

# From engines, brokers and subset size to a function from a broker's index to its engines.
SubsetMethod = Callable[[list[str], int, int], Callable[[int], set[str]]]
REMOVED_ENGINES = 8  # engines removed at once


def _hash(engine: str, salt: int) -> float:
    digest = hashlib.blake2b(engine.encode(), digest_size=8, salt=salt.to_bytes(8, "big")).digest()
    return int.from_bytes(digest, "big") / 2**64


def rendezvous(engines: list[str], brokers: int, held: int) -> Callable[[int], set[str]]:
    """Rendezvous hashing: a broker holds the engines with the smallest hashes salted by its index.

    The balance is that of a random draw.
    """
    hashes = {engine: int(_hash(engine, 0) * 2**64) for engine in engines}

    def engines_of(index: int) -> set[str]:
        salt = random.Random(index).getrandbits(64)
        return set(
            sorted(engines, key=lambda e: ((hashes[e] ^ salt) * 0x9E3779B97F4A7C15 >> 7) % 2**61)[
                :held
            ]
        )

    return engines_of


def shuffled(engines: list[str], brokers: int, held: int) -> Callable[[int], set[str]]:
    """Deterministic subsetting ("Site Reliability Engineering", chapter 20).

    The brokers of one round split a shuffle of the sorted list, which is the same for all of them, into pieces.
    """
    pieces = max(len(engines) // held, 1)

    def engines_of(index: int) -> set[str]:
        shuffle_round, piece = divmod(index, pieces)
        order = sorted(engines)
        random.Random(shuffle_round).shuffle(order)
        return set(order[piece * held : (piece + 1) * held])

    return engines_of


def single_ring(position_of: Callable[[int, int], float]) -> SubsetMethod:
    """One ring: engines by hash, brokers at ``position_of``; each broker holds the engines that follow it."""

    def method(engines: list[str], brokers: int, held: int) -> Callable[[int], set[str]]:
        ring_entries = sorted((_hash(engine, 0), engine) for engine in engines)
        keys = [key for key, _ in ring_entries]

        def engines_of(index: int) -> set[str]:
            first = bisect.bisect_left(keys, position_of(index, brokers))
            return {ring_entries[(first + n) % len(ring_entries)][1] for n in range(held)}

        return engines_of

    return method


def halving(index: int, brokers: int) -> float:
    """Return a position of the van der Corput sequence: each new one lies in a widest gap."""
    return int(f"{index:016b}"[::-1], 2) / 2**16


def grouped_rings(slices: int, indexes_known: bool = True) -> SubsetMethod:
    """One ring per group of as many brokers as it has slices: the program's method, with ``slices`` slices."""

    def method(engines: list[str], brokers: int, held: int) -> Callable[[int], set[str]]:
        saved_constants = subset_ring.SLICES, subset_ring.SLICE_BITS
        subset_ring.SLICES, subset_ring.SLICE_BITS = slices, slices.bit_length() - 1
        by_group: dict[int, dict[int, list[str]]] = {}
        rings = [
            SubsetRing(brokers, index if indexes_known else None, f"broker-{index}")
            for index in range(brokers + 1)
        ]
        width = rings[0].width(len(engines), slices, held)
        for each in rings if indexes_known else ():
            if each.group not in by_group:
                ring_entries = by_group[each.group] = {}
                for engine in engines:
                    ring_entries.setdefault(
                        (each.distance(engine) + each.first) % slices, []
                    ).append(engine)
        subset_ring.SLICES, subset_ring.SLICE_BITS = saved_constants

        def engines_of(index: int) -> set[str]:
            own_ring = rings[index]
            if indexes_known:
                ring_entries = by_group[own_ring.group]
                return {
                    e
                    for n in range(width)
                    for e in ring_entries.get((own_ring.first + n) % slices, ())
                }
            return {e for e in engines if own_ring.distance(e) < width}

        return engines_of

    return method


METHODS: dict[str, SubsetMethod] = {
    "rendezvous hashing": rendezvous,
    "shuffled list in pieces": shuffled,
    "one ring, places by hash": single_ring(lambda index, brokers: _hash(str(index), 1)),
    "one ring, places halved": single_ring(halving),
    "rings of 128 slices": grouped_rings(128),
    "rings of 512 slices": grouped_rings(512),
    "rings of 2048 slices": grouped_rings(2048),
}


def subset_metrics(method: SubsetMethod, brokers: int, engines: int, held: int) -> dict[str, float]:
    """Return the balance, movement and overlap of one method."""
    names = [f"e{n:05d}" for n in range(engines)]
    engines_of = method(names, brokers, held)
    subsets = [engines_of(index) for index in range(brokers)]
    count = Counter({name: 0 for name in names})
    for each in subsets:
        count.update(each)
    mean, indexes = sum(count.values()) / engines, range(brokers)
    after_removal = method(names[:-REMOVED_ENGINES], brokers, held)
    after_addition = method(names, brokers + 1, held)
    moved_by_removal = (
        sum(len(after_removal(index) ^ subsets[index]) for index in indexes) / REMOVED_ENGINES
    )
    moved_by_addition = sum(len(after_addition(index) ^ subsets[index]) for index in indexes)
    sampled_indexes = indexes[:: max(brokers // 100, 1)]
    max_shared = sum(
        max(len(subsets[index] & subsets[other]) for other in indexes if other != index)
        / max(len(subsets[index]), 1)
        for index in sampled_indexes
    ) / len(sampled_indexes)
    return {
        "least": min(count.values()),
        "mean": round(mean, 2),
        "most": max(count.values()),
        "most_over_mean": round(max(count.values()) / mean, 3),
        "engines_least": min(map(len, subsets)),
        "engines_most": max(map(len, subsets)),
        "moved_engine_gone": round(moved_by_removal, 1),
        "moved_broker_more": moved_by_addition,
        "shared_most": round(max_shared, 3),
    }


def main() -> int:
    """Print one row for each method."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--brokers", type=int, default=2100)
    parser.add_argument("--engines", type=int, default=32_000)
    parser.add_argument("--held", type=int, default=256)
    parser.add_argument("--json", type=Path)
    args = parser.parse_args()
    results = {}
    for name, method in METHODS.items():
        results[name] = subset_metrics(method, args.brokers, args.engines, args.held)
        print(f"{name:26}", results[name], flush=True)
    if args.json:
        args.json.write_text(
            json.dumps(
                {
                    "brokers": args.brokers,
                    "engines": args.engines,
                    "held": args.held,
                    "clock": "counted",
                    "command": "python scripts/measure_subsets.py",
                    "ways": results,
                },
                indent=1,
            )
            + "\n"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
