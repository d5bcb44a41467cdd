"""Stand-ins for clients, engines and the notice board, and a broker as a separate process.

The stand-ins use the standard library only and follow the pages PROTOCOL, DEPLOY and WIRE. They
listen on loopback addresses and free ports. Times are seconds of the system's Unix clock.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import logging
import os
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
VERSION_1 = 0x80010000
MAX_FRAME_BYTES = 1 << 20
PAGE_BYTES = 6_000
# What clients keep to: open requests on one connection.
MAX_OPEN = 32
# What clients estimate for a request of each class: work in milliseconds on one core, memory in MB.
ESTIMATES = {"lookup": ("120.0", "64"), "report": ("3700.0", "192"), "load": ("2300.0", "128")}

# Exit statuses of a case.
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2


class CouldNotRunError(Exception):
    """The case could not be played, so that it says nothing about the rule."""


class Record:
    """The record of a run: one line for each event, with its time since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.started_at = time.time()

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.time() - self.started_at:9.3f} {text}\n")

    @staticmethod
    def now() -> float:
        """Return the Unix time."""
        return time.time()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


def small_settings() -> dict[str, Any]:
    """Return the example settings of the page WIRE: two brokers of parks-bookings-dw."""
    common = {"group": "all", "memory_span_ms": 5000.0, "stream": False}
    return {
        "accounts": [],
        "clients": {"marks_retry": True},
        "contract": {
            "ask_within_ms": 10000.0,
            "cold_from": 0.35,
            "counted_over_ms": 10000.0,
            "drain_grace_ms": 250.0,
            "fall_ms": 1500.0,
            "grace_to_answer_ms": 20.0,
            "repeat_ratio": 0.1,
            "settle_after_doubt_ms": 500.0,
            "spare_attempts": 5.0,
            "tip_multiple": 4.0,
            "warm_within_ms": 15000.0,
        },
        "counted_by": "request",
        "domain": {
            "class_waits": [False, False, False],
            "cost_in_answers": False,
            "holds_tables": [False, False, True],
            "lanes_count": False,
            "max_grant_share": 0.4,
            "memory_heeded": False,
            "notes": "",
            "on_shortage": "line_up",
            "parallelism": [1, 2, 2],
            "ram_of_kind_mb": [16384.0, 32768.0],
            "report_x0": "share of memory granted",
            "report_x1": "share of disks busy",
            "size_cores": [8, 16],
            "tells_every_ms": 1000.0,
        },
        "fleet_size": 2,
        "grades": [
            common
            | {"name": "lookup", "aim_ms": 500.0, "aim_stretch": 2.0, "deadline_ms": 2500.0}
            | {"effect": "safe", "late_worth": 0.1, "points": 1.0},
            common
            | {"name": "report", "aim_ms": 1500.0, "aim_stretch": 2.5, "deadline_ms": 15000.0}
            | {"effect": "safe", "late_worth": 0.4, "points": 10.0},
            common
            | {"name": "load", "aim_ms": 3000.0, "aim_stretch": 2.5, "deadline_ms": 25000.0}
            | {"effect": "unsafe", "late_worth": 0.6, "points": 7.5, "keep_order": True},
        ],
        "limits": {
            "cancel": False,
            "connect_timeout_ms": 250.0,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 492407,
            "keepalive_ms": 15000.0,
            "max_attempts": 6,
            "max_open": 24620,
            "max_retry_after_ms": 500.0,
            "multiplex": 32,
            "peer_messages": False,
            "probes": True,
            "retry_after": True,
            "second_copies": False,
        },
        "machine_types": ["std-8", "std-16"],
        "membership_mode": "automatic",
        "over_share_worth": 0.1,
        "position": 0,
        "prices": {"cross_zone": 0.0089, "late_fail": 0.04, "probe": 0.01, "waste": 0.08},
        "report": {"fields": ["concurrent", "depth", "x0"], "how": "probe"},
        "round_ms": 5.0,
        "scoring_mix": {
            "whole": 0.5,
            "worst_class": 0.35,
            "worst_tenant": 0.0,
            "worst_window": 0.15,
        },
        "stage": 0,
        "stages": ["query-fleet"],
        "weight_kind": "rough",
        "workload": "queries",
        "zone": "room-a",
        "zones": ["room-a", "room-b"],
    }


# -- Engines


