"""Derives plans from plans: merges teams' plans, selects one team, adds surges. No I/O."""

from __future__ import annotations

import heapq
from array import array
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from umberusher.errors import UsageError
from umberusher.traces.plan import COLUMNS, Plan

MICROSECONDS = 1e6
SURGE_SPREAD_US = 997  # interval between the copies of one request

Row = tuple[Any, ...]
"""Time, the team's position and the request's number, which sort; then class, request and team."""


@dataclass(slots=True)
class MergedPlan:
    """One plan and the team of each request."""

    plan: Plan
    request_teams: list[str]


def merge(plans: Mapping[str, Plan]) -> MergedPlan:
    """Merge plans by time, ties in the order of the teams; machines are the first plan's."""
    if not plans:
        raise UsageError("there is no plan")
    first = next(iter(plans.values()))
    classes = tuple(dict.fromkeys(name for plan in plans.values() for name in plan.classes))
    merged = Plan(classes, machines=first.machines, header={"merged": sorted(plans)})
    key_numbers = {"": 0}
    request_teams: list[str] = []

    def rows(team_order: int, team: str, plan: Plan) -> Iterator[Row]:
        for number, request in enumerate(plan.requests()):
            query_class = classes.index(plan.classes[request.query_class])
            yield request.at_us, team_order, number, query_class, request, team

    sources = (
        rows(team_order, team, plan) for team_order, (team, plan) in enumerate(plans.items())
    )
    for at_us, _, _, query_class, request, team in heapq.merge(*sources):
        key = key_numbers.setdefault(request.key, len(key_numbers))
        merged.append(
            at_us,
            query_class,
            request.work_ms,
            request.memory_mb,
            request.group,
            key,
            request.job,
        )
        request_teams.append(team)
    merged.keys = list(key_numbers)
    return MergedPlan(merged, request_teams)


def select_team(merged: MergedPlan, team: str) -> Plan:
    """Return a team's requests alone, with the machines of the merged plan."""
    plan = merged.plan
    selected = Plan(plan.classes, machines=plan.machines, keys=plan.keys)
    for name, column in plan.columns.items():
        values = (
            value
            for value, owner in zip(column, merged.request_teams, strict=True)
            if owner == team
        )
        selected.columns[name] = array(COLUMNS[name], values)
    return selected


def with_surge(plan: Plan, times: int, from_s: float, until_s: float) -> Plan:
    """Return the plan with each request of an interval made ``times`` times, close together."""
    surged = Plan(plan.classes, header=plan.header, machines=plan.machines, keys=plan.keys)
    rows = []
    columns = [plan.columns[name] for name in COLUMNS]
    for number, (at_us, *rest) in enumerate(zip(*columns, strict=True)):
        in_surge = from_s * MICROSECONDS <= at_us < until_s * MICROSECONDS
        copies = range(times if in_surge else 1)
        rows += [(at_us + copy * SURGE_SPREAD_US, number, copy, rest) for copy in copies]
    for at_us, _, _, rest in sorted(rows):
        surged.append(at_us, *rest)
    return surged
