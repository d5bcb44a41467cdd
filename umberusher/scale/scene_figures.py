"""The metrics of one scene, computed from its counts."""

from __future__ import annotations

from array import array
from collections.abc import Sequence
from operator import attrgetter
from typing import NamedTuple

from umberusher.scale.figures import Metric, metric, poisson_largest_over_mean, quantile
from umberusher.scale.scene_counts import SceneCounts
from umberusher.simulated_fleet.statement_counts import StatementOutcome

MICROSECONDS = 1e6  # in a second
BYTES_PER_KB = 1e3
QUANTILES = {"50th": 0.5, "99th": 0.99, "largest": 1.0}
SHOWN_OUTCOMES = (
    StatementOutcome.SERVED,
    StatementOutcome.REJECTED,
    StatementOutcome.FAILED,
    StatementOutcome.EXPIRED,
    StatementOutcome.BROKER_STOPPED,
)


class TrafficMetric(NamedTuple):
    """A metric of a control machine's traffic: the field, its name, unit and scale."""

    field: str
    name: str
    unit: str
    scale: float


TRAFFIC_METRICS = (
    TrafficMetric("requests", "requests", "requests/s", 1),
    TrafficMetric("sent_bytes", "bytes", "MB/s", 1e6),
    TrafficMetric("complete_lists", "whole lists", "lists/s", 1),
)


def scene_metrics(counts: SceneCounts) -> dict[str, Metric]:
    """Return the metrics of a scene by their names in results."""
    return {
        "brokers": metric(counts.brokers, "brokers"),
        "played": metric(counts.duration_s, "s"),
        **_list_metrics(counts),
        **_control_metrics(counts),
        **_engine_metrics(counts),
        **_statement_metrics(counts),
        **_primary_metrics(counts),
        **{
            f"held by the broker with most, {kind}": metric(count, kind)
            for kind, count in sorted(counts.largest_state_counts.items())
        },
    }


def quantile_metrics(name: str, values: Sequence[float], unit: str) -> dict[str, Metric]:
    """Return the median, the 99th percentile and the largest of some values, if there are any."""
    if not values:
        return {}
    return {
        f"{name}, {label}": metric(quantile(values, fraction), unit)
        for label, fraction in QUANTILES.items()
    }


def _seconds(values_us: Sequence[int]) -> list[float]:
    return [value / MICROSECONDS for value in values_us]


def _list_metrics(counts: SceneCounts) -> dict[str, Metric]:
    metrics = {"changes": metric(len(counts.slowest_us), "changes")}
    metrics |= quantile_metrics(
        "change in force at the last broker", _seconds(list(counts.slowest_us.values())), "s"
    )
    if counts.not_notified is not None:
        metrics["brokers without word for the whole time"] = metric(counts.not_notified, "brokers")
    metrics |= quantile_metrics("start until the first list", _seconds(counts.ready_us), "s")
    metrics["brokers not ready"] = metric(counts.not_ready, "brokers")
    metrics["brokers behind at the end"] = metric(counts.behind, "brokers")
    metrics["brokers whose list differs"] = metric(counts.list_differs, "brokers")
    return metrics


def _control_metrics(counts: SceneCounts) -> dict[str, Metric]:
    metrics = {}
    if counts.control_bytes:
        mean_bytes = sum(counts.control_bytes) / len(counts.control_bytes)
        metrics["control bytes of a broker, mean"] = metric(
            mean_bytes / counts.duration_s / BYTES_PER_KB, "KB/s"
        )
        metrics["control bytes of a broker, largest"] = metric(
            max(counts.control_bytes) / counts.duration_s / BYTES_PER_KB, "KB/s"
        )
    for each in TRAFFIC_METRICS:
        largest = max(map(attrgetter(each.field), counts.machine_traffic.values()), default=0)
        name = f"a control machine at its worst second, {each.name}"
        metrics[name] = metric(largest / each.scale, each.unit)
    return metrics


def _engine_metrics(counts: SceneCounts) -> dict[str, Metric]:
    serving = counts.serving_engines
    metrics = _per_engine("connections", counts.connections, serving)
    metrics |= _per_engine("brokers with it in scope", counts.known_to_brokers, serving)
    metrics |= _per_engine("brokers that draw it", counts.in_subset_of_brokers, serving)
    metrics |= _per_engine("statements", counts.statements, serving)
    metrics["statements an engine, largest over mean by chance alone"] = metric(
        poisson_largest_over_mean(_mean(_values_of(counts.statements, serving)), len(serving)),
        "times",
    )
    return metrics


def _values_of(by_engine: array[int], engines: Sequence[int]) -> list[int]:
    return [by_engine[number] for number in engines]


def _mean(values: Sequence[int]) -> float:
    return sum(values) / max(len(values), 1)


def _per_engine(name: str, by_engine: array[int], engines: Sequence[int]) -> dict[str, Metric]:
    """Return how evenly a count is distributed over the serving engines."""
    values = _values_of(by_engine, engines)
    mean = _mean(values)
    metrics = {f"{name} an engine, mean": metric(mean, name)}
    if mean:
        metrics[f"{name} an engine, largest"] = metric(max(values), name)
        metrics[f"{name} an engine, least"] = metric(min(values), name)
        metrics[f"{name} an engine, largest over mean"] = metric(max(values) / mean, "times")
    return metrics


def _statement_metrics(counts: SceneCounts) -> dict[str, Metric]:
    metrics = {
        f"statements {outcome}": metric(counts.outcomes[outcome], "statements")
        for outcome in SHOWN_OUTCOMES
    }
    metrics["attempts"] = metric(counts.attempts, "attempts")
    for outcome, count in sorted(counts.attempt_outcomes.items()):
        metrics[f"attempts that ended: {outcome}"] = metric(count, "attempts")
    metrics["sends stopped by the list"] = metric(counts.not_listed, "attempts")
    metrics["attempts to what was told as gone"] = metric(counts.attempts_to_closed, "attempts")
    metrics["statements without an end"] = metric(counts.overdue, "statements")
    metrics["rules broken"] = metric(counts.violations.total(), "breaches")
    return metrics


def _primary_metrics(counts: SceneCounts) -> dict[str, Metric]:
    if not counts.switchover_us and not counts.not_switched_over:
        return {}
    metrics = quantile_metrics(
        "change of primary over at a broker", _seconds(counts.switchover_us), "s"
    )
    metrics["brokers where it is not over"] = metric(counts.not_switched_over, "brokers")
    return metrics