@dataclass(slots=True)
class Run:
    """One request that came whole to an engine.

    Attributes:
        engine: The engine's id.
        request_id: The request's id.
        query_class: Its class.
        first_at: When its first line was here.
        at: When its last byte was here.
        statement: Its statement.
        ended_at: When its answer was written; None before.
    """

    engine: str
    request_id: str
    query_class: str
    first_at: float
    at: float
    statement: bytes
    ended_at: float | None = None


class Engine:
    """A sound engine: runs what it is sent, and answers with rows made from the request.

    Attributes:
        engine_id: Its id on the notice board.
        port: Its port.
        runs: All requests that it was sent, in order.
    """

    def __init__(
        self, record: Record, engine_id: str, work_s: Callable[[str], float], rows: int = 3
    ) -> None:
        """Create an engine.

        Args:
            record: The record of the run.
            engine_id: Its id.
            work_s: Returns how long a request of a class runs.
            rows: Rows of each result.
        """
        self.engine_id = engine_id
        self.port = 0
        self.runs: list[Run] = []
        self._record = record
        self._work_s = work_s
        self._rows = rows
        self._running = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 21)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        results: dict[str, list[bytes]] = {}
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while line := await reader.readline():
                await self._command(line.decode().split(), reader, writer, results)
        with contextlib.suppress(OSError):
            writer.close()

    async def _command(
        self,
        words: list[str],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        results: dict[str, list[bytes]],
    ) -> None:
        verb, name = words[0], words[1]
        if verb == "REQ":
            first_at = time.time()
            body = (await reader.readexactly(int(words[3]) + 2))[:-2]
            fields = dict(pair.split("=", 1) for pair in words[2].split(","))
            run = Run(self.engine_id, name, fields["lane"], first_at, time.time(), body)
            self.runs.append(run)
            self._record.write(f"engine {self.engine_id} got {name} {run.query_class} {words[2]}")
            task = asyncio.create_task(self._answer(run, writer, results))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        elif verb in ("HELO", "STAT"):
            report = f"rep=concurrent:{self._running};depth:0;x0:0.1" if verb == "STAT" else "-"
            writer.write(f"{name} PONG {report}\r\n".encode())
        elif verb == "FETCH":
            self._fetch(name, int(words[2]), writer, results)
        elif verb == "END":
            results.pop(name, None)
            self._record.write(f"engine {self.engine_id} end {name}")
        elif verb == "STOP":
            # The work goes on: engines of this site stop nothing that they have begun.
            self._record.write(f"engine {self.engine_id} stop {name}")

    @staticmethod
    def _fetch(
        name: str, number: int, writer: asyncio.StreamWriter, results: dict[str, list[bytes]]
    ) -> None:
        pages = results.get(name, [])
        if 0 < number < len(pages):
            page = pages[number]
            head = f"{name} PART pos={number} {len(page)}\r\n".encode()
            writer.write(head + page + b"\r\n")
        else:
            writer.write(f"{name} FAULT -\r\n".encode())

    async def _answer(
        self, run: Run, writer: asyncio.StreamWriter, results: dict[str, list[bytes]]
    ) -> None:
        self._running += 1
        try:
            await asyncio.sleep(self._work_s(run.query_class))
            pages = paged(rows_of(run.request_id, self._rows))
            results[run.request_id] = pages
            head = f"{run.request_id} HIT count={len(pages)} {len(pages[0])}\r\n".encode()
            run.ended_at = time.time()
            with contextlib.suppress(OSError):
                writer.write(head + pages[0] + b"\r\n")
            self._record.write(f"engine {self.engine_id} answered {run.request_id}")
        finally:
            self._running -= 1


def rows_of(request_id: str, count: int) -> list[bytes]:
    """Return the rows that every engine makes for a request."""
    return [f"{request_id}\trow\t{number}\n".encode() for number in range(count)]


def paged(rows: list[bytes]) -> list[bytes]:
    """Return the pages of a result: whole rows, at most 6,000 bytes each."""
    pages = [b""]
    for row in rows:
        if len(pages[-1]) + len(row) > PAGE_BYTES:
            pages.append(b"")
        pages[-1] += row
    return pages


# -- The notice board


