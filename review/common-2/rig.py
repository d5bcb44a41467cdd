"""Stand-ins for the platform, the engines and the clients, and a broker as a process of its own.

Written from PROTOCOL-umberusher.md and DEPLOY-umberusher.md for the second review. Everything but
the broker runs in the process of the case, on one asyncio loop, on loopback addresses and the real
clock. A case sets hooks where an engine or a client shall do something else than a sound one does.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import secrets
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
# Exit statuses of a case; run.sh turns BROKEN into 1, and all others but HELD into 2.
HELD = 0
BROKEN = 10
COULD_NOT_RUN = 2
NOTE_INTERVAL_S = 1.0
HANDOVER_S = 5.7
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class CannotRunError(Exception):
    """The case can't be judged here, for example since the broker did not become ready."""


def has_trouble() -> bool:
    """Return whether the disruption shall happen; ``TROUBLE=0`` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(host: str) -> int:
    """Return a port of a loopback address that nothing listens on."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        port: int = sock.getsockname()[1]
        return port


class Record:
    """Writes what was sent, answered and run to ``record.txt``, with times in ms."""

    def __init__(self, folder: Path) -> None:
        """Begin the record of a run."""
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()

    def ms(self) -> float:
        """Return the time since the start of the run."""
        return (time.monotonic() - self._began) * 1000

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.ms():9.1f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


