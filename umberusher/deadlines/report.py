"""Sums up the log events of requests that ended late, expired or lost their client. No I/O.

Events are lines of JSON or of ``key=value`` words (logfmt, as Heroku and structlog write it). Other
lines of the log are skipped; an event that can't be used is a defect with its line and field.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import Any

from umberusher.deadlines.account import PHASES, DeadlineEnd
from umberusher.traces.stats import quantiles

EVENT_NAME = "request"

# Slowest requests that are kept with all their fields, for the plot.
MAX_SLOWEST = 24

MAX_DEFECTS = 100

# A field with a larger number is a defect.
MAX_NUMBER = 1e12

TEXT_FIELDS = ("rid", "class", "end", "place")
NUMBER_FIELDS = ("budget_ms", "took_ms", *(f"{phase}_ms" for phase in PHASES))
END_VALUES = tuple(end.value for end in DeadlineEnd)

_PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
_SHOWN_CHARACTERS = 40


class EventError(ValueError):
    """An event can't be used; the text names the field."""


@dataclass(slots=True)
class EndGroup:
    """Requests of one class that ended in the same way.

    Attributes:
        count: Their number.
        phase_sums_ms: The sum of their times, by phase.
        counts_by_phase: Their number by the phase in which they ended.
        took_ms: The total time of each.
        budget_sum_ms: The sum of their budgets.
    """

    count: int = 0
    phase_sums_ms: dict[str, float] = field(default_factory=lambda: dict.fromkeys(PHASES, 0.0))
    counts_by_phase: dict[str, int] = field(default_factory=dict)
    took_ms: list[float] = field(default_factory=list)
    budget_sum_ms: float = 0.0

    def add(self, event: Mapping[str, Any]) -> None:
        """Add an event."""
        self.count += 1
        self.budget_sum_ms += event["budget_ms"]
        self.took_ms.append(event["took_ms"])
        phase = event["place"]
        self.counts_by_phase[phase] = self.counts_by_phase.get(phase, 0) + 1
        for name in PHASES:
            self.phase_sums_ms[name] += event[f"{name}_ms"]

    def document(self) -> dict[str, Any]:
        """Return the group as JSON: means of the phases, quantiles of the total time."""
        return {
            "requests": self.count,
            "mean_ms": {
                name: round(sum_ms / self.count, 1) for name, sum_ms in self.phase_sums_ms.items()
            },
            "mean_budget_ms": round(self.budget_sum_ms / self.count, 1),
            "took_ms": quantiles(self.took_ms),
            "places": dict(sorted(self.counts_by_phase.items())),
        }


@dataclass(slots=True)
class EngineTotals:
    """The requests that ended at one engine, and their time there."""

    count: int = 0
    node_ms: float = 0.0