class Board:
    """The notice board: numbered events, told by long polls.

    Attributes:
        port: Its port.
        events: All events so far.
        slow_s: Time that it takes to answer a call, beside the wait that the call asks for.
        told: The number of the last event in an answer that was written whole.
    """

    def __init__(self, record: Record) -> None:
        self.port = 0
        self.slow_s = 0.0
        self.told = 0
        self.events: list[dict[str, Any]] = []
        self._record = record
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = server.sockets[0].getsockname()[1]

    def tell(self, instances: list[dict[str, Any]], reset: bool = False) -> None:
        """Add an event."""
        revision = len(self.events) + 1
        pool = {"generation": revision, "reset": reset, "instances": instances}
        self.events.append({"rev": revision, "pool": pool})
        self._record.write(f"board event {revision} {json.dumps(instances)}")
        self._changed.set()
        self._changed = asyncio.Event()

    def document(self, after: int = 0) -> dict[str, Any]:
        """Return the events after a number, in the form of an answer."""
        return {
            "rev": len(self.events),
            "notices": [event for event in self.events if event["rev"] > after],
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                query = head.split()[1].partition("?")[2]
                fields = dict(pair.split("=") for pair in query.split("&"))
                after, linger_ms = int(fields["watch"]), min(int(fields["linger"]), 5000)
                changed = self._changed
                if len(self.events) <= after:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(changed.wait(), linger_ms / 1000)
                if self.slow_s:
                    await asyncio.sleep(self.slow_s)
                if writer.is_closing() or reader.at_eof():
                    self._record.write(f"board: the caller at event {after} has gone unanswered")
                    break
                document = self.document(after)
                body = json.dumps(document).encode()
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
                )
                self.told = max(self.told, document["rev"])
                if document["notices"]:
                    self._record.write(f"board tells up to event {document['rev']}")
        with contextlib.suppress(OSError):
            writer.close()


def serving(engine: Engine, started_ms: int = 0, lifecycle: str = "SERVING") -> dict[str, Any]:
    """Return an engine's entry on the notice board."""
    return {
        "instanceId": engine.engine_id,
        "hostPort": f"{HOST}:{engine.port}",
        "zone": "room-a",
        "machineType": "std-8",
        "cell": 0,
        "lifecycle": lifecycle,
        "weight": 4,
        "startedAtMs": started_ms,
    }


# -- Clients


def thrift_string(data: bytes) -> bytes:
    """Return a string in the strict binary protocol."""
    return struct.pack(">i", len(data)) + data


def thrift_message(kind: int, name: str, seqid: int, payload: bytes) -> bytes:
    """Return a framed message."""
    head = struct.pack(">I", VERSION_1 | kind) + thrift_string(name.encode())
    return thrift_string(head + struct.pack(">i", seqid) + payload)


def execute_frame(seqid: int, fields: dict[str, str], body: bytes) -> bytes:
    """Return the framed call of a request."""
    pairs = b"".join(
        thrift_string(key.encode()) + thrift_string(value.encode()) for key, value in fields.items()
    )
    payload = struct.pack(">bhbbi", 13, 1, 11, 11, len(fields)) + pairs
    payload += struct.pack(">bh", 11, 2) + thrift_string(body) + b"\0"
    return thrift_message(1, "execute", seqid, payload)


def interrupt_frame(seqid: int, target: int) -> bytes:
    """Return the framed one-way call that takes a request back."""
    return thrift_message(4, "interrupt", seqid, struct.pack(">bhib", 8, 1, target, 0))


def check_frame(seqid: int) -> bytes:
    """Return the framed call by which the front asks whether the broker is ready."""
    return thrift_message(1, "check", seqid, struct.pack(">bhbb", 2, 1, 1, 0))


@dataclass(slots=True)
class Answer:
    """One answer: ``served``, ``refused``, ``failed`` or ``check``."""

    seqid: int
    kind: str
    body: bytes = b""
    good: bool = False


class _Reader:
    """Reads the values of one answer."""

    def __init__(self, data: bytes) -> None:
        self._data = data
        self._at = 0

    def take(self, size: int) -> bytes:
        self._at += size
        if size < 0 or self._at > len(self._data):
            raise ValueError("cut short")
        return self._data[self._at - size : self._at]

    def number(self, form: str) -> int:
        value: int = struct.unpack(form, self.take(struct.calcsize(form)))[0]
        return value

    def value(self, kind: int) -> Any:
        if kind == 2:
            return bool(self.number(">b"))
        if kind == 8:
            return self.number(">i")
        if kind == 11:
            return self.take(self.number(">i"))
        if kind == 12:
            return self.struct()
        if kind == 13:
            key, value, count = struct.unpack(">bbi", self.take(6))
            return {self.value(key): self.value(value) for _ in range(count)}
        raise ValueError(f"type {kind}")

    def struct(self) -> dict[int, Any]:
        found: dict[int, Any] = {}
        while kind := self.number(">b"):
            number = self.number(">h")
            found[number] = self.value(kind)
        return found


