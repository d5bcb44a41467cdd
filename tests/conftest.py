"""Fixtures of all tests: rigs that are closed after the test, and the program's log level."""

from __future__ import annotations

import logging

import pytest

from tests.known_red import (  # noqa: F401  (hooks)
    pytest_collection_modifyitems,
    pytest_terminal_summary,
)
from tests.rig import Rig


@pytest.fixture(autouse=True)
def program_log_level():
    """Restore the log level after each test: replays and scale runs in this process raise it."""
    logger = logging.getLogger("umberusher")
    level = logger.level
    yield
    logger.setLevel(level)


@pytest.fixture
def rig():
    """Return a function that makes a rig; all rigs are closed after the test."""
    made = []

    def make(
        engines: int = 1,
        handover_path: str | None = None,
        cancel: bool = False,
        make_contracts=None,
        receipts: bool = False,
        health_checks: bool = True,
    ) -> Rig:
        made.append(Rig(engines, handover_path, cancel, make_contracts, receipts, health_checks))
        return made[-1]

    yield make
    for each in made:
        each.close()
