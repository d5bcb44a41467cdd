"""Builders of teams, contracts and a broker's admission for tests."""

from __future__ import annotations

from pathlib import Path

from immutables import Map

from umberusher.teams.admission import TeamAdmission
from umberusher.teams.contract import Contract, Team, Terms
from umberusher.teams.retry_budget import RetryBudgetTerms
from umberusher.teams.script import load_contract

RETRY_TERMS = RetryBudgetTerms(floor=5.0, ratio=0.1, window_ms=10_000.0)

CONTRACT_SCRIPT = """
capacity = fleet(threads = 48, memory_mb = 98304)
teams = [
    team("parks", share = 0.5, ration = 0.5, overflow = "lend", terms = [
        terms("lookup", rate = 60, burst = 120, work_ms = 60),
        terms("report", rate = 2, burst = 4, work_ms = 2500, worth = 10)]),
    team("water", share = 0.3, ration = 0.3, ports = [5051], names = ["water.example"], proof = True,
         terms = [terms("lookup", rate = 30, burst = 60, work_ms = 60)]),
]
strangers = "parks"
holidays = [window("easter", team = "parks", first = "2026-04-03", last = "2026-04-06", share = 0.6,
                   terms = [terms("lookup", rate = 90, burst = 240, work_ms = 60)])]
"""
CLASSES = frozenset(["lookup", "report", "load"])


def make_team(
    name: str, rate: float = 10.0, burst: float = 10.0, work_ms: float = 100.0, **overrides
) -> Team:
    fields = {"share": 0.3, "retry_share": 0.3, "overflow": "refuse"} | overrides
    return Team(
        name,
        Map({"lookup": Terms(rate, burst, work_ms), "report": Terms(1.0, 2.0, 2_000.0)}),
        **fields,
    )


def make_contract(*teams: Team, threads: float = 20.0, slots: float = 40.0, **fields) -> Contract:
    return Contract(
        Map({team.name: team for team in teams}), threads * 1000.0, slots, 1e6, **fields
    )


def make_admission(*teams: Team, brokers: int = 1, **contract_fields) -> TeamAdmission:
    return TeamAdmission(make_contract(*teams, **contract_fields), brokers, 0.0, RETRY_TERMS)


def load_script(tmp_path: Path, text: str) -> Contract:
    path = tmp_path / "teams.star"
    path.write_text(text)
    return load_contract(str(path), CLASSES)
