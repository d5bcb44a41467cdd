"""Experiments: a plan under several settings, and how the results differ beyond chance.

Each replay runs in a process of its own. Seeds are repetitions, not settings: results of the same
settings are combined into their mean and standard deviation, and the difference from the first
settings is given with its standard error (Welch 1947).
"""

from __future__ import annotations

import itertools
import math
import statistics
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, replace
from typing import Any

from umberusher.errors import UsageError
from umberusher.replay.faults import load_faults
from umberusher.replay.options import ReplayOptions
from umberusher.replay.replay import run_replay
from umberusher.traces.plan import Plan

MAX_RUNS = 500
SEED = "seed"
FAULTS = "faults"


@dataclass(slots=True, frozen=True)
class VariedSetting:
    """A setting that ``--vary`` accepts: the parser of its values, and the option that they set."""

    parse: type[int] | type[float] | type[str]
    option: str


VARIED_SETTINGS = {
    SEED: VariedSetting(int, "seed"),
    "nodes": VariedSetting(int, "engine_count"),
    "brokers": VariedSetting(int, "broker_count"),
    "retries": VariedSetting(int, "max_client_retries"),
    "leave": VariedSetting(float, "disconnect_fraction"),
    "tight": VariedSetting(float, "tight_deadline_fraction"),
    FAULTS: VariedSetting(str, "faults"),
}

Settings = dict[str, Any]
"""Varied settings by the names of the command line."""


@dataclass(slots=True, frozen=True)
class Variation:
    """One combination of the varied settings."""

    settings: Settings
    options: ReplayOptions


def parse(texts: list[str]) -> dict[str, list[Any]]:
    """Return the values of each varied setting.

    Args:
        texts: ``NAME=A,B,...`` each.

    Raises:
        UsageError: Names the text that is wrong.
    """
    found: dict[str, list[Any]] = {}
    for text in texts:
        name, mark, values = text.partition("=")
        if not mark or name not in VARIED_SETTINGS or name in found:
            known = ", ".join(VARIED_SETTINGS)
            raise UsageError(f"--vary {text}: expected one of {known}, each once, as NAME=A,B")
        parse_value = VARIED_SETTINGS[name].parse
        try:
            found[name] = [parse_value(value) for value in values.split(",")]
        except ValueError:
            raise UsageError(f"--vary {text}: {name} takes {parse_value.__name__} values") from None
    return found


def variations(base: ReplayOptions, varied: dict[str, list[Any]]) -> list[Variation]:
    """Return all combinations of the varied settings."""
    found = []
    for values in itertools.product(*varied.values()):
        settings = dict(zip(varied, values, strict=True))
        found.append(Variation(settings, _apply(base, settings)))
    if len(found) > MAX_RUNS:
        raise UsageError(f"--vary: {len(found)} replays, {MAX_RUNS} at the most")
    return found


def _apply(base: ReplayOptions, settings: Settings) -> ReplayOptions:
    changes = {
        VARIED_SETTINGS[name].option: value for name, value in settings.items() if name != FAULTS
    }
    if settings.get(FAULTS):
        changes["faults"] = load_faults(settings[FAULTS])
    return replace(base, **changes)


def _run_one(path: str, options: ReplayOptions) -> dict[str, Any]:
    result = run_replay(Plan.load(path), options)
    result.pop("by_second")
    return result


def run_all(
    path: str, chosen: list[Variation], jobs: int, on_done: Callable[[], None] = lambda: None
) -> list[dict[str, Any]]:
    """Play a plan's file under all variations, ``jobs`` at once; return results in order."""
    with ProcessPoolExecutor(max_workers=jobs) as pool:
        futures = [pool.submit(_run_one, path, each.options) for each in chosen]
        results = []
        for future in futures:
            results.append(future.result())
            on_done()
    return results


def summary(chosen: list[Settings], results: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Return a row for each combination of settings, over all seeds; differences from the first."""
    groups: dict[tuple[tuple[str, Any], ...], list[dict[str, Any]]] = {}
    for settings, result in zip(chosen, results, strict=True):
        key = tuple((name, value) for name, value in settings.items() if name != SEED)
        groups.setdefault(key, []).append(result)
    rows: list[dict[str, Any]] = []
    for key, members in groups.items():
        row = _summarize(dict(key), members)
        if rows and row["service"] is not None and rows[0]["service"] is not None:
            row["difference"] = row["service"] - rows[0]["service"]
            row["error"] = _standard_error(row, rows[0])
        rows.append(row)
    return rows


def _summarize(settings: Settings, members: list[dict[str, Any]]) -> dict[str, Any]:
    services = [each["service"] for each in members if each["service"] is not None]
    return {
        "settings": settings,
        "runs": len(members),
        "scored": len(services),
        "service": statistics.fmean(services) if services else None,
        "deviation": statistics.stdev(services) if len(services) > 1 else 0.0,
        "lowest": min(services, default=None),
        "highest": max(services, default=None),
        "worst_10s": statistics.fmean([each["worst_10s"] for each in members]),
        "attempts": statistics.fmean(
            [each["attempts"] / max(each["played"], 1) for each in members]
        ),
        "wasted_ms": statistics.fmean([each["wasted_ms"] for each in members]),
        "broken": sum(len(each["rules_broken"]) for each in members),
        "by_class": {name: _mean_class_service(members, name) for name in members[0]["by_class"]},
    }


def _mean_class_service(members: list[dict[str, Any]], name: str) -> float:
    return statistics.fmean([each["by_class"][name]["service"] or 0.0 for each in members])


def _standard_error(row: dict[str, Any], first: dict[str, Any]) -> float:
    variances = [each["deviation"] ** 2 / max(each["scored"], 1) for each in (row, first)]
    return math.sqrt(sum(variances))
