"""``contract diff``: the differences between two contracts, by team and by value."""

from __future__ import annotations

import argparse
from collections.abc import Iterable
from typing import Any

from umberusher.commands import tools
from umberusher.commands.contract_show import contract_rows
from umberusher.teams.contract import Contract, HolidayWindow
from umberusher.teams.script import load_contract

EXIT_DIFFERS = 1
COLUMNS = ("team", "class", "figure", "before", "after")


def changes(before: Contract, after: Contract) -> list[dict[str, Any]]:
    """Return each value that differs.

    A class or team that only one contract has is one change, with ``None`` for the other contract.
    """
    return [
        *_changed_terms(before, after),
        *_changed_capacity(before, after),
        *_changed_windows(before, after),
    ]


def _change(
    name: str, before: object, after: object, team: str = "", query_class: str = ""
) -> dict[str, Any]:
    return {"team": team, "class": query_class, "figure": name, "before": before, "after": after}


def _changed_terms(before: Contract, after: Contract) -> list[dict[str, Any]]:
    old_rows = {(row["team"], row["class"]): row for row in contract_rows(before)}
    new_rows = {(row["team"], row["class"]): row for row in contract_rows(after)}
    changed_values: list[dict[str, Any]] = []
    for key in sorted(old_rows.keys() | new_rows.keys()):
        team, query_class = key
        old = old_rows.get(key)
        new = new_rows.get(key)
        if old is None or new is None:
            old_text = "there" if old else None
            new_text = "there" if new else None
            changed_values.append(_change("terms", old_text, new_text, team, query_class))
            continue
        changed_values += [
            _change(name, old[name], new[name], team, query_class)
            for name in old
            if old[name] != new[name]
        ]
    return changed_values


def _changed_capacity(before: Contract, after: Contract) -> list[dict[str, Any]]:
    values = (
        ("work_rate", before.work_rate, after.work_rate),
        ("threads", before.threads, after.threads),
        ("memory_mb", before.memory_mb, after.memory_mb),
        ("strangers", before.default_team, after.default_team),
    )
    return [_change(name, old, new) for name, old, new in values if old != new]


def _changed_windows(before: Contract, after: Contract) -> list[dict[str, Any]]:
    old = set(before.windows)
    new = set(after.windows)
    removed = [_window_change(window, _days(window), None) for window in _sorted(old - new)]
    added = [_window_change(window, None, _days(window)) for window in _sorted(new - old)]
    return removed + added


def _sorted(windows: Iterable[HolidayWindow]) -> list[HolidayWindow]:
    return sorted(windows, key=lambda window: (window.team, window.first, window.name))


def _days(window: HolidayWindow) -> str:
    return f"{window.first} to {window.last}"


def _window_change(window: HolidayWindow, before: str | None, after: str | None) -> dict[str, Any]:
    return _change(f"window {window.name}", before, after, window.team)


def run(args: argparse.Namespace) -> int:
    """Print a table; return 1 if anything differs, as diff(1) does."""
    changed_values = changes(load_contract(args.contract), load_contract(args.other))
    tools.write_json(args.json, changed_values)
    if changed_values:
        rows = [
            ["" if each[name] is None else each[name] for name in COLUMNS]
            for each in changed_values
        ]
        tools.table("changes", list(COLUMNS), rows)
    return EXIT_DIFFERS if changed_values else 0
