"""Count work begun after its deadline or after its client disconnected, under faults, with cancellation off and on.

    python scripts/measure_deadlines.py [--seconds 700] [--jobs 6] [--only NAME ...]

Each case is a replay on the step clock in its own process: about 150 requests per second to 6 stand-in engines and 2
brokers; a third of them arrive with less than 0.4 s until their deadline, and a fifth of the clients disconnect early.
The faults by case:

    plain      none
    delays     network delays of 3, 12 and 40 ms to three engines, in each direction
    slow       two engines repeatedly read only 10 and 2,000 bytes per second for some seconds
    stalls     every 30 s the clock runs for 0.5 s in which no participant does
    skew       clocks of engines 3 s ahead or behind, alternating; one engine restarts every 120 s
    all        all of them

If the program lacks an option, the output of the case lists it, so the same script measures earlier versions.
"""

from __future__ import annotations

import argparse
import dataclasses
import json
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

LAYOUT = "google-2011-task-events"
ROOT = Path(__file__).resolve().parent.parent


def fault_script(case: str, seconds: float) -> str:
    """Return the fault script of a case."""
    statements = []
    if case in ("delays", "all"):
        statements += [
            f'delay("n-{n}", at=0, until={seconds}, by_ms={ms})'
            for n, ms in ((0, 3), (1, 12), (2, 40))
        ]
    if case in ("slow", "all"):
        for at in range(10, int(seconds) - 20, 40):
            statements += [
                f'slow("n-3", at={at}, until={at + 6}, rate=10)',
                f'slow("n-4", at={at + 15}, until={at + 23}, rate=2000)',
            ]
    if case in ("stalls", "all"):
        statements += [
            f'stall("all", at={at}, until={at + 0.5})' for at in range(20, int(seconds), 30)
        ]
    if case in ("skew", "all"):
        statements += [
            f'die("n-5", at={at}, back={at + 10})' for at in range(30, int(seconds) - 20, 120)
        ]
    return "faults = [" + ", ".join(statements) + "]\n"


def measure_case(
    plan: str,
    case: str,
    cancel: bool,
    disconnect_fraction: float,
    seconds: float,
    folder: str,
    receipts: bool,
) -> dict:
    """Run one replay in its own process and return its counts."""
    script = Path(folder) / f"{case}-{cancel}-{disconnect_fraction}.star"
    script.write_text(fault_script(case, seconds))
    code = f"""
import dataclasses, json, sys
sys.path.insert(0, {str(ROOT)!r})
from umberusher.replay.faults import load_faults
from umberusher.replay.options import ReplayOptions
from umberusher.replay.replay import run_replay
from umberusher.traces.plan import Plan
known = {{each.name for each in dataclasses.fields(ReplayOptions)}}
wanted = dict(engine_count=6, tight_deadline_fraction=0.3, disconnect_fraction={disconnect_fraction},
              cancellation={cancel}, receipts={receipts}, faults=load_faults({str(script)!r}))
if {case in ("skew", "all")}:
    wanted["clock_skew_ms"] = 3000.0
lacks = sorted(set(wanted) - known)
known_options = {{name: each for name, each in wanted.items() if name in known}}
found = run_replay(Plan.load({plan!r}), ReplayOptions(**known_options))
print(json.dumps({{"lacks": lacks}} | {{name: found.get(name) for name in (
    "service", "attempts", "begun", "begun_late", "begun_after", "work_for_nobody", "wasted_ms", "worked_ms",
    "breaches", "read_after_the_end", "account", "answers", "took_s")}}))
"""
    process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT)
    if process.returncode:
        return {
            "case": case,
            "cancel": cancel,
            "leave": disconnect_fraction,
            "error": process.stderr.strip().splitlines()[-1],
        }
    return {"case": case, "cancel": cancel, "leave": disconnect_fraction} | json.loads(
        process.stdout.splitlines()[-1]
    )


@dataclasses.dataclass
class Totals:
    """Sums over all cases."""

    attempts: int = 0
    late: int = 0
    breaches: int = 0


def main() -> int:
    """Print one line for each case and the totals; return 1 if work began late."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=700.0)
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument(
        "--only", nargs="*", default=["plain", "delays", "slow", "stalls", "skew", "all"]
    )
    parser.add_argument("--receipts", action="store_true")
    parser.add_argument("--leave", type=float, default=0.2)
    args = parser.parse_args()
    total = Totals()
    with tempfile.TemporaryDirectory() as folder:
        csv_path, plan_path = f"{folder}/made.csv", f"{folder}/plan"
        for command in (
            ["make", "--seconds", str(args.seconds), "-o", csv_path],
            [
                "plan",
                "--layout",
                LAYOUT,
                "--mapping",
                f"deploy/traces/{LAYOUT}.star",
                "--rate",
                "150",
                "-o",
                plan_path,
                csv_path,
            ],
        ):
            subprocess.run(
                [sys.executable, "-m", "umberusher", "trace", *command],
                check=True,
                cwd=ROOT,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
        cases = [(case, cancel) for case in args.only for cancel in (False, True)]
        with ThreadPoolExecutor(args.jobs) as pool:
            common = args.leave, args.seconds, folder, args.receipts
            for result in pool.map(lambda each: measure_case(plan_path, *each, *common), cases):
                print(json.dumps(result), flush=True)
                if "error" not in result:
                    total.attempts += result["attempts"]
                    total.late += result["begun_late"]
                    total.breaches += sum(result["breaches"].values())
    print(f"{total.attempts} attempts, {total.late} begun late, {total.breaches} breaches of rules")
    return 1 if total.late else 0


if __name__ == "__main__":
    sys.exit(main())
