"""Builds a contract from the values of a script, and reports all faults at once.

A contract with a fault is rejected as a whole; each fault names its file and line.
"""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from datetime import date
from typing import Any

from immutables import Map

from umberusher.teams.contract import Contract, ContractError, HolidayWindow, Team, Terms
from umberusher.teams.script_locations import ScriptLocations

MAX_TEAMS = 20_000
MAX_FAULTS = 100
MAX_PORT = 65_535
OVERFLOW_POLICIES = ("refuse", "lend")
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")

# Sums of shares may exceed 1 by a rounding error.
MAX_SUM = 1.0 + 1e-9

MS_PER_S = 1000.0


@dataclass(slots=True, frozen=True)
class _Range:
    """The range of a number in the script."""

    low: float
    high: float = math.inf
    low_excluded: bool = False

    def __contains__(self, value: float) -> bool:
        above_low = self.low < value if self.low_excluded else self.low <= value
        return above_low and value <= self.high

    def __str__(self) -> str:
        text = f"{'over' if self.low_excluded else 'at least'} {self.low:g}"
        return text if math.isinf(self.high) else f"{text} and at most {self.high:g}"


_POSITIVE = _Range(0.0, low_excluded=True)
_NOT_NEGATIVE = _Range(0.0)
_SHARE = _Range(0.0, 1.0, low_excluded=True)
_RETRY_SHARE = _Range(0.0, 1.0)
_TERMS_RANGES = {
    "rate": _POSITIVE,
    "burst": _POSITIVE,
    "work_ms": _POSITIVE,
    "worth": _NOT_NEGATIVE,
    "memory_mb": _NOT_NEGATIVE,
}


def _quoted(value: object) -> str:
    """Return a value as the faults quote it: shortened, with quotes."""
    return repr(str(value)[:40])


