"""Measure how the cost of each role grows with size; the results are JSON files under `measurements/`.

    python scripts/measure_slopes.py GROUP [--root DIR] [--rounds 3] [--keep DIR]

The page on capacity reads these files. --root names a checkout of another version; its files are named
NAME.<its short commit>.json. The groups and what each of them measures:

    broker-list    a real `serve` by engines listed, with a stand-in discovery in another process
    broker-module  a broker's endpoint list and decisions in one process, by engines listed and by entries of a change
    module-scope   the decision module alone, by engines in its endpoint list
    broker-rate    a real `serve` by changes per second and by entries of one large change
    client-idle    a real `serve` by idle client connections
    statement      a real `serve` by statements per second, in front of six engines that answer at once
    discovery      a discovery by brokers that poll it, engines listed, changes per second (stand-ins on both sides)

It measures the processor time (user and system) of a process by the process's clock, its memory from /proc, and bytes
and messages as counted by the peer. Run it on an otherwise idle machine, one group at a time.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import platform
import signal
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections import defaultdict
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
SCRIPTS = Path(__file__).resolve().parent
sys.path.insert(0, str(ROOT))

from slopes_discovery import ZONES, entry

from umberusher.capacity.line_fit import fit_line
from umberusher.capacity.measurement import FORMAT_VERSION, read_measurement
from umberusher.net.ring import RingBuffer
from umberusher.replay import site
from umberusher.standin import thrift_client
from umberusher.standin.client_pool import free_address

LIST_LENGTHS = (60, 1_000, 4_000, 8_000, 16_000, 32_000)  # engines listed
MODULE_ENGINE_COUNTS = (6, 32, 64, 256, 1_000, 4_000)  # engines in the list of the decision module
CHANGE_RATES = (0.57, 2.0, 6.0, 12.0, 20.0)  # changes per second; the first is 49,000 a day
BATCH_SIZES = (100, 400, 1_000, 2_000, 4_000)  # entries of one large change
CONNECTION_COUNTS = (30, 100, 300, 1_000, 3_000)  # idle client connections
STATEMENT_RATES = (100.0, 250.0, 500.0, 1_000.0, 2_000.0, 4_000.0)  # per second
# Brokers per discovery machine: 110 with 19 machines, 330 after two thirds of the machines are lost.
FOLLOWER_COUNTS = (10, 30, 110, 220, 330)
BROKER_COUNT, ENGINE_COUNT = 2_100, 6
LIST_WINDOW_S, RATE_WINDOW_S, DISCOVERY_WINDOW_S = 20.0, 10.0, 5.0  # measuring times
SETTLE_TIMEOUT_S = 30.0  # a broker that takes longer to start is not measured
# A broker releases idle buffers after 1 s and closes connections without a call after 10 s.
BUFFER_RELEASE_WAIT_S, IDLE_WINDOW_S = 2.0, 4.0
WARM_UP_S, STATEMENT_WINDOW_S = 0.7, 3.0
CHECK_INTERVAL_S = 0.05
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
# The kernel's CPUCLOCK_SCHED: the low bits of a clock id; the higher bits encode the process id.
CPU_CLOCK = 2

Values = dict[str, dict[float, list[float]]]  # by measurement name and x, one value per round


# -- Processor time and memory of a process


def cpu_s(pid: int) -> float:
    """Return the user and system time of a process from its CPU clock; /proc/PID/stat counts in 10 ms."""
    return time.clock_gettime((~pid << 3) | CPU_CLOCK)


def memory_mb(pid: int) -> tuple[float, float]:
    """Return the resident memory and the resident memory without shared pages."""
    _, resident, shared, *_ = map(int, Path(f"/proc/{pid}/statm").read_text().split())
    return resident * PAGE_BYTES / 1e6, (resident - shared) * PAGE_BYTES / 1e6


class HelperProcess:
    """A process of this folder that answers each line of its input with one line of JSON."""

    def __init__(self, *arguments: object) -> None:
        self.child = subprocess.Popen(
            [sys.executable, str(SCRIPTS / str(arguments[0])), *map(str, arguments[1:])],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.first_line = self.read_line()

    def read_line(self) -> Any:
        """Read the next line of the process."""
        line = self.child.stdout.readline()
        if not line:
            raise SystemExit(f"{self.child.args[1]} ended: {self.child.wait()}")
        return json.loads(line)

    def request(self, command: str = "told", **fields: Any) -> dict[str, Any]:
        """Send a command and return the answer."""
        self.child.stdin.write(json.dumps({"do": command} | fields) + "\n")
        self.child.stdin.flush()
        return self.read_line()

    def close(self) -> None:
        """Stop the process."""
        self.child.stdin.close()
        self.child.wait(15)


class BrokerProcess:
    """A real broker in a separate process."""

    def __init__(
        self,
        root: str,
        discovery_port: int,
        folder: str,
        name: str,
        known: dict[str, Any] | None = None,
        broker_count: int = BROKER_COUNT,
    ) -> None:
        self.address = free_address()
        settings = site.settings(broker_count, 7) | (
            {"zones": list(ZONES), "zone": ZONES[7]} if known is None else {}
        )
        config = {
            "name": name,
            "listen": f"{self.address[0]}:{self.address[1]}",
            "seed": "0000000000000007",
            "board": f"127.0.0.1:{discovery_port}",
            "known": known or {"rev": 0, "notices": []},
            "limits": {"cores": 1.0, "memory_mb": 1_024, "sockets": 19_000},
            "settings": settings,
        }
        broker_folder = Path(folder) / name
        broker_folder.mkdir()
        (broker_folder / "config.json").write_text(json.dumps(config))
        self.started_at = time.time()
        self.child = subprocess.Popen(
            [sys.executable, "-m", "umberusher", "serve", "--log-level", "error"],
            cwd=root,
            env=os.environ
            | {
                "LB_CONFIG": str(broker_folder / "config.json"),
                "TMPDIR": str(broker_folder),
                "PYTHONPATH": root,
            },
        )
        self.pid = self.child.pid

    def is_ready(self) -> bool:
        """Return whether the broker accepts clients."""
        try:
            with socket.create_connection(self.address, 1.0) as sock:
                sock.settimeout(1.0)
                return check_ready(sock)
        except OSError:
            return False

    def wait_until_ready(self, timeout_s: float) -> float | None:
        """Return the seconds from start to readiness; None after the timeout."""
        while time.time() - self.started_at < timeout_s:
            if self.child.poll() is not None:
                raise SystemExit("the broker process exited before it was ready")
            if self.is_ready():
                return time.time() - self.started_at
            time.sleep(CHECK_INTERVAL_S)
        return None

    def close(self) -> None:
        """Stop the process."""
        self.child.send_signal(signal.SIGTERM)
        try:
            self.child.wait(10)
        except subprocess.TimeoutExpired:
            self.child.kill()
            self.child.wait(5)


def check_ready(sock: socket.socket) -> bool:
    """Send a health check and return whether the answer says ready."""
    sock.sendall(thrift_client.encode_check(1))
    ring = RingBuffer(1 << 16)
    while (answer := thrift_client.next_answer(ring)) is None:
        data = sock.recv(4_096)
        if not data:
            return False
        ring.write(data)
    return answer.ready


@contextlib.contextmanager
def closing_resources() -> Iterator[list[Any]]:
    """Yield a list that holds a folder and close what is appended to it, the newest first."""
    with tempfile.TemporaryDirectory() as folder:
        resources: list[Any] = [folder]
        try:
            yield resources
        finally:
            for resource in reversed(resources[1:]):
                resource.close()


def start_discovery_and_broker(
    resources: list[Any], root: str, length: int
) -> tuple[HelperProcess, BrokerProcess]:
    """Start a stand-in discovery with a list of that length and a broker that polls it."""
    discovery = HelperProcess("slopes_discovery.py", length)
    resources.append(discovery)
    broker = BrokerProcess(root, discovery.first_line, resources[0], f"b{len(resources)}")
    resources.append(broker)
    return discovery, broker


def wait_until_settled(discovery: HelperProcess, broker: BrokerProcess) -> dict[str, Any] | None:
    """Return the counts of discovery once the broker has the whole list; None after the timeout."""
    while time.time() - broker.started_at < SETTLE_TIMEOUT_S:
        counts = discovery.request()
        if counts["settled_at"]:
            return counts
        time.sleep(CHECK_INTERVAL_S)
    return None


class CountWindow:
    """Counts of a broker and its discovery over a time that starts with this object."""

    def __init__(self, discovery: HelperProcess, broker: BrokerProcess) -> None:
        self.discovery, self.broker = discovery, broker
        self.counts_at_start, self.cpu_at_start_s, self.started_at = (
            discovery.request(),
            cpu_s(broker.pid),
            time.time(),
        )

    def end(self) -> dict[str, float]:
        """Return the rates and counts since the start."""
        counts, cpu, seconds = (
            self.discovery.request(),
            cpu_s(self.broker.pid),
            time.time() - self.started_at,
        )
        delta = {
            name: counts[name] - self.counts_at_start[name]
            for name in ("bytes_out", "answers", "lists", "rev")
        }
        return {
            "share": 100 * (cpu - self.cpu_at_start_s) / seconds,
            "bytes": delta["bytes_out"] / seconds,
            "messages": delta["answers"] / seconds,
            "changes": delta["rev"],
            "lists": delta["lists"],
        }


# -- Groups: each call adds the values of one round


# By measurement name and x: why a round has no value.
MissingReasons = dict[str, dict[float, list[str]]]


def broker_list(root: str, values: Values, missing: MissingReasons) -> None:
    """Start one broker per list length, one after the other; then watch all at once for LIST_WINDOW_S."""
    names = (
        "start-ready",
        "start-cpu",
        "start-bytes",
        "memory-resident",
        "memory-own",
        "control-share",
        "control-bytes",
        "control-messages",
    )
    with closing_resources() as resources:
        windows = {}
        for length in LIST_LENGTHS:
            if missing["broker-start-ready"][length]:
                continue  # an earlier round timed out after SETTLE_TIMEOUT_S at this length
            discovery, broker = start_discovery_and_broker(resources, root, length)
            ready = broker.wait_until_ready(SETTLE_TIMEOUT_S)
            counts = wait_until_settled(discovery, broker)
            if ready is None or counts is None:
                window = CountWindow(discovery, broker)
                time.sleep(LIST_WINDOW_S / 4)
                rates = window.end()
                reason = (
                    f"not settled within {SETTLE_TIMEOUT_S:.0f} s, then {rates['share']:.0f}% of a core, "
                    f"{rates['bytes'] / 1e3:.0f} kB/s from discovery, {memory_mb(broker.pid)[1]:.0f} MB"
                )
                for name in names:
                    missing[f"broker-{name}"][length].append(reason)
                resources.remove(broker)
                broker.close()
                continue
            values["broker-start-ready"][length].append(ready)
            values["broker-start-cpu"][length].append(cpu_s(broker.pid))
            values["broker-start-bytes"][length].append(counts["bytes_out"])
            windows[length] = discovery, broker
        time.sleep(1.0)
        for length, (discovery, broker) in windows.items():
            discovery.request("rate", per_s=CHANGE_RATES[0])
            windows[length] = CountWindow(discovery, broker)
        time.sleep(LIST_WINDOW_S)
        for length, window in windows.items():
            rates, (resident, own) = window.end(), memory_mb(window.broker.pid)
            for name, value in (
                ("memory-resident", resident),
                ("memory-own", own),
                ("control-share", rates["share"]),
                ("control-bytes", rates["bytes"]),
                ("control-messages", rates["messages"]),
            ):
                values[f"broker-{name}"][length].append(value)


def run_worker(root: str, *arguments: object) -> dict[str, Any]:
    """Run slopes_worker.py on the version in ``root``, in a separate process; return its results."""
    process = subprocess.run(
        [sys.executable, str(SCRIPTS / "slopes_worker.py"), *map(str, arguments)],
        cwd=root,
        text=True,
        env=os.environ | {"PYTHONPATH": root},
        stdout=subprocess.PIPE,
        timeout=180,
        check=True,
    )
    return json.loads(process.stdout)


def broker_module(root: str, values: Values, missing: MissingReasons) -> None:
    """Measure endpoint list and decisions in one process."""
    for length in LIST_LENGTHS:
        result = run_worker(root, "list", length)
        for name, value in (
            ("broker-first-list-cpu", 1e3 * result["first_s"]),
            ("broker-change-cpu", result["change_us"]),
            ("broker-arrival-cpu", result["arrival_us"]),
            ("broker-engines-held", result["held"]),
        ):
            values[name][length].append(value)
    for count, value in run_worker(root, "lump", LIST_LENGTHS[-1])["lump_ms"].items():
        values["broker-lump-cpu"][int(count)].append(value)


def module_scope(root: str, values: Values, missing: MissingReasons) -> None:
    """Measure the decision module alone."""
    for count in MODULE_ENGINE_COUNTS:
        values["module-arrival-cpu"][count].append(run_worker(root, "module", count)["arrival_us"])


def broker_rate(root: str, values: Values, missing: MissingReasons) -> None:
    """Measure all change rates at once, each on its own broker; then large changes on one of them."""
    for length in (8_000, 32_000):
        if missing[f"broker-rate-share-{length}"]:
            continue
        with closing_resources() as resources:
            windows = {}
            for rate in CHANGE_RATES:
                discovery, broker = start_discovery_and_broker(resources, root, length)
                if wait_until_settled(discovery, broker) is None:
                    for name in (
                        "rate-share",
                        "rate-bytes",
                        "rate-messages",
                        "lump-stall",
                        "lump-bytes",
                    ):
                        missing[f"broker-{name}-{length}"][
                            rate if "rate" in name else BATCH_SIZES[-1]
                        ].append(
                            f"the list of {length:,} isn't settled within {SETTLE_TIMEOUT_S:.0f} s"
                        )
                    break
                discovery.request("rate", per_s=rate)
                windows[rate] = discovery, broker
            else:
                time.sleep(1.0)
                windows = {rate: CountWindow(*each) for rate, each in windows.items()}
                time.sleep(RATE_WINDOW_S)
                for rate, window in windows.items():
                    rates = window.end()
                    for name, value in (
                        ("share", rates["share"]),
                        ("bytes", rates["bytes"]),
                        ("messages", rates["messages"]),
                    ):
                        values[f"broker-rate-{name}-{length}"][rate].append(value)
                for window in windows.values():
                    window.discovery.request("rate", per_s=0)
                time.sleep(0.5)
                measure_batches(
                    windows[CHANGE_RATES[0]].discovery,
                    windows[CHANGE_RATES[0]].broker,
                    length,
                    values,
                )


def measure_batches(
    discovery: HelperProcess, broker: BrokerProcess, length: int, values: Values
) -> None:
    """Measure bytes from discovery and the longest health check in the 2 s after one large change."""
    for count in BATCH_SIZES:
        with socket.create_connection(broker.address, 2.0) as sock:
            sock.settimeout(10.0)
            check_ready(sock)
            window = CountWindow(discovery, broker)
            discovery.request("change", entries=count)
            longest_s, deadline = 0.0, time.time() + 2.0
            while time.time() < deadline:
                sent_at = time.perf_counter()
                check_ready(sock)
                longest_s = max(longest_s, time.perf_counter() - sent_at)
                time.sleep(0.02)
        rates = window.end()
        values[f"broker-lump-stall-{length}"][count].append(1e3 * longest_s)
        values[f"broker-lump-bytes-{length}"][count].append(rates["bytes"] * 2.0)
        if rates["lists"] or rates["changes"] != 1:
            raise SystemExit(
                f"a change of {count} entries was not sent as exactly one change: {rates}"
            )


def client_idle(root: str, values: Values, missing: MissingReasons) -> None:
    """Measure connections that sent one check and are idle, with one broker per count, all at once."""
    with closing_resources() as resources, contextlib.ExitStack() as stack:
        brokers = {
            count: start_discovery_and_broker(resources, root, ENGINE_COUNT)[1]
            for count in CONNECTION_COUNTS
        }
        if not all(broker.wait_until_ready(SETTLE_TIMEOUT_S) for broker in brokers.values()):
            raise SystemExit("a broker did not become ready")
        time.sleep(0.5)
        baseline_mb = {count: memory_mb(broker.pid)[1] for count, broker in brokers.items()}
        socks: dict[int, list[socket.socket]] = {count: [] for count in CONNECTION_COUNTS}
        for count, broker in brokers.items():
            for _ in range(count):
                socks[count].append(
                    stack.enter_context(socket.create_connection(broker.address, 2.0))
                )
                check_ready(socks[count][-1])
        time.sleep(BUFFER_RELEASE_WAIT_S)
        started = {count: (cpu_s(broker.pid), time.time()) for count, broker in brokers.items()}
        for count, broker in brokers.items():
            values["client-idle-memory"][count].append(
                1e3 * (memory_mb(broker.pid)[1] - baseline_mb[count])
            )
        time.sleep(IDLE_WINDOW_S)
        for count, broker in brokers.items():
            cpu, started_at = started[count]
            values["client-idle-share"][count].append(
                100 * (cpu_s(broker.pid) - cpu) / (time.time() - started_at)
            )
        closed_count = sum(is_closed_by_peer(sock) for each in socks.values() for sock in each)
        if closed_count:
            raise SystemExit(f"{closed_count} idle connections were closed by the broker")


def is_closed_by_peer(sock: socket.socket) -> bool:
    """Return whether the broker has closed a connection."""
    sock.setblocking(False)
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False


def statement(root: str, values: Values, missing: MissingReasons) -> None:
    """Measure statements at each rate, then the maximum rate of one broker."""
    for rate in (*STATEMENT_RATES, 0.0):
        with closing_resources() as resources:
            engines = [HelperProcess("slopes_engines.py", ENGINE_COUNT // 3) for _ in range(3)]
            resources.extend(engines)
            ports = [port for each in engines for port in each.first_line]
            listed = [
                entry(number, 1, "SERVING")
                | {"hostPort": f"127.0.0.1:{port}", "zone": site.ZONES[0], "machineType": "std-8"}
                for number, port in enumerate(ports)
            ]
            known = {
                "rev": 1,
                "notices": [{"rev": 1, "pool": {"reset": True, "instances": listed}}],
            }
            # Sends no change: its revision is 1, as in the list that the broker starts with.
            discovery = HelperProcess("slopes_discovery.py", ENGINE_COUNT)
            resources.append(discovery)
            broker = BrokerProcess(
                root, discovery.first_line, resources[0], "b0", known, broker_count=1
            )
            resources.append(broker)
            if broker.wait_until_ready(SETTLE_TIMEOUT_S) is None:
                raise SystemExit("the broker did not become ready")
            run_clients(broker, 16, rate, WARM_UP_S)
            before, cpu = [each.request() for each in engines], cpu_s(broker.pid)
            result = run_clients(broker, 16, rate, STATEMENT_WINDOW_S)
            cpu, after = cpu_s(broker.pid) - cpu, [each.request() for each in engines]
            delta = {
                name: sum(now[name] - then[name] for then, now in zip(before, after, strict=True))
                for name in ("statements", "messages", "bytes_in", "probes")
            }
            if result["served"] < 0.99 * result["asked"]:
                missing["statement-cpu"][rate].append(
                    f"{result['served']} of {result['asked']} were served"
                )
                continue
            if not rate:
                values["statement-most"][ENGINE_COUNT].append(result["per_s"])
                values["statement-most-cpu"][ENGINE_COUNT].append(cpu / result["served"] * 1e6)
                continue
            for name, value in (
                ("statement-cpu", cpu / result["served"] * 1e6),
                ("statement-share", 100 * cpu / STATEMENT_WINDOW_S),
                ("engine-statement-bytes", delta["bytes_in"] / result["served"]),
                ("engine-statement-messages", delta["messages"] / result["served"]),
                ("engine-connections", sum(each["connections"] for each in after) / ENGINE_COUNT),
            ):
                values[name][rate].append(value)


def run_clients(
    broker: BrokerProcess, connections: int, rate: float, seconds: float
) -> dict[str, Any]:
    """Run clients in a separate process and return their counts."""
    result = subprocess.run(
        [
            sys.executable,
            str(SCRIPTS / "slopes_clients.py"),
            str(broker.address[1]),
            str(connections),
            str(rate),
            str(seconds),
        ],
        stdout=subprocess.PIPE,
        text=True,
        timeout=60,
        check=True,
    )
    return json.loads(result.stdout)


def discovery_side(root: str, values: Values, missing: MissingReasons) -> None:
    """Measure a stand-in discovery by brokers, list length at a start, change rate and change size."""
    with contextlib.ExitStack() as stack:
        discoveries = {
            count: stack.enter_context(discovery_with_followers(1_000, count))[0]
            for count in FOLLOWER_COUNTS
        }
        for count, delta in measure_discoveries(
            discoveries, dict.fromkeys(FOLLOWER_COUNTS, 10.0)
        ).items():
            values["discovery-change-cpu"][count].append(delta["cpu_s"] / delta["rev"] * 1e3)
            values["discovery-change-bytes"][count].append(delta["bytes_out"] / delta["rev"])
            values["discovery-memory"][count].append(memory_mb(discoveries[count].child.pid)[1])
        for count, delta in measure_discoveries(
            discoveries, dict.fromkeys(FOLLOWER_COUNTS, 0.0)
        ).items():
            values["discovery-idle-share"][count].append(100 * delta["cpu_s"] / DISCOVERY_WINDOW_S)
            values["discovery-idle-bytes"][count].append(delta["bytes_out"] / DISCOVERY_WINDOW_S)
    for length in LIST_LENGTHS:
        discovery = HelperProcess("slopes_discovery.py", length)
        before = discovery.request()
        followers = HelperProcess("slopes_followers.py", discovery.first_line, FOLLOWER_COUNTS[0])
        after = discovery.request()
        values["discovery-start-bytes"][length].append(
            (after["bytes_out"] - before["bytes_out"]) / FOLLOWER_COUNTS[0]
        )
        values["discovery-start-cpu"][length].append(
            1e3 * (after["cpu_s"] - before["cpu_s"]) / FOLLOWER_COUNTS[0]
        )
        followers.close()
        discovery.close()
    with contextlib.ExitStack() as stack:
        discoveries = {
            rate: stack.enter_context(discovery_with_followers(1_000, 110))[0]
            for rate in CHANGE_RATES
        }
        for rate, delta in measure_discoveries(
            discoveries, {rate: rate for rate in CHANGE_RATES}
        ).items():
            values["discovery-rate-share"][rate].append(100 * delta["cpu_s"] / DISCOVERY_WINDOW_S)
            values["discovery-rate-bytes"][rate].append(delta["bytes_out"] / DISCOVERY_WINDOW_S)
    with discovery_with_followers(4_000, 110) as (discovery, followers):
        for entries in BATCH_SIZES:
            before = discovery.request()
            rev = discovery.request("change", entries=entries)["rev"]
            deadline = time.time() + SETTLE_TIMEOUT_S
            while followers.request()["least"] < rev and time.time() < deadline:
                time.sleep(0.02)
            after = discovery.request()
            values["discovery-lump-bytes"][entries].append(
                (after["bytes_out"] - before["bytes_out"]) / 110
            )
            values["discovery-lump-cpu"][entries].append(
                1e3 * (after["cpu_s"] - before["cpu_s"]) / 110
            )


@contextlib.contextmanager
def discovery_with_followers(
    length: int, count: int
) -> Iterator[tuple[HelperProcess, HelperProcess]]:
    """Run a stand-in discovery and that many stand-in brokers that poll it."""
    discovery = HelperProcess("slopes_discovery.py", length)
    followers = HelperProcess("slopes_followers.py", discovery.first_line, count)
    try:
        yield discovery, followers
    finally:
        followers.close()
        discovery.close()


def measure_discoveries(
    discoveries: dict[float, HelperProcess], rates: dict[float, float]
) -> dict[float, dict[str, float]]:
    """Return the counts of discoveries over one measuring time, each at its rate of changes, all at once."""
    for key, discovery in discoveries.items():
        discovery.request("rate", per_s=rates[key])
    before = {key: discovery.request() for key, discovery in discoveries.items()}
    time.sleep(DISCOVERY_WINDOW_S)
    after = {key: discovery.request() for key, discovery in discoveries.items()}
    for discovery in discoveries.values():
        discovery.request("rate", per_s=0)
    time.sleep(0.2)
    return {
        key: {
            name: after[key][name] - before[key][name] for name in ("cpu_s", "bytes_out", "answers")
        }
        | {"rev": max(after[key]["rev"] - before[key]["rev"], 1)}
        for key in discoveries
    }


# -- Measurements and their files


BY_ENGINES_LISTED, BY_CHANGES_PER_S, BY_ENTRIES, BY_FOLLOWERS, BY_STATEMENTS_PER_S = (
    "engines listed",
    "changes a second",
    "entries of a change",
    "brokers that follow it",
    "statements a second offered",
)
LENGTH_LABELS = {8_000: "8,000 listed", 32_000: "32,000 listed"}
MEASUREMENTS: dict[str, tuple[str, str, str, str, str]] = {  # role, what, by, unit, clock
    "broker-start-ready": (
        "broker",
        "time from its start till it is good",
        BY_ENGINES_LISTED,
        "s",
        "wall",
    ),
    "broker-start-cpu": (
        "broker",
        "processor time from its start till it waits for news",
        BY_ENGINES_LISTED,
        "s",
        "wall",
    ),
    "broker-start-bytes": (
        "broker",
        "bytes from discovery till it waits for news",
        BY_ENGINES_LISTED,
        "B",
        "counted",
    ),
    "broker-memory-resident": ("broker", "resident memory", BY_ENGINES_LISTED, "MB", "wall"),
    "broker-memory-own": (
        "broker",
        "resident memory less what is shared",
        BY_ENGINES_LISTED,
        "MB",
        "wall",
    ),
    "broker-control-share": (
        "broker",
        "part of a core at 0.57 changes a second, no clients",
        BY_ENGINES_LISTED,
        "%",
        "wall",
    ),
    "broker-control-bytes": (
        "broker",
        "bytes from discovery at 0.57 changes a second",
        BY_ENGINES_LISTED,
        "B/s",
        "counted",
    ),
    "broker-control-messages": (
        "broker",
        "answers of discovery at 0.57 changes a second",
        BY_ENGINES_LISTED,
        "1/s",
        "counted",
    ),
    "broker-first-list-cpu": (
        "broker",
        "processor time for the first list, list and decisions",
        BY_ENGINES_LISTED,
        "ms",
        "wall",
    ),
    "broker-change-cpu": (
        "broker",
        "processor time for a change of one entry, list and decisions",
        BY_ENGINES_LISTED,
        "us",
        "wall",
    ),
    "broker-arrival-cpu": (
        "broker",
        "processor time of the decisions for a statement with its answer, 1,600 a second",
        BY_ENGINES_LISTED,
        "us",
        "wall",
    ),
    "broker-engines-held": (
        "broker",
        "engines that the decisions hold",
        BY_ENGINES_LISTED,
        "engines",
        "counted",
    ),
    "broker-lump-cpu": (
        "broker",
        "processor time for a change, list and decisions, 32,000 listed",
        BY_ENTRIES,
        "ms",
        "wall",
    ),
    "module-arrival-cpu": (
        "broker",
        "processor time of the module for a statement with its answer, 6,250 a second",
        "engines told",
        "us",
        "wall",
    ),
    "client-idle-memory": (
        "client connection",
        "memory of a broker over that without clients",
        "quiet connections",
        "kB",
        "wall",
    ),
    "client-idle-share": ("client connection", "part of a core", "quiet connections", "%", "wall"),
    "statement-cpu": (
        "client connection",
        "processor time of a broker a statement, 6 engines that answer at once",
        BY_STATEMENTS_PER_S,
        "us",
        "wall",
    ),
    "statement-share": (
        "client connection",
        "part of a core, 6 engines that answer at once",
        BY_STATEMENTS_PER_S,
        "%",
        "wall",
    ),
    "statement-most": (
        "client connection",
        "statements a second that one broker does, closed loop of 64",
        "engines",
        "1/s",
        "wall",
    ),
    "statement-most-cpu": (
        "client connection",
        "processor time of a broker a statement in that closed loop",
        "engines",
        "us",
        "wall",
    ),
    "engine-statement-bytes": (
        "engine",
        "bytes from a broker a statement, probes with them",
        BY_STATEMENTS_PER_S,
        "B",
        "counted",
    ),
    "engine-statement-messages": (
        "engine",
        "messages from a broker a statement, probes with them",
        BY_STATEMENTS_PER_S,
        "messages",
        "counted",
    ),
    "engine-connections": (
        "engine",
        "connections that one broker holds to an engine, 6 engines",
        BY_STATEMENTS_PER_S,
        "connections",
        "counted",
    ),
    "discovery-change-cpu": (
        "discovery",
        "processor time for a change, stand-in",
        BY_FOLLOWERS,
        "ms",
        "wall",
    ),
    "discovery-change-bytes": (
        "discovery",
        "bytes to all brokers for a change, polls with them at 10 a second",
        BY_FOLLOWERS,
        "B",
        "counted",
    ),
    "discovery-memory": (
        "discovery",
        "resident memory less what is shared, 1,000 listed, stand-in",
        BY_FOLLOWERS,
        "MB",
        "wall",
    ),
    "discovery-idle-share": (
        "discovery",
        "part of a core without changes, stand-in",
        BY_FOLLOWERS,
        "%",
        "wall",
    ),
    "discovery-idle-bytes": (
        "discovery",
        "bytes to all brokers without changes",
        BY_FOLLOWERS,
        "B/s",
        "counted",
    ),
    "discovery-start-bytes": (
        "discovery",
        "bytes of a full list to a broker",
        BY_ENGINES_LISTED,
        "B",
        "counted",
    ),
    "discovery-start-cpu": (
        "discovery",
        "processor time of a full list a broker, ten at once, stand-in",
        BY_ENGINES_LISTED,
        "ms",
        "wall",
    ),
    "discovery-rate-share": (
        "discovery",
        "part of a core, 110 brokers, stand-in",
        BY_CHANGES_PER_S,
        "%",
        "wall",
    ),
    "discovery-rate-bytes": (
        "discovery",
        "bytes to 110 brokers",
        BY_CHANGES_PER_S,
        "B/s",
        "counted",
    ),
    "discovery-lump-bytes": (
        "discovery",
        "bytes to a broker for a change, 110 brokers",
        BY_ENTRIES,
        "B",
        "counted",
    ),
    "discovery-lump-cpu": (
        "discovery",
        "processor time for a change a broker, 110 brokers, stand-in",
        BY_ENTRIES,
        "ms",
        "wall",
    ),
} | {
    f"broker-{name}-{length}": ("broker", f"{what}, {label}", by, unit, clock)
    for length, label in LENGTH_LABELS.items()
    for name, what, by, unit, clock in (
        ("rate-share", "part of a core, no clients", BY_CHANGES_PER_S, "%", "wall"),
        ("rate-bytes", "bytes from discovery", BY_CHANGES_PER_S, "B/s", "counted"),
        ("rate-messages", "answers of discovery", BY_CHANGES_PER_S, "1/s", "counted"),
        (
            "lump-stall",
            "longest wait for a check's answer in the 2 s from a change on",
            BY_ENTRIES,
            "ms",
            "wall",
        ),
        (
            "lump-bytes",
            "bytes from discovery in the 2 s from a change on",
            BY_ENTRIES,
            "B",
            "counted",
        ),
    )
}
GROUPS: dict[str, Callable[[str, Values, MissingReasons], None]] = {
    "broker-list": broker_list,
    "broker-module": broker_module,
    "module-scope": module_scope,
    "broker-rate": broker_rate,
    "client-idle": client_idle,
    "statement": statement,
    "discovery": discovery_side,
}


def git(root: str, *arguments: str) -> str:
    """Run git in a checkout and return its output."""
    return subprocess.run(
        ["git", *arguments], cwd=root, text=True, stdout=subprocess.PIPE, check=True
    ).stdout.strip()


def describe_machine() -> dict[str, Any]:
    """Return the description of this machine for a measurement's file."""
    cpu = next(
        (
            line.partition(":")[2].strip()
            for line in Path("/proc/cpuinfo").read_text().splitlines()
            if line.startswith("model name")
        ),
        platform.processor(),
    )
    memory = os.sysconf("SC_PHYS_PAGES") * PAGE_BYTES / 2**30
    return {
        "cpu": cpu,
        "cores": os.cpu_count(),
        "memory_gb": round(memory),
        "python": platform.python_version(),
        "kernel": platform.release(),
    }


