"""``contract simulate``: runs plans through the budgets only, without sockets or engines.

Each request runs at full speed and ends when its work is done.
"""

from __future__ import annotations

import argparse
import heapq
from collections import Counter
from typing import Any, NamedTuple

from umberusher.commands import tools
from umberusher.errors import UsageError
from umberusher.replay.plans import merge
from umberusher.replay.site import DEPLOYMENT_TERMS, RETRY_BUDGET_FLOOR, THREADS_BY_CLASS
from umberusher.teams.admission import TeamAdmission
from umberusher.teams.charge import Charge
from umberusher.teams.contract import Contract
from umberusher.teams.retry_budget import RetryBudgetTerms
from umberusher.teams.script import load_contract
from umberusher.traces.plan import Plan


class _RunningRequest(NamedTuple):
    """A running request; the heap orders requests by end, then by number."""

    ends_ms: float
    number: int
    broker: TeamAdmission
    charge: Charge
    work_ms: float


def simulate(contract: Contract, plans: dict[str, Plan], brokers: int) -> dict[str, Any]:
    """Return the counts of admitted and rejected requests of each team.

    Requests are distributed over the brokers round robin.
    """
    unknown = sorted(set(plans) - set(contract.teams))
    if unknown:
        raise UsageError(f"the contract has no team {', '.join(unknown)}")
    merged = merge(plans)
    plan = merged.plan
    teams = merged.request_teams
    site_terms = DEPLOYMENT_TERMS["probes"]
    retry_terms = RetryBudgetTerms(
        RETRY_BUDGET_FLOOR, site_terms.retry_budget_ratio, site_terms.retry_budget_window_ms
    )
    admissions = [TeamAdmission(contract, brokers, 0.0, retry_terms) for _ in range(brokers)]
    running_requests: list[_RunningRequest] = []
    rejected_by_second: dict[str, Counter[int]] = {team: Counter() for team in plans}
    for number, (at_us, class_number, work_ms, memory_mb, *_) in enumerate(plan.requests()):
        now_ms = at_us / 1e3
        while running_requests and running_requests[0].ends_ms <= now_ms:
            ended = heapq.heappop(running_requests)
            ended.broker.settle(ended.ends_ms, ended.charge, ended.work_ms, served=True)
        team = teams[number]
        query_class = plan.classes[class_number]
        threads = THREADS_BY_CLASS.get(query_class, 1)
        broker = admissions[number % brokers]
        admitted = broker.admit(
            now_ms, team, query_class, estimate=work_ms, threads=threads, memory_mb=memory_mb
        )
        if isinstance(admitted, Charge):
            ends_ms = now_ms + work_ms / threads
            heapq.heappush(
                running_requests, _RunningRequest(ends_ms, number, broker, admitted, work_ms)
            )
        else:
            rejected_by_second[team][int(now_ms / 1e3)] += 1
    return {
        team: _team_result(team, teams.count(team), admissions, rejected_by_second[team])
        for team in plans
    }


def _team_result(
    team: str, requests: int, admissions: list[TeamAdmission], rejected_by_second: Counter[int]
) -> dict[str, Any]:
    usages = [admission.usage_of(team) for admission in admissions]
    rejected: Counter[str] = Counter()
    for usage in usages:
        rejected.update(usage.rejected)
    return {
        "asked": requests,
        "own": sum(usage.own.total() for usage in usages),
        "borrowed": sum(usage.borrowed.total() for usage in usages),
        "refused": dict(sorted(rejected.items())),
        "worst_second": max(rejected_by_second.values(), default=0),
    }


def run(args: argparse.Namespace) -> int:
    """Print the result as a table; return 0."""
    tools.check_instance_count("--brokers", args.brokers)
    pairs = [argument.partition("=") for argument in args.team]
    if not all(separator for _, separator, _ in pairs):
        raise UsageError("--team: expected NAME=PLAN")
    plans = {name: Plan.load(path) for name, _, path in pairs}
    results = simulate(load_contract(args.contract), plans, args.brokers)
    tools.write_json(args.json, results)
    tools.table(
        "by the budgets alone",
        ["team", "asked", "own", "borrowed", "refused", "worst second"],
        [
            [
                team,
                result["asked"],
                result["own"],
                result["borrowed"],
                ", ".join(f"{reason} {count}" for reason, count in result["refused"].items()) or 0,
                result["worst_second"],
            ]
            for team, result in results.items()
        ],
    )
    return 0
