"""Tests that a small scale run on the step clock gives the expected result, figure by figure.

It is the result of commit 8ce8042 but for what its control machines and lost control show: since an overdue poll is
awaited while another connection is polled, brokers come back at other times and to other machines. It is made in the folder of
``small_fleet.star`` by ``umberusher scale run small_fleet.star --name fleet --json scale-fleet.json``.
"""

from __future__ import annotations

import json
import shutil
import subprocess
import sys
from typing import Any

import pytest

from tests.nets.commands import FIXTURES, HERE, ROOT, environment

PLAN = "small_fleet.star"
TIMEOUT_S = 120.0
# Fields of the result that don't depend on the program's behaviour, each with the reason why it differs between runs.
IGNORED_FIELDS = {
    "at": "the date of the run",
    "commit": "of the checkout that ran",
    "dirty": "whether that checkout was changed",
    "machine": "what it ran on",
    "run": "wall time, processor time and memory of the run's processes",
}


def comparable(document: dict[str, Any]) -> dict[str, Any]:
    """Return a result without the fields that are not compared."""
    return {name: value for name, value in document.items() if name not in IGNORED_FIELDS}


@pytest.fixture(scope="module")
def expected() -> dict[str, Any]:
    return json.loads((FIXTURES / "scale-run.json").read_text())


@pytest.fixture(scope="module")
def result(tmp_path_factory) -> dict[str, Any]:
    folder = tmp_path_factory.mktemp("scale")
    shutil.copy(HERE / PLAN, folder)
    result_file = folder / "scale-fleet.json"
    arguments = ["scale", "run", PLAN, "--name", "fleet", "--json", str(result_file)]
    subprocess.run(
        [sys.executable, "-m", "umberusher", *arguments],
        cwd=folder,
        env=environment(ROOT),
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
        timeout=TIMEOUT_S,
        check=True,
    )
    return json.loads(result_file.read_text())


def test_result_has_the_expected_fields(expected, result):
    assert list(result) == list(expected) and result["machine"].keys() == expected["machine"].keys()
    assert result["run"].keys() == expected["run"].keys()


def test_each_figure_has_the_expected_value(expected, result):
    differing = {
        name: (expected["figures"].get(name), result["figures"].get(name))
        for name in expected["figures"].keys() | result["figures"].keys()
        if expected["figures"].get(name) != result["figures"].get(name)
    }
    assert differing == {}


def test_other_fields_have_the_expected_values(expected, result):
    assert comparable(result) == comparable(expected)


def test_expected_result_covers_all_scenes_and_serves_statements(expected):
    served = [
        each["value"]
        for name, each in expected["figures"].items()
        if name.endswith(": statements served")
    ]
    assert len(served) == 15 and sum(served) > 1_000
