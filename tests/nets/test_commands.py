"""Guards the file formats, exit codes and messages that commit 8ce8042 had.

Files that it wrote must be read with the same results. An input with a wrong field must give the same
exit code and the same message.
"""

from __future__ import annotations

import json
from typing import Any

import pytest

from tests.nets.commands import BAD, EXPECTED, GOOD, ROOT, Command, run

EXPECTED_RESULTS = json.loads(EXPECTED.read_text())


@pytest.fixture(scope="module")
def results(tmp_path_factory) -> dict[str, dict[str, Any]]:
    return run(ROOT, tmp_path_factory.mktemp("commands"))


def test_each_command_has_an_expected_result():
    assert {each.name for each in (*GOOD, *BAD)} == EXPECTED_RESULTS.keys()


@pytest.mark.parametrize("command", GOOD, ids=lambda command: command.name)
def test_files_of_the_earlier_version_give_the_same_results(results, command: Command):
    assert results[command.name] == EXPECTED_RESULTS[command.name]


@pytest.mark.parametrize("command", BAD, ids=lambda command: command.name)
def test_malformed_input_gives_the_same_exit_code_and_message(results, command: Command):
    assert results[command.name] == EXPECTED_RESULTS[command.name]
