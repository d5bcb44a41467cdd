"""Tests that requests of tenants are sent in the order in which commit 8ce8042 sent them.

The recorded inputs of the other tests don't depend on how much of a quota may accumulate, since no
queue in them is long enough when an engine is added. Here requests of tenants wait until engines
are added.
"""

from __future__ import annotations

import hashlib
import io
import json
import random

from umberusher.simulator.host import serve

SCENARIO_COUNT = 30
# Digest of the output of 8ce8042 for the same input.
OUTPUT_SHA256 = "433186db0d665499a9146fcd5b6dd1a29fd5c24e4702713bfa6e5048c3a09866"


def settings(rng: random.Random) -> dict[str, object]:
    short = {"name": "c", "aim_ms": 3000, "deadline_ms": 9000, "points": 1, "effect": "safe"}
    long = {"name": "d", "aim_ms": 1000, "deadline_ms": 9000, "points": 3, "effect": "safe"}
    return {
        "grades": [short | {"late_worth": 0.3}, long],
        "machine_types": ["k"],
        "domain": {"size_cores": [4], "parallelism": [1, 2], "lanes_count": True},
        "limits": {"max_attempts": 3},
        "fleet_size": rng.choice([1, 2, 7]),
        "over_share_worth": rng.choice([0.1, 0.3]),
        "accounts": [
            {"name": "a", "quota_per_s": rng.choice([3, 20, 0.7])},
            {"name": "b", "quota_per_s": 5},
            {"name": "n"},
        ],
    }


class Script:
    """The input of one scenario."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 1000.0
        self.batch_count = 0
        self.request_count = 0
        conf = json.dumps(settings(self.rng))
        self.text = ""
        self.add_batch(f"boot\ti=g\trandom_seed={seed}\tconf={conf}")

    def add_batch(self, *lines: str) -> None:
        self.batch_count += 1
        opening = f"batch\tnow_ms={self.now_ms}\tturn={self.batch_count}"
        self.text += "\n".join([opening, *lines, "over_to_you", ""])

    def add_request(self) -> str:
        self.request_count += 1
        return (
            f"request\ti=g\tmsg_id=r{self.request_count}\tcls={self.rng.choice('cd')}"
            f"\tdeadline_ms={self.now_ms + 9000}"
            f"\tuser_group={self.rng.choice(['a', 'b', 'n', 'x', ''])}"
        )

    def build(self) -> str:
        for _ in range(40):
            requests = [self.add_request() for _ in range(self.rng.randrange(6))]
            self.now_ms += self.rng.choice([1, 13, 60, 300])
            self.add_batch(*requests)
        for number in range(1, 4):
            self.add_batch(
                f"define_list\troster_id={number}\telements=1",
                f"m\tnode=e{number}\tshape=k\tphase=U",
                f"update\ti=g\tform=D\troster_id={number}",
            )
            for _ in range(10):
                self.now_ms += 20
                self.add_batch("due\ti=g\ttag=tick")
        return self.text


def test_requests_of_tenants_are_sent_in_the_recorded_order():
    digest = hashlib.sha256()
    for seed in range(SCENARIO_COUNT):
        output = io.StringIO()
        serve(io.StringIO(Script(seed).build()), output)
        assert "\ntry\t" in output.getvalue()
        digest.update(output.getvalue().encode())
    assert digest.hexdigest() == OUTPUT_SHA256
