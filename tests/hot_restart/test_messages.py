"""The encoding and decoding of the messages between the processes of one broker."""

from __future__ import annotations

import json

import pytest

from umberusher.decisions.events import EndpointState, EndpointUpdate
from umberusher.hot_restart.messages import (
    CallAnswer,
    CallDisconnect,
    ClientPacket,
    EndpointChange,
    EndpointSnapshot,
    Greeting,
    ManualDrainChange,
    ResourceUsage,
    SnapshotRequest,
    SuccessorReady,
    TeamBudgets,
    UsageReport,
    VersionAnnouncement,
    decode,
    encode,
    encode_endpoint_change,
    encode_endpoint_snapshot,
    encode_greeting,
)
from umberusher.protocol.discovery import WatchEvent, encode_endpoint_list

LINES = [
    (UsageReport(ResourceUsage(20.5, 3, 4)), b'{"use": [20.5, 3, 4]}\n'),
    (VersionAnnouncement(2), b'{"reads": 2}\n'),
    (ManualDrainChange("s-0", 7.0), b'{"ban": ["s-0", 7.0]}\n'),
    (ManualDrainChange("s-0", None), b'{"ban": ["s-0", null]}\n'),
    (CallAnswer(1, 9, b"rows"), b'{"answer": [1, 9, "cm93cw=="]}\n'),
    (CallDisconnect(1, 9), b'{"leave": [1, 9]}\n'),
    (TeamBudgets({"later": {}}), b'{"teams": {"later": {}}}\n'),
    (SuccessorReady(), b'{"ready": true}\n'),
]


@pytest.mark.parametrize(("message", "line"), LINES)
def test_message_is_written_as_its_line_and_read_back(message, line):
    assert encode(message) == line
    assert decode(line) == [message]


def test_snapshot_request_names_the_local_revision_when_written():
    assert encode(SnapshotRequest(4)) == b'{"ask": 4}\n'
    assert decode(b'{"ask": 4}\n') == [SnapshotRequest()]


def test_usage_is_rounded_to_tenths_of_a_megabyte_when_written():
    assert encode(UsageReport(ResourceUsage(20.27, 0, 0))) == b'{"use": [20.3, 0, 0]}\n'


def test_messages_of_one_line_are_read_in_the_order_in_which_they_take_effect():
    line = b'{"ready": true, "teams": {"a": 1}, "unknown": 1, "reads": 2, "use": [1, 2, 3]}'
    assert decode(line) == [
        UsageReport(ResourceUsage(1.0, 2, 3)),
        VersionAnnouncement(2),
        TeamBudgets({"a": 1}),
        SuccessorReady(),
    ]


@pytest.mark.parametrize("line", [b'{"ready": 1}', b'{"teams": []}', b"{}"])
def test_line_without_a_usable_message_is_ignored(line):
    assert decode(line) == []


def test_version_that_is_no_number_counts_as_the_first():
    assert decode(b'{"reads": "2"}') == [VersionAnnouncement(1)]


@pytest.mark.parametrize(
    "line",
    [b"{]", b"[]", b'{"use": [1]}', b'{"ban": 3}', b'{"notice": {}}', b'{"answer": [1, 2, "?"]}'],
)
def test_malformed_line_raises(line):
    with pytest.raises((ValueError, KeyError, TypeError)):
        decode(line)


def test_endpoint_list_stays_json_when_read():
    assert decode(b'{"known": {"rev": 3}}') == [EndpointSnapshot({"rev": 3})]
    line = b'{"notice": {"rev": 3}, "follows": 2}'
    assert decode(line) == [EndpointChange({"rev": 3}, 2)]


def test_endpoint_list_is_written_in_the_format_of_the_discovery_service():
    entry = EndpointUpdate("s-0", EndpointState.UP)
    endpoint_list = encode_endpoint_list(3, [(entry, ("127.0.0.1", 80))])
    line = b"".join(encode_endpoint_snapshot(endpoint_list))
    assert line.endswith(b"\n")
    (event,) = json.loads(line)["known"]["notices"]
    assert event["rev"] == 3
    assert event["pool"]["instances"][0]["instanceId"] == "s-0"
    change = WatchEvent(4, False, (entry,), {"s-0": ("127.0.0.1", 80)})
    line = b"".join(encode_endpoint_change(change, 3))
    assert line.startswith(b'{"follows":3,"notice":{"rev":4,')


def test_greeting_is_read_back_without_its_endpoint_list():
    greeting = Greeting(["s-9"], {"s-0": 1.0}, {"s-1": 2.0}, {"a": {}})
    fields = json.loads(b"".join(encode_greeting(greeting, ['{"rev":0}'])))["hello"]
    assert fields["known"] == {"rev": 0}
    assert Greeting.from_json(fields) == greeting


def test_greeting_of_an_older_version_has_no_budgets_and_reads_the_first_version():
    greeting = Greeting.from_json({"seen": [], "banned": {}, "fresh": {}})
    assert greeting.teams == {}
    assert greeting.version == 1


def test_client_packet_is_read_back():
    packet = ClientPacket(3, [5, 6])
    assert packet.encode() == b'{"client": 3, "open": [5, 6]}'
    assert ClientPacket.decode(packet.encode()) == packet


@pytest.mark.parametrize("packet", [b"{]", b"[]", b'{"client":1}', b'{"client":1,"open":["x"]}'])
def test_malformed_client_packet_raises(packet):
    with pytest.raises((ValueError, KeyError, TypeError)):
        ClientPacket.decode(packet)
