"""Tests of the discovery client with a service whose answers are unusable, late or too long.

Guards against polls and log lines in a tight loop, against a lost endpoint list, and against
clients that reconnect at the same time. Polls, log lines and bytes are counted, not timed.
"""

from __future__ import annotations

from random import Random

import pytest

from tests.protocol.discovery_answers import answer_body, endpoint_item, http_answer
from umberusher.decisions.events import EndpointState
from umberusher.protocol.discovery_poll import PollClient


def warnings(caplog) -> list[str]:
    return [
        record.getMessage() for record in caplog.records if record.levelname in ("WARNING", "ERROR")
    ]


LONG = b"HTTP/1.1 200 OK\r\nContent-Length: 90000000\r\n\r\n"


CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    + b"100000\r\n"
    + b" " * (1 << 20)
    + b"\r\n"
)


def test_client_backs_off_and_logs_once_when_list_is_too_long(scripted, caplog):
    """The client once polled again at once without end, and logged a line for each answer."""
    discovery = scripted(LONG, revision=7)
    discovery.advance(3600)
    assert (
        60 <= len(discovery.polled_at_s) <= 140 and discovery.revision == 7 and not discovery.events
    )
    assert len(warnings(caplog)) == 1 and "too long" in warnings(caplog)[0]
    last_waits = [
        after - before
        for before, after in zip(discovery.polled_at_s, discovery.polled_at_s[1:], strict=False)
    ][-20:]
    assert min(last_waits) >= 29 and max(last_waits) <= 61


def test_client_disconnects_at_once_when_content_length_is_too_long(scripted):
    discovery = scripted(LONG)
    discovery.until(lambda: discovery.polled_at_s)
    started_s = discovery.now
    discovery.until(lambda: not discovery.client.watches, 50)
    assert discovery.now == started_s


def test_client_stops_reading_at_the_limit_when_length_is_not_announced(scripted, caplog):
    discovery = scripted(CHUNKED * 1 + b"".join([b"100000\r\n" + b" " * (1 << 20) + b"\r\n"] * 11))
    discovery.until(lambda: discovery.polled_at_s)
    discovery.until(lambda: not discovery.client.watches)
    assert len(warnings(caplog)) == 1 and "too long" in warnings(caplog)[0] and not discovery.events


UNUSABLE_ANSWERS = {
    "not JSON": http_answer(b"{]"),
    "status": http_answer(b"{}", b"503 busy"),
    "malformed": http_answer(b'{"notices": 7}'),
    "number": http_answer(b'{"notices":[{"rev":1e999,"pool":{"instances":[]}}]}'),
    "nested": http_answer(b"[" * 50_000),
    "no HTTP": b"NONSENSE\r\n\r\n",
    "unreadable": http_answer(answer_body(9, [{"instanceId": "db-1"}, {"lifecycle": "SERVING"}])),
}


@pytest.mark.parametrize("fault", UNUSABLE_ANSWERS)
def test_client_backs_off_and_keeps_the_known_list_when_answer_is_unusable(scripted, caplog, fault):
    discovery = scripted(UNUSABLE_ANSWERS[fault], revision=7)
    discovery.advance(600)
    assert (
        120 <= len(discovery.polled_at_s) <= 260
        and discovery.revision == 7
        and not discovery.events
    )
    assert len(warnings(caplog)) == 1
    discovery.reply = http_answer(answer_body(8, [endpoint_item(1)]))
    discovery.advance(5.1)  # longer than the maximum wait of 5 s
    assert discovery.revision == 8
    discovery.reply = UNUSABLE_ANSWERS[fault]
    discovery.advance(60)
    assert len(warnings(caplog)) == 2  # logged again after a usable answer


def test_client_logs_each_cause_once_when_two_alternate(scripted, caplog):
    discovery = scripted(UNUSABLE_ANSWERS["status"], revision=7)
    for _ in range(6):
        discovery.advance(20)
        discovery.reply = (
            UNUSABLE_ANSWERS["malformed"]
            if discovery.reply == UNUSABLE_ANSWERS["status"]
            else UNUSABLE_ANSWERS["status"]
        )
    assert len(warnings(caplog)) == 2


@pytest.mark.parametrize(("count", "min_polls", "max_polls"), [(1, 60, 260), (1_000, 8, 40)])
def test_client_backs_off_and_logs_once_when_revision_regresses(
    scripted, caplog, count, min_polls, max_polls
):
    discovery = scripted(
        http_answer(answer_body(3, [endpoint_item(n) for n in range(count)])), revision=7
    )
    discovery.advance(600)
    assert (
        min_polls <= len(discovery.polled_at_s) <= max_polls
        and discovery.revision == 7
        and not discovery.events
    )
    assert len(warnings(caplog)) == 1 and "discovery_revision_regressed" in warnings(caplog)[0]
    discovery.reply = http_answer(answer_body(8, [endpoint_item(1)]))
    discovery.advance(61)
    assert discovery.revision == 8


