"""``contract check``: reports all faults of a contract, with file and line."""

from __future__ import annotations

import argparse

from umberusher.commands import tools
from umberusher.teams.script import load_contract


def run(args: argparse.Namespace) -> int:
    """Print a summary and return 0; the caller prints the faults in a ContractError."""
    classes = frozenset(args.classes.split(",")) if args.classes else None
    contract = load_contract(args.contract, classes)
    promised_threads = sum(team.work_rate for team in contract.teams.values()) / 1000.0
    tools.out.print(
        f"{args.contract}: {len(contract.teams)} teams, "
        f"{promised_threads:.4g} of {contract.work_rate / 1000.0:.4g} threads promised, "
        f"{len(contract.windows)} date windows, strangers: {contract.default_team or 'refused'}",
        markup=False,
    )
    return 0
