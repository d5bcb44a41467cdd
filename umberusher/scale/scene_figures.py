"""The figures of one scene, made from its counts."""

from __future__ import annotations

from array import array
from collections.abc import Sequence
from operator import attrgetter
from typing import NamedTuple

from umberusher.scale.figures import Metric, chance_largest, figure, quantile
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


class TrafficFigure(NamedTuple):
    """A figure of a control machine's traffic: the field, its name, unit and scale."""

    field: str
    name: str
    unit: str
    scale: float


TRAFFIC_FIGURES = (
    TrafficFigure("requests", "requests", "requests/s", 1),
    TrafficFigure("sent_bytes", "bytes", "MB/s", 1e6),
    TrafficFigure("complete_lists", "whole lists", "lists/s", 1),
)


def scene_figures(counts: SceneCounts) -> dict[str, Metric]:
    """Return the figures of a scene by their names in results."""
    return {
        "brokers": figure(counts.brokers, "brokers"),
        "played": figure(counts.duration_s, "s"),
        **_list_figures(counts),
        **_control_figures(counts),
        **_engine_figures(counts),
        **_statement_figures(counts),
        **_primary_figures(counts),
        **{
            f"held by the broker with most, {kind}": figure(count, kind)
            for kind, count in sorted(counts.largest_state_counts.items())
        },
    }


def quantile_figures(name: str, values: Sequence[float], unit: str) -> dict[str, Metric]:
    """Return the median, the 99th percentile and the largest of some values, if there are any."""
    if not values:
        return {}
    return {
        f"{name}, {label}": figure(quantile(values, fraction), unit)
        for label, fraction in QUANTILES.items()
    }


def _seconds(values_us: Sequence[int]) -> list[float]:
    return [value / MICROSECONDS for value in values_us]


def _list_figures(counts: SceneCounts) -> dict[str, Metric]:
    found = {"changes": figure(len(counts.slowest_us), "changes")}
    found |= quantile_figures(
        "change in force at the last broker", _seconds(list(counts.slowest_us.values())), "s"
    )
    if counts.not_notified is not None:
        found["brokers without word for the whole time"] = figure(counts.not_notified, "brokers")
    found |= quantile_figures("start until the first list", _seconds(counts.ready_us), "s")
    found["brokers not ready"] = figure(counts.not_ready, "brokers")
    found["brokers behind at the end"] = figure(counts.behind, "brokers")
    found["brokers whose list differs"] = figure(counts.list_differs, "brokers")
    return found


def _control_figures(counts: SceneCounts) -> dict[str, Metric]:
    found = {}
    if counts.control_bytes:
        mean_bytes = sum(counts.control_bytes) / len(counts.control_bytes)
        found["control bytes of a broker, mean"] = figure(
            mean_bytes / counts.duration_s / BYTES_PER_KB, "KB/s"
        )
        found["control bytes of a broker, largest"] = figure(
            max(counts.control_bytes) / counts.duration_s / BYTES_PER_KB, "KB/s"
        )
    for each in TRAFFIC_FIGURES:
        worst = max(map(attrgetter(each.field), counts.machine_traffic.values()), default=0)
        name = f"a control machine at its worst second, {each.name}"
        found[name] = figure(worst / each.scale, each.unit)
    return found


def _engine_figures(counts: SceneCounts) -> dict[str, Metric]:
    serving = counts.serving_engines
    found = _per_engine("connections", counts.connections, serving)
    found |= _per_engine("brokers with it in scope", counts.known_to_brokers, serving)
    found |= _per_engine("brokers that draw it", counts.in_subset_of_brokers, serving)
    found |= _per_engine("statements", counts.statements, serving)
    found["statements an engine, largest over mean by chance alone"] = figure(
        chance_largest(_mean(_chosen(counts.statements, serving)), len(serving)), "times"
    )
    return found


def _chosen(by_engine: array[int], engines: Sequence[int]) -> list[int]:
    return [by_engine[number] for number in engines]


def _mean(values: Sequence[int]) -> float:
    return sum(values) / max(len(values), 1)


def _per_engine(name: str, by_engine: array[int], engines: Sequence[int]) -> dict[str, Metric]:
    """Return how evenly something is spread over the engines that serve."""
    values = _chosen(by_engine, engines)
    mean = _mean(values)
    found = {f"{name} an engine, mean": figure(mean, name)}
    if mean:
        found[f"{name} an engine, largest"] = figure(max(values), name)
        found[f"{name} an engine, least"] = figure(min(values), name)
        found[f"{name} an engine, largest over mean"] = figure(max(values) / mean, "times")
    return found


def _statement_figures(counts: SceneCounts) -> dict[str, Metric]:
    found = {
        f"statements {outcome}": figure(counts.outcomes[outcome], "statements")
        for outcome in SHOWN_OUTCOMES
    }
    found["attempts"] = figure(counts.attempts, "attempts")
    for outcome, count in sorted(counts.attempt_outcomes.items()):
        found[f"attempts that ended: {outcome}"] = figure(count, "attempts")
    found["sends stopped by the list"] = figure(counts.not_listed, "attempts")
    found["attempts to what was told as gone"] = figure(counts.attempts_to_closed, "attempts")
    found["statements without an end"] = figure(counts.overdue, "statements")
    found["rules broken"] = figure(counts.violations.total(), "breaches")
    return found


def _primary_figures(counts: SceneCounts) -> dict[str, Metric]:
    if not counts.switchover_us and not counts.not_switched_over:
        return {}
    found = quantile_figures(
        "change of primary over at a broker", _seconds(counts.switchover_us), "s"
    )
    found["brokers where it is not over"] = figure(counts.not_switched_over, "brokers")
    return found
