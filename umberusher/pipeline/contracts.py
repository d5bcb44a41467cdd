"""Enforces the teams' contracts: identifies a call's team, admits it, and charges what it used.

A broker without a contract doesn't import this module.
"""

from __future__ import annotations

import logging
import math
from collections import Counter
from collections.abc import Callable, Mapping
from datetime import UTC, date, datetime
from typing import Any

from umberusher.admin.metrics import MetricFamily
from umberusher.decisions.settings import Rules, Settings
from umberusher.pipeline.admission import NotCoveredError
from umberusher.pipeline.contract_metrics import team_families
from umberusher.pipeline.request import Request
from umberusher.teams.admission import TeamAdmission
from umberusher.teams.charge import Charge, Rejection
from umberusher.teams.contract import Contract, ContractError
from umberusher.teams.handover import TeamHandover
from umberusher.teams.identity import Origin, UnidentifiedTeamError, identify_team
from umberusher.teams.retry_budget import RetryBudgetTerms

log = logging.getLogger(__name__)

# Time between two records of each team's usage in the structured log.
STATEMENT_INTERVAL_MS = 10_000.0

# Retry budget of each team where the settings state none.
DEFAULT_RETRY_BUDGET = RetryBudgetTerms(floor=5.0, ratio=0.1, window_ms=10_000.0)


def _retry_budget_terms(rules: Rules) -> RetryBudgetTerms:
    window_ms = rules.retry_budget_window_ms
    if window_ms is None:
        return DEFAULT_RETRY_BUDGET
    return RetryBudgetTerms(
        rules.retry_budget_floor or 0.0, rules.retry_budget_ratio or 0.0, window_ms
    )


