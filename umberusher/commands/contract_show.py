"""``contract show``: the terms that each team is promised on a day."""

from __future__ import annotations

import argparse
from datetime import UTC, date, datetime
from typing import Any

from umberusher.commands import tools
from umberusher.errors import UsageError
from umberusher.teams.contract import Contract
from umberusher.teams.script import load_contract

COLUMNS = ("team", "class", "rate", "burst", "work_ms", "worth", "share", "ration", "overflow")


def contract_rows(contract: Contract) -> list[dict[str, Any]]:
    """Return a row for each team and class, with the fields of the JSON output."""
    return [
        {
            "team": team.name,
            "class": query_class,
            "rate": terms.rate,
            "burst": terms.burst,
            "work_ms": terms.work_ms,
            "worth": terms.value,
            "memory_mb": terms.memory_mb,
            "share": team.share,
            "ration": team.retry_share,
            "overflow": team.overflow,
            "ports": list(team.ports),
            "names": list(team.certificate_names),
            "proof": team.requires_proof,
        }
        for team in sorted(contract.teams.values(), key=lambda each: each.name)
        for query_class, terms in sorted(team.terms.items())
    ]


def run(args: argparse.Namespace) -> int:
    """Print the result as a table; return 0."""
    try:
        day = date.fromisoformat(args.day) if args.day else datetime.now(UTC).date()
    except ValueError:
        raise UsageError(f"--day: expected a date as 2026-04-03, not {args.day!r}") from None
    rows = contract_rows(load_contract(args.contract).on(day))
    tools.write_json(args.json, {"day": str(day), "terms": rows})
    tools.table(
        f"promised on {day}",
        [*COLUMNS, "threads"],
        [
            [*(row[name] for name in COLUMNS), f"{row['rate'] * row['work_ms'] / 1000.0:.3g}"]
            for row in rows
        ],
    )
    return 0
