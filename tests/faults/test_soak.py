"""A short seeded soak of a real broker process with each kind of fault; the long one is started by hand.

Guards against sends to engines that drain (incident e8c13a), requests without an answer, attempts for
clients that have left, time limits that are too long, and loads that run twice.
"""

from __future__ import annotations

import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

from tests.faults.kinds import KINDS

ROOT = Path(__file__).resolve().parents[2]
SEED = 51
SECONDS = 8
# Runs beside each other: each is one broker and one process with its peers.
WORKERS = 4
TIMEOUT_S = 120


def play(kind: str) -> subprocess.CompletedProcess[str]:
    arguments = ["--kind", kind, "--seeds", "1", "--first-seed", str(SEED)]
    return subprocess.run(
        [sys.executable, "-m", "tests.faults.soak", *arguments, "--seconds", str(SECONDS)],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


@pytest.fixture(scope="module")
def results() -> dict[str, subprocess.CompletedProcess[str]]:
    names = [kind.name for kind in KINDS]
    with ThreadPoolExecutor(WORKERS) as pool:
        return dict(zip(names, pool.map(play, names), strict=True))


@pytest.mark.parametrize("kind", [kind.name for kind in KINDS])
def test_broker_keeps_the_rules_under_faults(results, kind):
    assert results[kind].returncode == 0, results[kind].stdout + results[kind].stderr
