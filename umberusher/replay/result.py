"""The result of a replay as JSON."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

from umberusher.checker.checker import Checker
from umberusher.checker.counts import Count
from umberusher.checker.events import Outcome
from umberusher.replay.brokers import BrokerReport
from umberusher.replay.client_driver import ClientDriver
from umberusher.replay.options import ReplayOptions
from umberusher.standin.engine import Engine
from umberusher.traces.stats import quantiles

MAX_LAG_P99_MS = 50.0
"""99th percentile of the delays in starting requests above which nothing is scored."""
MAX_LAG_MS = 500.0
MAX_LOG_LINES = 20  # kinds of the brokers' log lines that are kept
CRASHED = "brokers that crashed"


@dataclass(slots=True)
class ReplayRecord:
    """The state of a replay from which its result is made."""

    options: ReplayOptions
    planned_count: int
    interrupted: bool
    checker: Checker
    driver: ClientDriver
    engines: list[Engine]
    brokers: BrokerReport
    notes: Counter[str]


def result_document(record: ReplayRecord) -> dict[str, Any]:
    """Return the result as JSON; its service is None unless all was played, and on time."""
    driver = record.driver
    lag_ms = quantiles(driver.lags_ms)
    kept_pace = not driver.lags_ms or _keeps_pace(lag_ms)
    is_complete = not record.interrupted and driver.all_started
    document = driver.score.document() | {
        "partial": not is_complete,
        "kept_pace": kept_pace,
        "client_lag_ms": lag_ms,
        "clock": str(record.options.clock),
        "seed": record.options.seed,
        "nodes": len(record.engines),
        "brokers": record.options.broker_count,
        "played": driver.started_count,
        "planned": record.planned_count,
    }
    document |= _checker_document(record.checker, crashed=record.brokers.crash_count > 0)
    document |= {
        "wasted_ms": round(sum(engine.account.wasted_ms for engine in record.engines), 1),
        "worked_ms": round(sum(engine.account.worked_ms for engine in record.engines), 1),
        "account": dict(sorted(record.brokers.account.items())),
        "teams": _teams_document(driver),
        "broker_log": dict(record.brokers.log_lines.most_common(MAX_LOG_LINES)),
        "digest": record.checker.digest,
        "key_delays": driver.key_spacing.delay_count,
        "notes": _notes_document(record),
    }
    if not kept_pace or not is_complete:
        # The service would depend on this machine, not on the broker alone.
        document["service"] = None
        for each in document["by_class"].values():
            each["service"] = None
    return document


def _keeps_pace(lag_ms: dict[str, float]) -> bool:
    return lag_ms["p99"] <= MAX_LAG_P99_MS and lag_ms["p100"] <= MAX_LAG_MS


def _checker_document(checker: Checker, crashed: bool) -> dict[str, Any]:
    counts = checker.counts
    broken = [breach.document() for breach in checker.breaches.recorded]
    if crashed:
        broken.append({"rule": "crash", "at_ms": 0, "what": "a broker crashed"})
    return {
        "answers": {outcome.value: counts[outcome] for outcome in Outcome},
        "rules_broken": broken,
        "breaches": dict(sorted(checker.breaches.counts.items())),
        "attempts": counts[Count.ATTEMPTS],
        "begun": counts[Count.WORK_STARTED],
        "begun_after": round(checker.max_late_start_ms, 2),
        "further_attempts": counts[Count.RETRIES],
        "read_after_the_end": counts[Count.READ_AFTER_END],
        "begun_late": counts[Count.WORK_STARTED_LATE],
        "work_for_nobody": counts[Count.UNWANTED_WORK_ENDED],
    }


def _teams_document(driver: ClientDriver) -> dict[str, Any]:
    teams = {}
    for team, score in driver.team_scores.items():
        count = driver.retry_after_counts.get(team)
        retry_counts = [count.retried, count.accepted] if count else [0, 0]
        teams[team] = score.document() | {"came_back": retry_counts}
    return teams


def _notes_document(record: ReplayRecord) -> dict[str, int]:
    notes = dict(record.notes)
    if record.brokers.crash_count:
        notes[CRASHED] = record.brokers.crash_count
    return dict(sorted(notes.items()))