# -- Settings


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a small deployment, as on the page WIRE; ``changes`` replace parts."""
    grades = [
        _grade("lookup", "safe", 500.0, 2500.0, 1.0, 0.1),
        _grade("report", "safe", 1500.0, 15000.0, 10.0, 0.4),
        _grade("load", "unsafe", 3000.0, 25000.0, 7.5, 0.6) | {"keep_order": True},
    ]
    found: dict[str, Any] = {
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
            "on_shortage": "line_up",
            "parallelism": [1, 2, 2],
            "ram_of_kind_mb": [16384.0, 32768.0],
            "size_cores": [8, 16],
            "tells_every_ms": 1000.0,
        },
        "fleet_size": 1,
        "grades": grades,
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
        "report": {"fields": ["concurrent", "depth", "x0"], "how": "probe"},
        "round_ms": 5.0,
        "stage": 0,
        "stages": ["query-fleet"],
        "weight_kind": "rough",
        "workload": "queries",
        "zone": "room-a",
        "zones": ["room-a", "room-b"],
    }
    for name, part in changes.items():
        found[name] = found[name] | part if isinstance(part, dict) else part
    return found


def _grade(
    name: str, effect: str, aim_ms: float, deadline_ms: float, points: float, late: float
) -> dict[str, Any]:
    return {
        "name": name,
        "effect": effect,
        "aim_ms": aim_ms,
        "aim_stretch": 2.0,
        "deadline_ms": deadline_ms,
        "points": points,
        "late_worth": late,
        "group": "all",
        "memory_span_ms": 5000.0,
        "stream": False,
    }


# -- Engines


@dataclass
class Run:
    """One request that has reached an engine whole.

    Attributes:
        engine: The engine's id.
        rid: The request.
        lane: Its class.
        statement: Its text.
        ttl_ms: How long the broker will wait.
        began_ms: When it reached the engine.
        ended_ms: When its result was complete, or it was given up.
        end: How it ended.
    """

    engine: str
    rid: str
    lane: str
    statement: bytes
    ttl_ms: float
    began_ms: float
    ended_ms: float | None = None
    end: str = ""


@dataclass
class EngineLink:
    """One connection of a broker to an engine.

    Attributes:
        writer: The engine's end.
        open_runs: What runs for it, by request.
        pages: The pages that it may fetch, by request.
        broken: Whether the engine writes nothing to it any more.
    """

    writer: asyncio.StreamWriter
    open_runs: dict[str, Run] = field(default_factory=dict)
    pages: dict[str, list[bytes]] = field(default_factory=dict)
    broken: bool = False

    def write(self, data: bytes) -> None:
        """Write an answer, unless the connection has closed."""
        if not self.broken and not self.writer.is_closing():
            self.writer.write(data)

    def reset(self) -> None:
        """Reset the connection, as when a process dies."""
        sock = self.writer.get_extra_info("socket")
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.writer.transport.abort()


class Engine:
    """A sound engine: runs all that it is sent at once and answers after the work.

    It tells each second how far an attempt is. A cancel, or the end of the connection, does not
    stop running work: the work goes on, and nobody is sent its result.

    Attributes:
        name: Its id.
        host: Its address.
        port: Its port.
        work_ms: Returns how long a request runs.
        rows: Returns a request's result.
        before_run: Called with each request that has arrived; True if the hook deals with it.
        runs: All that has reached it.
        running: What it works on, by request; also what was given up.
    """

    def __init__(self, name: str, record: Record, host: str, work_ms: float = 30.0) -> None:
        """Create an engine that does not listen yet."""
        self.name = name
        self.host = host
        self.port = 0
        self.work_ms: Callable[[Run], float] = lambda _run: work_ms
        self.rows: Callable[[Run], bytes] = lambda run: f"{run.rid}\t{run.lane}\t1\n".encode()
        self.before_run: Callable[[EngineLink, Run], bool] = lambda _link, _run: False
        self.runs: list[Run] = []
        self.running: list[Run] = []
        self.links: list[EngineLink] = []
        self.zone = "room-a"
        self.proxy_address: tuple[str, int] | None = None
        self._record = record
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen, at the same address as before if there was one."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """End as a process does: its connections reset and new ones are refused."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for link in list(self.links):
            link.reset()
        self._record.note(f"engine {self.name} ends")
        await asyncio.sleep(0)

    @property
    def told_address(self) -> tuple[str, int]:
        """The address that the notice board tells: the engine's own, or that of a proxy."""
        return self.proxy_address or (self.host, self.port)

    def entry(self, lifecycle: str = "SERVING", started_ms: int = 0) -> dict[str, Any]:
        """Return the engine as the notice board tells it."""
        return {
            "instanceId": self.name,
            "hostPort": f"{self.told_address[0]}:{self.told_address[1]}",
            "zone": self.zone,
            "machineType": "std-8",
            "cell": 1,
            "lifecycle": lifecycle,
            "weight": 1,
            "startedAtMs": started_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = EngineLink(writer)
        self.links.append(link)
        try:
            while True:
                await self._command(link, reader)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.links.remove(link)
            for run in list(link.open_runs.values()):
                self._give_up(link, run, "connection ended")
            writer.close()

    async def _command(self, link: EngineLink, reader: asyncio.StreamReader) -> None:
        words = (await reader.readuntil(b"\r\n")).decode().split()
        if words[0] == "REQ":
            body = await reader.readexactly(int(words[3]) + 2)
            fields = dict(pair.split("=", 1) for pair in words[2].split(","))
            run = Run(
                self.name, words[1], fields["lane"], body[:-2], float(fields["ttl"]), self._ms()
            )
            self._begin(link, run)
        elif words[0] in ("HELO", "STAT"):
            held = len(self.running)
            report = f"rep=inflight:{held};queue:0;x0:0.1" if words[0] == "STAT" else "-"
            link.write(f"{words[1]} PONG {report} 0\r\n\r\n".encode())
        elif words[0] == "FETCH":
            self._page(link, words[1], int(words[2]))
        elif words[0] == "END":
            link.pages.pop(words[1], None)
        elif words[0] == "STOP":
            run_to_stop = link.open_runs.get(words[1])
            self._record.note(f"engine {self.name} STOP {words[1]}")
            if run_to_stop is not None:
                self._give_up(link, run_to_stop, "given up by STOP")

    def _ms(self) -> float:
        return self._record.ms()

    def _begin(self, link: EngineLink, run: Run) -> None:
        self.runs.append(run)
        self.running.append(run)
        link.open_runs[run.rid] = run
        self._record.note(
            f"engine {self.name} REQ {run.rid} {run.lane} ttl={run.ttl_ms:.0f}"
            f" bytes={len(run.statement)}"
        )
        if not self.before_run(link, run):
            self.answer_later(link, run, self.work_ms(run))

    def answer_later(self, link: EngineLink, run: Run, work_ms: float) -> None:
        """Answer a request once its work is done, and tell until then how far it is."""
        asyncio.get_running_loop().call_later(work_ms / 1000, self.answer, link, run)
        self._note_later(link, run, work_ms)

    def _note_later(self, link: EngineLink, run: Run, work_ms: float) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(NOTE_INTERVAL_S, self._tell_progress, link, run, work_ms)

    def _tell_progress(self, link: EngineLink, run: Run, work_ms: float) -> None:
        if link.open_runs.get(run.rid) is run:
            done = min((self._ms() - run.began_ms) / work_ms, 1.0)
            link.write(f"{run.rid} INFO why=done,reading={done:.2f} 0\r\n\r\n".encode())
            self._note_later(link, run, work_ms)

    def _give_up(self, link: EngineLink, run: Run, why: str) -> None:
        """Note that nobody waits for a run any more; its work goes on."""
        link.open_runs.pop(run.rid, None)
        run.end = why
        self._record.note(f"engine {self.name} {why}: {run.rid}")

    def answer(self, link: EngineLink, run: Run) -> None:
        """End the work of a request; send its result if anybody waits for it."""
        if link.open_runs.get(run.rid) is not run:
            self.end(link, run, f"{run.end}, ran to its end all the same")
            return
        self.end(link, run, "HIT")
        pages = paged(self.rows(run))
        link.pages[run.rid] = pages
        head = f"{run.rid} HIT count={len(pages)} {len(pages[0])}\r\n".encode()
        link.write(head + pages[0] + b"\r\n")

    def end(self, link: EngineLink, run: Run, how: str) -> None:
        """Record the end of a run."""
        if link.open_runs.get(run.rid) is run:
            del link.open_runs[run.rid]
        if run in self.running:
            self.running.remove(run)
        run.ended_ms = self._ms()
        run.end = how
        self._record.note(f"engine {self.name} {how} {run.rid}")

    def _page(self, link: EngineLink, rid: str, number: int) -> None:
        pages = link.pages.get(rid)
        if pages is None or not 0 < number < len(pages):
            link.write(f"{rid} FAULT - 0\r\n\r\n".encode())
            return
        head = f"{rid} PART pos={number} {len(pages[number])}\r\n".encode()
        link.write(head + pages[number] + b"\r\n")


def paged(rows: bytes, page_bytes: int = 6000) -> list[bytes]:
    """Return a result as pages of whole rows."""
    pages = [b""]
    for row in rows.splitlines(keepends=True):
        if len(pages[-1]) + len(row) > page_bytes:
            pages.append(b"")
        pages[-1] += row
    return pages


# -- A network that can be cut


class Proxy:
    """The way from the broker to one engine; while it is cut, nothing passes and nothing is lost.

    As with a cut between two rooms, open connections stay open and silent, new ones never come up,
    and what was sent meanwhile arrives once the cut has ended.
    """

    BUFFER_BYTES = 1 << 16
    BACKLOG = 1

    def __init__(self, engine: Engine, record: Record, host: str) -> None:
        """Create a way that is not open yet."""
        self._engine = engine
        self._record = record
        self._open = asyncio.Event()
        self._open.set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._fillers: list[socket.socket] = []
        self._sock = socket.socket()
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.BUFFER_BYTES)
        self._sock.bind((host, 0))
        self._sock.listen(self.BACKLOG)
        self._sock.setblocking(False)

    def start(self) -> None:
        """Pass connections on to the engine, which is told under the address of this way."""
        self._engine.proxy_address = self._sock.getsockname()
        self._spawn(self._accept())

    def _spawn(self, job: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def cut(self) -> None:
        """Cut the way; connections that begin from now on don't come up."""
        self._open.clear()
        self._record.note(f"network: the way to {self._engine.name} is cut")
        for _ in range(self.BACKLOG + 3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self._sock.getsockname())
            self._fillers.append(filler)
        await asyncio.sleep(0.02)

    def heal(self) -> None:
        """End the cut."""
        for filler in self._fillers:
            filler.close()
        self._fillers.clear()
        self._record.note(f"network: the way to {self._engine.name} is whole again")
        self._open.set()

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            sock, _ = await loop.sock_accept(self._sock)
            await self._open.wait()
            self._spawn(self._pass_on(sock))

    async def _pass_on(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        peer = socket.socket()
        ways: list[asyncio.Task[None]] = []
        try:
            for each in (sock, peer):
                each.setblocking(False)
                each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            await loop.sock_connect(peer, (self._engine.host, self._engine.port))
            ways += [
                asyncio.ensure_future(self._pump(*pair)) for pair in ((sock, peer), (peer, sock))
            ]
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for way in ways:
                way.cancel()
            await asyncio.gather(*ways, return_exceptions=True)
            sock.close()
            peer.close()

    async def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(ConnectionError):
            while data := await loop.sock_recv(source, 1 << 14):
                await self._open.wait()
                await loop.sock_sendall(sink, data)
                await self._open.wait()

    async def close(self) -> None:
        """End the way with all connections on it."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._sock.close()


# -- The notice board


class Board:
    """The notice board: numbered events, told by long polls over HTTP/1.1.

    Attributes:
        events: All events so far.
        address: Where it listens.
    """

    def __init__(self, record: Record, host: str) -> None:
        """Create a notice board without events."""
        self.events: list[dict[str, Any]] = []
        self.host = host
        self.port = 0
        self._record = record
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._writers: list[asyncio.StreamWriter] = []

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def tell(self, instances: list[dict[str, Any]]) -> None:
        """Add one event."""
        number = len(self.events) + 1
        pool = {"generation": number, "reset": number == 1, "instances": instances}
        self.events.append({"rev": number, "pool": pool})
        told = [f"{each['instanceId']}={each['lifecycle']}" for each in instances]
        self._record.note(f"board event {number} {' '.join(told)}")
        self._changed.set()
        self._changed = asyncio.Event()

    def document(self, after: int = 0) -> dict[str, Any]:
        """Return the events after a number."""
        return {"rev": len(self.events), "notices": self.events[after:]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError, ValueError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                query = head.split()[1].partition("?")[2]
                values = dict(pair.split("=", 1) for pair in query.split("&"))
                text = json.dumps(await self._answer(int(values["watch"]), float(values["linger"])))
                writer.write(
                    f"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(text)}\r\n\r\n{text}".encode()
                )
                await writer.drain()
        writer.close()

    def close(self) -> None:
        """Close all connections and stop listening."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()

    async def _answer(self, after: int, linger_ms: float) -> dict[str, Any]:
        until = time.monotonic() + min(linger_ms, 5000) / 1000
        while len(self.events) <= after and time.monotonic() < until:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), max(until - time.monotonic(), 0.001))
        return self.document(after)


