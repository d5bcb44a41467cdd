"""The stand-in engines of a replay, and their entries in the endpoint list."""

from __future__ import annotations

import random
from collections import Counter

import xxhash

from umberusher.checker.events import EventSink
from umberusher.errors import UsageError
from umberusher.net.loop import Loop
from umberusher.replay import site
from umberusher.replay.options import ReplayOptions
from umberusher.standin.deployment import DeploymentTerms
from umberusher.standin.discovery_service import DiscoveryService
from umberusher.standin.engine import Engine
from umberusher.standin.machine import MachineShape
from umberusher.traces.plan import MachineEvent, Plan

SMALL_KIND = "std-8"
LARGE_KIND = "std-16"
LARGE_ONE_IN = 3  # one engine in this many is large where the plan names no machines
ADDED = "ADD"
REMOVED = "REMOVE"


class EngineFleet:
    """All engines of a replay, which may crash and start again under their names."""

    def __init__(
        self,
        plan: Plan,
        options: ReplayOptions,
        terms: DeploymentTerms,
        loop: Loop,
        discovery: DiscoveryService,
        sink: EventSink,
        notes: Counter[str],
    ) -> None:
        """Create the fleet without engines; ``notes`` counts the machine events."""
        self.engines: dict[str, Engine] = {}
        self._plan = plan
        self._options = options
        self._terms = terms
        self._loop = loop
        self._discovery = discovery
        self._sink = sink
        self._notes = notes
        # Names of engines by the plan's machines.
        self._engine_names: dict[str, str] = {}

    def start(self) -> None:
        """Start the engines and publish the first endpoint list."""
        for name, kind in self._first_engines():
            self.engines[name] = self._make_engine(name, kind)
        if not self.engines:
            raise UsageError("a replay needs at least one engine")
        entries = [self._discovery.entry(engine, "SERVING") for engine in self.engines.values()]
        self._discovery.publish(entries, reset=True, delayed=False)

    def engine_name(self, machine: str) -> str | None:
        """Return the engine that stands for a machine of the plan; None if none does."""
        return self._engine_names.get(machine)

    def apply_machine_event(self, name: str, event: str) -> None:
        """Crash an engine, or start it again under its name."""
        self._notes[f"machine {event}"] += 1
        engine = self.engines[name]
        if event == REMOVED and engine.alive:
            entry = self._discovery.entry(engine, "DELETED")
            engine.crash()
            self._discovery.publish([entry])
        elif event == ADDED and not engine.alive:
            engine.start(warming_up=True)
            started_s = engine.now_ms() / 1000.0
            self._discovery.publish([self._discovery.entry(engine, "SERVING", started_s)])

    def publish_state(self, name: str, state: str) -> None:
        """Publish an engine's state."""
        self._discovery.publish([self._discovery.entry(self.engines[name], state)])

    def close(self) -> None:
        """Release all descriptors."""
        for engine in self.engines.values():
            engine.close()

    def _first_engines(self) -> list[tuple[str, str]]:
        """Return names and kinds at the start: from the plan's machines, else by the options."""
        machines = [each for each in self._plan.machines if _is_first(each)]
        count = self._options.engine_count
        if not machines:
            return [
                (f"n-{number}", LARGE_KIND if number % LARGE_ONE_IN == 2 else SMALL_KIND)
                for number in range(count)
            ]
        machines.sort(key=lambda each: xxhash.xxh3_64_intdigest(each.machine.encode()))
        if len(machines) > count:
            self._notes["machines of the plan left out"] += len(machines) - count
        for number, machine in enumerate(machines[:count]):
            self._engine_names[machine.machine] = f"n-{number}"
        return [
            (self._engine_names[machine.machine], machine.kind or "")
            for machine in machines[:count]
        ]

    def _make_engine(self, name: str, kind: str) -> Engine:
        number = len(self.engines)
        known_kind = kind if kind in site.MACHINE_KINDS else SMALL_KIND
        size = site.MACHINE_KINDS[known_kind]
        rng = random.Random(f"node/{self._options.seed}/{name}")
        shape = MachineShape(
            size.cores,
            size.memory_mb,
            speed=rng.uniform(0.9, 1.1),
            knee=rng.uniform(1.4, 1.8),
            thrash=rng.uniform(0.45, 0.9),
            max_sessions_per_core=rng.randint(6, 10),
        )
        is_even = number % 2 == 0
        return Engine(
            self._loop,
            name,
            shape,
            self._sink,
            kind=known_kind,
            zone=site.ZONES[number % 2],
            cancellation=self._options.cancellation,
            warming_up=False,
            terms=self._terms,
            clock_skew_ms=self._options.clock_skew_ms * (1 if is_even else -1),
        )


def _is_first(machine: MachineEvent) -> bool:
    return machine.event == ADDED and machine.at_us <= 0
