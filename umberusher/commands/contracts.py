"""Creates the enforcer of a contract file, for ``serve`` and replays.

This module is imported only if a contract is configured, because it loads Starlark into memory.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from umberusher.deadlines.timeline import Timeline
from umberusher.decisions.settings import Settings
from umberusher.pipeline.contracts import ContractEnforcer
from umberusher.teams.contract import Contract
from umberusher.teams.script import load_contract


def enforcer_factory(
    path: str,
    settings: Settings,
    log_event: Callable[[Mapping[str, object], str], None] | None = None,
) -> Callable[[Timeline], ContractEnforcer]:
    """Return a function that creates a broker's enforcer, given the broker's timeline.

    Args:
        path: The contract's file.
        settings: The broker's settings.
        log_event: Writes a structured event, given its fields and its kind.

    Raises:
        ContractError: The file can't be used.
    """
    classes = frozenset(each.name for each in settings.classes)
    contract = load_contract(path, classes)

    def emit_event(kind: str, fields: Mapping[str, object]) -> None:
        if log_event is not None:
            log_event(fields, kind)

    def reload_contract() -> Contract:
        return load_contract(path, classes)

    def make_enforcer(timeline: Timeline) -> ContractEnforcer:
        return ContractEnforcer(
            contract,
            settings,
            timeline.now_ms,
            timeline.unix_ms,
            reload_contract,
            emit_event if log_event is not None else None,
        )

    return make_enforcer