class ContractParser:
    """Builds the parts of a contract, and collects the faults.

    Attributes:
        faults: One line for each fault.
    """

    def __init__(self, locations: ScriptLocations, classes: frozenset[str] | None) -> None:
        self._locations = locations
        self._classes = classes
        self.faults: list[str] = []

    def add_fault(self, name: str, words: tuple[str, ...], text: str) -> None:
        """Add a fault.

        Args:
            name: The name of the script's entry that has the fault.
            words: Words to search for after the name, one after the other, to find the line.
            text: The description of the fault.
        """
        if len(self.faults) < MAX_FAULTS:
            self.faults.append(f"{self._locations.find(name, *words)}: {text}")

    def number(self, owner: str, value: object, words: tuple[str, ...], valid: _Range) -> float:
        """Return a number; add a fault for a value that is no number or is out of range."""
        if (
            isinstance(value, (int, float))
            and not isinstance(value, bool)
            and math.isfinite(value)
            and value in valid
        ):
            return float(value)
        self.add_fault(
            owner, words, f"{owner}: {words[-1]} must be a number {valid}, not {_quoted(value)}"
        )
        return 1.0

    def terms(self, owner: str, listed: object) -> Map[str, Terms]:
        """Return the terms of a team or window by class."""
        terms: dict[str, Terms] = {}
        if not isinstance(listed, list) or not listed:
            self.add_fault(owner, (), f"{owner}: terms must be a list with at least one class")
            return Map()
        for item in listed:
            if not isinstance(item, dict) or item.get("is") != "terms":
                fault = f"{owner}: terms holds {_quoted(item)}, which is not made by terms(...)"
                self.add_fault(owner, ("terms",), fault)
                continue
            name = item["class"]
            if self._classes is not None and name not in self._classes:
                known = ", ".join(sorted(self._classes))
                fault = f"{owner}: no class {_quoted(name)}; there are {known}"
                self.add_fault(owner, (str(name),), fault)
                continue
            if name in terms:
                self.add_fault(owner, (str(name),), f"{owner}: class {name} is listed twice")
            terms[str(name)] = self._class_terms(owner, item)
        return Map(terms)

    def _class_terms(self, owner: str, item: Mapping[str, Any]) -> Terms:
        name = str(item["class"])
        numbers = {
            key: self.number(owner, item[key], (name, key), valid)
            for key, valid in _TERMS_RANGES.items()
        }
        return Terms(
            numbers["rate"],
            numbers["burst"],
            numbers["work_ms"],
            numbers["worth"],
            numbers["memory_mb"],
        )

    def team(self, item: Mapping[str, Any]) -> Team:
        """Return one team."""
        name = str(item["name"])
        if not NAME_PATTERN.fullmatch(name):
            fault = f"team {name[:40]!r}: a name is letters, digits, dots and dashes, up to 64"
            self.add_fault(name, (), fault)
        overflow = item["overflow"]
        if overflow not in OVERFLOW_POLICIES:
            policies = ", ".join(OVERFLOW_POLICIES)
            fault = f"{name}: overflow must be one of {policies}, not {_quoted(overflow)}"
            self.add_fault(name, ("overflow",), fault)
        ports = self._ports(name, item["ports"] or ())
        certificate_names = tuple(str(each) for each in item["names"] or ())
        if item["proof"] and not ports and not certificate_names:
            fault = f"{name}: proof is required, but neither ports nor names are given"
            self.add_fault(name, ("proof",), fault)
        return Team(
            name,
            self.terms(name, item["terms"]),
            self.number(name, item["share"], ("share",), _SHARE),
            self.number(name, item["ration"], ("ration",), _RETRY_SHARE),
            overflow,
            ports,
            certificate_names,
            bool(item["proof"]),
        )

    def _ports(self, name: str, listed: Sequence[object]) -> tuple[int, ...]:
        ports = tuple(
            int(port) for port in listed if isinstance(port, int) and 0 < port <= MAX_PORT
        )
        if len(ports) != len(listed):
            self.add_fault(name, ("ports",), f"{name}: ports must be numbers from 1 to {MAX_PORT}")
        return ports

    def window(self, item: Mapping[str, Any], teams: Mapping[str, Team]) -> HolidayWindow | None:
        """Return one holiday window; None if its team is unknown or a date is invalid."""
        name = str(item["name"])
        team = str(item["team"])
        if team not in teams:
            self.add_fault(name, ("team",), f"window {name}: there is no team {team[:40]!r}")
            return None
        first = self._day(name, "first", item["first"])
        if first is None:
            return None
        last = self._day(name, "last", item["last"])
        if last is None:
            return None
        if last < first:
            self.add_fault(name, ("last",), f"window {name}: it ends before it begins")
        terms: Map[str, Terms] = self.terms(name, item["terms"]) if item["terms"] else Map()
        for query_class in terms:
            if query_class not in teams[team].terms:
                fault = f"window {name}: {team} has no class {query_class}"
                self.add_fault(name, (query_class,), fault)
        share = None
        if item["share"] is not None:
            share = self.number(name, item["share"], ("share",), _SHARE)
        return HolidayWindow(name, team, first, last, terms, share)

    def _day(self, name: str, key: str, value: object) -> date | None:
        try:
            return date.fromisoformat(str(value))
        except ValueError:
            fault = f"window {name}: {key} must be a date as 2026-04-03, not {_quoted(value)}"
            self.add_fault(name, (key,), fault)
            return None

    # -- Checks across teams and windows

    def check_overlaps(self, windows: list[HolidayWindow]) -> None:
        """Add a fault for each overlap of a team's holidays: it is undefined which one applies."""
        latest: dict[str, HolidayWindow] = {}
        for window in sorted(windows, key=lambda each: (each.team, each.first)):
            previous = latest.get(window.team)
            if previous and window.first <= previous.last:
                fault = f"window {window.name} overlaps {previous.name} of {window.team}"
                self.add_fault(window.name, ("first",), fault)
            if previous is None or window.last > previous.last:
                latest[window.team] = window

    def check_ownership(self, teams: list[Team]) -> None:
        """Add a fault for each port or certificate name that belongs to two teams."""
        port_owners: dict[object, str] = {}
        name_owners: dict[object, str] = {}
        for team in teams:
            self._check_owners(team.name, "port", team.ports, port_owners)
            self._check_owners(team.name, "name", team.certificate_names, name_owners)

    def _check_owners(
        self, team: str, kind: str, values: Iterable[object], owners: dict[object, str]
    ) -> None:
        for value in values:
            if value in owners:
                fault = f"{team}: {kind} {value} belongs to {owners[value]} already"
                self.add_fault(team, (f"{kind}s",), fault)
            owners[value] = team

    def check_sums(self, contract: Contract, last_team: str) -> None:
        """Add a fault for each day on which the promises exceed the capacity."""
        for day in _days_of_change(contract.windows):
            teams = contract.on(day).teams.values()
            day_text = "" if day == date.min else f" on {day}"
            capacity = contract.work_rate / MS_PER_S
            promised = sum(team.work_rate for team in teams) / MS_PER_S
            if promised > contract.work_rate * MAX_SUM / MS_PER_S:
                fault = (
                    f"the teams are promised {promised:g} threads of work{day_text}, "
                    f"and the capacity is {capacity:g}"
                )
                self.add_fault("capacity", (), fault)
            totals = {
                "share": sum(team.share for team in teams),
                "ration": sum(team.retry_share for team in teams),
            }
            for word, total in totals.items():
                if total > MAX_SUM:
                    fault = f"the teams' {word}s add up to {total:.4g}{day_text}, more than 1"
                    self.add_fault(last_team, (word,), fault)


