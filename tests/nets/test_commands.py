"""Tests that commands give the results of commit 8ce8042, for its files and for copies of them with a fault.

They guard against files of earlier versions that can no longer be read, and against changes of output, error messages
and exit codes.
"""

from __future__ import annotations

import json
from typing import Any

import pytest

from tests.nets.commands import EXPECTED, INVALID_COMMANDS, ROOT, VALID_COMMANDS, Command, run

EXPECTED_RESULTS = json.loads(EXPECTED.read_text())


@pytest.fixture(scope="module")
def results(tmp_path_factory) -> dict[str, dict[str, Any]]:
    return run(ROOT, tmp_path_factory.mktemp("commands"))


def test_each_command_has_an_expected_result():
    assert {each.name for each in (*VALID_COMMANDS, *INVALID_COMMANDS)} == EXPECTED_RESULTS.keys()


@pytest.mark.parametrize("command", VALID_COMMANDS, ids=lambda command: command.name)
def test_valid_command_gives_the_expected_result(results, command: Command):
    assert results[command.name] == EXPECTED_RESULTS[command.name]


@pytest.mark.parametrize("command", INVALID_COMMANDS, ids=lambda command: command.name)
def test_invalid_input_gives_the_expected_exit_code_and_error(results, command: Command):
    assert results[command.name] == EXPECTED_RESULTS[command.name]
