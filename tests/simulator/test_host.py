"""Tests of the simulator's host on hand-written lines, run by the command of deploy/balancer.toml."""

from __future__ import annotations

import json
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent.parent
CONF = {
    "grades": [
        {
            "name": "short",
            "aim_ms": 1000,
            "deadline_ms": 5000,
            "points": 1,
            "effect": "safe",
            "group": "all",
            "novel": [1],
        }
    ],
    "machine_types": ["k"],
    "domain": {"size_cores": [8], "parallelism": [1], "lanes_count": True},
    "limits": {"max_attempts": 3},
    "contract": {"drain_grace_ms": 100},
    "fleet_size": 2,
    "new_key": {},
}
BOOT = "boot\ti=gateway/{0}\trandom_seed={0}\tconf=" + json.dumps(CONF).replace("{", "{{").replace(
    "}", "}}"
)
LIST = [
    "define_list\troster_id=0\telements=1\tcolour=red",
    "m\tunit_group=0\tnode=1.1.1.1:1\tshape=k\tunits=1\taz=z\tphase=U",
]
UPDATE = "update\ti=gateway/{}\tform=C\tepoch=1\troster_id=0"
PEER_MESSAGE = "from_peer\ti=gateway/0\tauthor=1\tmsg={}"
REQUEST = "request\ti=gateway/{}\tmsg_id={}\tcls=short\tdeadline_ms=9000\ttables=3\tshade=blue"


def batch(number: int, *lines: str, now_ms: float = 4000.5) -> str:
    return "\n".join([f"batch\tnow_ms={now_ms}\tturn={number}", *lines, "over_to_you", ""])


def run(source: str) -> subprocess.CompletedProcess:
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["sim"]
    command = command.replace(".venv/bin/python", sys.executable)
    return subprocess.run(
        ["/bin/sh", "-c", command],
        input=source,
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=60,
    )


def replies(source: str) -> list[list[str]]:
    process = run(source)
    assert (process.returncode, process.stderr) == (0, "")
    batches, lines = [], []
    for line in process.stdout.splitlines():
        lines.append(line)
        if line.startswith("ack"):
            batches.append(lines)
            lines = []
    assert not lines
    return batches


def test_host_answers_empty_batches_and_ends_cleanly():
    assert replies(batch(1) + batch(2)) == [["ack\tturn=1"], ["ack\tturn=2"]]


def test_host_sends_a_request_and_closes_it_when_it_succeeds():
    batches = replies(
        batch(1, BOOT.format(0), *LIST, UPDATE.format(0), REQUEST.format(0, "a" * 36))
        + batch(
            2,
            f"returned\ti=gateway/0\tmsg_id={'a' * 36}\tn=0\tnode=1.1.1.1:1\t"
            "disposition=completed\twait_time_ms=18.5\tterminal=1\tstats=69728\t"
            "load=load_share:0.62,concurrent:7,x9:1.25",
        )
    )
    assert f"try\ti=gateway/0\tmsg_id={'a' * 36}\tnode=1.1.1.1:1" in batches[0]
    assert batches[1] == ["ack\tturn=2"]


def test_host_resolves_list_numbers_in_the_order_of_events():
    second = [LIST[0], LIST[1].replace("1.1.1.1", "2.2.2.2")]
    batches = replies(
        batch(
            1,
            BOOT.format(0),
            BOOT.format(1),
            *LIST,
            UPDATE.format(0),
            *second,
            UPDATE.format(1),
            REQUEST.format(0, "a"),
            REQUEST.format(1, "b"),
        )
    )
    attempts = [line for line in batches[0] if line.startswith("try")]
    assert "node=1.1.1.1:1" in attempts[0] and "node=2.2.2.2:1" in attempts[1]


def test_host_drops_the_actions_of_an_instance_that_restarts_within_a_batch():
    batches = replies(
        batch(
            1,
            BOOT.format(0),
            *LIST,
            UPDATE.format(0),
            REQUEST.format(0, "a"),
            "shutdown\ti=gateway/0",
            BOOT.format(0),
            UPDATE.format(0),
        )
    )
    assert not [line for line in batches[0] if line.startswith("try")]
    assert not [line for line in batches[0] if line.startswith("wake_me")]


@pytest.mark.parametrize("payload", ["-", "00ff"])
def test_host_accepts_and_ignores_a_message_of_another_broker(payload):
    batches = replies(batch(1, BOOT.format(0)) + batch(2, PEER_MESSAGE.format(payload)))
    assert batches[1] == ["ack\tturn=2"]


def test_host_answers_a_batch_of_megabytes():
    requests = [REQUEST.format(0, f"id{number}" + "x" * 300) for number in range(5000)]
    batches = replies(batch(1, BOOT.format(0), *LIST, UPDATE.format(0)) + batch(2, *requests))
    assert batches[1][-1] == "ack\tturn=2"


@pytest.mark.parametrize(
    ("source", "message"),
    [
        (batch(1, "request i=gateway/0"), "known message"),
        (batch(1, BOOT.format(0), "request\tgateway"), "name=value"),
        (batch(1, BOOT.format(0), REQUEST.format(0, "a").replace("9000", "soon")), "deadline_ms"),
        (batch(1, BOOT.format(0), REQUEST.format(0, "a").replace("9000", "nan")), "deadline_ms"),
        (batch(1, REQUEST.format(7, "a")), "gateway/7"),
        (batch(1, "greeting\ti=gateway/0"), "greeting"),
        (batch(1, BOOT.format(0)).replace("over_to_you\n", ""), "over_to_you"),
        ("hello\n", "expected batch"),
        (batch(1, LIST[0]), "entr"),
        (batch(1, BOOT.format(0), UPDATE.format(0)), "list"),
        (batch(1, BOOT.format(0), PEER_MESSAGE.format("x")), "expected hex digits in msg, got 'x'"),
        (batch(1, BOOT.format(0), PEER_MESSAGE.format("")), "expected field msg"),
        (batch(1, "boot\ti=gateway/0\trandom_seed=1\tconf={"), "conf"),
        (batch(1, BOOT.format(0).replace('"aim_ms": 1000', '"aim_ms": "x"')), "aim_ms"),
    ],
)
def test_host_reports_malformed_input_in_one_line_and_by_its_exit_code(source, message):
    process = run(source)
    assert process.returncode not in (0, 1)
    assert len(process.stderr.splitlines()) == 1 and message in process.stderr
    assert "Traceback" not in process.stderr
