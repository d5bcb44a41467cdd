"""Guards against replays that depend on hash order, or are scored though their clients lagged.

Also covers the stored event log, and the machines of a plan.
"""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

from tests.replay.plans import FAULTS, plan_of
from umberusher.checker.checker import check_log
from umberusher.checker.settings import RuleSettings
from umberusher.replay.options import ReplayOptions
from umberusher.replay.replay import Replay, run_replay
from umberusher.traces.plan import MachineEvent

ROOT = Path(__file__).parents[2]
RULES = RuleSettings(frozenset({"load"}), frozenset({"load"}))
# The digest of the event log for the plan and the faults below. It changes with the broker's
# decisions, the stand-ins and the checker's log; a commit that changes it on purpose sets the new
# one here and says what changed.
DIGEST = "c6ebb3a9245107992a88ca0142aafc41"


def test_replay_gives_same_digest_for_any_hash_seed(tmp_path):
    path, results = tmp_path / "p.plan", []
    plan_of().save(str(path))
    script = (
        "import json, sys; from tests.replay.plans import FAULTS, Plan;"
        "from umberusher.replay.options import ReplayOptions;"
        "from umberusher.replay.replay import run_replay;"
        "r = run_replay(Plan.load(sys.argv[1]), ReplayOptions(engine_count=5, faults=FAULTS, disconnect_fraction=0.1));"
        "print(json.dumps([r['digest'], r['service'], r['answers'], r['rules_broken']]))"
    )
    for seed in ("0", "77"):
        process = subprocess.run(
            [sys.executable, "-c", script, str(path)],
            env=os.environ | {"PYTHONHASHSEED": seed},
            capture_output=True,
            text=True,
            check=True,
            timeout=60,
            cwd=ROOT,
        )
        results.append(json.loads(process.stdout))
    assert results[0] == results[1]
    assert results[0][3] == [] and results[0][2]["served"] > 200 and results[0][2]["left"] > 10
    assert results[0][0] == DIGEST


def test_event_log_gives_same_digest_when_it_is_checked_again():
    result = run_replay(
        plan_of(3.0), ReplayOptions(engine_count=4, keep_event_log=True, faults=FAULTS[:2])
    )
    rechecked = check_log(RULES, result["log"])
    assert (
        rechecked.digest == result["digest"]
        and not rechecked.breaches.recorded
        and not result["rules_broken"]
    )
    assert not rechecked.requests.by_id or all(
        each.outcome for each in rechecked.requests.by_id.values()
    )


def test_replay_restarts_machines_of_the_plan_under_their_id():
    plan = plan_of()
    plan.machines = [
        *(
            MachineEvent(0, f"m-{number}", "ADD", "std-16" if number == 2 else "std-8")
            for number in range(5)
        ),
        MachineEvent(2_000_000, "m-1", "REMOVE", None),
        MachineEvent(3_500_000, "m-1", "ADD", "std-8"),
    ]
    result = run_replay(plan, ReplayOptions(engine_count=5))
    assert (
        result["notes"] == {"machine ADD": 1, "machine REMOVE": 1} and result["rules_broken"] == []
    )
    assert result["nodes"] == 5 and result["service"] > 90


def test_replay_is_not_scored_when_clients_cannot_keep_pace():
    replay = Replay(plan_of(1.0), ReplayOptions(engine_count=3))
    replay.play()
    assert replay.document()["service"] is not None
    replay.driver.lags_ms += [800.0] * 5
    document = replay.document()
    assert (
        document["service"] is None
        and not document["kept_pace"]
        and document["by_class"]["lookup"]["service"] is None
    )
