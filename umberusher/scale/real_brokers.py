"""The wall-clock part of a scale run: real brokers' cost of discovery, and clients' latencies.

This module plays the phases; ``real_fleet`` runs the broker processes, ``real_discovery`` the
process of the control machines.
"""

from __future__ import annotations

import random
import statistics
import tempfile
import time
from collections.abc import Sequence
from dataclasses import dataclass

from umberusher.scale.descriptors import ensure_descriptor_limit
from umberusher.scale.endpoint_list import draw_weight
from umberusher.scale.figures import Metric, metric, quantile
from umberusher.scale.plan import Plan, RealBrokersPlan
from umberusher.scale.real_discovery import DiscoveryProcess, DiscoveryReport, broker_names
from umberusher.scale.real_fleet import SOCKETS, STEP_MS, RealFleet
from umberusher.scale.scene_figures import QUANTILES, quantile_metrics

# The longest wait at a phase's end for changes to come into force and statements to be answered.
SETTLE_TIMEOUT_S = 5.0
# Lets the brokers finish their start before the first phase is measured.
START_SETTLE_S = 2.0
STATEMENT_STEP_MS = 2.0  # longest step of the loop while statements are submitted
CLIENT_DESCRIPTORS = 512  # descriptors of one broker's stand-ins
NEVER_S = float("inf")
BYTES_PER_KB = 1e3


@dataclass(frozen=True, slots=True)
class Phase:
    """One phase of the run: its duration and its load.

    Attributes:
        name: Its name in results.
        duration_s: How long it is played.
        changes_per_s: Changes of one entry.
        burst_entries: Entries of one large update at its start.
        statements_per_s: Statements of each broker.
    """

    name: str
    duration_s: float
    changes_per_s: float = 0.0
    burst_entries: int = 0
    statements_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PhaseUsage:
    """The processor time of the brokers in a phase, and their load.

    Attributes:
        duration_s: How long the phase lasted.
        processor_times_s: Processor time of each broker.
        statement_count: Statements submitted to each broker.
    """

    duration_s: float
    processor_times_s: list[float]
    statement_count: int


def phases(plan: RealBrokersPlan) -> list[Phase]:
    """Return the phases of a plan in their order."""
    short_s = plan.duration_s / 3
    return [
        Phase("quiet", short_s),
        Phase("ordinary changes", plan.duration_s, changes_per_s=plan.changes_per_s),
        Phase("a lump", short_s, burst_entries=plan.burst_entries),
        Phase("statements alone", short_s, statements_per_s=plan.statements_per_s),
        Phase(
            "statements and a lump",
            short_s,
            changes_per_s=plan.changes_per_s,
            burst_entries=plan.burst_entries,
            statements_per_s=plan.statements_per_s,
        ),
    ]


def play_real(plan: Plan, real: RealBrokersPlan) -> dict[str, Metric]:
    """Play all phases with real brokers and return the metrics."""
    ensure_descriptor_limit(SOCKETS + 2 * real.brokers * CLIENT_DESCRIPTORS)
    size = plan.size
    # Created before the process of the control machines, whose first update names the engines.
    fleet = RealFleet(size, real.brokers)
    discovery = DiscoveryProcess(real.brokers, size.regions, size.control_machines)
    try:
        return _play(fleet, discovery, real, random.Random(size.seed))
    finally:
        discovery.stop()


def _play(
    fleet: RealFleet,
    discovery: DiscoveryProcess,
    real: RealBrokersPlan,
    random_source: random.Random,
) -> dict[str, Metric]:
    with tempfile.TemporaryDirectory() as folder:
        entries = [fleet.entry(number) for number in range(real.engines)]
        discovery.publish(entries, complete=True)
        discovery.wait_until_listening()
        try:
            fleet.start(folder, discovery.addresses)
            metrics = fleet.wait_until_ready()
            fleet.run_for(START_SETTLE_S)
            for phase in phases(real):
                metrics |= PhasePlayer(fleet, discovery, real, random_source, phase).play()
            return metrics
        finally:
            fleet.close()


