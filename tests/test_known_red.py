"""The file of known red tests: the tests that it names may fail, and a stale file fails the run."""

from __future__ import annotations

import os
import re
import subprocess
import sys
from pathlib import Path

import pytest

from tests import conftest, known_red

ROOT = Path(__file__).parent.parent
TESTS = "def test_red():\n    assert 0\n\ndef test_green():\n    assert 1\n"


@pytest.mark.parametrize(
    ("lines", "code", "expected"),
    [
        ("", 1, "1 failed, 1 passed"),
        (
            "test_it.py::test_red | it rains | 26",
            0,
            "known red: test_it.py::test_red: it rains (issue 26)",
        ),
        ("test_it.py::test_green | it rains | 26", 1, "2 failed"),
        (
            "test_it.py::test_red | it rains | 26\ntest_it.py::test_green | it rains | 26",
            1,
            "1 failed, 1 xfailed",
        ),
        ("test_it.py::test_gone | it rains | 26", 4, "there is no test test_it.py::test_gone"),
        ("test_gone.py::test_red | it rains | 26", 4, "there is no test test_gone.py::test_red"),
        ("test_it.py::test_red | it rains", 4, "KNOWN-RED.txt:1: expected 'test | cause | issue'"),
    ],
)
def test_known_red_excuses_the_tests_that_it_names_and_fails_when_it_is_stale(
    tmp_path, lines, code, expected
):
    (tmp_path / "test_it.py").write_text(TESTS)
    (tmp_path / "pytest.ini").write_text("[pytest]\n")
    if lines:
        (tmp_path / "KNOWN-RED.txt").write_text(lines)
    found = subprocess.run(
        [sys.executable, "-m", "pytest", "-p", "tests.known_red", "-p", "no:cacheprovider", "-q"],
        cwd=tmp_path,
        env=os.environ | {"PYTHONPATH": str(ROOT)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert (found.returncode, expected in found.stdout + found.stderr) == (code, True), (
        found.stdout + found.stderr
    )


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        ("test_it.py::test_red | it rains |", "KNOWN-RED.txt:1: expected 'test | cause | issue'"),
        (
            "test_it.py::test_red | it rains | 26\n" * 2,
            "KNOWN-RED.txt:2: test_it.py::test_red is named twice",
        ),
        (
            "\n".join(f"test_it.py::test_{n} | it rains | 26" for n in range(4)),
            "4 tests, 3 at the most",
        ),
    ],
)
def test_read_raises_usage_error_when_the_file_is_malformed(tmp_path, lines, expected):
    (tmp_path / "KNOWN-RED.txt").write_text(lines)
    with pytest.raises(pytest.UsageError, match=re.escape(expected)):
        known_red.read(tmp_path / "KNOWN-RED.txt")


def test_hooks_are_those_of_this_project():
    assert conftest.pytest_collection_modifyitems is known_red.pytest_collection_modifyitems
    assert conftest.pytest_terminal_summary is known_red.pytest_terminal_summary
