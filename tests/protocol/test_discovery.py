"""Tests of the codec of the discovery service.

Guards against one malformed entry or field that discards a whole watch event, against malformed
documents that are accepted, and against lists that need more memory than the limit allows.
"""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.protocol.discovery_answers import ENDPOINT_ITEM_BYTES, answer_body, endpoint_item
from umberusher.decisions.events import EndpointState
from umberusher.protocol import discovery as codec

ALIKE = settings(deadline=None, derandomize=True, database=None, max_examples=150)


def test_watch_events_returns_newer_events_in_order_without_unreadable_entries():
    good = {
        "instanceId": "s-1",
        "hostPort": "127.0.0.1:5",
        "lifecycle": "SERVING",
        "startedAtMs": 0,
    }
    notices = [
        {"rev": rev, "pool": {"reset": rev == 1, "instances": [good, {"instanceId": "s-2"}]}}
        for rev in (3, 2, 1)
    ]
    events = codec.watch_events({"notices": notices}, 1)
    assert [(n.revision, n.complete, len(n.entries), n.skipped) for n in events] == [
        (2, False, 1, 1),
        (3, False, 1, 1),
    ]
    assert (
        events[0].addresses == {"s-1": ("127.0.0.1", 5)} and events[0].entries[0].started_ms is None
    )


@ALIKE
@given(st.binary(max_size=120))
def test_watch_events_rejects_any_bytes_but_none(noise):
    if noise:
        with pytest.raises(codec.DiscoveryProtocolError):
            codec.watch_events({"notices": noise}, 0)
    else:
        assert codec.watch_events({"notices": noise}, 0) == []


@pytest.mark.parametrize(("memory_mb", "entries"), [(32, 1_024), (192, 32_000), (256, 32_000)])
def test_max_answer_bytes_follows_the_memory_limit(memory_mb, entries):
    assert (
        entries * ENDPOINT_ITEM_BYTES
        <= codec.max_answer_bytes(memory_mb)
        <= memory_mb * 1e6 * codec.LIST_MEMORY_FRACTION / 4
    )


def test_watch_events_shares_ids_zones_and_kinds_between_lists():
    one, two = (
        codec.watch_events(json.loads(answer_body(1, [endpoint_item(5)])), 0)[0].entries[0]
        for _ in range(2)
    )
    assert one.engine is two.engine and one.zone is two.zone and one.kind is two.kind


def test_watch_events_accepts_an_unreadable_complete_list_when_a_later_one_is_readable():
    notices = [
        {"rev": rev, "pool": {"reset": True, "instances": raw}}
        for rev, raw in ((1, [{}]), (2, [endpoint_item(1)]))
    ]
    assert [len(each.entries) for each in codec.watch_events({"notices": notices}, 0)][-1] == 1
    with pytest.raises(codec.DiscoveryProtocolError):
        codec.watch_events({"notices": notices[:1]}, 0)


@pytest.mark.parametrize("fields", [{"weight": 10**400}, {"startedAtMs": 10**400}, {"cell": True}])
def test_watch_events_drops_only_the_number_when_it_is_too_large(fields):
    (event,) = codec.watch_events(
        json.loads(answer_body(1, [endpoint_item(1, "DRAINING") | fields])), 0
    )
    assert event.entries[0].state is EndpointState.DRAINING and not event.skipped