def test_client_backs_off_when_service_closes_after_each_answer(scripted, caplog):
    discovery = scripted(
        b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 22\r\n\r\n"
        + b'{"rev":7,"notices":[]}',
        revision=7,
    )
    discovery.advance(60)
    assert 100 <= len(discovery.polled_at_s) <= 320 and not warnings(caplog)


def test_client_reconnects_with_growing_jittered_waits_when_connect_fails(
    scripted, caplog, monkeypatch
):
    attempt_times = {}
    for seed in range(3):
        discovery = scripted(b"", listens=False)
        discovery.client.random = Random(seed)
        started_s, start, times_s = (
            discovery.now,
            discovery.client.start,
            attempt_times.setdefault(seed, []),
        )
        monkeypatch.setattr(
            discovery.client,
            "start",
            lambda times_s=times_s, discovery=discovery, started_s=started_s, start=start: (
                times_s.append(discovery.now - started_s),
                start(),
            ),
        )
        discovery.client._disconnect()
        discovery.client.backoff.reset()
        discovery.client.start()
        discovery.advance(10)
    max_times_s = [0.0, 0.0, 0.05, 0.15, 0.35, 0.75]
    for times_s in attempt_times.values():
        assert (
            all(
                time_s <= max_time_s + 0.002
                for time_s, max_time_s in zip(times_s, max_times_s, strict=False)
            )
            and 24 <= len(times_s) <= 60
        )
    assert len({tuple(times_s[3:]) for times_s in attempt_times.values()}) == 3
    assert len(warnings(caplog)) == 3  # one for each client


def test_client_jitters_polls_when_list_is_too_long(scripted):
    times = []
    for seed in range(3):
        discovery = scripted(LONG)
        discovery.client.random = Random(seed)
        discovery.advance(600)
        times.append(tuple(round(time_s, 1) for time_s in discovery.polled_at_s[8:]))
    assert len(set(times[0]) & set(times[1]) & set(times[2])) <= 1


def test_client_reads_a_list_of_32_000_entries(scripted):
    discovery = scripted(http_answer(answer_body(1, [endpoint_item(n) for n in range(32_000)])))
    discovery.until(lambda: discovery.events)
    assert (
        len(discovery.events[0].entries) == len(discovery.events[0].addresses) == 32_000
        and len(discovery.polled_at_s) == 1
    )


def test_client_keeps_the_last_entry_and_logs_once_when_engines_are_repeated(scripted, caplog):
    discovery = scripted(
        http_answer(
            answer_body(
                4,
                [
                    endpoint_item(1),
                    endpoint_item(2),
                    endpoint_item(1, "DRAINING", 6000),
                    endpoint_item(2, port=7000),
                    endpoint_item(3),
                ],
            )
        )
    )
    discovery.until(lambda: discovery.events)
    event = discovery.events[0]
    assert [(each.engine[:8], each.state) for each in event.entries] == [
        ("db-00001", EndpointState.DRAINING),
        ("db-00002", EndpointState.UP),
        ("db-00003", EndpointState.UP),
    ]
    assert [address[1] for address in event.addresses.values()] == [6000, 7000, 5000]
    assert warnings(caplog) == ["watch_event_repeats_entries revision=4 superseded=2"]


def test_client_delivers_and_logs_an_empty_complete_list(scripted, caplog):
    discovery = scripted(http_answer(answer_body(4, [])), revision=3)
    discovery.until(lambda: discovery.events)
    assert discovery.revision == 4 and discovery.events[0].complete
    assert warnings(caplog) == ["watch_event_empties_list revision=4"]


def test_client_reads_a_long_answer_in_large_parts(scripted, monkeypatch):
    """Reads of 64 bytes took 100,000 iterations of the event loop for the longest list."""
    discovery, parts = (
        scripted(http_answer(answer_body(1, [endpoint_item(n) for n in range(8_000)]))),
        [],
    )
    feed = PollClient.feed
    monkeypatch.setattr(
        PollClient, "feed", lambda self, data: (parts.append(len(data)), feed(self, data))[1]
    )
    discovery.until(lambda: discovery.events or len(parts) > 2_000)
    assert discovery.events and len(parts) < 400


@pytest.mark.parametrize(("rate", "is_received"), [(1_500_000, True), (2_000, False)])
def test_client_awaits_a_slow_answer_but_not_a_trickle(scripted, rate, is_received):
    discovery = scripted(http_answer(answer_body(1, [endpoint_item(n) for n in range(8_000)])))
    remaining, discovery.reply = discovery.reply, b""
    discovery.until(lambda: discovery.polled_at_s)
    step = rate // 20
    while remaining and discovery.client.watches and discovery.now < 1010:
        for sock in discovery.unsent:
            discovery.unsent[sock] += remaining[:step]
        remaining = remaining[step:]
        discovery.settle(20)
        discovery.now += 0.05
    assert len(discovery.events) == is_received and (not remaining) == is_received
