"""The control machines that real brokers poll: their own process, and the parent's handle of it.

A change counts as in force when a broker's next poll acknowledges it.
"""

from __future__ import annotations

import contextlib
import multiprocessing
import signal
import time
from collections.abc import Sequence
from dataclasses import dataclass
from multiprocessing.connection import Connection

from umberusher.net.loop import Loop
from umberusher.simulated_fleet.discovery_service import SimulatedDiscoveryService
from umberusher.simulated_fleet.update_history import EndpointEntry, UpdateHistory

STEP_MS = 5.0  # longest step of the process's loop between two checks of the pipe
STOP_TIMEOUT_S = 15.0


@dataclass(frozen=True, slots=True)
class PublishUpdate:
    """Publish an update whose change was made at ``changed_at_s`` of the monotonic clock."""

    entries: tuple[EndpointEntry, ...]
    changed_at_s: float
    complete: bool


@dataclass(frozen=True, slots=True)
class ReportRequest:
    """Send a ``DiscoveryReport``."""


@dataclass(frozen=True, slots=True)
class StopRequest:
    """End the process."""


@dataclass(frozen=True, slots=True)
class DiscoveryReport:
    """The records of the control machines.

    Attributes:
        acknowledged_at_s: By broker and revision: when the broker acknowledged it.
        broker_bytes: Bytes to and from each broker.
        changed_at_s: When the change of each revision was made, from revision 1 on.
    """

    acknowledged_at_s: dict[str, dict[int, float]]
    broker_bytes: dict[str, int]
    changed_at_s: list[float]


def broker_names(count: int) -> list[str]:
    """Return the names of ``count`` real brokers."""
    return [f"b{number}" for number in range(count)]


class _AcknowledgementRecorder:
    """Records when each broker's poll first acknowledged a revision."""

    __slots__ = ("_loop", "_revisions", "acknowledged_at_s")

    def __init__(self, loop: Loop, brokers: Sequence[str]) -> None:
        self._loop = loop
        self._revisions = dict.fromkeys(brokers, 0)
        self.acknowledged_at_s: dict[str, dict[int, float]] = {broker: {} for broker in brokers}

    def polled(self, broker: str, revision: int) -> None:
        """Record the revisions that a broker's poll acknowledges for the first time."""
        now_s = self._loop.clock()
        for known in range(self._revisions[broker] + 1, revision + 1):
            self.acknowledged_at_s[broker][known] = now_s
        self._revisions[broker] = max(self._revisions[broker], revision)

    def notified(self, broker: str, revision: int) -> None:
        """Do nothing: only a broker's acknowledgement counts."""


def _serve(pipe: Connection, broker_count: int, region_count: int, machine_count: int) -> None:
    """Run the control machines until the parent requests a stop or has exited."""
    # An interrupt from the terminal ends the parent, which then ends this process.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    loop = Loop(time.monotonic)
    history = UpdateHistory()
    brokers = broker_names(broker_count)
    recorder = _AcknowledgementRecorder(loop, brokers)
    service = SimulatedDiscoveryService(loop, history, region_count, machine_count, recorder)
    pipe.send(
        {
            broker: service.listen(broker, number % region_count)
            for number, broker in enumerate(brokers)
        }
    )
    running = True
    while running:
        loop.step(STEP_MS)
        while running and pipe.poll():
            message = _receive(pipe)
            if isinstance(message, PublishUpdate):
                revision = history.add(message.entries, message.changed_at_s, message.complete)
                for region in range(region_count):
                    service.advance(region, revision)
            elif isinstance(message, ReportRequest):
                changed_at_s = [update.changed_at_s for update in history.updates]
                pipe.send(
                    DiscoveryReport(recorder.acknowledged_at_s, service.broker_bytes, changed_at_s)
                )
            else:
                running = False
    service.close()
    loop.close()


def _receive(pipe: Connection) -> object:
    try:
        return pipe.recv()
    except EOFError:
        return StopRequest()


class DiscoveryProcess:
    """The parent's handle of the process of the control machines."""

    __slots__ = ("_pipe", "_process", "addresses", "revision")

    def __init__(self, broker_count: int, region_count: int, machine_count: int) -> None:
        context = multiprocessing.get_context("spawn")
        self._pipe, child_pipe = context.Pipe()
        self._process = context.Process(
            target=_serve,
            args=(child_pipe, broker_count, region_count, machine_count),
            daemon=True,
        )
        self._process.start()
        child_pipe.close()
        # The newest published revision.
        self.revision = 0
        self.addresses: dict[str, tuple[str, int]] = {}

    def wait_until_listening(self) -> None:
        """Wait for the addresses of the control machines, by broker."""
        self.addresses = self._pipe.recv()

    def publish(self, entries: Sequence[EndpointEntry], complete: bool = False) -> None:
        """Publish an update whose change is made now."""
        self._pipe.send(PublishUpdate(tuple(entries), time.monotonic(), complete))
        self.revision += 1

    def report(self) -> DiscoveryReport:
        """Return the records of the control machines up to now."""
        self._pipe.send(ReportRequest())
        report = self._pipe.recv()
        assert isinstance(report, DiscoveryReport)
        return report

    def stop(self) -> None:
        """End the process."""
        # The process may have exited already.
        with contextlib.suppress(OSError):
            self._pipe.send(StopRequest())
        self._process.join(STOP_TIMEOUT_S)
        if self._process.is_alive():
            self._process.kill()
            self._process.join()
