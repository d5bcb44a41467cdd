"""What a request costs a broker: this version's against another's, in one run, turn about.

    git worktree add /tmp/before REVISION
    python scripts/measure_cost.py /tmp/before [--rounds 5] [--requests 6000] [--rate 250] [--more "--receipts"]

Each round starts one broker of each version as a process of its own, with the same stand-in nodes, board and clients in
this process, and sends the same small requests at a fixed rate over sockets. Told are the broker's own processor time a
request (user and system, from /proc), which is what bounds requests a second on one core, and the latency that clients
saw at p50 and p99; of each the median of the rounds, and the ratio of both versions in each round.
"""

from __future__ import annotations

import argparse
import json
import os
import shlex
import signal
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from umberusher.net.loop import Loop  # noqa: E402  (needs the path)
from umberusher.replay import site  # noqa: E402
from umberusher.standin.board import Board  # noqa: E402
from umberusher.standin.clients import Call, Clients, free_address  # noqa: E402
from umberusher.standin.lines import statement  # noqa: E402
from umberusher.standin.node import Node  # noqa: E402
from umberusher.standin.sharing import Shape  # noqa: E402

TICKS = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Processor time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def held(pid: int) -> tuple[float, int]:
    """What a process holds: memory of its own in MB, and descriptors."""
    _, resident, shared, *_ = map(int, Path(f"/proc/{pid}/statm").read_text().split())
    return (resident - shared) * os.sysconf("SC_PAGE_SIZE") / 1e6, len(os.listdir(f"/proc/{pid}/fd"))


def play(root: str, more: list[str], requests: int, rate: float, engines: int = 6,
         brokers: int = 1) -> dict[str, float]:
    """One broker of a version under load."""
    loop = Loop(time.time)

    def quiet(*_: object) -> None:
        """Nothing is checked here."""

    board = Board(loop, quiet)
    nodes = [Node(loop, f"n-{n}", Shape(8, 16_384.0), quiet) for n in range(engines)]
    board.tell([board.entry(node, "SERVING") for node in nodes], reset=True, late=False)
    host, port = board.listen("b0")
    address = free_address()
    raw = {"name": "b0", "listen": f"{address[0]}:{address[1]}", "seed": "0000000000000001", "board": f"{host}:{port}",
           "known": board.known(), "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
           "settings": site.settings(brokers, 0)}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "b0.json"
        path.write_text(json.dumps(raw))
        child = subprocess.Popen([sys.executable, "-m", "umberusher", "serve", "--log-level", "error", *more], cwd=root,
                                 env=os.environ | {"LB_CONFIG": str(path), "TMPDIR": folder})
        clients, begun_s = Clients(loop, "b0", address, quiet), time.time()
        try:
            while not clients.good:
                if child.poll() is not None:
                    raise SystemExit("the broker did not start")
                clients.ask_check()
                loop.step(5)
            ready_s = time.time() - begun_s
            latencies: list[float] = []
            counted = {"served": 0, "other": 0}

            def one(number: int, note: bool) -> None:
                begun = time.perf_counter()
                body = statement(number % 5, 2.0, 8.0, 1, False, f"{number:08x}")

                def done(end: str, answer: object) -> None:
                    counted["served" if end == "served" else "other"] += 1
                    if note:
                        latencies.append((time.perf_counter() - begun) * 1e3)

                clients.ask(Call(f"{number:016x}", {"method": "lookup", "est": "2.0", "ram": "8", "budget": "2000",
                                                    "rid": f"{number:016x}"}, body, 2_000.0, done))

            number, first, warm = 0, time.time(), int(requests / 6)
            spent = 0.0
            while sum(counted.values()) < requests:
                while number < requests and time.time() >= first + number / rate:
                    if number == warm:
                        spent = cpu_s(child.pid)
                    one(number, number >= warm)
                    number += 1
                due = (first + number / rate - time.time()) * 1e3 if number < requests else 20.0
                loop.step(max(min(due, 20.0), 0.0))
            spent = cpu_s(child.pid) - spent
            memory_mb, descriptors = held(child.pid)
        finally:
            child.send_signal(signal.SIGTERM)
            clients.close()
            child.wait(15)
            for node in nodes:
                node.close()
            board.close()
            loop.close()
    latencies.sort()
    return {"cpu_us": spent / (requests - warm) * 1e6, "p50_ms": latencies[len(latencies) // 2],
            "p99_ms": latencies[int(len(latencies) * 0.99)], "served": counted["served"] / requests,
            "ready_s": ready_s, "memory_mb": memory_mb, "descriptors": descriptors,
            "engines": sum(node.worked_ms > 0 for node in nodes)}


def main() -> int:
    """Print each round and the medians."""
    parser = argparse.ArgumentParser()
    parser.add_argument("before", help="root of another version")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--requests", type=int, default=6_000)
    parser.add_argument("--rate", type=float, default=250.0)
    parser.add_argument("--more", default="", help="options of serve for this version")
    args = parser.parse_args()
    found: dict[str, list[dict[str, float]]] = {"before": [], "now": []}
    for number in range(args.rounds):
        order = [("before", args.before, []), ("now", str(ROOT), shlex.split(args.more))]
        for name, root, more in order if number % 2 == 0 else reversed(order):
            found[name].append(play(root, more, args.requests, args.rate))
            print(name, {key: round(value, 3) for key, value in found[name][-1].items()}, flush=True)
    for key in ("cpu_us", "p50_ms", "p99_ms"):
        before, now = ([each[key] for each in found[name]] for name in ("before", "now"))
        ratios = sorted(b / a for a, b in zip(before, now, strict=True))
        print(f"{key}: before {statistics.median(before):.3f}, now {statistics.median(now):.3f}, ratio "
              f"{statistics.median(ratios):.3f} ({ratios[0]:.3f} to {ratios[-1]:.3f})")
    return 0


if __name__ == "__main__":
    sys.exit(main())