# -- Clients


@dataclass
class Answer:
    """The final answer to one call.

    Attributes:
        kind: ``served``, ``refused``, ``failed``, ``exception``, ``check`` or ``closed``.
        body: The rows.
        good: The answer to a check.
        fields: The fields, or the text of an exception.
    """

    kind: str
    body: bytes = b""
    good: bool = False
    fields: dict[str, str] = field(default_factory=dict)


@dataclass
class Call:
    """One request of a client.

    Attributes:
        rid: Its id.
        lane: Its class.
        seqid: Its number on the connection.
        sent_ms: When its last byte was written.
        budget_ms: How long the client waits.
        answers: The answers, with their times; a sound broker gives one.
        done: Set with the first answer, or with the end of the connection.
    """

    rid: str
    lane: str
    seqid: int
    sent_ms: float
    budget_ms: float
    answers: list[tuple[float, Answer]] = field(default_factory=list)
    done: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def answer(self) -> Answer | None:
        """The first answer, if there is any."""
        return self.answers[0][1] if self.answers else None


def _text(data: bytes) -> bytes:
    return struct.pack(">i", len(data)) + data


def _frame(kind: int, name: bytes, seqid: int, arguments: bytes) -> bytes:
    head = struct.pack(">I", 0x80010000 | kind) + _text(name) + struct.pack(">i", seqid)
    return _text(head + arguments + b"\0")


