"""A contract as an immutable value: the teams, and what each was promised.

The teams are kept in a persistent map, so that a new contract shares what has not changed and a
request in flight keeps the one it was admitted under without a copy (Bagwell's hash array mapped
tries, by the library ``immutables``). The fields' names are those of the values; the words of the
script and of the commands' results differ, see ``contract_parser``.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from datetime import date

from immutables import Map

from umberusher.errors import UsageError


class ContractError(UsageError):
    """A contract can't be used; the text has a line for each fault."""

    message_prefix = "contract: "


@dataclass(slots=True, frozen=True)
class Terms:
    """What a team was promised for one class.

    Attributes:
        rate: Requests a second, over all brokers.
        burst: Requests at once.
        work_ms: Milliseconds of one thread that a request takes.
        value: What a served request is worth to the team.
        memory_mb: Memory that a request holds.
    """

    rate: float
    burst: float
    work_ms: float
    value: float = 1.0
    memory_mb: float = 0.0


@dataclass(slots=True, frozen=True)
class Team:
    """One team's contract.

    Attributes:
        name: The team.
        terms: What it was promised, by class.
        share: The part of threads and memory that it may hold under load.
        retry_share: Its part of the retry budget.
        overflow: ``lend`` where it may borrow, else ``refuse``.
        ports: Ports whose calls are the team's.
        certificate_names: Names of client certificates whose calls are the team's.
        requires_proof: Whether a call that only names the team is refused.
        work_rate: Milliseconds of one thread a second that it was promised.
        work_burst: Milliseconds of one thread that it may use at once.
    """

    name: str
    terms: Map[str, Terms]
    share: float
    retry_share: float
    overflow: str = "refuse"
    ports: tuple[int, ...] = ()
    certificate_names: tuple[str, ...] = ()
    requires_proof: bool = False
    work_rate: float = field(init=False)
    work_burst: float = field(init=False)

    def __post_init__(self) -> None:
        """Sum up the work once: every decision needs it."""
        terms = self.terms.values()
        object.__setattr__(self, "work_rate", sum(each.rate * each.work_ms for each in terms))
        object.__setattr__(self, "work_burst", sum(each.burst * each.work_ms for each in terms))


@dataclass(slots=True, frozen=True)
class HolidayWindow:
    """Days, both ends included, on which a team has other terms."""

    name: str
    team: str
    first: date
    last: date
    terms: Map[str, Terms]
    share: float | None = None


@dataclass(slots=True, frozen=True)
class Contract:
    """The contract of all teams.

    Attributes:
        teams: The teams by name.
        work_rate: The capacity, in milliseconds of one thread a second.
        threads: Requests' threads that may be held at the same time.
        memory_mb: Memory that may be held at the same time.
        default_team: The team of calls that are of no other; empty where such calls are refused.
        windows: Days with other terms.
        teams_by_port: Names of teams by port.
        teams_by_certificate: Names of teams by the name of a client certificate.
    """

    teams: Map[str, Team]
    work_rate: float
    threads: float
    memory_mb: float
    default_team: str = ""
    windows: tuple[HolidayWindow, ...] = ()
    teams_by_port: Map[int, str] = field(default_factory=Map)
    teams_by_certificate: Map[str, str] = field(default_factory=Map)

    def on(self, day: date) -> Contract:
        """Return the contract with the terms of a day."""
        teams = self.teams
        for window in self.windows:
            if window.first <= day <= window.last:
                team = teams[window.team]
                share = team.share if window.share is None else window.share
                terms = team.terms.update(window.terms)
                teams = teams.set(window.team, replace(team, terms=terms, share=share))
        return replace(self, teams=teams)
