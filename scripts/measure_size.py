"""Measure what a long endpoint list costs a broker: 64, 256 and 1,024 engines, each with a stand-in, in one run.

    python scripts/measure_size.py [--sizes 64,256,1024] [--brokers 200] [--requests 6000] [--rate 250] [--rounds 3]

One broker runs as a separate process, with the given number of brokers in its settings; each size gets the same requests
at the same rate. It prints medians over the rounds: time until the broker is ready, its private memory, its descriptors
at the end, its processor time per request, client-side latency, engines that have served requests, and the processor time
relative to that of the first size.
"""

from __future__ import annotations

import argparse
import statistics
import sys

from measure_cost import ROOT, measure_open_loop


def main() -> int:
    """Print one row for each size."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--sizes", default="64,256,1024")
    parser.add_argument("--brokers", type=int, default=200)
    parser.add_argument("--requests", type=int, default=6_000)
    parser.add_argument("--rate", type=float, default=250.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--root", default=str(ROOT), help="root of another version")
    args = parser.parse_args()
    sizes = [int(size) for size in args.sizes.split(",")]
    results: dict[int, list[dict[str, float]]] = {size: [] for size in sizes}
    for _ in range(args.rounds):
        for size in sizes:
            results[size].append(
                measure_open_loop(args.root, [], args.requests, args.rate, size, args.brokers)
            )
    first_cpu_us = 0.0
    for size in sizes:
        row = {
            name: statistics.median(each[name] for each in results[size])
            for name in results[size][0]
        }
        first_cpu_us = first_cpu_us or row["cpu_us"]
        print(
            f"{size} engines:",
            {name: round(value, 3) for name, value in row.items()},
            f"cost {row['cpu_us'] / first_cpu_us:.2f} of that with {sizes[0]}",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