def execute_frame(seqid: int, fields: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a request."""
    pairs = b"".join(_text(key.encode()) + _text(value.encode()) for key, value in fields.items())
    head = struct.pack(">bhbbi", 13, 1, 11, 11, len(fields))
    return _frame(1, b"execute", seqid, head + pairs + struct.pack(">bh", 11, 2) + _text(body))


class _Decoder:
    """Reads the values of one answer."""

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.at = 0

    def number(self, form: str) -> int:
        values = struct.unpack_from(form, self.data, self.at)
        self.at += struct.calcsize(form)
        return int(values[-1])

    def string(self) -> bytes:
        size = self.number(">i")
        if not 0 <= size <= len(self.data) - self.at:
            raise ValueError("a length that does not fit")
        self.at += size
        return self.data[self.at - size : self.at]

    def value(self, kind: int) -> Any:
        if kind == 2:
            return bool(self.number(">b"))
        if kind == 8:
            return self.number(">i")
        if kind == 11:
            return self.string()
        if kind == 13:
            count = self.number(">bbi")
            return {self.string().decode(): self.string().decode() for _ in range(count)}
        if kind == 12:
            return self.struct()
        raise ValueError(f"type {kind}")

    def struct(self) -> dict[int, Any]:
        found = {}
        while (kind := self.number(">b")) != 0:
            number = self.number(">h")
            found[number] = self.value(kind)
        return found


def decode_answer(frame: bytes) -> tuple[int, Answer]:
    """Return the number and the content of an answer."""
    decoder = _Decoder(frame)
    kind = decoder.number(">I") & 0xFF
    name = decoder.string()
    seqid = decoder.number(">i")
    fields = decoder.struct()
    if kind == 3:
        return seqid, Answer("exception", fields={"reason": str(fields.get(1))})
    number, value = next(iter(fields.items()))
    if number == 0:
        word = "served" if name == b"execute" else "check"
        return seqid, Answer(word, value.get(1, b""), value.get(3, False), value.get(2, {}))
    return seqid, Answer("refused" if number == 1 else "failed", fields=value.get(1, {}))


class Client:
    """One connection of a client, with its calls."""

    def __init__(self, record: Record, name: str) -> None:
        """Create a client that has not connected."""
        self.name = name
        self.calls: dict[int, Call] = {}
        self.closed = asyncio.Event()
        self._record = record
        self._next_seqid = 1
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter
        self._checks: dict[int, asyncio.Future[bool]] = {}
        self._task: asyncio.Task[None] | None = None

    async def connect(self, address: tuple[str, int]) -> None:
        """Connect."""
        self._reader, self._writer = await asyncio.open_connection(*address)
        sock = self._writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._task = asyncio.ensure_future(self._read())

    def _seqid(self) -> int:
        self._next_seqid += 1
        return self._next_seqid - 1

    def send(
        self,
        lane: str,
        budget_ms: float,
        statement: bytes = b"select * from sales_17.orders",
        key: str | None = None,
        rid: str | None = None,
    ) -> Call:
        """Send a request."""
        rid = rid or secrets.token_hex(8)
        fields = {"method": lane, "rid": rid, "budget": str(int(budget_ms))}
        fields |= {"est": "820.0", "ram": "96"}
        if key is not None:
            fields["obj"] = key
        seqid = self._seqid()
        self._writer.write(execute_frame(seqid, fields, statement))
        call = Call(rid, lane, seqid, self._record.ms(), budget_ms)
        self.calls[seqid] = call
        self._record.note(f"client {self.name} execute {rid} {lane} budget={budget_ms:.0f}")
        return call

    def interrupt(self, call: Call) -> None:
        """Stop waiting for a call."""
        argument = struct.pack(">bhi", 8, 1, call.seqid)
        self._writer.write(_frame(4, b"interrupt", self._seqid(), argument))
        self._record.note(f"client {self.name} interrupt {call.rid}")

    async def check(self) -> bool:
        """Ask whether the broker is ready."""
        seqid = self._seqid()
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._checks[seqid] = future
        self._writer.write(_frame(1, b"check", seqid, struct.pack(">bhb", 2, 1, 0)))
        return await asyncio.wait_for(future, 2)

    async def drain(self) -> None:
        """Wait until most of what was sent is with the kernel."""
        with contextlib.suppress(ConnectionError):
            await self._writer.drain()

    async def _read(self) -> None:
        try:
            while True:
                (size,) = struct.unpack(">i", await self._reader.readexactly(4))
                seqid, answer = decode_answer(await self._reader.readexactly(size))
                self._on_answer(seqid, answer)
        except (asyncio.IncompleteReadError, ConnectionError) as error:
            self._record.note(f"client {self.name} connection ended ({type(error).__name__})")
        finally:
            self.closed.set()
            for call in self.calls.values():
                call.done.set()
            for future in self._checks.values():
                if not future.done():
                    future.set_result(False)
            self._writer.close()

    def _on_answer(self, seqid: int, answer: Answer) -> None:
        if seqid in self._checks:
            self._checks.pop(seqid).set_result(answer.good)
            return
        call = self.calls.get(seqid)
        if call is None:
            self._record.note(f"client {self.name} answer to no call {seqid} {answer.kind}")
            return
        call.answers.append((self._record.ms(), answer))
        call.done.set()
        self._record.note(f"client {self.name} {answer.kind} {call.rid} {answer.fields or ''}")

    def close(self) -> None:
        """Close the connection."""
        if not self.closed.is_set():
            self._record.note(f"client {self.name} closes")
            self._writer.close()


# -- The broker


class Broker:
    """A broker as the platform runs it: ``run`` of the deploy file under ``/bin/sh -c``."""

    def __init__(
        self,
        record: Record,
        folder: Path,
        board: Board,
        conf: dict[str, Any],
        name: str = "n0",
        memory_mb: int = 192,
        sockets: int = 1024,
        host: str = "127.0.0.1",
    ) -> None:
        """Write the configuration; nothing is started."""
        self.name = name
        self.address = (host, free_port(host))
        self.process: asyncio.subprocess.Process | None = None
        self.predecessor: asyncio.subprocess.Process | None = None
        self._tasks: list[asyncio.Task[None]] = []
        self.memory_mb = memory_mb
        self._record = record
        self._folder = folder / name
        self._folder.mkdir()
        self._conf = conf
        self._limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self._tmp = self._folder / "tmp"
        self.write_config(board)

    def write_config(self, board: Board) -> None:
        """Replace the configuration file."""
        raw = {
            "name": self.name,
            "listen": f"{self.address[0]}:{self.address[1]}",
            "seed": secrets.token_hex(8),
            "limits": self._limits,
            "board": board.address,
            "known": board.document(),
            "settings": self._conf,
        }
        new = self._folder / "config.new"
        new.write_text(json.dumps(raw))
        new.rename(self._folder / "config.json")

    @property
    def log(self) -> str:
        """What the broker has written to its log."""
        path = self._folder / "log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def start(self, ready_within_s: float = 30.0) -> None:
        """Start the broker, with an empty folder of its own, and wait until it is ready.

        Raises:
            CannotRunError: It did not become ready.
        """
        shutil.rmtree(self._tmp, ignore_errors=True)
        self._tmp.mkdir()
        host = self.address[0]
        self.process = await self._run(LB_ADMIN=f"{host}:{free_port(host)}")
        self._record.note(f"broker {self.name} started")
        until = time.monotonic() + ready_within_s
        while time.monotonic() < until:
            if self.process.returncode is not None:
                raise CannotRunError(f"the broker has ended: {self.log[-500:]}")
            probe = Client(self._record, "probe")
            with contextlib.suppress(OSError, TimeoutError):
                await probe.connect(self.address)
                good = await probe.check()
                probe.close()
                await probe.closed.wait()
                if good:
                    self._record.note(f"broker {self.name} ready")
                    return
            await asyncio.sleep(0.1)
        raise CannotRunError("the broker did not become ready")

    async def _run(self, **environment: str) -> asyncio.subprocess.Process:
        """Start ``run`` of the deploy file beside whatever runs already."""
        deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
        inherited = {k: v for k, v in os.environ.items() if not k.startswith("LB_")}
        own = {
            "LB_NAME": self.name,
            "LB_LISTEN": f"{self.address[0]}:{self.address[1]}",
            "LB_CONFIG": str(self._folder / "config.json"),
            "TMPDIR": str(self._tmp),
        }
        with (self._folder / "log").open("ab") as log:
            return await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                deploy["run"],
                cwd=ROOT,
                env=inherited | own | environment,
                stdout=log,
                stderr=log,
            )

    async def start_successor(self, ready_within_s: float = 6.0) -> None:
        """Start ``run`` a second time, as for an upgrade, and wait until it says yes.

        The process that served until then is ``predecessor`` from now on.

        Raises:
            CannotRunError: The second process did not become ready.
        """
        admin = (self.address[0], free_port(self.address[0]))
        self.predecessor = self.process
        self.process = await self._run(LB_ADMIN=f"{admin[0]}:{admin[1]}")
        self._record.note(f"broker {self.name} second process started")
        until = time.monotonic() + ready_within_s
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(*admin)
                writer.write(b"GET /ops/readiness HTTP/1.1\r\nHost: broker\r\n\r\n")
                head = await reader.readline()
                writer.close()
                if b" 200 " in head:
                    self._record.note(f"broker {self.name} second process says yes")
                    self._tasks.append(asyncio.ensure_future(self._end_predecessor()))
                    return
            await asyncio.sleep(0.05)
        raise CannotRunError("the second process did not become ready")

    async def _end_predecessor(self) -> None:
        """Send the old process SIGTERM, and SIGKILL after 5 s and 0.7 s more."""
        old = self.predecessor
        if old is None or old.returncode is not None:
            return
        self._record.note(f"broker {self.name} old process gets SIGTERM")
        old.send_signal(signal.SIGTERM)
        try:
            await asyncio.wait_for(old.wait(), HANDOVER_S)
        except TimeoutError:
            old.kill()
            await old.wait()
        self._record.note(f"broker {self.name} old process has ended with {old.returncode}")

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the program that ``run`` started."""
        if self.process is not None and self.process.returncode is None:
            self._record.note(f"broker {self.name} gets {number.name}")
            self.process.send_signal(number)

    @property
    def private_mb(self) -> float:
        """The private resident memory of the process, in MB of 10^6 bytes; 0 once it has ended."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            text = Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        _, resident, shared, *_ = map(int, text.split())
        return (resident - shared) * PAGE_BYTES / 1e6

    async def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.returncode is None:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()
        if self.predecessor is not None and self.predecessor.returncode is None:
            self.predecessor.kill()
            await self.predecessor.wait()
        await asyncio.gather(*self._tasks, return_exceptions=True)


# -- Running a case


class Case:
    """What every case needs: a folder, a record, a board, engines, and their end.

    Attributes:
        record: The record of the run.
        folder: A temporary folder.
        board: The notice board.
        engines: The engines that the board names at first.
        brokers: The brokers to be ended.
        ways: The ways to engines that can be cut.
    """

    def __init__(self, record: Record, folder: Path) -> None:
        """Create the parts; nothing listens yet."""
        self.record = record
        self.folder = folder
        self.board = Board(record, "127.0.0.1")
        self.engines: list[Engine] = []
        self.brokers: list[Broker] = []
        self.ways: list[Proxy] = []
        self._clients: list[Client] = []

    def add_way(self, engine: Engine) -> Proxy:
        """Put a way that can be cut before an engine; call it before the board names the engine."""
        way = Proxy(engine, self.record, engine.host)
        way.start()
        self.ways.append(way)
        return way

    async def add_engines(self, count: int, work_ms: float = 30.0) -> None:
        """Start engines, the first of them at 127.0.0.2."""
        for _ in range(count):
            number = len(self.engines) + 1
            engine = Engine(f"s-{number:08x}", self.record, f"127.0.0.{1 + number}", work_ms)
            await engine.start()
            self.engines.append(engine)

    async def start_board(self) -> None:
        """Start the board, whose first event names all engines."""
        await self.board.start()
        self.board.tell([each.entry() for each in self.engines])

    def add_broker(self, conf: dict[str, Any], **options: Any) -> Broker:
        """Return a broker that is not started yet."""
        broker = Broker(self.record, self.folder, self.board, conf, **options)
        self.brokers.append(broker)
        return broker

    async def client(self, broker: Broker, name: str) -> Client:
        """Return a connected client."""
        client = Client(self.record, name)
        await client.connect(broker.address)
        self._clients.append(client)
        return client

    async def close(self) -> None:
        """End the brokers, then the clients and the engines."""
        for broker in self.brokers:
            await broker.kill()
            self.record.note(f"log of {broker.name}:\n{broker.log[-4000:]}")
        for client in self._clients:
            client.close()
        for way in self.ways:
            await way.close()
        for engine in self.engines:
            await engine.stop()
        self.board.close()
        await asyncio.sleep(0.05)


async def _run(
    body: Callable[[Case], Awaitable[list[str]]], folder: Path, record: Record, limit_s: float
) -> int:
    case = Case(record, folder)
    try:
        breaches = await asyncio.wait_for(body(case), limit_s)
    except Exception as error:  # Whatever goes wrong here is no breach of the rule.
        record.note(f"could not run: {type(error).__name__} {error}")
        print(f"could not run: {type(error).__name__} {error}")
        return COULD_NOT_RUN
    finally:
        await case.close()
    for breach in breaches:
        record.note(f"BROKEN {breach}")
        print(f"broken: {breach}")
    if not breaches:
        record.note("HELD")
        print("the rule held")
    return BROKEN if breaches else HELD


def main(
    body: Callable[[Case], Awaitable[list[str]]], case_folder: Path, limit_s: float = 110.0
) -> None:
    """Run a case and exit with its verdict; ``body`` returns the breaches of the rule."""
    record = Record(case_folder)
    with tempfile.TemporaryDirectory(prefix="ub-") as folder:
        status = asyncio.run(_run(body, Path(folder), record, limit_s))
    record.close()
    sys.exit(status)