def decode_answer(frame: bytes) -> Answer:
    """Return the answer of a frame.

    Raises:
        ValueError: The frame can't be read.
    """
    reader = _Reader(frame)
    kind = reader.number(">I") & 0xFF
    name = reader.take(reader.number(">i"))
    seqid = reader.number(">i")
    fields = reader.struct()
    if kind == 3 or 2 in fields:
        return Answer(seqid, "failed")
    if 1 in fields:
        return Answer(seqid, "refused")
    result = fields[0]
    label = "check" if name == b"check" else "served"
    return Answer(seqid, label, result.get(1, b""), result.get(3, False))


@dataclass(slots=True)
class Call:
    """One request of a client.

    Attributes:
        request_id: Its id.
        query_class: Its class.
        sent_at: When its last byte was accepted by this machine.
        budget_s: How long the client waits.
        answers: The kinds of its answers with their times.
        closed_at: When its connection ended; None while it is open.
        done: Set with the first answer, the end of the connection, or the end of the wait.
    """

    request_id: str
    query_class: str
    sent_at: float
    budget_s: float
    answers: list[tuple[float, str, bytes]] = field(default_factory=list)
    closed_at: float | None = None
    done: asyncio.Event = field(default_factory=asyncio.Event)

    def lost(self, grace_s: float) -> str:
        """Return how the request was lost; empty if it got one whole answer in time."""
        if not self.answers:
            if self.closed_at is not None:
                return (
                    f"its connection ended after {self.closed_at - self.sent_at:.2f} s unanswered"
                )
            return "it was never answered"
        late_s = self.answers[0][0] - self.sent_at - self.budget_s
        if late_s > grace_s:
            return f"its answer came {late_s:.2f} s after its time"
        return "a second answer" if len(self.answers) > 1 else ""


class Client:
    """A usual client with one connection."""

    _ids = itertools.count(int(time.time() * 1e6))

    def __init__(self, record: Record, name: str) -> None:
        self.name = name
        self.calls: dict[int, Call] = {}
        self.checks: list[bool] = []
        self.closed_at: float | None = None
        self._record = record
        self._seqids = itertools.count(1)
        self._writer: asyncio.StreamWriter | None = None
        self._task: asyncio.Task[None] | None = None

    async def connect(self, port: int) -> None:
        """Connect to a broker."""
        reader, self._writer = await asyncio.open_connection(HOST, port)
        self._task = asyncio.create_task(self._read(reader))

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()

    async def execute(
        self, query_class: str, budget_s: float, statement: bytes, key: str | None = None
    ) -> Call:
        """Send a request; return it once its last byte is with the kernel."""
        assert self._writer is not None
        seqid = next(self._seqids)
        request_id = f"{next(self._ids) & (1 << 64) - 1:016x}"
        work_ms, memory_mb = ESTIMATES[query_class]
        fields = {"method": query_class, "rid": request_id, "budget": str(round(budget_s * 1000))}
        fields |= {"est": work_ms, "ram": memory_mb}
        if key is not None:
            fields["obj"] = key
        call = Call(request_id, query_class, time.time(), budget_s)
        self.calls[seqid] = call
        self._writer.write(execute_frame(seqid, fields, statement))
        with contextlib.suppress(OSError):
            await self._writer.drain()
        call.sent_at = time.time()
        self._record.write(
            f"client {self.name} sent {request_id} {query_class} {len(statement)} bytes"
        )
        return call

    @property
    def open_count(self) -> int:
        """The requests that were neither answered nor taken back."""
        return sum(not call.done.is_set() for call in self.calls.values())

    async def wait(self, call: Call, grace_s: float) -> None:
        """Wait for an answer until the request's time and some more are over, then take it back."""
        try:
            await asyncio.wait_for(call.done.wait(), call.budget_s + grace_s)
        except TimeoutError:
            target = next(seqid for seqid, each in self.calls.items() if each is call)
            call.done.set()
            self._record.write(f"client {self.name} takes {call.request_id} back, unanswered")
            assert self._writer is not None
            self._writer.write(interrupt_frame(next(self._seqids), target))

    async def check(self) -> None:
        """Ask whether the broker is ready."""
        assert self._writer is not None
        self._writer.write(check_frame(next(self._seqids)))
        await self._writer.drain()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                size = struct.unpack(">i", await reader.readexactly(4))[0]
                if not 0 < size <= MAX_FRAME_BYTES:
                    break
                self._take(decode_answer(await reader.readexactly(size)))
        self.closed_at = time.time()
        self._record.write(f"client {self.name} connection ended")
        for call in self.calls.values():
            if not call.answers:
                call.closed_at = self.closed_at
                call.done.set()

    def _take(self, answer: Answer) -> None:
        if answer.kind == "check":
            self.checks.append(answer.good)
            return
        call = self.calls[answer.seqid]
        call.answers.append((time.time(), answer.kind, answer.body))
        call.done.set()
        self._record.write(f"client {self.name} got {answer.kind} for {call.request_id}")


