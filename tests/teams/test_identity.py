"""Tests of the identification of a call's team."""

from __future__ import annotations

import pytest

from tests.teams.helpers import CONTRACT_SCRIPT, load_script
from umberusher.teams.contract import Contract
from umberusher.teams.identity import (
    Origin,
    UnidentifiedReason,
    UnidentifiedTeamError,
    identify_team,
)


def identification(
    contract: Contract, claim: str | None, origin: Origin
) -> str | UnidentifiedReason:
    """Return the name of the team, or the reason why none was identified."""
    try:
        return identify_team(contract, claim, origin)
    except UnidentifiedTeamError as error:
        return error.reason


@pytest.mark.parametrize(
    "claim, origin, expected",
    [
        ("parks", Origin(), "parks"),
        (None, Origin(), "parks"),
        ("fire", Origin(), "parks"),
        ("water", Origin(), UnidentifiedReason.UNPROVEN),
        (None, Origin(5051), "water"),
        ("water", Origin(5051), "water"),
        ("parks", Origin(5051), UnidentifiedReason.ANOTHER),
        (None, Origin(1, "water.example"), "water"),
        ("parks", Origin(1, "water.example"), UnidentifiedReason.ANOTHER),
    ],
)
def test_identify_team_prefers_proofs_to_claims(tmp_path, claim, origin, expected):
    contract = load_script(tmp_path, CONTRACT_SCRIPT)
    assert identification(contract, claim, origin) == expected
    if expected == "parks" and claim != "parks":
        without_default = load_script(tmp_path, CONTRACT_SCRIPT.replace('strangers = "parks"', ""))
        reason = UnidentifiedReason.UNKNOWN if claim else UnidentifiedReason.NOBODY
        assert identification(without_default, claim, origin) is reason
