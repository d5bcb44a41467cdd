"""Guards ``trace replay`` and ``trace compare`` against missing results.

An interrupted replay must still write its partial result and end its brokers' processes.
"""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import time
from pathlib import Path

from tests.replay.plans import plan_of
from umberusher import cli

ROOT = Path(__file__).parents[2]


def test_commands_write_result_and_report(tmp_path, capsys):
    plan, result_path = str(tmp_path / "p.plan"), tmp_path / "r.json"
    plan_of(2.0).save(plan)
    options = ["--nodes", "4", "--json", str(result_path), "--report", str(tmp_path / "rep")]
    assert cli.main(["trace", "replay", plan, *options]) == 0
    result = json.loads(result_path.read_text())
    assert {"service", "by_class", "requests", "answers", "rules_broken"} <= result.keys()
    assert (tmp_path / "rep" / "replay.html").read_text().count("<svg") == 2
    assert (
        cli.main(
            [
                "trace",
                "compare",
                plan,
                "--vary",
                "seed=1,2",
                "--vary",
                "nodes=2,4",
                "--jobs",
                "4",
                "--json",
                str(result_path),
            ]
        )
        == 0
    )
    assert (
        len(json.loads(result_path.read_text())["runs"]) == 4
        and "nodes=4" in capsys.readouterr().out
    )
    assert (
        cli.main(["trace", "replay", str(result_path)]) == 2
        and "not a plan" in capsys.readouterr().err
    )


def test_replay_reports_partial_result_and_ends_brokers_when_interrupted(tmp_path):
    plan, result_path = str(tmp_path / "p.plan"), tmp_path / "r.json"
    plan_of(30.0).save(plan)
    replay_process = subprocess.Popen(
        [
            sys.executable,
            "-m",
            "umberusher",
            "trace",
            "replay",
            plan,
            "--clock",
            "wall",
            "--json",
            str(result_path),
        ],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
    )
    time.sleep(4.0)
    brokers = (
        Path(f"/proc/{replay_process.pid}/task/{replay_process.pid}/children").read_text().split()
    )
    replay_process.send_signal(signal.SIGINT)
    output, _ = replay_process.communicate(timeout=20)
    result = json.loads(result_path.read_text())
    assert (
        replay_process.returncode == 3
        and result["partial"]
        and result["service"] is None
        and 0 < result["played"] < 1_800
    )
    assert b"PARTIAL" in output and len(brokers) == 2
    assert not any(Path(f"/proc/{process_id}").exists() for process_id in brokers)
