"""Measure start, hot restart and endpoint list changes of a broker with a long list, alternating two versions.

    git worktree add /tmp/before REVISION
    python scripts/measure_long_list.py /tmp/before [--sizes 1000,32000] [--rounds 3] [--json FILE]

For each version and list length it measures the seconds until a `serve` is ready, alone and as the successor in a hot
restart; the resident memory without shared pages, and the peak of the resident memory; then the share of a core and the
bytes per second from discovery over 20 s at 0.57 changes per second (49,000 a day) and over three changes of 4,000
entries 5 s apart, with the longest health check after such a change. Nothing listens at the addresses of the list. For a
version that is not ready within 15 s it reports the core and the bytes that it uses after that time.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import socket
import statistics
import subprocess
import sys
import time
import urllib.request
from pathlib import Path
from typing import Any

from measure_slopes import (
    ROOT,
    BrokerProcess,
    CountWindow,
    check_ready,
    closing_resources,
    describe_machine,
    git,
    memory_mb,
    start_discovery_and_broker,
)

from umberusher.standin.client_pool import free_address

READY_TIMEOUT_S, STEADY_WINDOW_S, BATCH_WINDOW_S, BATCH_COUNT, BATCH_ENTRIES, CHANGES_PER_S = (
    15.0,
    20.0,
    5.0,
    3,
    4_000,
    0.57,
)


def peak_mb(pid: int) -> float:
    """Return the peak resident memory of a process, shared pages included."""
    text = Path(f"/proc/{pid}/status").read_text()
    return int(text.split("VmHWM:")[1].split()[0]) * 1_024 / 1e6


class Successor:
    """A second process of the same broker, started for a hot restart; its admin listener reports readiness."""

    def __init__(self, root: str, broker_folder: Path) -> None:
        self.admin = free_address()
        environment = {
            "LB_CONFIG": str(broker_folder / "config.json"),
            "TMPDIR": str(broker_folder),
            "PYTHONPATH": root,
            "LB_ADMIN": f"{self.admin[0]}:{self.admin[1]}",
        }
        self.started_at = time.time()
        self.child = subprocess.Popen(
            [sys.executable, "-m", "umberusher", "serve", "--log-level", "error"],
            cwd=root,
            env=os.environ | environment,
        )
        self.pid = self.child.pid

    def wait_until_ready(self, timeout_s: float) -> float | None:
        """Return the seconds from start to readiness; None after the timeout."""
        while time.time() - self.started_at < timeout_s:
            try:
                with urllib.request.urlopen(
                    f"http://{self.admin[0]}:{self.admin[1]}/ops/readiness", timeout=2.0
                ):
                    return time.time() - self.started_at
            except OSError:  # not listening yet, or answered 503
                time.sleep(0.05)
        return None

    def close(self) -> None:
        """Stop the process."""
        self.child.send_signal(signal.SIGTERM)
        self.child.wait(15)


def measure_batch(discovery_and_broker: tuple[Any, BrokerProcess]) -> dict[str, float]:
    """Measure one change of thousands of entries."""
    discovery, broker = discovery_and_broker
    with socket.create_connection(broker.address, 2.0) as sock:
        sock.settimeout(10.0)
        check_ready(sock)
        window = CountWindow(discovery, broker)
        discovery.request("change", entries=BATCH_ENTRIES)
        longest_s, deadline = 0.0, time.time() + BATCH_WINDOW_S
        while time.time() < deadline:
            sent_at = time.perf_counter()
            check_ready(sock)
            longest_s = max(longest_s, time.perf_counter() - sent_at)
            time.sleep(0.02)
        rates = window.end()
    return {
        "lump_share": rates["share"],
        "lump_kb_s": rates["bytes"] / 1e3,
        "lump_wait_ms": 1e3 * longest_s,
    }


def measure_version(root: str, length: int) -> dict[str, float | str]:
    """Measure one broker of a version."""
    with closing_resources() as resources:
        discovery, broker = start_discovery_and_broker(resources, root, length)
        ready = broker.wait_until_ready(READY_TIMEOUT_S)
        if ready is None:
            window = CountWindow(discovery, broker)
            time.sleep(5.0)
            rates = window.end()
            return {
                "not_good": f"not good within {READY_TIMEOUT_S:g} s; then {rates['share']:.0f}% of a core and "
                f"{rates['bytes'] / 1e3:,.0f} KB/s from discovery"
            }
        time.sleep(2.0)
        found: dict[str, float | str] = {"ready_s": ready, "memory_mb": memory_mb(broker.pid)[1]}
        discovery.request("rate", per_s=CHANGES_PER_S)
        window = CountWindow(discovery, broker)
        time.sleep(STEADY_WINDOW_S)
        rates = window.end()
        found |= {"share": rates["share"], "kb_s": rates["bytes"] / 1e3}
        discovery.request("rate", per_s=0.0)
        batches = [measure_batch((discovery, broker)) for _ in range(BATCH_COUNT)]
        found |= {name: statistics.median(each[name] for each in batches) for name in batches[0]}
        found["peak_mb"] = peak_mb(broker.pid)
        successor = Successor(root, Path(resources[0]) / "b2")
        resources.append(successor)
        ready = successor.wait_until_ready(READY_TIMEOUT_S)
        found["successor_ready_s"] = (
            ready if ready is not None else f"not within {READY_TIMEOUT_S:g} s"
        )
        found["successor_peak_mb"] = peak_mb(successor.pid)
        return found


def main() -> int:
    """Print each run and the medians."""
    parser = argparse.ArgumentParser()
    parser.add_argument("before", help="root of another version")
    parser.add_argument("--sizes", default="1000,32000")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--json", type=Path)
    args = parser.parse_args()
    roots, documents = {"before": args.before, "now": str(ROOT)}, []
    for size in map(int, args.sizes.split(",")):
        runs: dict[str, list[dict[str, Any]]] = {name: [] for name in roots}
        for round_number in range(args.rounds):
            for name in roots if round_number % 2 == 0 else reversed(roots):
                runs[name].append(measure_version(roots[name], size))
                print(
                    size,
                    name,
                    {
                        key: round(value, 2) if isinstance(value, float) else value
                        for key, value in runs[name][-1].items()
                    },
                    flush=True,
                )
        for name, found in runs.items():
            numbers = {
                key: statistics.median(each[key] for each in found)
                for key in found[0]
                if all(isinstance(each.get(key), float) for each in found)
            }
            print(
                f"{size} {name}, medians:",
                {key: round(value, 2) for key, value in numbers.items()},
                flush=True,
            )
            documents.append(
                {
                    "listed": size,
                    "version": name,
                    "commit": git(roots[name], "rev-parse", "HEAD"),
                    "plays": found,
                }
            )
    if args.json:
        args.json.write_text(
            json.dumps(
                {
                    "command": "python scripts/measure_long_list.py BEFORE",
                    "clock": "wall",
                    "machine": describe_machine(),
                    "runs": documents,
                },
                indent=1,
            )
            + "\n"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