@dataclass(slots=True)
class LogSummary:
    """The summary of a log.

    Attributes:
        groups: The requests by class and end.
        slowest: The slowest requests, with all fields.
        engines: The requests by engine.
        lines: Lines of the log.
        events: Events that could be used.
        suppressed_events: Events that the brokers did not emit, to bound their rate.
        defects: The first MAX_DEFECTS events that could not be used, by file and line.
        defect_count: The number of events that could not be used.
    """

    groups: dict[tuple[str, str], EndGroup] = field(default_factory=dict)
    slowest: list[dict[str, Any]] = field(default_factory=list)
    engines: dict[str, EngineTotals] = field(default_factory=dict)
    lines: int = 0
    events: int = 0
    suppressed_events: int = 0
    defects: list[str] = field(default_factory=list)
    defect_count: int = 0

    def add_defect(self, text: str) -> None:
        """Count an event that can't be used."""
        self.defect_count += 1
        if len(self.defects) < MAX_DEFECTS:
            self.defects.append(text)

    def add(self, event: Mapping[str, Any]) -> None:
        """Add an event."""
        self.events += 1
        suppressed_events = str(event.get("left_out", "0"))
        if suppressed_events.isdigit():
            self.suppressed_events += int(suppressed_events)
        self.groups.setdefault((event["class"], event["end"]), EndGroup()).add(event)
        if event.get("engine"):
            engine = self.engines.setdefault(event["engine"], EngineTotals())
            engine.count += 1
            engine.node_ms += event["node_ms"]
        self.slowest.append({key: event[key] for key in (*TEXT_FIELDS, *NUMBER_FIELDS)})
        if len(self.slowest) > 2 * MAX_SLOWEST:
            by_time = sorted(self.slowest, key=lambda each: -each["took_ms"])
            self.slowest = by_time[:MAX_SLOWEST]

    def sort_slowest(self) -> None:
        """Sort the slowest requests and keep ``MAX_SLOWEST`` of them."""
        ordered = sorted(self.slowest, key=lambda each: (-each["took_ms"], each["rid"]))
        self.slowest = ordered[:MAX_SLOWEST]

    def document(self) -> dict[str, Any]:
        """Return the summary as JSON."""
        return {
            "lines": self.lines,
            "events": self.events,
            "left_out": self.suppressed_events,
            "bad": self.defect_count,
            "defects": self.defects,
            "groups": [
                {"class": name, "end": end} | group.document()
                for (name, end), group in sorted(self.groups.items())
            ],
            "engines": {
                name: {
                    "requests": totals.count,
                    "mean_node_ms": round(totals.node_ms / totals.count, 1),
                }
                for name, totals in sorted(self.engines.items())
            },
            "slowest": self.slowest,
        }


def summarize_log(name: str, lines: Iterable[str]) -> LogSummary:
    """Return the summary of a log.

    Args:
        name: The file's name, for its defects.
        lines: Its lines.
    """
    summary = LogSummary()
    for number, line in enumerate(lines, 1):
        summary.lines = number
        fields = _parse_event(line)
        if fields is None:
            if _looks_like_event(line):
                summary.add_defect(f"{name}:{number}: the event is truncated")
            continue
        try:
            event = _validate(fields)
        except EventError as error:
            summary.add_defect(f"{name}:{number}: {error}")
        else:
            summary.add(event)
    summary.sort_slowest()
    return summary


def _looks_like_event(line: str) -> bool:
    """Return whether a line that can't be parsed looks like the start of an event."""
    return f'"event": "{EVENT_NAME}"' in line or f"event={EVENT_NAME} " in line


def _parse_event(line: str) -> dict[str, Any] | None:
    """Return the fields of an event; None for any other line."""
    line = line.strip()
    if line.startswith("{"):
        try:
            fields = json.loads(line)
        except ValueError:
            return None
        is_event = isinstance(fields, dict) and fields.get("event") == EVENT_NAME
        return fields if is_event else None
    if f"event={EVENT_NAME}" not in line.split():
        return None
    return {key: value[1:-1] if value[:1] == '"' else value for key, value in _PAIR.findall(line)}


def _validate(fields: Mapping[str, Any]) -> dict[str, Any]:
    """Return an event with its numbers; raise EventError where a field can't be used."""
    event = dict(fields)
    for name in TEXT_FIELDS:
        if not isinstance(fields.get(name), str) or not fields[name]:
            raise EventError(f"{name} is missing")
    if fields["end"] not in END_VALUES:
        shown = repr(fields["end"][:_SHOWN_CHARACTERS])
        raise EventError(f"end must be one of {', '.join(END_VALUES)}, not {shown}")
    for name in NUMBER_FIELDS:
        event[name] = _number(name, fields.get(name))
    return event


def _number(name: str, value: object) -> float:
    try:
        number = float(value)  # type: ignore[arg-type]
    except (TypeError, ValueError):
        shown = repr(str(value)[:_SHOWN_CHARACTERS])
        raise EventError(f"{name} must be a number, not {shown}") from None
    # A budget may be negative: the request may arrive after its deadline.
    if not 0.0 <= number < MAX_NUMBER and name != "budget_ms":
        raise EventError(f"{name} is out of range: {number:g}")
    return number
