"""Tests that the decision process gives the output of commit 8ce8042 for recorded input, to the byte.

They guard against unintended changes of decisions. The input was recorded by ``wire_world``.
Neither input nor output depends on names inside the package: lines are read from standard input and
written to standard output.
"""

from __future__ import annotations

import hashlib
import json
import lzma
import subprocess
import sys
from itertools import zip_longest
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
RECORDED = Path(__file__).parent / "recorded"
DIGESTS = json.loads((RECORDED / "wire-digests.json").read_text())
TIMEOUT_S = 120


def recorded(scenario: str, kind: str) -> bytes:
    return lzma.decompress((RECORDED / f"wire-{scenario}-{kind}.xz").read_bytes())


def first_difference(expected: bytes, found: bytes) -> str:
    """Describe the first line that differs: its number, the expected and the found line."""
    pairs = zip_longest(expected.splitlines(), found.splitlines())
    for number, (before, now) in enumerate(pairs, 1):
        if before != now:
            return f"line {number} of the output:\n  expected {before!r}\n  found    {now!r}"
    return "the lines are equal, their endings are not"


@pytest.mark.parametrize("scenario", sorted(DIGESTS))
def test_recorded_input_gets_the_recorded_answers(scenario):
    recorded_input, expected = recorded(scenario, "input"), recorded(scenario, "output")
    assert hashlib.sha256(recorded_input).hexdigest() == DIGESTS[scenario]["input_sha256"]
    assert hashlib.sha256(expected).hexdigest() == DIGESTS[scenario]["output_sha256"]
    process = subprocess.run(
        [sys.executable, "-m", "umberusher.wirehost"],
        input=recorded_input,
        capture_output=True,
        cwd=ROOT,
        timeout=TIMEOUT_S,
    )
    assert (process.returncode, process.stderr) == (0, b"")
    if process.stdout != expected:
        pytest.fail(first_difference(expected, process.stdout))
