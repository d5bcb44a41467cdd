"""Measure how the surge of one team affects the service of the others, with contracts and without.

    python scripts/measure_teams.py [--seeds 5] [--seconds 120] [--jobs 6] [--times 5 10] [--case surge lend retries]

Plans of three teams, generated in the layout of a published trace, go through two real brokers to six stand-in engines
over sockets, on the step clock. The third team sends 5 or 10 times as many requests in the middle third of the run. Each
seed is replayed with the contract, without it, and with each of the other teams alone. The contract is derived from the
plans: each team is promised 1.7 times its own usual rate and its own bursts (doubled, since two brokers share them). The
same holds for the surging team: its promise doesn't include the surge.

    surge      service of the teams without a surge, in points, compared with alone: the loss must be at most 2 points
               with contracts; the loss without contracts is printed beside it
    lend       the first team is idle until the last third: requests of the others that are served (in time, and all),
               with contracts and without
    retries    clients of the surging team retry repeatedly, and engines reset connections: how many retries of
               another team are granted, of those it requested, alone and beside the surging team
    return     as lend, but the surge lasts beyond the return of the idle team: its requests in the first second of its
               return, and those of them served in time (``first``)
    uneven     no team surges, and the front sends more requests to one broker: requests that the contract rejects
               because of that
"""

from __future__ import annotations

import argparse
import json
import statistics
import subprocess
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from umberusher.replay.faults import Fault, FaultKind
from umberusher.replay.options import ReplayOptions
from umberusher.replay.plans import MergedPlan, merge, select_team, with_surge
from umberusher.replay.replay import Replay
from umberusher.traces.plan import Plan

LAYOUT = "google-2011-task-events"
# Requests per second; parks has the surge.
REQUEST_RATES = {"water": 30.0, "roads": 22.0, "parks": 18.0}
THREADS, SLOTS, MEMORY_MB = 100, 180, 160_000


def required_burst(times_us: list[int], rate: float) -> float:
    """Return the burst with which a promise of that rate covers all requests of a team without a surge."""
    level = max_level = last_us = 0.0
    for at in times_us:
        level = max(level - (at - last_us) / 1e6 * rate, 0.0) + 1.0
        max_level, last_us = max(max_level, level), at
    return max_level


def contract_text(plans: dict[str, Plan], lend: bool) -> str:
    """Build the text of a contract from the usual plans of the teams."""
    team_blocks = []
    for team, plan in plans.items():
        terms = []
        for index, name in enumerate(plan.classes):
            work_ms = [
                w
                for w, c in zip(plan.columns["work_ms"], plan.columns["query_class"], strict=True)
                if c == index
            ]
            if work_ms:
                rate = max(1.7 * len(work_ms) / plan.seconds, 0.2)
                times = [
                    at
                    for at, c in zip(
                        plan.columns["at_us"], plan.columns["query_class"], strict=True
                    )
                    if c == index
                ]
                burst = max(2.0 * required_burst(times, rate), 10.0 * rate, 10.0)
                terms.append(
                    f'terms("{name}", rate = {rate:.3f}, burst = {burst:.1f}, '
                    f"work_ms = {statistics.fmean(work_ms):.1f})"
                )
        overflow = "lend" if lend else "refuse"
        team_blocks.append(
            f'    team("{team}", share = 0.33, ration = 0.33, overflow = "{overflow}", terms = [\n        '
            + ",\n        ".join(terms)
            + "]),"
        )
    return (
        f"capacity = fleet(threads = {THREADS}, slots = {SLOTS}, memory_mb = {MEMORY_MB})\nteams = [\n"
        + "\n".join(team_blocks)
        + "\n]\n"
    )