def _days_of_change(windows: tuple[HolidayWindow, ...]) -> Iterator[date]:
    """Yield a day before all windows, and the first day of each window."""
    yield date.min
    for window in windows:
        yield window.first


def _check_shape(file: str, values: Mapping[str, Any], windows: object) -> None:
    """Raise ContractError if a value was not made by the functions of the script."""
    capacity = values.get("capacity")
    teams = values.get("teams")
    if not isinstance(capacity, dict) or capacity.get("is") != "fleet":
        raise ContractError(f"{file}: capacity must be set by fleet(...)")
    if not isinstance(teams, list) or not teams or len(teams) > MAX_TEAMS:
        raise ContractError(f"{file}: teams must be a list of 1 to {MAX_TEAMS}")
    for kind, items in (("team", teams), ("window", windows)):
        for number, item in enumerate(items if isinstance(items, list) else [items]):
            if not isinstance(item, dict) or item.get("is") != kind:
                raise ContractError(f"{file}: {kind}s[{number}] is not made by {kind}(...)")


def parse_contract(
    file: str, text: str, values: Mapping[str, Any], classes: frozenset[str] | None = None
) -> Contract:
    """Return the contract that a script's values describe.

    Args:
        file: The script's file, named by the faults.
        text: The script's text.
        values: The script's values.
        classes: The classes of the settings; None if names of classes are not checked.

    Raises:
        ContractError: The contract has faults; the message lists all of them by file and line.
    """
    holidays = values.get("holidays") or []
    _check_shape(file, values, holidays)
    parser = ContractParser(ScriptLocations(file, text), classes)
    teams = [parser.team(item) for item in values["teams"]]
    teams_by_name: dict[str, Team] = {}
    for team in teams:
        if team.name in teams_by_name:
            parser.add_fault(team.name, (), f"team {team.name} is defined twice")
        teams_by_name[team.name] = team
    default_team = values.get("strangers") or ""
    if default_team and default_team not in teams_by_name:
        fault = f"strangers: there is no team {_quoted(default_team)}"
        parser.add_fault("strangers", (), fault)
    windows = [
        window for item in holidays if (window := parser.window(item, teams_by_name)) is not None
    ]
    parser.check_overlaps(windows)
    parser.check_ownership(teams)
    capacity = values["capacity"]
    threads, slots, memory_mb = (
        parser.number("capacity", capacity[key] or capacity["threads"], (key,), _POSITIVE)
        for key in ("threads", "slots", "memory_mb")
    )
    contract = Contract(
        Map(teams_by_name),
        threads * MS_PER_S,
        slots,
        memory_mb,
        str(default_team),
        tuple(windows),
        Map({port: team.name for team in teams for port in team.ports}),
        Map({name: team.name for team in teams for name in team.certificate_names}),
    )
    if not parser.faults:
        parser.check_sums(contract, teams[-1].name)
    if parser.faults:
        raise ContractError("\n".join(parser.faults))
    return contract