# -- The broker


class Broker:
    """A broker: ``run`` of the deploy file, started as the platform does.

    Attributes:
        port: Where clients connect.
        process: The process.
    """

    def __init__(self, record: Record, board: Board, name: str = "n1", **limits: float) -> None:
        self.port = free_port()
        self._record = record
        self._name = name
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        config = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "seed": f"{time.time_ns():x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024} | limits,
            "board": f"{HOST}:{board.port}",
            "known": board.document(),
            "settings": small_settings(),
        }
        (self._folder / "config.json").write_text(json.dumps(config), encoding="utf-8")
        (self._folder / "tmp").mkdir()
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the program of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))
        environment = {key: value for key, value in os.environ.items() if key[:3] != "LB_"}
        environment |= {
            "LB_CONFIG": str(self._folder / "config.json"),
            "LB_NAME": self._name,
            "LB_LISTEN": f"{HOST}:{self.port}",
            "TMPDIR": str(self._folder / "tmp"),
        }
        with (self._folder / "log").open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", deploy["run"]],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self._record.write(f"broker {self._name} started")

    async def ready(self, within_s: float = 15.0) -> None:
        """Wait until ``check`` is answered with good.

        Raises:
            CouldNotRunError: The broker did not become ready.
        """
        deadline = time.time() + within_s
        while time.time() < deadline:
            client = Client(self._record, "front")
            with contextlib.suppress(OSError):
                await client.connect(self.port)
                await client.check()
                await asyncio.sleep(0.2)
                client.close()
                if client.checks and client.checks[-1]:
                    self._record.write(f"broker {self._name} ready")
                    return
            await asyncio.sleep(0.1)
        raise CouldNotRunError("the broker did not become ready")

    @property
    def status(self) -> int | None:
        """The exit status; None while the process runs."""
        return self.process.poll() if self.process else None

    def stop(self) -> None:
        """End the process, write its log to the record, and remove its folder."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGKILL)
            self.process.wait()
        with contextlib.suppress(OSError):
            log = (self._folder / "log").read_text(encoding="utf-8", errors="replace")
            for line in log.splitlines()[:200]:
                self._record.write(f"broker {self._name} log: {line}")
        shutil.rmtree(self._folder, ignore_errors=True)


# -- A case


def play(folder: Path, case: Callable[[Record, bool], Awaitable[list[str]]], limit_s: float) -> int:
    """Play a case and return its exit status.

    Args:
        folder: The case's folder, for ``record.txt``.
        case: Plays the case, with or without its disruption, and returns what broke the rule.
        limit_s: The longest time that it may take.
    """
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def bounded() -> list[str]:
        async with asyncio.timeout(limit_s):
            return await case(record, with_trouble)

    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    # A test that is ended from outside still ends its processes.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    try:
        broken = asyncio.run(bounded())
    except Exception as error:
        # Whatever stops a case by itself says nothing about the broker.
        record.write(f"verdict: could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        return COULD_NOT_RUN
    finally:
        record.close()
    for line in broken[:10]:
        print(f"broken: {line}")
    print(f"{len(broken)} breaks, disruption {'on' if with_trouble else 'off'}")
    return BROKEN if broken else HELD