def make_plans(folder: str, seed: int, seconds: float) -> dict[str, Plan]:
    """Generate the usual plan of each team."""
    plans = {}
    for number, (team, rate) in enumerate(REQUEST_RATES.items()):
        csv_path, plan_path = f"{folder}/{seed}-{team}.csv", f"{folder}/{seed}-{team}.plan"
        for command in (
            ["make", "--seconds", str(seconds), "--seed", str(seed * 10 + number), "-o", csv_path],
            [
                "plan",
                "--layout",
                LAYOUT,
                "--mapping",
                f"deploy/traces/{LAYOUT}.star",
                "--rate",
                str(rate),
                "--seed",
                str(seed * 10 + number),
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
        plans[team] = Plan.load(plan_path)
    return plans


def replay_plans(
    plans: dict[str, Plan],
    contract_path: str | None,
    seed: int,
    retries: int = 1,
    with_resets: bool = False,
    uneven_fraction: float = 0.0,
) -> dict:
    """Run one replay; return outcomes for clients and decisions of brokers by team."""
    merged = merge(plans)
    combined = merged.plan
    resets = range(5, int(combined.seconds), 4) if with_resets else ()
    injected_faults = [Fault(FaultKind.RESET, f"n-{n}", at) for at in resets for n in range(3)]
    retries_by_team: dict[str, list[int]] = {}
    rejected_by_team: dict[str, int] = {}

    def count_usage(broker):
        if broker.contracts:
            for team, use in broker.contracts.teams.usage.items():
                granted, denied = retries_by_team.get(team, [0, 0])
                retries_by_team[team] = [
                    granted + sum(use.retries.values()),
                    denied + use.retries_denied,
                ]
                rejected_by_team[team] = rejected_by_team.get(team, 0) + sum(use.rejected.values())

    replay = Replay(
        combined,
        ReplayOptions(
            engine_count=6,
            seed=seed,
            contract_path=contract_path,
            request_teams=merged.request_teams,
            max_client_retries=retries,
            faults=injected_faults,
            uneven_fraction=uneven_fraction,
        ),
        on_broker_closing=count_usage,
    )
    replay.play()
    document = replay.document()
    return {
        "breaches": document["breaches"],
        "repeats": retries_by_team,
        "refused": rejected_by_team,
        "teams": {
            team: {
                "service": each["service"],
                "requests": each["requests"],
                "came_back": each["came_back"],
                "served": sum(each["by_second"]["served"]) + sum(each["by_second"]["late"]),
                "in_time": sum(each["by_second"]["served"]),
                "whole": each["whole"],
                "first": next(
                    (
                        [asked, served]
                        for asked, served in zip(
                            each["by_second"]["arrivals"], each["by_second"]["served"], strict=True
                        )
                        if asked
                    ),
                    [0, 0],
                ),
                "by_second": each["by_second"]["served"],
            }
            for team, each in document["teams"].items()
        },
    }


def run_job(job: tuple) -> dict:
    """Run one job of the process pool."""
    label, folder, seed, seconds, surge_factor, teams, contract_path, options = job
    plans = {team: Plan.load(f"{folder}/{seed}-{team}.plan") for team in REQUEST_RATES}
    plans["parks"] = with_surge(
        plans["parks"], surge_factor, seconds / 3, seconds * options.get("until", 2 / 3)
    )
    if options.get("idle"):  # water is idle until the last third
        plans["water"] = requests_after(plans["water"], seconds * 2 / 3)
    return {"label": label, "seed": seed, "times": surge_factor} | replay_plans(
        {team: plans[team] for team in teams},
        contract_path,
        seed,
        options.get("retries", 1),
        options.get("sick", False),
        options.get("uneven", 0.0),
    )


def requests_after(plan: Plan, seconds: float) -> Plan:
    """Return the plan without the requests before that second."""
    labels = ["late" if at >= seconds * 1e6 else "early" for at in plan.columns["at_us"]]
    return select_team(MergedPlan(plan, labels), "late")


def main() -> int:
    """Print each run and the largest loss; return 1 if a team without a surge loses more than 2 points."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=120.0)
    parser.add_argument("--jobs", type=int, default=6)
    parser.add_argument("--times", type=int, nargs="*", default=[5, 10])
    parser.add_argument(
        "--case", nargs="*", default=["surge", "lend", "return", "retries", "uneven"]
    )
    args = parser.parse_args()
    folder = tempfile.mkdtemp(prefix="umberusher-teams-")
    jobs = []
    for seed in range(1, args.seeds + 1):
        plans = make_plans(folder, seed, args.seconds)
        for kind, may_lend in (("refuse", False), ("lend", True)):
            Path(f"{folder}/{seed}-{kind}.star").write_text(contract_text(plans, may_lend))
        refuse_path, lend_path = f"{folder}/{seed}-refuse.star", f"{folder}/{seed}-lend.star"
        common = (folder, seed, args.seconds)
        if "surge" in args.case:
            jobs += [(f"alone {team}", *common, 1, [team], None, {}) for team in ("water", "roads")]
            for surge_factor in args.times:
                jobs += [
                    (name, *common, surge_factor, list(REQUEST_RATES), path, {})
                    for name, path in (("contract", lend_path), ("none", None))
                ]
        if "lend" in args.case:
            jobs += [
                (f"idle, {name}", *common, 5, list(REQUEST_RATES), path, {"idle": True})
                for name, path in (("contract", lend_path), ("none", None))
            ]
        if "return" in args.case:
            jobs += [
                (
                    "return",
                    *common,
                    5,
                    list(REQUEST_RATES),
                    lend_path,
                    {"idle": True, "until": 5 / 6},
                )
            ]
        if "uneven" in args.case:
            jobs += [
                (f"uneven {share}", *common, 1, list(REQUEST_RATES), path, {"uneven": share})
                for share in (0.0, 0.3, 0.6)
                for path in (refuse_path,)
            ]
        if "retries" in args.case:
            jobs += [
                ("retries, alone", *common, 1, ["water"], refuse_path, {"sick": True}),
                (
                    "retries, with parks",
                    *common,
                    10,
                    ["water", "parks"],
                    refuse_path,
                    {"sick": True},
                ),
            ]
    max_loss = 0.0
    alone: dict[tuple[int, str], float] = {}
    with ProcessPoolExecutor(args.jobs) as pool:
        for result in pool.map(run_job, jobs):
            if result["label"].startswith("alone"):
                alone |= {
                    (result["seed"], team): each["service"]
                    for team, each in result["teams"].items()
                }
            loss = {
                team: round(alone[result["seed"], team] - each["service"], 1)
                for team, each in result["teams"].items()
                if (result["seed"], team) in alone and result["label"] in ("contract", "none")
            }
            if result["label"] == "contract" and loss:
                max_loss = max(max_loss, *loss.values())
            print(
                json.dumps(
                    {
                        "label": result["label"],
                        "seed": result["seed"],
                        "times": result["times"],
                        "loss": loss,
                        "breaches": result["breaches"],
                        "repeats": result["repeats"],
                        "refused": result["refused"],
                    }
                    | {
                        team: {key: value for key, value in each.items() if key != "by_second"}
                        for team, each in result["teams"].items()
                    }
                ),
                flush=True,
            )
    print(f"largest loss of a team without a surge, with contracts: {max_loss} points")
    return 1 if max_loss > 2.0 else 0


if __name__ == "__main__":
    sys.exit(main())
