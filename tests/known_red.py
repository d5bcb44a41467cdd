"""Marks the tests that KNOWN-RED.txt names as expected failures, and no others.

Each line of that file, at the root of the checkout, is ``test | cause | issue``, three lines at the
most. A named test that passes fails the run, and so does a name without a test: the file can't go
stale.
"""

from __future__ import annotations

from pathlib import Path

import pytest

FILE_NAME = "KNOWN-RED.txt"

MAX_TESTS = 3
"""More known failures than this have to be fixed before other work goes on."""

FIELDS_PER_LINE = 3


def read(path: Path) -> dict[str, str]:
    """Return cause and issue of each test that the file names, by the test's node id.

    Raises:
        pytest.UsageError: The file is malformed.
    """
    lines = path.read_text(encoding="utf-8").splitlines() if path.exists() else []
    reasons: dict[str, str] = {}
    for number, line in enumerate(lines, 1):
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != FIELDS_PER_LINE or not all(fields):
            raise pytest.UsageError(f"{FILE_NAME}:{number}: expected 'test | cause | issue'")
        test, cause, issue = fields
        if test in reasons:
            raise pytest.UsageError(f"{FILE_NAME}:{number}: {test} is named twice")
        reasons[test] = f"{cause} (issue {issue})"
    if len(reasons) > MAX_TESTS:
        raise pytest.UsageError(f"{FILE_NAME}: {len(reasons)} tests, {MAX_TESTS} at the most")
    return reasons


@pytest.hookimpl(trylast=True)
def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the named tests as expected failures.

    Raises:
        pytest.UsageError: A name belongs to no test.
    """
    root = config.rootpath
    items_by_id = {item.nodeid: item for item in items}
    collected_files = {item.nodeid.partition("::")[0] for item in items}
    for test, reason in read(root / FILE_NAME).items():
        file = test.partition("::")[0]
        if test in items_by_id:
            items_by_id[test].add_marker(pytest.mark.xfail(reason=reason, strict=True))
        elif file in collected_files or not (root / file).exists():
            raise pytest.UsageError(f"{FILE_NAME}: there is no test {test}")


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter, config: pytest.Config
) -> None:
    """Print the named tests with their reasons."""
    for test, reason in read(config.rootpath / FILE_NAME).items():
        terminalreporter.write_line(f"known red: {test}: {reason}")
