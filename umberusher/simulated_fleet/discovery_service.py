"""The simulated discovery service: control machines that answer long polls over loopback.

A region's machines share one address: a new connection gets one of those that are up, by
hash. With ``own_addresses`` each broker knows one machine's address instead and reconnects to that
machine. A lost machine stops responding on the connections that it has and on new ones.
"""

from __future__ import annotations

import re
import socket
from collections.abc import Sequence
from typing import Protocol

import xxhash

from umberusher.net import connection
from umberusher.net.connection import Connection, State
from umberusher.net.listener import Listener
from umberusher.net.loop import Loop, Timer
from umberusher.simulated_fleet.answer_writer import AnswerWriter
from umberusher.simulated_fleet.control_machine import ControlMachine, MachineTraffic
from umberusher.simulated_fleet.region_view import RegionView
from umberusher.simulated_fleet.update_history import UpdateHistory

LINGER_MAX_MS = 5_000
LISTEN_BACKLOG = 16
INBOUND_BYTES = 1 << 16
OUTBOUND_BYTES = 1 << 17
# Long answers written at a time, for a process with few brokers.
LONG_ANSWERS_MAX = 64
POLL_REQUEST = re.compile(rb"GET /board/poll\?watch=(\d{1,18})&linger=(\d{1,9}) HTTP/1\.1\r\n")
HEAD_END = b"\r\n\r\n"


class PollObserver(Protocol):
    """Receives the polls of brokers and the answers sent to them."""

    def polled(self, broker: str, revision: int) -> None:
        """Handle a poll in which a broker acknowledges all updates up to ``revision``."""

    def notified(self, broker: str, revision: int) -> None:
        """Handle an answer that sends a broker all updates up to ``revision``."""


class SimulatedDiscoveryService:
    """All control machines, simulated in one process.

    Args:
        loop: The event loop of the process.
        history: The updates to publish.
        region_count: Regions; machine ``n`` is in region ``n`` modulo this count.
        machine_count: Control machines of all regions.
        observer: Is notified of each poll and each answer.
        long_answers_max: The most long answers that are written at a time.
    """

    def __init__(
        self,
        loop: Loop,
        history: UpdateHistory,
        region_count: int,
        machine_count: int,
        observer: PollObserver,
        long_answers_max: int = LONG_ANSWERS_MAX,
    ) -> None:
        self.loop = loop
        self.observer = observer
        self.writer = AnswerWriter(long_answers_max)
        self.views = [RegionView(history) for _ in range(region_count)]
        self.machines = [
            ControlMachine(number, number % region_count) for number in range(machine_count)
        ]
        # Regions whose machines receive no updates.
        self.isolated_regions: set[int] = set()
        self.own_addresses = False
        # Bytes to and from each broker.
        self.broker_bytes: dict[str, int] = {}
        # Open connections in the order in which they were accepted.
        self.connections: dict[PollConnection, None] = {}
        # The machine that each broker was connected to last.
        self._last_machines: dict[str, ControlMachine] = {}
        self._listeners: dict[str, Listener] = {}

    def advance(self, region: int, revision: int) -> None:
        """Advance a region's machines to ``revision`` and answer waiting polls."""
        if region in self.isolated_regions:
            return
        self.views[region].advance(revision)
        for poll in list(self.connections):
            if poll.region == region:
                poll.answer_if_outdated()

    def listen(self, broker: str, region: int) -> tuple[str, int]:
        """Open the region's address for one broker and return its host and port."""
        sock = socket.create_server(("127.0.0.1", 0), backlog=LISTEN_BACKLOG)
        accepted_count = 0

        def accept(accepted: socket.socket) -> None:
            nonlocal accepted_count
            accepted_count += 1
            conn = connection.adopt_socket(self.loop, accepted, INBOUND_BYTES, OUTBOUND_BYTES)
            machine = self._choose_machine(region, broker, accepted_count)
            PollConnection(self, conn, broker, region, machine)
            self.loop.spawn(conn.serve())

        listener = Listener(self.loop, sock, LISTEN_BACKLOG, accept, lambda: None)
        self._listeners[broker] = listener
        listener.set_paused(False)
        host, port = sock.getsockname()
        return host, port

    def _choose_machine(
        self, region: int, broker: str, connection_number: int
    ) -> ControlMachine | None:
        """Return the machine of a new connection; None if all of the region are lost."""
        if self.own_addresses and broker in self._last_machines:
            return self._last_machines[broker]
        available = [
            machine for machine in self.machines if machine.region == region and not machine.lost
        ]
        if not available:
            return None
        draw = xxhash.xxh3_64_intdigest(f"{broker}/{connection_number}".encode())
        machine = available[draw % len(available)]
        self._last_machines[broker] = machine
        return machine

    def lose_machines(self, numbers: Sequence[int]) -> None:
        """Stop these machines from responding."""
        for number in numbers:
            self.machines[number].lost = True

    def restore_machines(self, numbers: Sequence[int]) -> None:
        """Restore these machines and close the connections that they had."""
        for number in numbers:
            self.machines[number].lost = False
        stale = [
            poll
            for poll in self.connections
            if poll.machine is None or poll.machine.number in numbers
        ]
        for poll in stale:
            poll.close("the machine was lost")

    def reset_counts(self) -> None:
        """Count bytes and traffic from zero again."""
        self.broker_bytes.clear()
        for machine in self.machines:
            machine.traffic.clear()

    def close(self) -> None:
        """Close all addresses and connections."""
        for broker in list(self._listeners):
            self._listeners.pop(broker).close()
            for poll in [poll for poll in self.connections if poll.broker == broker]:
                poll.close("the discovery service was closed")


