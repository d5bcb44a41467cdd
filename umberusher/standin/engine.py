"""A stand-in engine: the engines' protocol on a socket over a :class:`machine.Machine`.

It reports the traffic on its sockets, and the start and end of its work, to an event sink.
"""

from __future__ import annotations

import socket

import xxhash

from umberusher.checker.events import EventKind, EventSink
from umberusher.net import connection as net_connection
from umberusher.net.listener import Listener
from umberusher.net.loop import Loop, Timer
from umberusher.standin.answer_writer import AnswerWriter
from umberusher.standin.deployment import DeploymentTerms
from umberusher.standin.engine_connection import EngineAttempt, EngineConnection
from umberusher.standin.engine_faults import EngineFaults
from umberusher.standin.engine_protocol import Command, encode_answer
from umberusher.standin.engine_work import EngineWork, WorkAccount
from umberusher.standin.load_reports import LoadReports
from umberusher.standin.machine import Admission, Machine, MachineShape, Task
from umberusher.standin.query_plans import QueryPlans
from umberusher.standin.statements import make_pages, parse_work

INBOUND_BYTES = (1 << 20) + 8_192  # the largest request and its line
OUTBOUND_BYTES = 1 << 20
LISTEN_BACKLOG = 512
ACCEPT_BATCH_SIZE = 64

READING_QUEUED = 1
"""``reading`` in an INFO line for an attempt that waits for memory or for those ahead of it."""
READING_QUEUED_FOR_GROUP = 2
"""The same for an attempt that waits for its group of tables."""


