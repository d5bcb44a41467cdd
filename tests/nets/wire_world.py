"""Simulates a fleet around the text wire of the decision process, to record the process's input.

The fleet reacts to the actions of the process: attempts end, timers fire, probes report. All random
draws derive from the scenario's seed, so a recording can be reproduced:

    python -m tests.nets.wire_world --program DIRECTORY [SCENARIO ...]

``DIRECTORY`` is a checkout of the version whose output is the expected one. ``test_wire_recordings``
replays the recording; it uses only the names of the files of this module.
"""

from __future__ import annotations

import argparse
import hashlib
import heapq
import itertools
import json
import lzma
import math
import random
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from tests.nets.wire_scenarios import SCENARIOS, Scenario

RECORDED = Path(__file__).parent / "recorded"
DIGESTS = RECORDED / "wire-digests.json"
CLIENT_GRACE_MS = 25.0
PROBE_TIMEOUT_MS = 1_000.0
LIST_NUMBERS = 16
MAX_SESSIONS_PER_CORE = 6
DUPLICATE_SHARE = 0.002
UNKNOWN_CLASS_SHARE = 0.002
SUPERSEDED_SHARE = 0.002
EARLY_DISCONNECT_SHARE = 0.03
CLIENT_RETRY_SHARE = 0.5
FAULT_KINDS = (
    "down",
    "hung",
    "erring",
    "resetting",
    "full",
    "slow",
    "drain",
    "restart",
    "remove",
    "late_probes",
)


@dataclass
class Engine:
    """An engine of the simulated fleet."""

    address: str
    kind: str
    zone: str
    cell: int
    cores: float
    booted_ms: float = 0.0
    phase: str = "U"
    fault: str | None = None
    running: list[Attempt] = field(default_factory=list)

    def threads(self) -> float:
        """Return the threads of all running attempts."""
        return sum(attempt.request.threads for attempt in self.running)

    def entry_line(self, state: str | None = None) -> str:
        """Return the engine's line in a numbered list."""
        booted = f"\tboot_time_ms={self.booted_ms}" if self.booted_ms else ""
        return (
            f"m\tunit_group={self.cell}\tnode={self.address}{booted}\tshape={self.kind}"
            f"\tunits={self.cores / 8}\taz={self.zone}\tphase={state or self.phase}"
        )


@dataclass
class Request:
    """A request that was sent to a gateway."""

    identifier: str
    gateway: int
    incarnation: int
    grade: dict
    threads: float
    work_ms: float
    deadline_ms: float
    closed: bool = False
    streaming: bool = False
    attempts: list[Attempt] = field(default_factory=list)


@dataclass
class Attempt:
    """One attempt of a request on an engine."""

    request: Request
    number: int
    engine: Engine
    sent_ms: float
    ended: bool = False


class Process:
    """The decision process, with all data written to it and read from it."""

    def __init__(self, program: Path) -> None:
        self.child = subprocess.Popen(
            [sys.executable, "-m", "umberusher.wirehost"],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            cwd=program,
        )
        self.written: list[bytes] = []
        self.read: list[bytes] = []

    def exchange(self, text: str) -> list[str]:
        """Write a batch; return the lines of its reply without the last one."""
        data = text.encode()
        self.written.append(data)
        self.child.stdin.write(data)
        self.child.stdin.flush()
        reply = []
        while True:
            line = self.child.stdout.readline()
            if not line:
                raise RuntimeError("the decision process ended inside a batch")
            self.read.append(line)
            if line.startswith(b"ack\t"):
                return reply
            reply.append(line.decode().rstrip("\n"))

    def close(self) -> None:
        """Close the input of the process and wait for its end."""
        self.child.stdin.close()
        if self.child.wait(timeout=60):
            raise RuntimeError(f"the decision process ended with {self.child.returncode}")


