"""Submits ordinary statements in short bursts at the full rate.

The length and the interval of the bursts determine which share of all statements is played.
"""

from __future__ import annotations

import random

from umberusher.scale.draws import draw
from umberusher.scale.plan import StatementLoad
from umberusher.simulated_fleet.broker import SimulatedBroker
from umberusher.standin.clock import StepLoop

# Share of the statements that are loads, which carry an idempotency key.
KEYED_SHARE = 0.05
# Keys of a broker's loads.
KEY_COUNT = 16
KEYED_CLASS = "load"
PLAIN_CLASS = "lookup"


class StatementBursts:
    """Submits bursts of statements to brokers until they close."""

    __slots__ = ("_load", "_loop", "_seed")

    def __init__(self, loop: StepLoop, load: StatementLoad, seed: int) -> None:
        self._loop = loop
        self._load = load
        self._seed = seed

    def start(self, broker: SimulatedBroker, position: int) -> None:
        """Schedule a broker's first burst, at a moment of its own within the interval."""
        phase = draw(self._seed, f"phase/{position}")
        self._schedule(broker, phase * self._load.burst_interval_s, 0)

    def _schedule(self, broker: SimulatedBroker, delay_s: float, number: int) -> None:
        broker.script_timer = self._loop.call_later(
            1000 * delay_s, lambda: self._burst(broker, number)
        )

    def _burst(self, broker: SimulatedBroker, number: int) -> None:
        if broker.closed:
            return
        load = self._load
        random_source = random.Random(f"{self._seed}/{broker.name}/{number}")
        self._submit_next(broker, random_source, round(load.rate_per_s * load.burst_s))
        self._schedule(broker, load.burst_interval_s, number + 1)

    def _submit_next(
        self, broker: SimulatedBroker, random_source: random.Random, remaining_count: int
    ) -> None:
        """Submit one statement of a burst and schedule the next."""
        if broker.closed or not remaining_count:
            return
        self._loop.call_later(
            1000 / self._load.rate_per_s,
            lambda: self._submit_next(broker, random_source, remaining_count - 1),
        )
        # Clients submit statements once the broker is ready.
        if broker.balancer.up:
            self._submit(broker, random_source)

    def _submit(self, broker: SimulatedBroker, random_source: random.Random) -> None:
        work_ms = 1000 * self._load.answer_s
        if random_source.random() < KEYED_SHARE:
            broker.statements.submit(KEYED_CLASS, work_ms, f"k{random_source.randrange(KEY_COUNT)}")
        else:
            broker.statements.submit(PLAIN_CLASS, work_ms)
