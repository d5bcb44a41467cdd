"""A contract as an immutable value: the teams, and the terms that each was promised.

The teams are kept in a persistent map (Bagwell's hash array mapped tries, by the library
``immutables``). A new contract shares all unchanged entries with the previous one, and a request in
flight keeps the contract under which it was admitted without a copy. Some fields have other names
in the script and in the results of the commands, see ``contract_parser``.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from datetime import date

from immutables import Map

from umberusher.errors import UsageError


class ContractError(UsageError):
    """The contract is invalid; the message has one line for each fault."""

    message_prefix = "contract: "


@dataclass(slots=True, frozen=True)
class Terms:
    """The terms that a team was promised for one class.

    Attributes:
        rate: Requests per second, summed over all brokers.
        burst: Requests that may arrive at once.
        work_ms: Milliseconds of one thread that a request takes.
        value: The value of a served request to the team.
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
        name: The team's name.
        terms: The promised terms by class.
        share: The fraction of threads and memory that it may hold under load.
        retry_share: Its fraction of the retry budget.
        overflow: ``lend`` if it may borrow, else ``refuse``.
        ports: Ports whose calls belong to the team.
        certificate_names: Names of client certificates whose calls belong to the team.
        requires_proof: Whether a call that names the team without proof is refused.
        work_rate: The promised work, in milliseconds of one thread per second.
        work_burst: The work that it may use at once, in milliseconds of one thread.
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
        """Compute the sums of work once, since every admission needs them."""
        terms = self.terms.values()
        object.__setattr__(self, "work_rate", sum(each.rate * each.work_ms for each in terms))
        object.__setattr__(self, "work_burst", sum(each.burst * each.work_ms for each in terms))


@dataclass(slots=True, frozen=True)
class HolidayWindow:
    """Days, first and last included, on which a team has different terms."""

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
        work_rate: The capacity, in milliseconds of one thread per second.
        threads: Threads that all open requests together may hold.
        memory_mb: Memory that all open requests together may hold.
        default_team: The team of calls that identify no team; empty if such calls are refused.
        windows: Days with different terms.
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
        """Return the contract with the terms that apply on a day."""
        teams = self.teams
        for window in self.windows:
            if window.first <= day <= window.last:
                team = teams[window.team]
                share = team.share if window.share is None else window.share
                terms = team.terms.update(window.terms)
                teams = teams.set(window.team, replace(team, terms=terms, share=share))
        return replace(self, teams=teams)
