"""Real ``serve`` processes with stand-in engines and clients.

A few stand-in engines serve all names of the endpoint list. Processor time is measured for each
broker process alone.
"""

from __future__ import annotations

import json
import os
import signal
import statistics
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from umberusher.net.loop import Loop
from umberusher.replay import site
from umberusher.scale.broker_settings import ORDINARY_TYPE, zone_name
from umberusher.scale.figures import Metric, metric
from umberusher.scale.plan import FleetSize
from umberusher.scale.process_usage import private_memory_mb, processor_time_s
from umberusher.scale.real_discovery import broker_names
from umberusher.simulated_fleet.update_history import EndpointEntry, EntryState
from umberusher.standin.client_connection import Call
from umberusher.standin.client_pool import ClientPool, free_address
from umberusher.standin.engine import Engine
from umberusher.standin.machine import MachineShape
from umberusher.standin.statements import encode_statement

ENGINE_COUNT = 8  # stand-in engines that serve all names
ENGINE_SHAPE = MachineShape(8, 16_384.0)
READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
STEP_MS = 20.0  # longest step of this process's loop
# The brokers' limits.
CORES = 1.0
MEMORY_MB = 256
SOCKETS = 4_096
# The statements: cheap lookups of a few kinds.
STATEMENT_BUDGET_MS = 2_000.0
STATEMENT_WORK_MS = 2.0
STATEMENT_MEMORY_MB = 8.0
STATEMENT_KINDS = 5
ENGINE_STARTED_MS = 1  # Unix time; long enough ago that no engine is warming up


def ignore_message(*_: object) -> None:
    """Ignore an event of a stand-in: ``trace replay`` checks the broker's wire protocol."""


class RealFleet:
    """Broker processes, and this process's stand-ins.

    Args:
        size: The size of the whole fleet, of which the brokers are a sample.
        broker_count: How many brokers run.
    """

    def __init__(self, size: FleetSize, broker_count: int) -> None:
        self._size = size
        self._broker_count = broker_count
        self.loop = Loop(time.time)
        self._processes: list[subprocess.Popen[bytes]] = []
        self._clients: list[ClientPool] = []
        self._engines = [
            Engine(self.loop, f"n-{number}", ENGINE_SHAPE, ignore_message)
            for number in range(ENGINE_COUNT)
        ]
        self._submitted_count = 0
        # Outcomes of statements since the last ``reset_counts``.
        self.outcomes: Counter[str] = Counter()
        self.latencies_ms: list[float] = []

    def entry(self, number: int, weight: float = 8.0) -> EndpointEntry:
        """Return the entry of the engine with this number."""
        host, port = self._engines[number % ENGINE_COUNT].address
        zone = zone_name(number % self._size.zones)
        return EndpointEntry(
            f"e{number}",
            EntryState.SERVING,
            zone,
            ORDINARY_TYPE,
            f"{host}:{port}",
            weight,
            ENGINE_STARTED_MS,
        )

    def start(self, folder: str, discovery_addresses: Mapping[str, tuple[str, int]]) -> None:
        """Start the brokers, with their configurations in a folder."""
        for number, name in enumerate(broker_names(self._broker_count)):
            address = free_address()
            path = Path(folder) / f"{name}.json"
            configuration = self._configuration(number, name, address, discovery_addresses[name])
            path.write_text(json.dumps(configuration))
            self._processes.append(
                subprocess.Popen(
                    [sys.executable, "-m", "umberusher", "serve", "--log-level", "error"],
                    env=os.environ | {"LB_CONFIG": str(path), "TMPDIR": folder},
                )
            )
            self._clients.append(ClientPool(self.loop, name, address, ignore_message))

    def _configuration(
        self,
        number: int,
        name: str,
        address: tuple[str, int],
        discovery_address: tuple[str, int],
    ) -> dict[str, Any]:
        """Return a broker's configuration; the brokers are spread over the fleet's positions."""
        position = number * self._size.brokers // self._broker_count
        zone = zone_name(position % self._size.zones)
        return {
            "name": name,
            "listen": f"{address[0]}:{address[1]}",
            "seed": f"{number + 1:016x}",
            "board": f"{discovery_address[0]}:{discovery_address[1]}",
            "limits": {"cores": CORES, "memory_mb": MEMORY_MB, "sockets": SOCKETS},
            "settings": site.settings(self._size.brokers, position) | {"zone": zone},
        }

    def run_until(self, condition: Callable[[], bool], timeout_s: float) -> bool:
        """Run the stand-ins until a condition holds; return whether it did within the time."""
        limit_s = time.monotonic() + timeout_s
        while time.monotonic() < limit_s:
            if condition():
                return True
            self.loop.step(STEP_MS)
        return False

    def run_for(self, duration_s: float) -> None:
        """Run the stand-ins for a duration."""
        self.run_until(lambda: False, duration_s)

    def wait_until_ready(self) -> dict[str, Metric]:
        """Poll each broker's readiness until all are ready; return how long it took."""
        started_s = time.monotonic()
        ready_after_s: dict[int, float] = {}

        def all_ready() -> bool:
            for number, clients in enumerate(self._clients):
                if clients.ready:
                    ready_after_s.setdefault(number, time.monotonic() - started_s)
                else:
                    clients.send_check()
            return len(ready_after_s) == self._broker_count

        self.run_until(all_ready, READY_TIMEOUT_S)
        metrics = {"real brokers ready": metric(len(ready_after_s), "brokers")}
        if ready_after_s:
            slowest_s = max(ready_after_s.values())
            metrics["real broker ready after, largest"] = metric(slowest_s, "s")
            median_cpu_s = statistics.median(self.processor_times_s())
            metrics["real broker, processor time until ready"] = metric(median_cpu_s, "s")
        return metrics

    def processor_times_s(self) -> list[float]:
        """Return the processor time of each broker."""
        return [processor_time_s(process.pid) for process in self._processes]

    def memory_max_mb(self) -> float:
        """Return the memory of the broker that uses the most."""
        return max(private_memory_mb(process.pid) for process in self._processes)

    def reset_counts(self) -> None:
        """Count statements from zero again."""
        self.outcomes.clear()
        self.latencies_ms.clear()

    def submit_to_all(self) -> None:
        """Submit one statement to each broker."""
        for clients in self._clients:
            self._submit(clients)

    def _submit(self, clients: ClientPool) -> None:
        self._submitted_count += 1
        number = self._submitted_count
        request = f"{number:016x}"
        started_s = time.perf_counter()

        def record_outcome(outcome: str, _answer: object) -> None:
            self.outcomes[outcome] += 1
            self.latencies_ms.append((time.perf_counter() - started_s) * 1e3)

        fields = {
            "method": "lookup",
            "est": f"{STATEMENT_WORK_MS:.1f}",
            "ram": f"{STATEMENT_MEMORY_MB:.0f}",
            "budget": f"{STATEMENT_BUDGET_MS:.0f}",
            "rid": request,
        }
        body = encode_statement(
            number % STATEMENT_KINDS,
            STATEMENT_WORK_MS,
            STATEMENT_MEMORY_MB,
            1,
            False,
            request[-8:],
        )
        clients.send(Call(request, fields, body, STATEMENT_BUDGET_MS, record_outcome))

    def close(self) -> None:
        """Stop the brokers and close the stand-ins."""
        for process in self._processes:
            process.send_signal(signal.SIGTERM)
        for clients in self._clients:
            clients.close()
        for process in self._processes:
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        for engine in self._engines:
            engine.close()
        self.loop.close()