def round_to_six_digits(value: float) -> float:
    """Round to six significant digits."""
    return float(f"{value:.6g}")


def write_measurement(
    name: str,
    group: str,
    root: str,
    by_x: dict[float, list[float]],
    missing: dict[float, list[str]],
    rounds: int,
    folder: Path,
) -> Path | None:
    """Write one measurement and return its path; None if no size has a value in each round."""
    role, what, by, unit, clock = MEASUREMENTS[name]
    points = [
        (float(x), [round_to_six_digits(value) for value in by_x[x]])
        for x in sorted(by_x)
        if len(by_x[x]) == rounds
    ]
    missing_reasons = {x: missing[x] for x in sorted(missing) if missing[x]} | {
        x: [f"{len(by_x[x])} of {rounds} rounds have a value"]
        for x in sorted(by_x)
        if len(by_x[x]) < rounds and not missing.get(x)
    }
    is_other_version = Path(root) != ROOT
    document: dict[str, Any] = {
        "v": FORMAT_VERSION,
        "name": name,
        "role": role,
        "what": what,
        "by": by,
        "unit": unit,
        "command": f"python scripts/measure_slopes.py {group}"
        + (" --root ROOT" if is_other_version else ""),
        "commit": git(root, "rev-parse", "HEAD"),
        "dirty": bool(git(root, "status", "--porcelain", "--", "umberusher", "scripts")),
        "clock": clock,
        "machine": describe_machine(),
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "rounds": rounds,
        "points": [{"x": x, "values": values} for x, values in points],
        "fit": None,
    }
    if is_other_version:
        # The commit of this script, which is of another version than the measured program.
        document["script"] = git(str(ROOT), "rev-parse", "HEAD")
    if missing_reasons:
        document["unreached"] = [
            {"x": x, "why": f"{why[0]} (rounds like it: {len(why)})"}
            for x, why in missing_reasons.items()
        ]
    if not points:
        print(f"{name}: no size has a value in each round: {missing_reasons}")
        return None
    if len(points) > 1:
        fit = fit_line([(x, statistics.median(values)) for x, values in points])
        document["fit"] = {
            "base": round_to_six_digits(fit.base),
            "slope": round_to_six_digits(fit.slope),
            "residuals": [round(value, 4) for value in fit.residuals],
            "linear_to": fit.linear_to,
        }
    path = folder / (
        f"{name}.{git(root, 'rev-parse', '--short=7', 'HEAD')}.json"
        if is_other_version
        else f"{name}.json"
    )
    measurement = read_measurement(document, path.name)
    text = json.dumps(document, indent=1)
    path.write_text(text + "\n")
    print(
        f"{path.name}: "
        + ", ".join(f"{x:g}: {y:.4g}" for x, y in measurement.medians())
        + f" {unit}; spread "
        f"{100 * measurement.spread():.0f}%"
        + (
            f"; {measurement.fit.base:.4g} + {measurement.fit.slope:.4g} x, residuals to "
            f"{100 * max(map(abs, measurement.fit.residuals)):.0f}%, linear to {measurement.fit.linear_to:g}"
            if measurement.fit
            else ""
        )
        + (f"; unreached {document['unreached']}" if missing_reasons else ""),
        flush=True,
    )
    return path


def main() -> int:
    """Measure a group and write its measurements."""
    parser = argparse.ArgumentParser()
    parser.add_argument("group", choices=GROUPS)
    parser.add_argument("--root", default=str(ROOT), help="a checkout of another version")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument(
        "--keep", default=str(ROOT / "measurements"), help="output folder for the JSON files"
    )
    args = parser.parse_args()
    root, values, missing = (
        str(Path(args.root).resolve()),
        defaultdict(lambda: defaultdict(list)),
        defaultdict(lambda: defaultdict(list)),
    )
    for number in range(args.rounds):
        started_at = time.time()
        GROUPS[args.group](root, values, missing)
        print(f"round {number + 1} of {args.rounds}: {time.time() - started_at:.0f} s", flush=True)
    for name in sorted({*values, *missing}):
        write_measurement(
            name, args.group, root, values[name], missing[name], args.rounds, Path(args.keep)
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
