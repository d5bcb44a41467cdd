"""The brokers of a replay: on the same loop with simulated time, or as processes in real time."""

from __future__ import annotations

import ctypes
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Protocol

from umberusher import config as configuration
from umberusher.broker.broker import Broker
from umberusher.net.loop import Loop
from umberusher.replay.clock import ReplayClock
from umberusher.replay.options import ReplayOptions
from umberusher.standin.client_pool import free_address
from umberusher.standin.clock import StepLoop

Address = tuple[str, int]

ANY_PORT: Address = ("127.0.0.1", 0)
TERMINATION_TIMEOUT_S = 3.0  # for a broker's process to end after SIGTERM
PR_SET_PDEATHSIG = 1  # of prctl(2)
MAX_LOG_LINE_CHARS = 120
_NUMBERS = re.compile(r"[0-9a-f]{16}|\d+(\.\d+)?")


@dataclass(slots=True)
class BrokerReport:
    """The reports of the brokers at the end of a replay.

    Attributes:
        account: Their own counts of deadlines, cancels and waste, summed; step clock only.
        request_events: Their events for requests that ended late, expired or disconnected.
        log_lines: Their warnings, counted by kind of log line; wall clock only.
        crash_count: Processes that ended otherwise than by exit status 0 or SIGTERM.
    """

    account: Counter[str] = field(default_factory=Counter)
    request_events: list[dict[str, Any]] = field(default_factory=list)
    log_lines: Counter[str] = field(default_factory=Counter)
    crash_count: int = 0


class BrokerHost(Protocol):
    """Runs the brokers of a replay."""

    report: BrokerReport

    def start(self, raw_configuration: dict[str, Any]) -> Address:
        """Start a broker; return the address for its clients."""

    def any_ended(self) -> bool:
        """Return whether a broker has exited before it was stopped."""

    def stall(self, duration_ms: float) -> None:
        """Keep all brokers from running for a time."""

    def close(self) -> None:
        """End all brokers."""


class InProcessBrokers:
    """Brokers on the loop of the stand-ins, with simulated time."""

    def __init__(
        self,
        options: ReplayOptions,
        loop: StepLoop,
        clock: ReplayClock,
        on_closing: Callable[[Broker], None] | None = None,
    ) -> None:
        """Create the host.

        Args:
            options: The replay's options.
            loop: Runs the brokers.
            clock: Supplies the times of request events.
            on_closing: Called with each broker before it closes.
        """
        self.report = BrokerReport()
        self.brokers: list[Broker] = []
        self._options = options
        self._loop = loop
        self._clock = clock
        self._on_closing = on_closing

    def start(self, raw_configuration: dict[str, Any]) -> Address:
        """Start a broker; return the address for its clients."""
        config = configuration.parse(raw_configuration)
        config.listen = ANY_PORT
        make_contracts = None
        if self._options.contract_path:
            # Imported only for a contract: it needs the requirements of the tools.
            from umberusher.commands import contracts

            make_contracts = contracts.enforcer_factory(
                self._options.contract_path, config.settings
            )
        broker = Broker(
            config,
            self._loop,
            self._loop.clock,
            make_contracts=make_contracts,
            receipts=self._options.receipts,
        )
        if self._options.keep_request_events:
            self._record_request_events(broker, raw_configuration["name"])
        broker.start()
        self.brokers.append(broker)
        listener = broker.frontend.listener
        if listener is None:
            raise RuntimeError("the broker has no listener")
        host, port = listener.sock.getsockname()
        return host, port

    def any_ended(self) -> bool:
        """Return whether a broker has ended; in this process none does."""
        return False

    def stall(self, duration_ms: float) -> None:
        """Advance the simulated clock without running anything."""
        self._loop.now += duration_ms / 1000.0

    def close(self) -> None:
        """Collect the brokers' accounts and close the brokers; the loop stays open."""
        for broker in self.brokers:
            self._add_account(broker)
            if self._on_closing:
                self._on_closing(broker)
            broker.frontend.close()
            broker.admin.close()
            broker.hot_restart.close()
            broker.discovery.close()
            broker.upstream.close()

    def _record_request_events(self, broker: Broker, name: str) -> None:
        def record(event: Mapping[str, object]) -> None:
            at_ms = round(self._clock.now_ms(), 1)
            origin = {"event": "request", "broker": name, "at_ms": at_ms}
            self.report.request_events.append(origin | dict(event))

        broker.registry.account.emit_event = record

    def _add_account(self, broker: Broker) -> None:
        account = broker.registry.account
        total = self.report.account
        for name, counts in (
            ("late", account.late),
            ("expired", account.expired),
            ("left", account.disconnected),
            ("cancels", account.cancel_outcomes),
        ):
            for key, value in counts.items():
                total[f"{name} {key}"] += value
        total["wasted ms"] += round(account.wasted_work_ms)
        for key, value in broker.upstream.expired.items():
            total[f"unsent {key}"] += value