class Engine:
    """One engine, which may crash and start again under the same name."""

    def __init__(
        self,
        loop: Loop,
        name: str,
        shape: MachineShape,
        sink: EventSink,
        *,
        kind: str = "std-8",
        zone: str = "room-a",
        cancellation: bool = False,
        warming_up: bool = False,
        clock_skew_ms: float = 0.0,
        terms: DeploymentTerms | None = None,
    ) -> None:
        """Create an engine and start it.

        Args:
            loop: Runs its sockets and timers.
            name: Its name in the endpoint list.
            shape: The size and the speed of its machine.
            sink: Receives the events at its sockets.
            kind: Machine type in the endpoint list.
            zone: Zone in the endpoint list.
            cancellation: Whether a cancel frees an attempt's resources; else it keeps running.
            warming_up: Whether it starts without its full capacity.
            clock_skew_ms: How far its clock is ahead of the loop's.
            terms: The terms of the deployment.
        """
        self.loop = loop
        self.name = name
        self.shape = shape
        self.kind = kind
        self.zone = zone
        self.alive = False
        self.faults = EngineFaults()
        self.account = WorkAccount()
        self._sink = sink
        self._cancellation = cancellation
        self._terms = terms or DeploymentTerms()
        self._clock_skew_ms = clock_skew_ms
        self.query_plans = QueryPlans(name, self._terms.runaway_fraction)
        self._connections: dict[int, EngineConnection] = {}
        self._last_connection_id = 0
        self._progress_timer: Timer | None = None
        self._commands = {
            "REQ": self._on_request,
            "STOP": self._on_cancel,
            "NICE": self._on_priority,
            "FETCH": self._on_fetch,
            "END": self._on_release,
            "HELO": self._on_health_check,
            "STAT": self._on_health_check,
        }
        self.start(warming_up)

    def now_ms(self) -> float:
        """Return the time of the engine's own clock."""
        return self.loop.clock() * 1000.0 + self._clock_skew_ms

    @property
    def address(self) -> tuple[str, int]:
        """The address on which it listens."""
        host, port = self._listener.sock.getsockname()
        return host, port

    # -- Lifecycle

    def start(self, warming_up: bool = True) -> None:
        """Start, or start again after a crash, without requests and without faults."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.bind(("127.0.0.1", 0))
        sock.listen(LISTEN_BACKLOG)
        self._listener = Listener(self.loop, sock, ACCEPT_BATCH_SIZE, self._accept, lambda: None)
        self._listener.set_paused(False)
        self._work = EngineWork(
            self.name,
            Machine(self.shape, self.now_ms(), warming_up),
            self.account,
            self.loop,
            self.now_ms,
            self._sink,
            self,
            self._cancellation,
        )
        self.load_reports = LoadReports()
        self.alive = True
        self.faults = EngineFaults()
        self._writer = AnswerWriter(self.loop, self.faults)
        self._progress_timer = self.loop.call_later(
            self._terms.progress_interval_ms, self._write_progress
        )

    def crash(self) -> None:
        """End the process: its connections are reset and its work is lost."""
        if not self.alive:
            return
        self.alive = False
        self._work.stop_reviews()
        if self._progress_timer:
            self._progress_timer.cancel()
        self._listener.close()
        self.reset_connections()
        self._work.abandon_all()

    def close(self) -> None:
        """Release all descriptors."""
        self.crash()

    def reset_connections(self) -> None:
        """Reset all connections; the process keeps running."""
        for connection in list(self._connections.values()):
            connection.reset()

    def read_slowly(self, bytes_per_interval: int) -> None:
        """Limit the bytes that each connection reads every tenth of a second; 0 for no limit."""
        self.faults.read_bytes_per_interval = bytes_per_interval
        if bytes_per_interval:
            for connection in list(self._connections.values()):
                connection.read_slowly()

    def resume_answers(self) -> None:
        """End an unresponsive phase and send the withheld answers."""
        self._writer.resume_answers()

    def _accept(self, sock: socket.socket) -> None:
        self._last_connection_id += 1
        transport = net_connection.adopt_socket(self.loop, sock, INBOUND_BYTES, OUTBOUND_BYTES)
        connection = EngineConnection(self, transport, self._last_connection_id)
        self._connections[connection.connection_id] = connection
        self.loop.spawn(transport.serve())
        if self.faults.read_bytes_per_interval:
            connection.read_slowly()

    def on_connection_closed(self, connection: EngineConnection) -> None:
        """Abandon the attempts that are open on a closed connection."""
        self._connections.pop(connection.connection_id, None)
        self._sink(EventKind.CONNECTION_CLOSED, self.name, connection.connection_id)
        for attempt in list(connection.attempts.values()):
            self._work.abandon(attempt)

    # -- Commands

    def handle(self, connection: EngineConnection, command: Command) -> None:
        """Execute one command of a broker."""
        self._commands[command.word](connection, command)

    def _on_request(self, connection: EngineConnection, command: Command) -> None:
        request_id = command.request_id
        now_ms = self.now_ms()
        lane = command.fields.get("lane", "")
        ttl = command.fields.get("ttl", "")
        work = parse_work(command.body)
        read_late = connection.may_read_late(now_ms)
        self._sink(
            EventKind.ATTEMPT_READ_SLOWLY if read_late else EventKind.ATTEMPT_READ,
            self.name,
            connection.connection_id,
            request_id,
            lane,
            int(ttl) if ttl.isdigit() else -1,
        )
        if work is None or not ttl.isdigit() or request_id in connection.attempts:
            self._write_rejection(connection, request_id, "FAULT")
            return
        work_ms = work.work_ms * self.query_plans.work_factor(request_id, lane)
        self._work.advance()
        task = Task(
            name=f"{connection.connection_id}:{request_id}",
            work_ms=work_ms,
            threads=work.threads,
            memory_mb=work.memory_mb,
            deadline_ms=now_ms + int(ttl),
            locked_group=work.locked_group,
        )
        if "order" in command.fields:
            task.priority = self._read_priority(request_id, command.fields["order"], None)
        self._admit(EngineAttempt(request_id, command.body, connection, task), now_ms)
        self._work.schedule_review()

    def _admit(self, attempt: EngineAttempt, now_ms: float) -> None:
        admission = self._work.admit(attempt, now_ms)
        if admission is Admission.REJECTED_FULL:
            self._write_rejection(attempt.connection, attempt.request_id, "SHED")
        elif admission is Admission.EXPIRED:
            self._write_rejection(attempt.connection, attempt.request_id, "LATE")

    def _on_cancel(self, connection: EngineConnection, command: Command) -> None:
        request_id = command.request_id
        self._sink(EventKind.ATTEMPT_CANCELLED, self.name, connection.connection_id, request_id)
        attempt = connection.attempts.get(request_id)
        if attempt:
            self._work.abandon(attempt)

    def _on_priority(self, connection: EngineConnection, command: Command) -> None:
        attempt = connection.attempts.get(command.request_id)
        previous = attempt.task.priority if attempt else None
        priority = self._read_priority(command.request_id, command.fields["order"], previous)
        if attempt and self._terms.priorities:
            self._work.set_priority(attempt, priority)

    def _read_priority(self, request_id: str, text: str, previous: int | None) -> int:
        priority = int(text) if text.isdigit() else -1
        self._sink(
            EventKind.PRIORITY_SET,
            self.name,
            request_id,
            priority,
            previous,
            self._terms.priorities,
        )
        return priority

    def _on_fetch(self, connection: EngineConnection, command: Command) -> None:
        request_id = command.request_id
        pages = connection.pages.get(request_id)
        number = int(command.fields["page"])
        if pages is None or not 0 < number < len(pages):
            self._writer.write(connection, encode_answer(request_id, "FAULT"))
            return
        line = encode_answer(request_id, "PART", f"pos={number}", pages[number])
        self._writer.write_result(connection, line)
        if number == len(pages) - 1:
            self._sink(EventKind.LAST_PAGE_SENT, self.name, connection.connection_id, request_id)

    def _on_release(self, connection: EngineConnection, command: Command) -> None:
        self._sink(
            EventKind.RESULT_RELEASED, self.name, connection.connection_id, command.request_id
        )
        connection.pages.pop(command.request_id, None)

    def _on_health_check(self, connection: EngineConnection, command: Command) -> None:
        if not self._terms.health_checks:
            self._sink(EventKind.HEALTH_CHECK_READ, self.name, command.word)
        word = "SICK" if self.faults.reject_health_checks else "PONG"
        line = encode_answer(command.request_id, word, f"rep={self._load_report()}")
        self._writer.write(connection, line)

    # -- Answers

    def on_work_done(self, attempt: EngineAttempt) -> None:
        """Answer an attempt with the first page of its result."""
        connection = attempt.connection
        request_id = attempt.request_id
        connection.attempts.pop(request_id, None)
        pages = make_pages(request_id, attempt.statement)
        if len(pages) > 1:
            connection.pages[request_id] = pages
        self._sink(
            EventKind.REPLIED,
            self.name,
            connection.connection_id,
            request_id,
            "HIT",
            len(pages),
            xxhash.xxh3_64_hexdigest(b"".join(pages)),
        )
        fields = f"count={len(pages)}"
        if not self._terms.health_checks:
            fields += f",rep={self._load_report()}"
        if self._terms.cost_in_answers:
            fields += f",ticks={attempt.task.work_ms:.1f},footprint={attempt.task.memory_mb:.0f}"
        line = encode_answer(request_id, "HIT", fields, pages[0])
        self._writer.write_result(connection, line)

    def on_expired_in_queue(self, attempt: EngineAttempt) -> None:
        """Answer an attempt whose deadline passed before its work started."""
        attempt.connection.attempts.pop(attempt.request_id, None)
        self._write_rejection(attempt.connection, attempt.request_id, "LATE")

    def _write_rejection(self, connection: EngineConnection, request_id: str, word: str) -> None:
        self._sink(EventKind.REPLIED, self.name, connection.connection_id, request_id, word, 0, "")
        self._writer.write(connection, encode_answer(request_id, word))

    def _write_progress(self) -> None:
        """Report the attempts that are queued or have run for one interval to their brokers."""
        interval_ms = self._terms.progress_interval_ms
        self._progress_timer = self.loop.call_later(interval_ms, self._write_progress)
        now_ms = self.now_ms()
        self._work.advance()
        for attempt in self._work.attempts():
            if attempt.wanted:
                self._write_attempt_progress(attempt, now_ms)
        self._work.schedule_review()

    def _write_attempt_progress(self, attempt: EngineAttempt, now_ms: float) -> None:
        task = attempt.task
        completion = self._work.machine.completion(task.name)
        if completion is None:
            waits_for_group = task.locked_group in self._work.machine.locked_groups
            reading = READING_QUEUED_FOR_GROUP if waits_for_group else READING_QUEUED
            fields = f"why=waits,reading={reading}"
        elif now_ms - (task.started_at_ms or 0.0) >= self._terms.progress_interval_ms:
            fields = f"why=done,reading={completion:.2f}"
        else:
            return
        self._writer.write(attempt.connection, encode_answer(attempt.request_id, "INFO", fields))

    def _load_report(self) -> str:
        return self.load_reports.current(
            self._work.machine, self.now_ms(), self.faults.report_delay_ms
        )
