"""A statement of each team's promised work, usage and rejections over a period. No I/O.

It is computed from the counts that brokers log at intervals, which are totals since a broker's
start. The counts of a broker over the period are the sum of the differences between successive
events; a total that decreases shows that the broker was restarted.
"""

from __future__ import annotations

import json
import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from umberusher.teams.contract import Contract, Team

COUNTER_FIELDS = ("own", "borrowed", "refused", "served", "retries")
SUM_FIELDS = ("work_ms", "borrowed_ms", "forgiven_ms", "worth", "marked")
MAX_DEFECTS = 100

_ZERO_COUNTS: dict[str, Any] = {name: {} for name in COUNTER_FIELDS} | dict.fromkeys(
    SUM_FIELDS, 0.0
)
"""The counts of a broker that has just started."""


@dataclass(slots=True)
class TeamTotals:
    """The usage of one team in the period, by the fields of the events."""

    counters: dict[str, Counter[str]] = field(
        default_factory=lambda: {name: Counter() for name in COUNTER_FIELDS}
    )
    sums: dict[str, float] = field(default_factory=lambda: dict.fromkeys(SUM_FIELDS, 0.0))


@dataclass(slots=True)
class StatementReader:
    """Adds up the logs of brokers, one after the other.

    Attributes:
        totals: The usage by team.
        first_ms: The time of the first event.
        last_ms: The time of the last event.
        defects: Malformed events, with log and line.
    """

    totals: dict[str, TeamTotals] = field(default_factory=dict)
    first_ms: float = math.inf
    last_ms: float = 0.0
    defects: list[str] = field(default_factory=list)

    def read(self, name: str, log: Iterable[str]) -> None:
        """Add the log of one broker; lines without counts of a team are skipped."""
        previous: dict[str, dict[str, Any]] = {}
        for number, line in enumerate(log, 1):
            if '"team"' not in line:
                continue
            try:
                event = json.loads(line)
                if event["event"] != "team":
                    continue
                team = str(event["team"])
                at_ms = float(event["unix_ms"])
                self._add(team, event, previous.get(team))
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                self.defects.append(f"{name}:{number}: {type(error).__name__}: {error}")
                continue
            previous[team] = event
            self.first_ms = min(self.first_ms, at_ms)
            self.last_ms = max(self.last_ms, at_ms)

    def _add(self, team: str, event: Mapping[str, Any], previous: Mapping[str, Any] | None) -> None:
        """Add the counts since the previous event; a malformed event adds nothing."""
        if previous is None or float(event["work_ms"]) < float(previous["work_ms"]):
            previous = _ZERO_COUNTS
        counters = {
            name: {
                key: int(value) - int(previous[name].get(key, 0))
                for key, value in event[name].items()
            }
            for name in COUNTER_FIELDS
        }
        sums = {name: float(event[name]) - float(previous[name]) for name in SUM_FIELDS}
        totals = self.totals.setdefault(team, TeamTotals())
        for name, counts in counters.items():
            totals.counters[name].update(counts)
        for name, value in sums.items():
            totals.sums[name] += value

    def document(self, contract: Contract) -> dict[str, Any]:
        """Return the statement as JSON."""
        seconds = max(self.last_ms - self.first_ms, 0.0) / 1000.0 if self.totals else 0.0
        return {
            "from_unix_ms": self.first_ms if self.totals else None,
            "until_unix_ms": self.last_ms if self.totals else None,
            "seconds": round(seconds, 1),
            "teams": [
                _team_document(contract.teams[name], self.totals[name], seconds)
                for name in sorted(set(contract.teams) & set(self.totals))
            ],
            "not_in_contract": sorted(set(self.totals) - set(contract.teams)),
            "defects": self.defects[:MAX_DEFECTS],
        }


def _team_document(team: Team, totals: TeamTotals, seconds: float) -> dict[str, Any]:
    """Return one team's part of the statement."""
    counters = totals.counters
    sums = totals.sums
    refused = counters["refused"].total()
    served = counters["served"].total()
    refused_worth = sums["worth"] / served * refused if served else 0.0
    document: dict[str, Any] = {
        "team": team.name,
        "promised_threads": round(team.work_rate / 1000.0, 3),
        "promised_work_s": round(team.work_rate * seconds / 1000.0, 1),
        "used_work_s": round(sums["work_ms"] / 1000.0, 1),
        "borrowed_work_s": round(sums["borrowed_ms"] / 1000.0, 1),
        "forgiven_work_s": round(sums["forgiven_ms"] / 1000.0, 1),
        "asked": counters["own"].total() + counters["borrowed"].total() + refused,
        "worth": round(sums["worth"], 1),
        "refused_worth": round(refused_worth, 1),
        "client_retries": int(sums["marked"]),
    }
    for name in COUNTER_FIELDS:
        document[name] = dict(sorted(counters[name].items()))
    return document
