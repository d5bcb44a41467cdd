"""Measure what a request costs a broker: this version compared with another, alternating within one run.

    git worktree add /tmp/before REVISION
    python scripts/measure_cost.py /tmp/before [--rounds 5] [--requests 6000] [--rate 250] [--more "--receipts"]

Each round starts one broker of each version as a separate process, with the same stand-in engines, discovery and
clients in this process, and sends the same small requests at a fixed rate over sockets. It prints the broker's processor
time per request (user and system, from /proc), which bounds requests per second on one core, and the client-side latency
at p50 and p99: for each the median of the rounds, and the ratio of the two versions in each round.

    python scripts/measure_cost.py /tmp/before --closed [--clients 16] [--requests 12000]

runs a closed loop instead: each client has one connection with one open call and sends the next call when it receives
the answer. The six stand-in engines run in a separate process and answer at once; the clients run in this one. It prints
statements per second, the broker's processor time per statement, its share of a core and the maximum rate on one core
that follows from these.

    python scripts/measure_cost.py /tmp/before --idle [--connections 250 500 1000 2000 4000 8000]

prints the memory held by a connection that has sent one check and is idle since: the growth of the broker's private
memory divided by the number of connections, after the time in which idle buffers are released.

    python scripts/measure_cost.py ROOT --profile [--requests 6000]

runs the closed loop of that one version under cProfile and prints calls and time per statement by function; the
profiler inflates the times. ``--json FILE --json-before FILE`` write the measurements.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import multiprocessing
import os
import platform
import pstats
import resource
import shlex
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from umberusher.capacity.line_fit import fit_line
from umberusher.net import connection
from umberusher.net.connection import RawMessage, State
from umberusher.net.listener import Listener
from umberusher.net.loop import Loop
from umberusher.replay import site
from umberusher.standin import thrift_client
from umberusher.standin.client_connection import Call
from umberusher.standin.client_pool import ClientPool, free_address
from umberusher.standin.discovery_service import DiscoveryService
from umberusher.standin.engine import Engine
from umberusher.standin.engine_protocol import encode_answer, next_command
from umberusher.standin.machine import MachineShape
from umberusher.standin.statements import encode_statement
from umberusher.standin.thrift_client import AnswerKind

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """Return the user and system processor time of a process."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def memory_and_descriptors(pid: int) -> tuple[float, int]:
    """Return the private memory of a process in MB and its number of open descriptors."""
    _, resident, shared, *_ = map(int, Path(f"/proc/{pid}/statm").read_text().split())
    return (resident - shared) * os.sysconf("SC_PAGE_SIZE") / 1e6, len(
        os.listdir(f"/proc/{pid}/fd")
    )