class PhasePlayer:
    """Plays one phase and measures what each broker uses in it.

    Args:
        fleet: The brokers and stand-ins.
        discovery: The control machines.
        real: The plan of the run.
        random_source: Draws the engines that change.
        phase: The phase.
    """

    __slots__ = ("_discovery", "_fleet", "_phase", "_random", "_real")

    def __init__(
        self,
        fleet: RealFleet,
        discovery: DiscoveryProcess,
        real: RealBrokersPlan,
        random_source: random.Random,
        phase: Phase,
    ) -> None:
        self._fleet = fleet
        self._discovery = discovery
        self._real = real
        self._random = random_source
        self._phase = phase

    def play(self) -> dict[str, Metric]:
        """Play the phase and return its metrics."""
        fleet = self._fleet
        first_revision = self._discovery.revision + 1
        bytes_before = self._discovery.report().broker_bytes
        fleet.reset_counts()
        usage = self._run()
        if self._phase.statements_per_s:
            expected_count = usage.statement_count * self._real.brokers
            fleet.run_until(lambda: fleet.outcomes.total() >= expected_count, SETTLE_TIMEOUT_S)
        bytes_after = self._discovery.report().broker_bytes
        fleet.run_until(self._all_acknowledged, SETTLE_TIMEOUT_S)
        report = self._discovery.report()
        metrics = self._usage_metrics(usage, bytes_before, bytes_after)
        metrics |= self._change_metrics(_delays_s(report, first_revision))
        if self._phase.statements_per_s:
            metrics |= self._statement_metrics(usage)
        return self._prefixed_with_phase(metrics)

    def _prefixed_with_phase(self, metrics: dict[str, Metric]) -> dict[str, Metric]:
        return {f"{self._phase.name}: {name}": each for name, each in metrics.items()}

    def _run(self) -> PhaseUsage:
        """Publish changes and submit statements for the phase's time."""
        phase = self._phase
        step_ms = STATEMENT_STEP_MS if phase.statements_per_s else STEP_MS
        before_s = self._fleet.processor_times_s()
        started_s = time.monotonic()
        if phase.burst_entries:
            self._publish_change(phase.burst_entries)
        change_count = 0
        statement_count = 0
        while (elapsed_s := time.monotonic() - started_s) < phase.duration_s:
            while change_count < int(elapsed_s * phase.changes_per_s):
                change_count += 1
                self._publish_change(1)
            while statement_count < int(elapsed_s * phase.statements_per_s):
                statement_count += 1
                self._fleet.submit_to_all()
            self._fleet.loop.step(step_ms)
        duration_s = time.monotonic() - started_s
        after_s = self._fleet.processor_times_s()
        used_s = [after - before for after, before in zip(after_s, before_s, strict=True)]
        return PhaseUsage(duration_s, used_s, statement_count)

    def _publish_change(self, count: int) -> None:
        """Publish an update that gives some engines another weight."""
        engine_count = self._real.engines
        numbers = self._random.sample(range(engine_count), min(count, engine_count))
        self._discovery.publish(
            [self._fleet.entry(number, draw_weight(self._random)) for number in numbers]
        )

    def _all_acknowledged(self) -> bool:
        """Return whether each broker has acknowledged the newest revision."""
        newest = self._discovery.revision
        known = self._discovery.report().acknowledged_at_s.values()
        return all(newest in revisions for revisions in known)

    def _usage_metrics(
        self, usage: PhaseUsage, bytes_before: dict[str, int], bytes_after: dict[str, int]
    ) -> dict[str, Metric]:
        used_s = usage.processor_times_s
        median_s = statistics.median(used_s)
        sent_bytes = max(
            bytes_after.get(broker, 0) - bytes_before.get(broker, 0)
            for broker in broker_names(self._real.brokers)
        )
        metrics = {
            "a real broker's processor time": metric(
                100 * median_s / usage.duration_s, "% of a core"
            ),
            "a real broker's processor time, largest": metric(
                100 * max(used_s) / usage.duration_s, "% of a core"
            ),
            "a real broker's control bytes": metric(
                sent_bytes / usage.duration_s / BYTES_PER_KB, "KB/s"
            ),
            "a real broker's memory, largest": metric(self._fleet.memory_max_mb(), "MB"),
        }
        if self._phase.burst_entries:
            metrics["a real broker's processor time in all"] = metric(median_s, "s")
        return metrics

    def _change_metrics(self, delays_s: Sequence[float]) -> dict[str, Metric]:
        if not delays_s:
            return {}
        in_force_s = [delay_s for delay_s in delays_s if delay_s < NEVER_S]
        name = f"not in force after {SETTLE_TIMEOUT_S:g} s"
        metrics = {name: metric(len(delays_s) - len(in_force_s), "changes")}
        return metrics | quantile_metrics("in force", in_force_s, "s")

    def _statement_metrics(self, usage: PhaseUsage) -> dict[str, Metric]:
        fleet = self._fleet
        count = usage.statement_count * self._real.brokers
        metrics = {
            "statements": metric(count, "statements"),
            "statements served": metric(fleet.outcomes["served"], "statements"),
        }
        if fleet.latencies_ms:
            for label in ("50th", "99th"):
                latency_ms = quantile(fleet.latencies_ms, QUANTILES[label])
                metrics[f"answered after, {label}"] = metric(latency_ms, "ms")
        return metrics


def _delays_s(report: DiscoveryReport, first_revision: int) -> list[float]:
    """Return how long each change took to come into force at each broker."""
    revisions = range(first_revision, len(report.changed_at_s) + 1)
    return [
        acknowledged_at_s.get(revision, NEVER_S) - report.changed_at_s[revision - 1]
        for acknowledged_at_s in report.acknowledged_at_s.values()
        for revision in revisions
    ]
