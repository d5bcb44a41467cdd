"""Plays faults against a real broker process under a list that changes each second, and checks it.

By hand: ``python -m tests.faults.soak --seeds 50 --seconds 20`` plays each kind of fault by turns
and prints the broken rules; the exit status is 1 if there are any.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import logging
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from review.common import rig
from tests.faults.announcements import Announcements
from tests.faults.kinds import KINDS, FaultKind
from tests.faults.proxy import FaultProxy
from tests.faults.rules import Breach, EngineRun, RuleChecker, SentRequest, StateChange
from tests.faults.watch_proxy import WatchProxy

ROOT = Path(__file__).resolve().parents[2]
ENGINE_COUNT = 7
CLIENT_COUNT = 4
REQUESTS_PER_S_AND_CLIENT = 16.0
MIN_OPEN_ENGINES = 3
BUDGETS_S = {"lookup": 2.4, "report": 4.0, "load": 6.0}
WORK_S = {"lookup": 0.02, "report": 0.2, "load": 0.1}
CLASS_WEIGHTS = {"lookup": 0.9, "report": 0.07, "load": 0.03}
CANCEL_PROBABILITY = 0.02
GRACE_S = 0.25
# The earliest SIGKILL: the longest deadline of the deployment, counted as 3 s at most, and this.
MAX_COUNTED_DEADLINE_S = 3.0
KILL_AFTER_DEADLINE_S = 0.7
BROKER_PORTS = (20_000, 32_000)
CONNECTS_AFTER_TERM_S = 0.3
STATEMENT = b"select slot from sales_17.orders where site = 4"
LOAD_STATEMENT = b"insert into sales_17.orders select * from staging.orders"


@dataclass(slots=True)
class SoakReport:
    """What one run has shown."""

    kind: str
    seed: int
    breaches: list[Breach]
    outcomes: Counter[str]
    poll_count: int
    longest_lag_s: float

    def summary(self) -> str:
        """Return one line."""
        rules = Counter(breach.rule for breach in self.breaches)
        return (
            f"{self.kind:12} seed={self.seed} breaches={dict(rules)} "
            f"outcomes={dict(sorted(self.outcomes.items()))} polls={self.poll_count} "
            f"lag={self.longest_lag_s:.3f}"
        )


class RecordingEngine(rig.Engine):
    """A sound engine that reports each attempt with its time limit."""

    def __init__(self, record: rig.Record, engine_id: str, checker: RuleChecker) -> None:
        super().__init__(record, engine_id, lambda query_class: WORK_S[query_class])
        self._checker = checker

    async def _command(self, words, reader, writer, results) -> None:
        if words[0] == "REQ":
            fields = dict(pair.split("=", 1) for pair in words[2].split(","))
            ttl_s = float(fields["ttl"]) / 1000
            run = EngineRun(self.engine_id, words[1], time.time(), ttl_s)
            self._checker.runs.append(run)
        await super()._command(words, reader, writer, results)


class SilentRecord(rig.Record):
    """A record that keeps nothing."""

    def __init__(self) -> None:
        """Create the record."""

    def write(self, text: str) -> None:
        """Drop the line."""


class Soak:
    """One run: a broker process, its peers behind proxies, and the faults."""

    def __init__(self, kind: FaultKind, seed: int, seconds: float, log: Path | None = None) -> None:
        self._kind = kind
        self._seed = seed
        self._seconds = seconds
        self._log = log
        self._random = random.Random(f"{kind.name} {seed}")
        self._record = SilentRecord()
        self._announcements = Announcements(kind.service_delay_s)
        self.checker = RuleChecker(self._announcements, GRACE_S)
        self._board = rig.Board(self._record)
        self._engines = [
            RecordingEngine(self._record, f"s-{n}", self.checker) for n in range(ENGINE_COUNT)
        ]
        self._engine_proxies = [FaultProxy(lambda e=engine: e.port) for engine in self._engines]
        self._watches = self._new_watch_proxy()
        self._old_watches: list[WatchProxy] = []
        self._states = ["SERVING"] * ENGINE_COUNT
        self._started_ms = [0] * ENGINE_COUNT
        self._folder = Path(tempfile.mkdtemp(prefix="soak-"))
        self._port = _free_port(self._random)
        self._process: subprocess.Popen[bytes] | None = None
        self._accepts_new = asyncio.Event()
        self._is_up = asyncio.Event()
        # Between SIGTERM and the next start of the process.
        self._is_restarting = False
        self._longest_lag_s = 0.0
        self._problems: list[Breach] = []

    def _new_watch_proxy(self) -> WatchProxy:
        return WatchProxy(lambda: self._board.port, self._announcements)

    # -- The list

    def _entry(self, number: int) -> dict[str, Any]:
        entry = rig.serving(self._engines[number], self._started_ms[number], self._states[number])
        return entry | {"hostPort": f"{rig.HOST}:{self._engine_proxies[number].port}"}

    def _change_list(self) -> None:
        """Drain, remove or return an engine."""
        open_count = self._states.count("SERVING")
        number = self._random.randrange(ENGINE_COUNT)
        state = self._states[number]
        if state == "SERVING" and open_count <= MIN_OPEN_ENGINES:
            number = next(n for n in range(ENGINE_COUNT) if self._states[n] != "SERVING")
            state = self._states[number]
        if state == "SERVING":
            new_state = self._random.choice(["DRAINING", "DRAINING", "DELETED"])
        else:
            new_state = "SERVING"
            if state == "DELETED":
                self._started_ms[number] = int(time.time() * 1000)
        self._states[number] = new_state
        revision = len(self._board.events) + 1
        self._announcements.change(revision, time.time())
        self.checker.changes.append(
            StateChange(revision, self._engines[number].engine_id, new_state == "SERVING")
        )
        self._board.tell([self._entry(number)])

    async def _change_often(self) -> None:
        while True:
            await asyncio.sleep(self._random.uniform(0.4, 1.4))
            self._change_list()

    # -- The broker

    def _write_config(self) -> None:
        config = {
            "name": "n1",
            "listen": f"{rig.HOST}:{self._port}",
            "seed": f"{self._seed:x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "board": f"{rig.HOST}:{self._watches.port}",
            "known": self._board.document(),
            "settings": self._settings(),
        }
        path = self._folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")

    def _settings(self) -> dict[str, Any]:
        settings = rig.small_settings()
        longest_ms = self._kind.longest_deadline_s * 1000
        for grade in settings["grades"]:
            grade["deadline_ms"] = min(grade["deadline_ms"], longest_ms)
        return settings

    def _budget_s(self, query_class: str) -> float:
        return min(BUDGETS_S[query_class], 0.95 * self._kind.longest_deadline_s)

    def _start_process(self) -> None:
        environment = {key: value for key, value in os.environ.items() if key[:3] != "LB_"}
        environment |= {
            "LB_CONFIG": str(self._folder / "config.json"),
            "LB_LISTEN": f"{rig.HOST}:{self._port}",
            "TMPDIR": str(self._folder),
            "FAULTS": json.dumps(self._kind.shim | {"seed": self._seed}),
        }
        with (self._log or self._folder / "log").open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "tests.faults.shim", "serve", "--log-level", "debug"],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stderr=log,
            )

    async def _await_ready(self) -> None:
        give_up_s = time.time() + 15.0
        while time.time() < give_up_s:
            client = rig.Client(self._record, "front")
            with contextlib.suppress(OSError):
                await client.connect(self._port)
                await client.check()
                await asyncio.sleep(0.1)
                client.close()
                if client.checks and client.checks[-1]:
                    self._is_up.set()
                    self._accepts_new.set()
                    return
            await asyncio.sleep(0.1)
        raise rig.CouldNotRunError("the broker did not become ready")

    # -- Clients

    async def _usual_client(self) -> None:
        """Send requests on one connection after the other."""
        while True:
            await self._accepts_new.wait()
            client = rig.Client(self._record, "usual")
            with contextlib.suppress(OSError):
                await client.connect(self._port)
                while client.closed_at is None and self._is_up.is_set():
                    if client.open_count < rig.MAX_OPEN:
                        await self._send(client, is_first=not client.calls)
                    await asyncio.sleep(self._random.expovariate(REQUESTS_PER_S_AND_CLIENT))
                while client.closed_at is None and client.open_count:
                    await asyncio.sleep(0.05)
                client.close()
            await asyncio.sleep(0.02)

    async def _short_client(self) -> None:
        """Send one request on a new connection."""
        client = rig.Client(self._record, "short")
        with contextlib.suppress(OSError):
            await client.connect(self._port)
            await self._send(client, is_first=True)
            for call in client.calls.values():
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(call.done.wait(), call.budget_s + 1.0)
            client.close()

    async def _short_clients(self, tasks: set[asyncio.Task[None]]) -> None:
        while True:
            await asyncio.sleep(self._random.expovariate(self._kind.new_connections_per_s))
            await self._accepts_new.wait()
            task = asyncio.create_task(self._short_client())
            tasks.add(task)
            task.add_done_callback(tasks.discard)

    async def _idle_client(self) -> None:
        """Keep an idle connection open: it connects again once the broker has closed it."""
        while True:
            await self._accepts_new.wait()
            client = rig.Client(self._record, "idle")
            with contextlib.suppress(OSError):
                await client.connect(self._port)
                while client.closed_at is None and self._is_up.is_set():
                    await asyncio.sleep(0.5)
                client.close()
            await asyncio.sleep(self._random.uniform(0.2, 1.0))

    async def _send(self, client: rig.Client, is_first: bool) -> None:
        [query_class] = self._random.choices([*CLASS_WEIGHTS], [*CLASS_WEIGHTS.values()])
        is_load = query_class == "load"
        key = f"{self._random.getrandbits(64):016x}" if is_load else None
        call = await client.execute(
            query_class, self._budget_s(query_class), LOAD_STATEMENT if is_load else STATEMENT, key
        )
        request = SentRequest(call.request_id, query_class, call.sent_at, call.budget_s, is_first)
        self.checker.requests[call.request_id] = request
        asyncio.create_task(self._follow(client, call, request))  # noqa: RUF006  (bounded by its budget)

    async def _follow(self, client: rig.Client, call: rig.Call, request: SentRequest) -> None:
        """Record the answers of a request; cancel a few."""
        cancels = self._random.random() < CANCEL_PROBABILITY
        wait_s = self._random.uniform(0.0, 0.05) if cancels else call.budget_s + 1.5
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(call.done.wait(), wait_s)
        if cancels and not call.done.is_set():
            request.left_s = time.time()
            call.done.set()
            target = next(seqid for seqid, each in client.calls.items() if each is call)
            with contextlib.suppress(OSError):
                client._writer.write(rig.interrupt_frame(next(client._seqids), target))
            return
        # A second answer would come soon after the first one.
        await asyncio.sleep(0.2)
        request.answers = [(at_s, kind) for at_s, kind, _ in call.answers]
        request.closed_s = call.closed_at

    # -- Faults

    async def _play_faults(self) -> None:
        while self._kind.actions:
            await asyncio.sleep(self._random.uniform(*self._kind.interval_s))
            action = self._random.choice(self._kind.actions)
            await getattr(self, f"_{action}")()

    async def _silence_watches(self) -> None:
        self._watches.silence()

    async def _reset_watches(self) -> None:
        self._watches.reset()

    async def _delay_watches(self) -> None:
        delay_s = self._random.choice([0.0, self._random.uniform(0.0, self._kind.service_delay_s)])
        self._watches.delay_s = delay_s

    async def _stop_process(self) -> None:
        self._process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.3, 2.2))
        self._process.send_signal(signal.SIGCONT)

    async def _reset_engine(self) -> None:
        self._random.choice(self._engine_proxies).reset()

    async def _silence_engine(self) -> None:
        proxy = self._random.choice(self._engine_proxies)
        proxy.silence()
        await asyncio.sleep(self._random.uniform(0.2, 2.0))
        proxy.reset()

    async def _move_discovery(self) -> None:
        """Name another address, with SIGHUP; the old one tells nothing more."""
        old = self._watches
        self._watches = self._new_watch_proxy()
        await self._watches.start()
        self._old_watches.append(old)
        self._write_config()
        old.silence()
        self._process.send_signal(signal.SIGHUP)
        self._announcements.reload(time.time())
        await asyncio.sleep(self._random.uniform(0.0, 0.3))
        self._process.send_signal(signal.SIGHUP)
        asyncio.get_running_loop().call_later(1.5, old.reset)

    async def _restart(self) -> None:
        """End the process as a planned restart does, and start it again."""
        self._is_restarting = True
        self._process.send_signal(signal.SIGTERM)
        await asyncio.sleep(CONNECTS_AFTER_TERM_S)
        self._accepts_new.clear()
        deadline_s = min(self._kind.longest_deadline_s, MAX_COUNTED_DEADLINE_S)
        kill_after_s = deadline_s + KILL_AFTER_DEADLINE_S
        give_up_s = time.time() + kill_after_s - CONNECTS_AFTER_TERM_S
        while self._process.poll() is None and time.time() < give_up_s:
            await asyncio.sleep(0.02)
        self._is_up.clear()
        if self._process.poll() is None:
            killed_at_s = time.time()
            self._process.kill()
            self._process.wait()
            for request in self.checker.requests.values():
                # Requests that came later than 0.7 s after SIGTERM have to be answered by then.
                came_before_s = killed_at_s - deadline_s
                if not request.answers and request.sent_s < came_before_s:
                    request.may_be_cut = True
        elif self._process.returncode != 0:
            self._problems.append(Breach("exit", f"status {self._process.returncode}"))
        self._write_config()
        self._start_process()
        self._is_restarting = False
        await self._await_ready()

    async def _measure_lag(self) -> None:
        """Measure how late this process itself is."""
        while True:
            before_s = time.monotonic()
            await asyncio.sleep(0.01)
            self._longest_lag_s = max(self._longest_lag_s, time.monotonic() - before_s - 0.01)

    # -- The run

    async def play(self) -> SoakReport:
        """Play the run and check it."""
        for each in (*self._engines, *self._engine_proxies, self._board, self._watches):
            await each.start()
        self._announcements.change(1, time.time())
        self._board.tell([self._entry(number) for number in range(ENGINE_COUNT)], reset=True)
        self._write_config()
        self._start_process()
        short_tasks: set[asyncio.Task[None]] = set()
        try:
            await self._await_ready()
            tasks = [asyncio.create_task(self._usual_client()) for _ in range(CLIENT_COUNT)]
            tasks += [asyncio.create_task(self._idle_client()) for _ in range(self._kind.crowd)]
            tasks.append(asyncio.create_task(self._short_clients(short_tasks)))
            tasks.append(asyncio.create_task(self._change_often()))
            tasks.append(asyncio.create_task(self._measure_lag()))
            faults = asyncio.create_task(self._play_faults())
            await asyncio.sleep(self._seconds)
            faults.cancel()
            self._process.send_signal(signal.SIGCONT)
            self._accepts_new.clear()
            self._is_up.clear()
            # All open requests get their answers or run out of time.
            await asyncio.sleep(max(BUDGETS_S.values()) + 2.0)
            for task in tasks:
                task.cancel()
            problems = self._problems
            if faults.done() and not faults.cancelled() and faults.exception():
                problems.append(Breach("player", repr(faults.exception())))
            ended_as_asked = self._is_restarting and self._process.poll() == 0
            if self._process.poll() is not None and not ended_as_asked:
                problems.append(Breach("exit", f"status {self._process.returncode}"))
            poll_count = self._watches.poll_count + sum(w.poll_count for w in self._old_watches)
            breaches = [*self.checker.breaches(), *problems]
            return SoakReport(
                self._kind.name,
                self._seed,
                breaches,
                self.checker.outcome_counts(),
                poll_count,
                self._longest_lag_s,
            )
        finally:
            if self._process.poll() is None:
                self._process.send_signal(signal.SIGCONT)
                self._process.kill()
            self._process.wait()
            shutil.rmtree(self._folder, ignore_errors=True)


def _free_port(generator: random.Random) -> int:
    """Return a free port below those that the kernel gives to outgoing connections.

    Runs beside each other could otherwise take it before the broker does, or while it restarts.
    """
    for _ in range(100):
        port = generator.randrange(*BROKER_PORTS)
        with contextlib.suppress(OSError), socket.create_server((rig.HOST, port)):
            return port
    raise rig.CouldNotRunError("no port is free")


def play(kind: FaultKind, seed: int, seconds: float, log: Path | None = None) -> SoakReport:
    """Play one run in this process."""
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)

    async def run() -> SoakReport:
        return await Soak(kind, seed, seconds, log).play()

    return asyncio.run(run())


def main() -> int:
    """Play the runs that the command line asks for; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=len(KINDS), help="number of runs")
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=20.0, help="length of each run")
    parser.add_argument("--kind", choices=[kind.name for kind in KINDS], help="only this kind")
    parser.add_argument("--log", type=Path, help="where the broker's log is appended")
    arguments = parser.parse_args()
    kinds = [kind for kind in KINDS if arguments.kind in (None, kind.name)]
    broken_count = 0
    for number in range(arguments.seeds):
        seed = arguments.first_seed + number
        report = play(kinds[number % len(kinds)], seed, arguments.seconds, arguments.log)
        print(report.summary(), flush=True)
        for breach in report.breaches[:8]:
            print(f"    {breach.rule}: {breach.text}", flush=True)
        broken_count += bool(report.breaches)
    print(f"{broken_count} of {arguments.seeds} runs with a broken rule")
    return int(broken_count > 0)


if __name__ == "__main__":
    sys.exit(main())
