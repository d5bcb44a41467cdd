"""Guards against a checker that misses defects: each test injects one into a broker or an engine."""

from __future__ import annotations

from tests.replay.plans import plan_of
from umberusher.endpoints import registry as endpoint_registry
from umberusher.endpoints.directory import STATE_UP
from umberusher.frontend.response_sink import ThriftResponseSink
from umberusher.pipeline import request_registry
from umberusher.protocol import thrift
from umberusher.replay import site
from umberusher.replay.faults import Fault, FaultKind
from umberusher.replay.options import ReplayOptions
from umberusher.replay.replay import Replay, run_replay
from umberusher.standin.answer_writer import AnswerWriter
from umberusher.traces.plan import Plan


def play_breaches(options: ReplayOptions, plan: Plan | None = None) -> dict[str, int]:
    result = run_replay(plan or plan_of(4.0), options)
    assert result["rules_broken"]
    return result["breaches"]


def test_checker_finds_second_answer_to_one_request(monkeypatch):
    original = thrift.encode_answer
    monkeypatch.setattr(
        thrift,
        "encode_answer",
        lambda name, *arguments: original(name, *arguments) * (2 if name == "execute" else 1),
    )
    assert "answered once" in play_breaches(ReplayOptions(engine_count=4))


def test_checker_finds_resent_load(monkeypatch):
    monkeypatch.setattr(
        request_registry, "outcome_of", lambda fault: request_registry.AttemptOutcome.NO_CONNECTION
    )  # treats attempts that may have run as never run
    resets = [Fault(FaultKind.RESET, f"n-{number % 4}", 0.3 + number / 5) for number in range(15)]
    assert "unsafe work once" in play_breaches(ReplayOptions(engine_count=4, faults=resets))


def test_checker_finds_late_send_to_draining_engine(monkeypatch):
    monkeypatch.setattr(
        endpoint_registry.EndpointRegistry,
        "_update_state",
        lambda self, slot: self.directory.set_state(slot, STATE_UP),
    )
    assert set(
        play_breaches(ReplayOptions(engine_count=3, faults=[Fault(FaultKind.DRAIN, "n-1", 0.5)]))
    ) == {"drains"}


def test_checker_finds_broken_key_order(monkeypatch):
    original = site.settings

    def unordered(*arguments):
        settings = original(*arguments)
        settings["grades"] = [dict(grade, keep_order=False) for grade in settings["grades"]]
        return settings

    monkeypatch.setattr(site, "settings", unordered)
    assert "key order" in play_breaches(ReplayOptions(engine_count=4), plan_of(4.0, keys=1))


def test_checker_finds_result_that_no_engine_sent(monkeypatch):
    original = AnswerWriter.write_result
    monkeypatch.setattr(
        AnswerWriter,
        "write_result",
        lambda self, connection, data: original(
            self, connection, data.replace(b"\t0\t", b"\t7\t", 1)
        ),
    )
    assert "served what an engine made" in play_breaches(ReplayOptions(engine_count=4))


def test_replay_counts_expired_request_when_no_answer_comes(monkeypatch):
    monkeypatch.setattr(ThriftResponseSink, "send_rejection", lambda self, backoff_ms: None)
    replay = Replay(plan_of(4.0, 400.0), ReplayOptions(engine_count=1, max_client_retries=0))
    replay.play()
    assert (
        replay.document()["answers"]["expired"] > 0
    )  # its client gives up at its deadline, which is no breach
