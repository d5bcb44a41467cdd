"""Guards against misread replies of engines: in pieces, malformed, or without a number."""

from __future__ import annotations

import pytest

from umberusher.decisions.events import LoadReport
from umberusher.net.ring import RingBuffer
from umberusher.protocol import engine


@pytest.mark.parametrize("size", [1, 3, 1000])
def test_next_reply_reads_replies_when_they_arrive_in_pieces(size):
    ring, replies = RingBuffer(10_000), []
    data = b"a HIT count=2 4\r\nx\ty\n\r\nb SHED - 0\r\n\r\nt PONG rep=inflight:7;x0:0.4\r\na PART pos=1 0\r\n\r\n"
    for position in range(0, len(data), size):
        ring.write(data[position : position + size])
        while (reply := engine.next_reply(ring)) is not None:
            replies.append((reply.id, reply.kind, reply.fields, reply.body))
    assert replies == [
        ("a", "HIT", {"count": "2"}, b"x\ty\n"),
        ("b", "SHED", {}, b""),
        ("t", "PONG", {"rep": "inflight:7;x0:0.4"}, b""),
        ("a", "PART", {"pos": "1"}, b""),
    ]
    assert engine.report(replies[2][2]) == LoadReport(in_flight=7.0, memory_share=0.4)


@pytest.mark.parametrize(
    "data", [b"a HIT - 999999999\r\n", b"x\r\n", b"a HIT - 1\r\nabc", b"\xff \xfe\r\n", b"y" * 5000]
)
def test_next_reply_raises_when_bytes_are_malformed(data):
    ring = RingBuffer(10_000)
    ring.write(data)
    with pytest.raises(engine.MalformedReplyError):
        engine.next_reply(ring)


@pytest.mark.parametrize(
    ("command", "wire"),
    [
        (engine.cancel("a1"), b"STOP a1\r\n"),
        (engine.set_priority("a1", 2), b"NICE a1 2\r\n"),
        (engine.fetch_page("a1", 3), b"FETCH a1 3\r\n"),
        (engine.release_result("a1"), b"END a1\r\n"),
        (engine.ping("h7"), b"HELO h7\r\n"),
        (engine.query_load("p8"), b"STAT p8\r\n"),
        (engine.request("a1", "load", 0.4, b"q"), b"REQ a1 lane=load,ttl=1 1\r\nq\r\n"),
        (
            engine.request("a1", "load", 9.9, b"q", 2, "k"),
            b"REQ a1 lane=load,ttl=9,order=2,dedupe=k 1\r\nq\r\n",
        ),
    ],
)
def test_command_has_the_bytes_of_the_protocol_when_encoded(command, wire):
    assert command == wire


@pytest.mark.parametrize("text", ["", "-1", "x", "1" * 9])
def test_page_numbers_are_0_when_absent_or_no_number(text):
    assert engine.page_count({"count": text}) == engine.page_number({"pos": text}) == 0
    assert engine.page_count({}) == engine.page_number({}) == 0


def test_next_reply_parses_the_fields_once_when_the_page_arrives_in_pieces(monkeypatch):
    """The fields of a line were parsed again for each piece of the page behind it."""
    parsed = []
    parse_fields = engine._parse_fields
    monkeypatch.setattr(engine, "_parse_fields", lambda t: parsed.append(t) or parse_fields(t))
    ring = RingBuffer(10_000)
    reply = None
    for value in b"q1 HIT count=1 3\r\na\tb\r\n":
        ring.write(bytes((value,)))
        reply = engine.next_reply(ring)
    assert (reply.body, parsed) == (b"a\tb", ["count=1"])
