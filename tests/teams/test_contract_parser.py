"""Tests that contracts are parsed from scripts, and that each fault is reported with its line."""

from __future__ import annotations

from datetime import date

import pytest

from tests.teams.helpers import CONTRACT_SCRIPT, load_script
from umberusher.teams.contract import ContractError


def test_contract_is_parsed_and_a_holiday_has_its_own_terms(tmp_path):
    contract = load_script(tmp_path, CONTRACT_SCRIPT)
    assert (
        contract.teams["parks"].terms["lookup"].rate == 60
        and contract.teams_by_port[5051] == "water"
    )
    easter = contract.on(date(2026, 4, 6)).teams["parks"]
    assert (
        easter.terms["lookup"].rate == 90
        and easter.share == 0.6
        and easter.terms["report"].rate == 2
    )
    assert contract.on(date(2026, 4, 7)).teams["parks"] == contract.teams["parks"]


@pytest.mark.parametrize(
    "old, new, fault",
    [
        ("rate = 60, burst = 120", "rate = 60, burst = 0", ":5: parks: burst"),
        ('"report"', '"raport"', ":6: parks: no class 'raport'"),
        ("share = 0.3", "share = 0", ":7: water: share"),
        ("share = 0.3", "share = 0.7", ":7: the teams' shares add up to 1.2"),
        ("ration = 0.3", "ration = 0.6", ":7: the teams' rations add up to 1.1"),
        (
            "rate = 2,",
            "rate = 20,",
            ":2: the teams are promised 55.4 threads of work, and the capacity is 48",
        ),
        (
            "rate = 90",
            "rate = 900",
            ":2: the teams are promised 60.8 threads of work on 2026-04-03",
        ),
        ('"water", share', '"parks", share', ":4: team parks is defined twice"),
        (
            'strangers = "parks"',
            'strangers = "nobody"',
            ":10: strangers: there is no team 'nobody'",
        ),
        ("2026-04-06", "2026-04-01", ":11: window easter: it ends before it begins"),
        ('"2026-04-06"', '"soon"', "last must be a date"),
        ("[5051]", "[70000]", ":7: water: ports must be"),
        ('ports = [5051], names = ["water.example"], ', "", ":7: water: proof is required"),
        ('overflow = "lend"', 'overflow = "maybe"', ":4: parks: overflow must be one of"),
        ('team = "parks"', 'team = "fire"', ":11: window easter: there is no team 'fire'"),
        (
            "share = 0.6,",
            'share = 0.6), window("spring", team = "parks", first = "2026-04-05", last = "2026-05-01",',
            ":11: window spring overlaps easter of parks",
        ),
        ("teams = [", "teams = [1, ", "teams[0] is not made by team"),
        (
            "capacity = fleet(threads = 48, memory_mb = 98304)",
            "capacity = 1",
            "capacity must be set by fleet",
        ),
        ("work_ms = 60),\n", "work_ms = 60) + 1,\n", "teams.star:5"),
        ('terms("report", rate', 'terms("lookup", rate', ":5: parks: class lookup is listed twice"),
    ],
)
def test_faults_of_a_contract_name_file_and_line(tmp_path, old, new, fault):
    assert old in CONTRACT_SCRIPT
    with pytest.raises(ContractError) as raised:
        load_script(tmp_path, CONTRACT_SCRIPT.replace(old, new, 1))
    assert any(
        "teams.star" in line and fault in line for line in str(raised.value).splitlines()
    ), str(raised.value)


def test_all_faults_are_reported_at_once(tmp_path):
    with pytest.raises(ContractError) as raised:
        load_script(
            tmp_path,
            CONTRACT_SCRIPT.replace("burst = 120", "burst = -1").replace(
                "share = 0.3", "share = 2"
            ),
        )
    assert len(str(raised.value).splitlines()) == 2