class BrokerProcesses:
    """Brokers as processes of their own, in real time; each is ended by its process identifier."""

    def __init__(self, options: ReplayOptions, loop: Loop) -> None:
        self.report = BrokerReport()
        self._options = options
        self._loop = loop
        self._processes: list[subprocess.Popen[bytes]] = []
        self._folder = tempfile.TemporaryDirectory(prefix="umberusher-replay-")

    def start(self, raw_configuration: dict[str, Any]) -> Address:
        """Start a broker; return the address for its clients."""
        address = free_address()
        name = raw_configuration["name"]
        listen = {"listen": f"{address[0]}:{address[1]}"}
        path = self._path(f"{name}.json")
        path.write_text(json.dumps(raw_configuration | listen))
        with self._path(f"{name}.log").open("wb") as log:
            process = subprocess.Popen(
                [sys.executable, "-m", "umberusher", "serve", *self._arguments()],
                stderr=log,
                stdout=log,
                env=os.environ | {"LB_CONFIG": str(path), "TMPDIR": self._folder.name},
                preexec_fn=_end_with_parent,  # noqa: PLW1509  (the replay has no threads)
            )
        self._processes.append(process)
        return address

    def any_ended(self) -> bool:
        """Return whether a broker has exited before it was stopped."""
        return any(process.poll() is not None for process in self._processes)

    def stall(self, duration_ms: float) -> None:
        """Suspend all brokers for a time."""
        self._signal_all(signal.SIGSTOP)
        self._loop.call_later(duration_ms, lambda: self._signal_all(signal.SIGCONT))

    def close(self) -> None:
        """End all brokers and read their logs."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in self._processes:
            try:
                process.wait(TERMINATION_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
            if process.returncode not in (0, -signal.SIGTERM):
                self.report.crash_count += 1
        for path in Path(self._folder.name).glob("*.log"):
            self._read_log(path)
        self._folder.cleanup()

    def _path(self, name: str) -> Path:
        return Path(self._folder.name) / name

    def _arguments(self) -> list[str]:
        arguments = []
        if self._options.contract_path:
            arguments += ["--contract", str(Path(self._options.contract_path).absolute())]
        if self._options.receipts:
            arguments.append("--receipts")
        if self._options.keep_request_events:
            return [*arguments, "--log-format", "json"]
        return ["--log-level", "warning"]

    def _signal_all(self, number: signal.Signals) -> None:
        for process in self._processes:
            process.send_signal(number)

    def _read_log(self, path: Path) -> None:
        for line in path.read_text(errors="replace").splitlines():
            if line.startswith('{"') and self._options.keep_request_events:
                event = json.loads(line)
                if event["event"] == "request":
                    self.report.request_events.append(event | {"broker": path.stem})
                continue
            text = _NUMBERS.sub("N", line.partition(": ")[2])
            self.report.log_lines[text[:MAX_LOG_LINE_CHARS]] += 1


def _end_with_parent() -> None:
    """Make the kernel kill this broker when the replay's process ends (prctl(2))."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