def measure_open_loop(
    root: str,
    serve_options: list[str],
    requests: int,
    rate: float,
    engines: int = 6,
    brokers: int = 1,
) -> dict[str, float]:
    """Measure one broker of a version at a fixed request rate."""
    loop = Loop(time.time)

    def ignore(*_: object) -> None:
        """Discard the event: this program checks no rules."""

    discovery = DiscoveryService(loop, ignore)
    nodes = [Engine(loop, f"n-{n}", MachineShape(8, 16_384.0), ignore) for n in range(engines)]
    discovery.publish(
        [discovery.entry(node, "SERVING") for node in nodes], reset=True, delayed=False
    )
    host, port = discovery.listen("b0")
    address = free_address()
    config = {
        "name": "b0",
        "listen": f"{address[0]}:{address[1]}",
        "seed": "0000000000000001",
        "board": f"{host}:{port}",
        "known": discovery.snapshot(),
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": site.settings(brokers, 0),
    }
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "b0.json"
        path.write_text(json.dumps(config))
        child = subprocess.Popen(
            [sys.executable, "-m", "umberusher", "serve", "--log-level", "error", *serve_options],
            cwd=root,
            env=os.environ | {"LB_CONFIG": str(path), "TMPDIR": folder},
        )
        clients, started_s = ClientPool(loop, "b0", address, ignore), time.time()
        try:
            while not clients.ready:
                if child.poll() is not None:
                    raise SystemExit("the broker did not start")
                clients.send_check()
                loop.step(5)
            ready_s = time.time() - started_s
            latencies: list[float] = []
            counted = {"served": 0, "other": 0}

            def send_request(number: int, record: bool) -> None:
                sent_at_s = time.perf_counter()
                body = encode_statement(number % 5, 2.0, 8.0, 1, False, f"{number:08x}")

                def on_answer(outcome: str, answer: object) -> None:
                    counted["served" if outcome == "served" else "other"] += 1
                    if record:
                        latencies.append((time.perf_counter() - sent_at_s) * 1e3)

                clients.send(
                    Call(
                        f"{number:016x}",
                        {
                            "method": "lookup",
                            "est": "2.0",
                            "ram": "8",
                            "budget": "2000",
                            "rid": f"{number:016x}",
                        },
                        body,
                        2_000.0,
                        on_answer,
                    )
                )

            number, first_send_s, warm_up_requests = 0, time.time(), int(requests / 6)
            cpu_used_s = 0.0
            while sum(counted.values()) < requests:
                while number < requests and time.time() >= first_send_s + number / rate:
                    if number == warm_up_requests:
                        cpu_used_s = cpu_s(child.pid)
                    send_request(number, number >= warm_up_requests)
                    number += 1
                wait_ms = (
                    (first_send_s + number / rate - time.time()) * 1e3
                    if number < requests
                    else 20.0
                )
                loop.step(max(min(wait_ms, 20.0), 0.0))
            cpu_used_s = cpu_s(child.pid) - cpu_used_s
            memory_mb, descriptors = memory_and_descriptors(child.pid)
        finally:
            child.send_signal(signal.SIGTERM)
            clients.close()
            child.wait(15)
            for node in nodes:
                node.close()
            discovery.close()
            loop.close()
    latencies.sort()
    return {
        "cpu_us": cpu_used_s / (requests - warm_up_requests) * 1e6,
        "p50_ms": latencies[len(latencies) // 2],
        "p99_ms": latencies[int(len(latencies) * 0.99)],
        "served": counted["served"] / requests,
        "ready_s": ready_s,
        "memory_mb": memory_mb,
        "descriptors": descriptors,
        "engines": sum(node.account.worked_ms > 0 for node in nodes),
    }


class InstantEngine:
    """A stand-in engine that answers each request as it reads it, with the attributes that discovery lists."""

    def __init__(self, loop: Loop, name: str) -> None:
        self.loop, self.name, self.kind, self.zone, self.shape = (
            loop,
            name,
            "std-8",
            "room-a",
            MachineShape(8, 16_384.0),
        )
        sock = socket.socket()
        sock.bind(("127.0.0.1", 0))
        sock.listen(64)
        self.address = sock.getsockname()
        self.listener = Listener(loop, sock, 64, self._on_accept, lambda: None)
        self.listener.set_paused(False)

    def _on_accept(self, sock: socket.socket) -> None:
        conn = connection.adopt_socket(self.loop, sock, 1 << 21, 1 << 20)
        conn.on_data = lambda: self._on_data(conn)
        self.loop.spawn(conn.serve())

    def _on_data(self, conn: connection.Connection) -> None:
        while conn.state is State.OPEN and (command := next_command(conn.inbound)) is not None:
            if command.word == "REQ":
                row = f"{command.request_id}\t0\tdone\n".encode()
                conn.send(RawMessage(encode_answer(command.request_id, "HIT", "count=1", row)))
            elif command.word in ("STAT", "HELO"):
                conn.send(
                    RawMessage(
                        encode_answer(command.request_id, "PONG", "rep=inflight:0;queue:0;x0:0.000")
                    )
                )


def _serve_stand_ins(engines: int, parent: Any) -> None:
    """Run the engines and discovery in this process until the parent sends a message or closes the pipe."""
    loop = Loop(time.time)
    discovery = DiscoveryService(loop, lambda *_: None)
    nodes = [InstantEngine(loop, f"n-{n}") for n in range(engines)]
    discovery.publish(
        [discovery.entry(node, "SERVING") for node in nodes], reset=True, delayed=False
    )
    host, port = discovery.listen("b0")
    parent.send((f"{host}:{port}", discovery.snapshot()))
    while not parent.poll():
        loop.step(100)


class StatementClient:
    """A client with one connection; its caller decides when it sends the next call."""

    def __init__(
        self,
        loop: Loop,
        address: tuple[str, int],
        on_answer: Callable[[StatementClient, thrift_client.Answer], None],
    ) -> None:
        try:
            conn = connection.connect(loop, address, 1 << 20, 1 << 20)
        except connection.ConnectError as error:
            raise SystemExit(f"client connection failed: {error}") from error
        self.conn, self.on_answer, self.seqid, self.is_closed = conn, on_answer, 0, False
        conn.on_data, conn.on_closed = self._on_data, self._on_closed
        loop.spawn(conn.serve())

    def _on_data(self) -> None:
        while (answer := thrift_client.next_answer(self.conn.inbound)) is not None:
            self.on_answer(self, answer)

    def _on_closed(self, why: str) -> None:
        self.is_closed = True

    def send_check(self) -> None:
        """Send a health check."""
        self.seqid += 1
        self.conn.send(RawMessage(thrift_client.encode_check(self.seqid)))

    def send_statement(self, number: int) -> None:
        """Send a small statement."""
        self.seqid += 1
        fields = {
            "method": "lookup",
            "est": "2.0",
            "ram": "8",
            "budget": "2000",
            "rid": f"{number:016x}",
        }
        body = encode_statement(number % 5, 2.0, 8.0, 1, False, f"{number:08x}")
        self.conn.send(RawMessage(thrift_client.encode_execute(self.seqid, fields, body)))


@contextlib.contextmanager
def running_broker(
    root: str, engines: int, sockets: int, serve_options: list[str], profile: str = ""
) -> Iterator[tuple[int, tuple, Loop]]:
    """Run a broker of a version in front of instant engines; yield its process id, address and a client loop."""
    engine_end, own_end = multiprocessing.Pipe()
    stand_ins = multiprocessing.get_context("fork").Process(
        target=_serve_stand_ins, args=(engines, engine_end), daemon=True
    )
    stand_ins.start()
    discovery_address, known = own_end.recv()
    address, loop = free_address(), Loop(time.time)
    config = {
        "name": "b0",
        "listen": f"{address[0]}:{address[1]}",
        "seed": "0000000000000001",
        "board": discovery_address,
        "known": known,
        "limits": {"cores": 1.0, "memory_mb": 1_024, "sockets": sockets},
        "settings": site.settings(1, 0),
    }
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "b0.json"
        path.write_text(json.dumps(config))
        command = [
            sys.executable,
            *(["-m", "cProfile", "-o", profile] if profile else []),
            "-m",
            "umberusher",
            "serve",
        ]
        child = subprocess.Popen(
            [*command, "--log-level", "error", *serve_options],
            cwd=root,
            env=os.environ | {"LB_CONFIG": str(path), "TMPDIR": folder},
        )
        try:
            _wait_until_ready(loop, address, child)
            yield child.pid, address, loop
        finally:
            child.send_signal(signal.SIGTERM)
            with contextlib.suppress(subprocess.TimeoutExpired):
                child.wait(15)
            if child.poll() is None:
                child.kill()
            own_end.send(None)
            stand_ins.join(5)
            loop.close()


def _wait_until_ready(loop: Loop, address: tuple[str, int], child: subprocess.Popen) -> None:
    ready_answers: list[bool] = []
    deadline_s, client = time.monotonic() + 15.0, None
    while not any(ready_answers):
        if child.poll() is not None or time.monotonic() > deadline_s:
            raise SystemExit("the broker did not start")
        if client is None or client.is_closed:
            client = StatementClient(
                loop, address, lambda _, answer: ready_answers.append(answer.ready)
            )
        client.send_check()
        loop.step(20)
        time.sleep(0.02)
    client.conn.close("the broker is ready")


def measure_closed_loop(
    root: str,
    serve_options: list[str],
    requests: int,
    client_count: int,
    engines: int = 6,
    profile: str = "",
) -> dict[str, float]:
    """Measure one broker of a version under a closed loop."""
    with running_broker(root, engines, 1_024, serve_options, profile) as (pid, address, loop):
        sent, served, other = 0, 0, 0

        def on_answer(client: StatementClient, answer: thrift_client.Answer) -> None:
            nonlocal sent, served, other
            served += answer.kind is AnswerKind.SERVED
            other += answer.kind is not AnswerKind.SERVED
            if sent < requests:
                sent += 1
                client.send_statement(sent)

        clients = [StatementClient(loop, address, on_answer) for _ in range(client_count)]
        for each in clients:
            sent += 1
            each.send_statement(sent)
        warm_up_requests, deadline_s, started_s, cpu_used_s = (
            requests // 6,
            time.monotonic() + 300.0,
            0.0,
            0.0,
        )
        counted = 0
        while served + other < requests and time.monotonic() < deadline_s:
            loop.step(20)
            if not started_s and served + other >= warm_up_requests:
                started_s, cpu_used_s, counted = time.monotonic(), cpu_s(pid), served + other
        elapsed_s, cpu_used_s = time.monotonic() - started_s, cpu_s(pid) - cpu_used_s
        counted = served + other - counted
        for each in clients:
            each.conn.close("done")
    return {
        "cpu_us": cpu_used_s / counted * 1e6,
        "per_s": counted / elapsed_s,
        "core": cpu_used_s / elapsed_s,
        "most_per_s": counted / cpu_used_s,
        "served": served / requests,
        "other": other,
    }


def measure_idle_connections(
    root: str, serve_options: list[str], connections: int
) -> dict[str, float]:
    """Return the private memory of a broker for each idle connection that has sent one check, in bytes."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    with running_broker(root, 6, 2 * connections + 512, serve_options) as (pid, address, loop):
        answers = 0

        def on_answer(client: StatementClient, answer: thrift_client.Answer) -> None:
            nonlocal answers
            answers += 1

        before_mb = memory_and_descriptors(pid)[0]
        clients: list[StatementClient] = []
        while len(clients) < connections:
            clients += [
                StatementClient(loop, address, on_answer)
                for _ in range(min(50, connections - len(clients)))
            ]
            for each in clients[-50:]:
                each.send_check()
            deadline_s = time.monotonic() + 5.0
            while answers < len(clients) and time.monotonic() < deadline_s:
                loop.step(5)
        deadline_s = (
            time.monotonic() + 1.6
        )  # longer than an idle connection keeps its buffers, shorter than its idle timeout
        while time.monotonic() < deadline_s:
            loop.step(20)
        after_mb = memory_and_descriptors(pid)[0]
        closed_count = sum(each.is_closed for each in clients)
        for each in clients:
            each.conn.close("done")
    return {
        "bytes": (after_mb - before_mb) * 1e6 / connections,
        "gone": closed_count,
        "mb": after_mb,
    }


def print_profile(root: str, requests: int, client_count: int, function_count: int) -> None:
    """Print calls and time per statement by function for one version."""
    with tempfile.TemporaryDirectory() as folder:
        path = str(Path(folder) / "stats")
        result = measure_closed_loop(root, [], requests, client_count, profile=path)
        stats = pstats.Stats(path).stats
    print({key: round(value, 3) for key, value in result.items()})
    rows = sorted(
        ((own_s, calls, name) for name, (_, calls, own_s, _, _) in stats.items()), reverse=True
    )
    print(f"calls a statement {sum(row[1] for row in rows) / requests:.1f}")
    for own_s, calls, (file, _, name) in rows[:function_count]:
        short = file.rpartition("umberusher/")[2] if "umberusher/" in file else Path(file).name
        print(f"{calls / requests:7.2f} calls {own_s / requests * 1e6:7.2f} us  {short}:{name}")


def measurement_document(
    name: str, what: str, by: str, unit: str, root: str, points: list[dict[str, Any]], rounds: int
) -> dict[str, Any]:
    """Build a measurement in the format of the files under ``measurements/``."""

    def git(*words: str) -> str:
        return subprocess.run(
            ["git", "-C", root, *words], capture_output=True, text=True, check=True
        ).stdout.strip()

    cpu = next(
        (
            line.partition(":")[2].strip()
            for line in Path("/proc/cpuinfo").read_text().splitlines()
            if line.startswith("model name")
        ),
        "",
    )
    memory = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 1e9
    document = {
        "v": 1,
        "name": name,
        "role": "client connection" if name == "idle-connection" else "broker",
        "what": what,
        "by": by,
        "unit": unit,
        "command": " ".join(["python", *sys.argv]),
        "commit": git("rev-parse", "HEAD"),
        "dirty": bool(git("status", "--porcelain", "--untracked-files=no")),
        "clock": "wall",
        "machine": {
            "cpu": cpu,
            "cores": os.cpu_count(),
            "memory_gb": round(memory),
            "python": platform.python_version(),
            "kernel": platform.release(),
        },
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "rounds": rounds,
        "points": points,
    }
    if len(points) > 1:
        fit = fit_line([(each["x"], statistics.median(each["values"])) for each in points])
        document["fit"] = {
            "base": fit.base,
            "slope": fit.slope,
            "residuals": fit.residuals,
            "linear_to": fit.linear_to,
        }
    return document


def measure_alternately(
    args: argparse.Namespace, measure: Callable[[str, list[str]], dict[str, float]]
) -> dict[str, list[dict[str, float]]]:
    """Measure both versions in each round and swap their order from round to round."""
    results: dict[str, list[dict[str, float]]] = {"before": [], "now": []}
    for number in range(args.rounds):
        order = [("before", args.before, []), ("now", str(ROOT), shlex.split(args.more))]
        for name, root, serve_options in order if number % 2 == 0 else reversed(order):
            results[name].append(measure(root, serve_options))
            print(
                name, {key: round(value, 3) for key, value in results[name][-1].items()}, flush=True
            )
    return results


def print_comparison(results: dict[str, list[dict[str, float]]], keys: tuple[str, ...]) -> None:
    """Print the medians with their ranges, and the ratio of the versions over the rounds."""
    for key in keys:
        before, now = ([each[key] for each in results[name]] for name in ("before", "now"))
        ratios = sorted(b / a for a, b in zip(before, now, strict=True))
        print(
            f"{key}: before {statistics.median(before):.3f} ({min(before):.3f} to {max(before):.3f}), now "
            f"{statistics.median(now):.3f} ({min(now):.3f} to {max(now):.3f}), ratio "
            f"{statistics.median(ratios):.3f} ({ratios[0]:.3f} to {ratios[-1]:.3f})"
        )


def write_measurements(
    args: argparse.Namespace,
    name: str,
    what: str,
    by: str,
    unit: str,
    points: dict[str, list[dict]],
) -> None:
    """Write the measurements of each version to its file."""
    for version, root, path in (
        ("before", args.before, args.json_before),
        ("now", str(ROOT), args.json),
    ):
        if path:
            Path(path).parent.mkdir(exist_ok=True)
            Path(path).write_text(
                json.dumps(
                    measurement_document(name, what, by, unit, root, points[version], args.rounds),
                    indent=1,
                )
                + "\n"
            )


def main() -> int:
    """Print each round and the medians."""
    parser = argparse.ArgumentParser()
    parser.add_argument("before", help="root of another version")
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--requests", type=int, default=6_000)
    parser.add_argument("--rate", type=float, default=250.0)
    parser.add_argument(
        "--engines", type=int, default=6, help="stand-in engines in the endpoint list (6)"
    )
    parser.add_argument(
        "--brokers", type=int, default=1, help="number of brokers in the broker's settings (1)"
    )
    parser.add_argument("--more", default="", help="extra options of serve for this version")
    parser.add_argument(
        "--closed", action="store_true", help="closed loop in front of engines that answer at once"
    )
    parser.add_argument("--clients", type=int, nargs="+", default=[16])
    parser.add_argument("--idle", action="store_true", help="memory of idle connections")
    parser.add_argument(
        "--connections", type=int, nargs="+", default=[250, 500, 1_000, 2_000, 4_000, 8_000]
    )
    parser.add_argument(
        "--profile", type=int, nargs="?", const=60, help="number of functions to print"
    )
    parser.add_argument("--json", default="", help="output file for this version's measurements")
    parser.add_argument(
        "--json-before", default="", help="output file for the other version's measurements"
    )
    args = parser.parse_args()
    if args.profile:
        print_profile(args.before, args.requests, args.clients[0], args.profile)
        return 0
    points: dict[str, list[dict]] = {"before": [], "now": []}
    if args.closed or args.idle:
        key = "cpu_us" if args.closed else "bytes"
        for size in args.clients if args.closed else args.connections:
            print(f"-- {size}")
            results = measure_alternately(
                args,
                lambda root, serve_options, size=size: measure_closed_loop(
                    root, serve_options, args.requests, size
                )
                if args.closed
                else measure_idle_connections(root, serve_options, size),
            )
            print_comparison(
                results, ("cpu_us", "per_s", "core", "most_per_s") if args.closed else ("bytes",)
            )
            for version, rounds in results.items():
                points[version].append(
                    {"x": size, "values": [round(each[key], 1) for each in rounds]}
                )
        if args.closed:
            write_measurements(
                args,
                "statement-cost",
                "processor time of a broker for a statement, closed loop before six instant "
                "stand-ins",
                "clients with one call open each",
                "us",
                points,
            )
        else:
            write_measurements(
                args,
                "idle-connection",
                "memory of a broker's own for a quiet client connection",
                "connections",
                "bytes",
                points,
            )
        return 0
    results = measure_alternately(
        args,
        lambda root, serve_options: measure_open_loop(
            root, serve_options, args.requests, args.rate, args.engines, args.brokers
        ),
    )
    print_comparison(results, ("cpu_us", "p50_ms", "p99_ms"))
    return 0


if __name__ == "__main__":
    sys.exit(main())
