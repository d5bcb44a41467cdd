"""Injects the faults of a script, and the machine events of a plan, at their times."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from umberusher.errors import UsageError
from umberusher.replay.brokers import BrokerHost
from umberusher.replay.clock import ReplayClock
from umberusher.replay.engine_fleet import ADDED, REMOVED, EngineFleet
from umberusher.replay.faults import Fault, FaultKind
from umberusher.standin.engine import Engine
from umberusher.traces.plan import MachineEvent

SLOW_READS_PER_S = 10


class FaultInjector:
    """Schedules faults and machine events, and applies them."""

    def __init__(
        self, fleet: EngineFleet, brokers: BrokerHost, clock: ReplayClock, notes: Counter[str]
    ) -> None:
        self._fleet = fleet
        self._brokers = brokers
        self._clock = clock
        self._notes = notes
        self._actions: dict[FaultKind, Callable[[Fault, Engine], None]] = {
            FaultKind.UNRESPONSIVE: self._make_unresponsive,
            FaultKind.RESET: self._reset_connections,
            FaultKind.CUT_RESULT: self._cut_result,
            FaultKind.DELAYED_REPORTS: self._delay_reports,
            FaultKind.CRASH: self._crash,
            FaultKind.DRAIN: self._drain,
            FaultKind.SICK: self._make_sick,
            FaultKind.NETWORK_DELAY: self._delay_network,
            FaultKind.SLOW_READER: self._read_slowly,
        }

    def schedule(self, faults: list[Fault], machines: list[MachineEvent]) -> None:
        """Schedule all faults and machine events.

        Raises:
            UsageError: A fault names an engine that doesn't exist.
        """
        for fault in faults:
            if fault.kind is not FaultKind.STALL and fault.node not in self._fleet.engines:
                names = ", ".join(self._fleet.engines)
                raise UsageError(f"faults: no node {fault.node}; there are {names}")
            self._call_at_s(fault.at, lambda fault=fault: self._inject(fault))  # type: ignore[misc]
        for machine in machines:
            engine_name = self._fleet.engine_name(machine.machine)
            if machine.at_us > 0 and engine_name is not None:
                self._schedule_machine_event(machine, engine_name)

    def _schedule_machine_event(self, machine: MachineEvent, engine_name: str) -> None:
        self._clock.call_at(
            machine.at_us / 1e3,
            lambda: self._fleet.apply_machine_event(engine_name, machine.event),
        )

    def _call_at_s(self, at_s: float, call: Callable[[], None]) -> None:
        self._clock.call_at(at_s * 1000.0, call)

    def _inject(self, fault: Fault) -> None:
        self._notes[f"fault {fault.kind}"] += 1
        if fault.kind is FaultKind.STALL:
            self._brokers.stall((fault.until - fault.at) * 1000.0)
        else:
            self._actions[fault.kind](fault, self._fleet.engines[fault.node])

    def _make_unresponsive(self, fault: Fault, engine: Engine) -> None:
        engine.faults.unresponsive = True
        self._call_at_s(fault.until, engine.resume_answers)

    def _reset_connections(self, _fault: Fault, engine: Engine) -> None:
        engine.reset_connections()

    def _cut_result(self, fault: Fault, engine: Engine) -> None:
        engine.faults.cut_result_after_bytes = int(fault.after)

    def _delay_reports(self, fault: Fault, engine: Engine) -> None:
        # The faults of this incarnation: an engine that has started again has none.
        faults = engine.faults
        faults.report_delay_ms = fault.by_ms

        def end() -> None:
            faults.report_delay_ms = 0.0

        self._call_at_s(fault.until, end)

    def _make_sick(self, fault: Fault, engine: Engine) -> None:
        faults = engine.faults
        faults.reject_health_checks = True

        def end() -> None:
            faults.reject_health_checks = False

        self._call_at_s(fault.until, end)

    def _delay_network(self, fault: Fault, engine: Engine) -> None:
        faults = engine.faults
        faults.network_delay_ms = fault.by_ms

        def end() -> None:
            faults.network_delay_ms = 0.0

        self._call_at_s(fault.until, end)

    def _read_slowly(self, fault: Fault, engine: Engine) -> None:
        engine.read_slowly(max(round(fault.rate / SLOW_READS_PER_S), 1))
        self._call_at_s(fault.until, lambda: engine.read_slowly(0))

    def _crash(self, fault: Fault, engine: Engine) -> None:
        self._fleet.apply_machine_event(engine.name, REMOVED)
        if fault.back is not None:
            self._call_at_s(fault.back, lambda: self._fleet.apply_machine_event(engine.name, ADDED))

    def _drain(self, fault: Fault, engine: Engine) -> None:
        self._fleet.publish_state(engine.name, "DRAINING")
        if fault.back is not None:
            self._call_at_s(fault.back, lambda: self._fleet.publish_state(engine.name, "SERVING"))