class ContractEnforcer:
    """Holds the contract and the state of all teams.

    Attributes:
        contract: The contract as it was read, with its holidays.
        teams: The state of the teams, under the terms of today.
        charges: The charges of open requests, by request.
        unidentified: Calls that belong to no team, by reason.
    """

    __slots__ = (
        "_emit_event",
        "_handover",
        "_last_statement_ms",
        "_load_contract",
        "_now_ms",
        "_terms_day",
        "_threads_by_class",
        "_unix_ms",
        "charges",
        "contract",
        "teams",
        "unidentified",
    )

    def __init__(
        self,
        contract: Contract,
        settings: Settings,
        now_ms: Callable[[], float],
        unix_ms: Callable[[], float],
        load_contract: Callable[[], Contract] | None = None,
        emit_event: Callable[[str, Mapping[str, object]], None] | None = None,
    ) -> None:
        """Start with full budgets.

        Args:
            contract: The contract.
            settings: The settings, for the classes' threads, the retry budget and the number of
                brokers.
            now_ms: Returns the time of the broker's timeline.
            unix_ms: Returns the Unix time, for the day and for statements.
            load_contract: Reads the contract's file again; raises ContractError.
            emit_event: Writes a structured event, given its kind and its fields.
        """
        self.contract = contract
        self._now_ms = now_ms
        self._unix_ms = unix_ms
        self._load_contract = load_contract
        self._emit_event = emit_event
        self._terms_day = self._today()
        self.teams = TeamAdmission(
            contract.on(self._terms_day),
            settings.broker_count or 1,
            now_ms(),
            _retry_budget_terms(settings.rules),
        )
        self._handover = TeamHandover(self.teams)
        self._threads_by_class = {each.name: max(each.threads, 1.0) for each in settings.classes}
        self.unidentified: Counter[str] = Counter()
        self.charges: dict[str, Charge] = {}
        self._last_statement_ms = now_ms()

    def _today(self) -> date:
        return datetime.fromtimestamp(self._unix_ms() / 1000.0, UTC).date()

    # -- Requests

    @staticmethod
    def origin(port: int) -> Origin:
        """Return the origin of a connection that was accepted on a port."""
        return Origin(port)

    def admit(self, request: Request) -> Rejection | None:
        """Admit a request, or return its rejection.

        Raises:
            NotCoveredError: The request belongs to no team, or to a class that its team's contract
                does not have.
        """
        try:
            team = identify_team(
                self.teams.contract, request.claimed_team, request.origin or Origin()
            )
        except UnidentifiedTeamError as error:
            self.unidentified[error.reason.name] += 1
            raise NotCoveredError(error.reason.value) from error
        arrival = request.arrival
        admitted = self.teams.admit(
            self._now_ms(),
            team,
            arrival.query_class,
            estimate=arrival.work_ms,
            threads=self._threads_by_class.get(arrival.query_class, 1.0),
            memory_mb=arrival.memory_mb,
            client_retry=arrival.is_retry,
        )
        if isinstance(admitted, Charge):
            self.charges[request.request_id] = admitted
            return None
        if math.isinf(admitted.retry_after_ms):
            raise NotCoveredError("the team's contract has no such class")
        return admitted

    def request_done(self, request: Request, succeeded: bool) -> None:
        """Charge a closed request, with no attempt in flight, for what it used."""
        charge = self.charges.pop(request.request_id, None)
        if charge is not None:
            used_ms = request.engine_thread_ms if request.may_have_run else None
            self.teams.settle(self._now_ms(), charge, used_ms, succeeded)

    # -- Retries

    def may_retry(self, request_id: str) -> bool:
        """Return whether the retry budget of the request's team allows a retry."""
        charge = self.charges.get(request_id)
        return charge is None or self.teams.may_retry(self._now_ms(), charge)

    def count_retry(self, request_id: str) -> None:
        """Charge a retry to the team's retry budget."""
        charge = self.charges.get(request_id)
        if charge is not None:
            self.teams.count_retry(self._now_ms(), charge.team.name)

    # -- Time and new contracts

    def sweep(self) -> None:
        """Apply the terms of a new day, and emit the statements when they are due."""
        today = self._today()
        if today != self._terms_day:
            self._terms_day = today
            self.teams.change_contract(self._now_ms(), self.contract.on(today))
        is_due = self._now_ms() - self._last_statement_ms >= STATEMENT_INTERVAL_MS
        if self._emit_event is not None and is_due:
            self._emit_statements(self._emit_event)

    def _emit_statements(self, emit_event: Callable[[str, Mapping[str, object]], None]) -> None:
        """Emit each team's counts since the start."""
        self._last_statement_ms = self._now_ms()
        for name, usage in self.teams.usage.items():
            fields = {"team": name, "unix_ms": round(self._unix_ms())}
            emit_event("team", fields | usage.event_fields())

    def reload(self) -> None:
        """Read the contract's file again; keep the present contract if the new one is invalid."""
        if self._load_contract is None:
            return
        try:
            contract = self._load_contract()
        except ContractError as error:
            for line in str(error).splitlines():
                log.error("contract_kept new one can't be used: %s", line)
            return
        self.contract = contract
        self._terms_day = self._today()
        self.teams.change_contract(self._now_ms(), contract.on(self._terms_day))
        log.info("contract_reloaded teams=%d", len(contract.teams))

    def metric_families(self) -> list[MetricFamily]:
        """Return the metrics of all teams."""
        return team_families(self.teams, self.unidentified, self._now_ms())

    # -- Hot restart

    def export_state(self) -> dict[str, Any]:
        """Return the teams' state for a successor."""
        return self._handover.export_state(self._now_ms())

    def export_later_counts(self) -> dict[str, Any]:
        """Return the counts since the export, for a successor that accepts calls from now on."""
        return self._handover.export_later_counts()

    def restore_state(self, state: Mapping[str, Any]) -> None:
        """Restore the state, or add the later counts, that the predecessor sent.

        A message that can't be read is ignored, and budgets then start full.
        """
        try:
            if "later" in state:
                self._handover.add_later_counts(self._now_ms(), state["later"])
            else:
                self._handover.restore(self._now_ms(), state)
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log.warning("team_state_unreadable error=%s: %s", type(error).__name__, error)
