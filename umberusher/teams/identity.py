"""Identifies the team of a call: by a field of the call, its port, or its client certificate.

A port and a certificate are proofs, the field is a claim. A claim that differs from a proof is
refused, and so is a claim without proof for a team that requires one. Each client protocol fills in
the parts of the origin that it knows.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from umberusher.teams.contract import Contract


@dataclass(slots=True, frozen=True)
class Origin:
    """The origin of a call, as its connection proves it.

    Attributes:
        port: The port that the client connected to.
        certificate_name: The name of the client's certificate, verified.
    """

    port: int | None = None
    certificate_name: str | None = None


class UnidentifiedReason(Enum):
    """The reason why no team was identified for a call.

    The names are labels of metrics, the values are part of the error that is sent to the client.
    """

    NOBODY = "no team is named"
    UNKNOWN = "there is no such team"
    ANOTHER = "the call speaks for another team than its connection"
    UNPROVEN = "the team is not believed without proof"


class UnidentifiedTeamError(Exception):
    """No team was identified for a call.

    Attributes:
        reason: The reason.
    """

    def __init__(self, reason: UnidentifiedReason) -> None:
        super().__init__(reason.value)
        self.reason = reason


UNKNOWN_ORIGIN = Origin()


def identify_team(contract: Contract, claim: str | None, origin: Origin = UNKNOWN_ORIGIN) -> str:
    """Return the name of a call's team.

    Args:
        contract: The contract that names the teams.
        claim: The team that the call names; None or empty if it names none.
        origin: The origin that the connection proves.

    Raises:
        UnidentifiedTeamError: No team was identified for the call.
    """
    proven = set()
    if origin.port is not None and origin.port in contract.teams_by_port:
        proven.add(contract.teams_by_port[origin.port])
    certificate = origin.certificate_name
    if certificate is not None and certificate in contract.teams_by_certificate:
        proven.add(contract.teams_by_certificate[certificate])
    if len(proven) > 1 or (claim and proven and claim not in proven):
        raise UnidentifiedTeamError(UnidentifiedReason.ANOTHER)
    if proven:
        return proven.pop()
    team = contract.teams.get(claim) if claim else None
    if claim and team is not None:
        if team.requires_proof:
            raise UnidentifiedTeamError(UnidentifiedReason.UNPROVEN)
        return claim
    if contract.default_team:
        return contract.default_team
    raise UnidentifiedTeamError(UnidentifiedReason.UNKNOWN if claim else UnidentifiedReason.NOBODY)