class PollConnection:
    """One broker's connection to a control machine, with at most one waiting poll.

    Args:
        service: The service that the machine belongs to.
        conn: The connection, just accepted.
        broker: The broker's name.
        region: The broker's region.
        machine: The machine; None for a connection that no machine ever answers.
    """

    __slots__ = ("_conn", "_service", "_timer", "_waiting_revision", "broker", "machine", "region")

    def __init__(
        self,
        service: SimulatedDiscoveryService,
        conn: Connection,
        broker: str,
        region: int,
        machine: ControlMachine | None,
    ) -> None:
        self._service = service
        self._conn = conn
        self.broker = broker
        self.region = region
        self.machine = machine
        # The revision that the broker of the waiting poll has; None without one.
        self._waiting_revision: int | None = None
        self._timer: Timer | None = None
        conn.on_data = self._on_data
        conn.on_closed = self._on_closed
        service.connections[self] = None

    def close(self, reason: str) -> None:
        """Close the connection."""
        self._conn.close(reason)

    def answer_if_outdated(self) -> None:
        """Answer the waiting poll if the region's view is newer than what its broker has."""
        known = self._waiting_revision
        if known is not None and self._service.views[self.region].revision > known:
            self._answer()

    def _on_data(self) -> None:
        inbound = self._conn.inbound
        head = inbound.peek(len(inbound))
        if not head.endswith(HEAD_END):
            return
        inbound.discard(len(head))
        if self.machine is None or self.machine.lost:
            return
        poll = POLL_REQUEST.match(head)
        if poll is None:
            self._conn.close("the request is not a poll")
            return
        known_revision = int(poll[1])
        linger_ms = int(poll[2])
        self._waiting_revision = known_revision
        self._traffic(self.machine).requests += 1
        self._count_bytes(len(head))
        self._service.observer.polled(self.broker, known_revision)
        self._timer = self._service.loop.call_later(min(linger_ms, LINGER_MAX_MS), self._answer)
        self.answer_if_outdated()

    def _answer(self) -> None:
        known_revision = self._waiting_revision
        if known_revision is None or self.machine is None or self.machine.lost:
            return
        if self._conn.state is not State.OPEN:
            return
        self._waiting_revision = None
        if self._timer is not None:
            self._timer.cancel()
        view = self._service.views[self.region]
        answer = view.answer(known_revision)
        head = (
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            % len(answer.body)
        )
        size_bytes = len(head) + len(answer.body)
        traffic = self._traffic(self.machine)
        traffic.sent_bytes += size_bytes
        traffic.complete_lists += answer.complete
        self._count_bytes(size_bytes)
        self._service.observer.notified(self.broker, view.revision)
        self._service.writer.write(self._conn, head, answer.body)

    def _traffic(self, machine: ControlMachine) -> MachineTraffic:
        return machine.traffic_at(int(self._service.loop.clock()))

    def _count_bytes(self, size_bytes: int) -> None:
        counts = self._service.broker_bytes
        counts[self.broker] = counts.get(self.broker, 0) + size_bytes

    def _on_closed(self, _reason: str) -> None:
        self._service.connections.pop(self, None)
        self._service.writer.finished(self._conn)
        if self._timer is not None:
            self._timer.cancel()