class World:
    """Clients, engines and discovery of one scenario, on a simulated clock."""

    def __init__(self, scenario: Scenario, process: Process) -> None:
        self.scenario = scenario
        self.process = process
        self.random = random.Random(f"{scenario.name}/{scenario.seed}")
        self.now_ms = scenario.start_ms
        self.end_ms = scenario.start_ms + scenario.seconds * 1_000
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_numbers = itertools.count()
        self.identifiers = itertools.count()
        self.list_numbers = itertools.count()
        self.lines: list[str] = []
        self.requests: dict[str, Request] = {}
        self.incarnations = [0] * scenario.gateways
        self.subscribed = [False] * scenario.gateways
        settings = scenario.settings
        kinds = settings.get("machine_types") or ["none"]
        sizes = settings.get("domain", {}).get("size_cores") or [4]
        self.engines = [
            Engine(
                f"10.{index % 3}.{index}.7:{9000 + index}",
                kinds[index % len(kinds)],
                f"room-{'ab'[index % 2]}",
                cell=index % 2 * 10 + index // 4,
                cores=sizes[index % len(sizes)],
            )
            for index in range(scenario.engines)
        ]
        self.actions = {
            "try": self.handle_attempt,
            "abort_attempt": self.handle_cancel,
            "refuse": self.handle_final_response,
            "lose": self.handle_final_response,
            "ask_load": self.handle_probe,
            "wake_me": self.handle_timer,
            "track": self.handle_subscription,
            "grant_and_rank": lambda gateway, fields: None,
        }

    # -- The clock

    def at(self, time_ms: float, action: Callable[[], None]) -> None:
        """Call an action in the first batch at or after this time."""
        heapq.heappush(self.events, (time_ms, next(self.event_numbers), action))

    def after(self, delay_ms: float, action: Callable[[], None]) -> None:
        """Call an action after a delay, in a later batch."""
        self.at(self.now_ms + max(delay_ms, 0.01), action)

    def play(self) -> None:
        """Play the scenario to its end."""
        for gateway in range(self.scenario.gateways):
            self.boot(gateway)
        self.exchange(batch_number=0)
        self.schedule_events()
        round_ms = self.scenario.settings.get("round_ms", 5.0)
        for batch_number in itertools.count(1):
            if not self.events or self.events[0][0] > self.end_ms:
                break
            batch_ms = math.ceil(self.events[0][0] / round_ms) * round_ms
            self.now_ms = max(self.now_ms, batch_ms)
            while self.events and self.events[0][0] <= self.now_ms:
                heapq.heappop(self.events)[2]()
            self.exchange(batch_number)

    def exchange(self, batch_number: int) -> None:
        """Write the lines of this batch and carry out the actions of the reply."""
        opening = f"batch\tnow_ms={self.now_ms}\tturn={batch_number}"
        lines = [opening, *self.lines, "over_to_you", ""]
        self.lines = []
        for line in self.process.exchange("\n".join(lines)):
            name, *parts = line.split("\t")
            fields = dict(part.split("=", 1) for part in parts)
            self.actions[name](int(fields["i"].split("/")[1]), fields)

    def schedule_events(self) -> None:
        """Schedule the events that don't depend on the process: arrivals, faults, a restart."""
        scenario = self.scenario
        self.after(1.0, self.arrive)
        for number in range(int(scenario.seconds / scenario.fault_every_s)):
            at_ms = scenario.start_ms + (number + self.random.random()) * (
                scenario.fault_every_s * 1_000
            )
            self.at(at_ms, self.start_fault)
        if scenario.outage_at_s is not None:
            self.at(scenario.start_ms + scenario.outage_at_s * 1_000, self.start_outage)
        if scenario.restart_at_s is not None:
            self.at(scenario.start_ms + scenario.restart_at_s * 1_000, self.restart_gateway)
        for number in range(1, int(scenario.seconds / 5)):
            self.at(scenario.start_ms + number * 5_000, self.send_complete_list)
            self.at(scenario.start_ms + number * 5_000 + 1, self.send_ignored_events)

    # -- Gateways and discovery

    def boot(self, gateway: int) -> None:
        settings = {"fleet_size": self.scenario.gateways, **self.scenario.settings}
        settings = settings | {"position": gateway}
        seed = self.scenario.seed * 100 + gateway + self.incarnations[gateway] * 10
        self.lines.append(
            f"boot\ti=gateway/{gateway}\trandom_seed={seed}\tconf={json.dumps(settings)}"
        )
        self.subscribed[gateway] = False
        listed = [engine.entry_line() for engine in self.engines if engine.phase != "D"]
        self.send_list("C", listed, [gateway])

    def restart_gateway(self) -> None:
        self.lines.append("shutdown\ti=gateway/0")
        self.incarnations[0] += 1
        for request in list(self.requests.values()):
            if request.gateway == 0:
                self.drop_request(request)
        self.boot(0)

    def drop_request(self, request: Request) -> None:
        """Drop a request of a gateway that has ended, with its attempts."""
        request.closed = True
        del self.requests[request.identifier]
        for attempt in request.attempts:
            if not attempt.ended:
                attempt.ended = True
                attempt.engine.running.remove(attempt)

    def send_list(self, form: str, entries: list[str], gateways: list[int]) -> None:
        number = next(self.list_numbers)
        list_number = number % LIST_NUMBERS
        self.lines.append(f"define_list\troster_id={list_number}\telements={len(entries)}")
        self.lines += entries
        for gateway in gateways:
            self.lines.append(
                f"update\ti=gateway/{gateway}\tform={form}\tepoch={number}\troster_id={list_number}"
            )

    def subscribers(self) -> list[int]:
        gateways = list(range(self.scenario.gateways))
        if self.scenario.settings.get("membership_mode") != "subscribe":
            return gateways
        return [gateway for gateway in gateways if self.subscribed[gateway]]

    def send_changes(self, *engines: Engine) -> None:
        if self.subscribers():
            self.send_list("D", [engine.entry_line() for engine in engines], self.subscribers())

    def send_complete_list(self) -> None:
        """Send the complete list, without removed engines, to all subscribers."""
        listed = [engine.entry_line() for engine in self.engines if engine.phase != "D"]
        if self.subscribers():
            self.send_list("F", listed, self.subscribers())
        for gateway in self.subscribers():
            if self.scenario.list_failure_share and self.random.random() < 0.5:
                self.subscribed[gateway] = False
                self.lines.append(f"update\ti=gateway/{gateway}\tform=X\tepoch=0\troster_id=0")

    def send_ignored_events(self) -> None:
        """Send events that the wire allows and that have no effect on decisions."""
        last = self.engines[-1].address
        self.lines += [
            "from_peer\ti=gateway/0\tauthor=1\tmsg=68692037",
            "due\ti=gateway/0\ttag=unknown",
            f"started\ti=gateway/0\tmsg_id=unknown\twait_time_ms=1.0\tnode={last}\tn=0",
            f"status_note\ti=gateway/0\tmsg_id=unknown\tn=0\tnode={last}\tsort=9\tamount=1",
            f"returned\ti=gateway/0\tmsg_id=unknown\tn=0\tnode={last}\tdisposition=severed"
            "\twait_time_ms=5.0\tterminal=0",
            "left\ti=gateway/0\tmsg_id=unknown",
            "health_result\ti=gateway/0\twait_time_ms=1.0\tdisposition=completed\tnode=unknown",
        ]
        for request in reversed(self.requests.values()):
            idle = all(attempt.ended for attempt in request.attempts)
            if idle and not request.closed:
                self.lines.append(
                    f"started\ti=gateway/{request.gateway}\tmsg_id={request.identifier}"
                    f"\twait_time_ms=1.0\tnode={last}\tn=0"
                )
                break
        self.send_request(self.scenario.settings["grades"][0], 0, resent=False, deadline_factor=0.0)

    def handle_subscription(self, gateway: int, fields: dict[str, str]) -> None:
        incarnation = self.incarnations[gateway]

        def answer() -> None:
            if incarnation != self.incarnations[gateway]:
                return
            if self.random.random() < self.scenario.list_failure_share:
                self.lines.append(f"update\ti=gateway/{gateway}\tform=X\tepoch=0\troster_id=0")
                return
            self.subscribed[gateway] = True
            self.send_list("F", [engine.entry_line() for engine in self.engines], [gateway])

        self.after(8.0, answer)

    # -- Faults

    def start_outage(self) -> None:
        """Take down more than half of the fleet at once."""
        for engine in self.engines[: len(self.engines) * 2 // 3]:
            self.inject_fault(engine, "down", 2_500.0)

    def start_fault(self) -> None:
        kinds = self.scenario.fault_kinds or FAULT_KINDS
        engine = self.random.choice(self.engines)
        duration_ms = self.random.uniform(600.0, self.scenario.max_fault_ms)
        self.inject_fault(engine, self.random.choice(kinds), duration_ms)

    def inject_fault(self, engine: Engine, kind: str, duration_ms: float) -> None:
        if engine.fault or engine.phase != "U":
            return
        engine.fault = kind
        if kind in ("down", "restart"):
            for attempt in engine.running.copy():
                self.end_attempt(attempt, "severed")
        if kind in ("drain", "remove"):
            engine.phase = "L" if kind == "drain" else "D"
            # Half of the removals appear only in the next complete list.
            if kind == "drain" or self.random.random() < 0.5:
                self.send_changes(engine)
        self.after(duration_ms, lambda: self.end_fault(engine))

    def end_fault(self, engine: Engine) -> None:
        kind, engine.fault = engine.fault, None
        if kind in ("drain", "remove", "restart"):
            engine.phase = "U"
            engine.booted_ms = self.now_ms
            self.send_changes(engine)

    # -- Clients

    def arrive(self) -> None:
        scenario = self.scenario
        elapsed_s = (self.now_ms - scenario.start_ms) / 1_000
        elapsed_share = elapsed_s / scenario.seconds
        rate = scenario.rate * (scenario.burst if 0.4 < elapsed_share < 0.5 else 1.0)
        if elapsed_share < scenario.low_load_from:
            self.after(self.random.expovariate(rate) * 1_000, self.arrive)
        else:
            self.after(self.random.expovariate(scenario.rate / 10) * 1_000, self.arrive)
        grades = scenario.settings["grades"]
        grade = self.random.choices(grades, scenario.mix)[0]
        self.send_request(grade, self.random.randrange(scenario.gateways), resent=False)

    def send_request(
        self, grade: dict, gateway: int, resent: bool, deadline_factor: float = 1.0
    ) -> None:
        """Send a new request of a client."""
        scenario, rng = self.scenario, self.random
        index = scenario.settings["grades"].index(grade)
        threads = (scenario.settings.get("domain", {}).get("parallelism") or [1] * 9)[index]
        work_ms = scenario.work_ms[index] * rng.lognormvariate(0.0, 0.5)
        deadline_ms = (
            self.now_ms + grade["deadline_ms"] * rng.choice((1.0, 1.0, 0.6)) * deadline_factor
        )
        identifier = f"{scenario.seed:08x}-{gateway:04x}-4000-8000-{next(self.identifiers):012x}"
        request = Request(
            identifier, gateway, self.incarnations[gateway], grade, threads, work_ms, deadline_ms
        )
        name = "unknown" if rng.random() < UNKNOWN_CLASS_SHARE else grade["name"]
        line = f"request\ti=gateway/{gateway}\tmsg_id={identifier}\tcls={name}"
        line += f"\tdeadline_ms={deadline_ms:.3f}\ttables={rng.randrange(6)}"
        if scenario.hints and rng.random() < 0.95:
            line += f"\tplan_cost_ms={work_ms * rng.lognormvariate(0.0, 0.2):.3f}\twant_mb=384"
        if grade.get("keep_order") and rng.random() < 0.9:
            line += f"\torder_key=rel-{rng.randrange(scenario.order_keys)}"
        if scenario.settings.get("accounts"):
            tenant = rng.choices(scenario.settings["accounts"], (6, 2, 1))[0]["name"]
            line += f"\tuser_group={tenant}"
        self.requests[identifier] = request
        self.lines.append(line + f"\tresent={int(resent)}\tis_write={int(index == 2)}")
        if rng.random() < DUPLICATE_SHARE:
            self.lines.append(line)
        disconnect_ms = deadline_ms + CLIENT_GRACE_MS
        if rng.random() < EARLY_DISCONNECT_SHARE:
            disconnect_ms = self.now_ms + rng.random() * grade["deadline_ms"] / 2
        self.at(disconnect_ms, lambda: self.disconnect_client(request))

    def disconnect_client(self, request: Request) -> None:
        if not request.closed and not request.streaming:
            request.closed = True
            self.lines.append(f"left\ti=gateway/{request.gateway}\tmsg_id={request.identifier}")

    def handle_final_response(self, gateway: int, fields: dict[str, str]) -> None:
        request = self.requests[fields["msg_id"]]
        if request.closed:
            return
        request.closed = True
        if request.grade["effect"] == "safe" and self.random.random() < CLIENT_RETRY_SHARE:
            wait_ms = float(fields.get("stay_away_ms", 100.0))
            other = self.random.randrange(self.scenario.gateways)
            self.after(wait_ms, lambda: self.send_request(request.grade, other, resent=True))

    def handle_timer(self, gateway: int, fields: dict[str, str]) -> None:
        incarnation = self.incarnations[gateway]

        def fire() -> None:
            if incarnation == self.incarnations[gateway]:
                self.lines.append(f"due\ti=gateway/{gateway}\ttag={fields['tag']}")

        self.after(float(fields["offset_ms"]), fire)

    # -- Attempts

    def handle_attempt(self, gateway: int, fields: dict[str, str]) -> None:
        request = self.requests[fields["msg_id"]]
        engine = next(each for each in self.engines if each.address == fields["node"])
        attempt = Attempt(request, len(request.attempts), engine, self.now_ms)
        request.attempts.append(attempt)
        engine.running.append(attempt)
        until_ms = request.deadline_ms
        if fields.get("timeout_ms"):
            until_ms = min(until_ms, self.now_ms + float(fields["timeout_ms"]))
        if request.closed or self.random.random() < SUPERSEDED_SHARE:
            self.after(0.1, lambda: self.end_attempt(attempt, "superseded"))
            return
        if not request.grade.get("stream"):
            self.at(until_ms, lambda: self.end_attempt(attempt, "overdue"))
        disposition, delay_ms = self.outcome(attempt)
        if disposition is None:
            return
        self.after(delay_ms, lambda: self.end_attempt(attempt, disposition))
        if disposition == "completed":
            self.schedule_progress(attempt, delay_ms)
            if request.grade.get("stream"):
                self.after(delay_ms / 3, lambda: self.start_stream(attempt))

    def outcome(self, attempt: Attempt) -> tuple[str | None, float]:
        """Return how an attempt will end, and after which time; None if it never responds."""
        engine, rng, request = attempt.engine, self.random, attempt.request
        if engine.fault == "down":
            return "refused_conn", rng.uniform(0.3, 40.0)
        if engine.fault == "hung" or rng.random() < self.scenario.lost_response_share:
            return None, 0.0
        overloaded = len(engine.running) > MAX_SESSIONS_PER_CORE * engine.cores
        if overloaded or engine.fault in ("full", "drain", "remove", "restart"):
            return "saturated", 1.0
        if engine.fault == "resetting" and rng.random() < 0.6:
            return "severed", rng.uniform(0.5, 30.0)
        if (engine.fault == "erring" and rng.random() < 0.7) or rng.random() < 0.004:
            return "errored", rng.uniform(0.5, 10.0)
        contention = max(engine.threads() / engine.cores, 1.0)
        slowdown = (
            12.0 if engine.fault == "slow" or rng.random() < self.scenario.slow_attempt_share else 1
        )
        time_ms = request.work_ms / request.threads * contention * slowdown
        return "completed", 0.5 + time_ms * rng.lognormvariate(0.0, 0.25)

    def schedule_progress(self, attempt: Attempt, total_ms: float) -> None:
        interval_ms = self.scenario.settings.get("domain", {}).get("tells_every_ms", 0.0)
        if not interval_ms or total_ms < interval_ms:
            return
        for number in range(1, min(int(total_ms / interval_ms), 12) + 1):
            share = number * interval_ms / total_ms * self.random.uniform(0.8, 1.1)
            kind = self.random.choices((1, 2, 3), (8, 1, 1))[0]
            amount = round(min(share, 1.0), 4) if kind == 1 else kind - 1
            self.after(
                number * interval_ms, lambda s=kind, a=amount: self.send_progress(attempt, s, a)
            )

    def attempt_fields(self, attempt: Attempt) -> str:
        return (
            f"i=gateway/{attempt.request.gateway}\tmsg_id={attempt.request.identifier}"
            f"\tn={attempt.number}\tnode={attempt.engine.address}"
        )

    def send_progress(self, attempt: Attempt, kind: int, amount: float) -> None:
        if not attempt.ended:
            line = f"status_note\t{self.attempt_fields(attempt)}\tsort={kind}\tamount={amount}"
            self.lines.append(line)

    def start_stream(self, attempt: Attempt) -> None:
        if not attempt.ended and not attempt.request.closed:
            attempt.request.streaming = True
            waited_ms = self.now_ms - attempt.sent_ms
            self.lines.append(
                f"started\t{self.attempt_fields(attempt)}\twait_time_ms={waited_ms:.3f}"
            )

    def handle_cancel(self, gateway: int, fields: dict[str, str]) -> None:
        attempt = self.requests[fields["msg_id"]].attempts[int(fields["n"])]
        if not attempt.request.streaming:
            self.after(self.random.uniform(0.2, 4.0), lambda: self.end_attempt(attempt, "recalled"))

    def end_attempt(self, attempt: Attempt, disposition: str) -> None:
        """Send the end of an attempt, unless it has ended already."""
        request, engine = attempt.request, attempt.engine
        if attempt.ended or request.incarnation != self.incarnations[request.gateway]:
            return
        attempt.ended = True
        engine.running.remove(attempt)
        if disposition == "completed" or request.streaming:
            request.closed = True
        line = f"returned\t{self.attempt_fields(attempt)}\tdisposition={disposition}"
        line += (
            f"\twait_time_ms={self.now_ms - attempt.sent_ms:.3f}\tterminal={int(request.closed)}"
        )
        if disposition == "completed" and self.scenario.costs_in_answers:
            line += f"\tstats={int(request.work_ms) * 4096 + 96}"
        if self.scenario.reports == "answers" and disposition in ("completed", "errored"):
            line += f"\tload={self.report(engine)}"
        self.lines.append(line)

    # -- Probes and reports

    def report(self, engine: Engine) -> str:
        noise = self.random.uniform(0.9, 1.1)
        load = len(engine.running) + self.scenario.load_of_others
        values = {
            "concurrent": round(load * noise),
            "depth": max(round(load - engine.cores), 0),
            "load_share": round(min(load / engine.cores, 1.0) * noise, 3),
            "x0": 0.25,
            "mean_ms": 40.0,
            "new_value": 1.5,
        }
        chosen = [f"{name}:{values[name]}" for name in self.scenario.report_fields]
        return ",".join(chosen) or "-"

    def handle_probe(self, gateway: int, fields: dict[str, str]) -> None:
        engine = next(each for each in self.engines if each.address == fields["node"])
        incarnation, sent_ms = self.incarnations[gateway], self.now_ms
        delay_ms = self.random.uniform(0.5, 8.0)
        disposition = "completed"
        if engine.fault == "hung":
            disposition, delay_ms = "overdue", PROBE_TIMEOUT_MS
        elif engine.fault == "down":
            disposition = "refused_conn"
        elif (
            self.scenario.slow_probe_share and self.random.random() < self.scenario.slow_probe_share
        ):
            delay_ms = 400.0

        def answer() -> None:
            if incarnation != self.incarnations[gateway]:
                return
            line = f"health_result\ti=gateway/{gateway}\twait_time_ms={self.now_ms - sent_ms:.3f}"
            line += f"\tdisposition={disposition}\tnode={engine.address}"
            if disposition == "completed":
                line += f"\tload={self.report(engine)}"
            self.lines.append(line)

        self.after(delay_ms, answer)


def record(scenario: Scenario, program: Path) -> tuple[bytes, bytes]:
    """Play a scenario against a version; return the input and the output."""
    process = Process(program)
    World(scenario, process).play()
    process.close()
    return b"".join(process.written), b"".join(process.read)


def main() -> None:
    """Record the scenarios, and write the digests of their input and output."""
    parser = argparse.ArgumentParser(description="Record inputs of the text wire.")
    parser.add_argument("--program", type=Path, required=True, help="checkout of the version")
    parser.add_argument("scenarios", nargs="*", help="names; all where none is given")
    args = parser.parse_args()
    digests = json.loads(DIGESTS.read_text()) if DIGESTS.exists() else {}
    for scenario in SCENARIOS:
        if args.scenarios and scenario.name not in args.scenarios:
            continue
        written, read = record(scenario, args.program)
        digests[scenario.name] = {
            "input_sha256": hashlib.sha256(written).hexdigest(),
            "output_sha256": hashlib.sha256(read).hexdigest(),
        }
        for kind, data in (("input", written), ("output", read)):
            packed = lzma.compress(data, preset=9 | lzma.PRESET_EXTREME)
            (RECORDED / f"wire-{scenario.name}-{kind}.xz").write_bytes(packed)
        print(scenario.name, written.count(b"\n"), "lines in,", read.count(b"\n"), "lines out")
    DIGESTS.write_text(json.dumps(digests, indent=2, sort_keys=True) + "\n")


if __name__ == "__main__":
    main()
