"""A run's record: the JSON of a measurement, with the machine that it was measured on."""

from __future__ import annotations

import os
import platform
import subprocess
import time
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from umberusher.scale.figures import Metric
from umberusher.scale.plan import Plan

RECORD_VERSION = 1
GIT_TIMEOUT_S = 10
BYTES_PER_GB = 1e9


@dataclass(frozen=True, slots=True)
class HeadlineMetric:
    """The one metric that summarizes a run: ``value`` at the size ``size``."""

    size: int
    value: float
    unit: str
    description: str


def _git(*arguments: str) -> str:
    """Return the output of git, or an empty text if the command fails."""
    try:
        return subprocess.run(
            ["git", *arguments],
            cwd=Path(__file__).parent,
            capture_output=True,
            text=True,
            timeout=GIT_TIMEOUT_S,
            check=True,
        ).stdout.strip()
    except (OSError, subprocess.SubprocessError):
        return ""


def _processor_name() -> str:
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            return line.partition(":")[2].strip()
    return platform.machine()


def machine() -> dict[str, Any]:
    """Return the hardware and software that the run used."""
    memory_bytes = os.sysconf("SC_PHYS_PAGES") * os.sysconf("SC_PAGE_SIZE")
    return {
        "cpu": _processor_name(),
        "cores": os.cpu_count(),
        "memory_gb": round(memory_bytes / BYTES_PER_GB),
        "kernel": platform.release(),
        "python": platform.python_version(),
    }


def record(
    name: str,
    plan: Plan,
    command: str,
    metrics: Mapping[str, Metric],
    headline: HeadlineMetric,
    details: Mapping[str, Any],
) -> dict[str, Any]:
    """Return the document of a measurement.

    Args:
        name: The measurement's name.
        plan: The plan that was played.
        command: The command that repeats the run.
        metrics: All metrics by name.
        headline: The metric that summarizes the run.
        details: Further fields of a scale run.
    """
    # Only the program's files are checked: new result files do not make the checkout dirty.
    changed_files = _git("status", "--porcelain", "--", "umberusher", "deploy")
    return {
        "v": RECORD_VERSION,
        "name": name,
        "role": "broker",
        "what": headline.description,
        "by": "brokers",
        "unit": headline.unit,
        "command": command,
        "commit": _git("rev-parse", "HEAD"),
        "dirty": bool(changed_files),
        "clock": "step",
        "machine": machine(),
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "rounds": 1,
        "points": [{"x": headline.size, "values": [headline.value]}],
        "fit": None,
        "plan": plan.name,
        "seed": plan.size.seed,
        "figures": metrics,
        **details,
    }
