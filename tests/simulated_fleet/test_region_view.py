"""Tests that the broker's codec reads the answers of a region's control machines."""

from __future__ import annotations

import json

from umberusher.decisions.events import EndpointState
from umberusher.protocol import discovery as codec
from umberusher.simulated_fleet.region_view import PollAnswer, RegionView
from umberusher.simulated_fleet.update_history import EndpointEntry, EntryState, UpdateHistory


def read(answer: PollAnswer, known_revision: int) -> list[codec.WatchEvent]:
    return codec.watch_events(json.loads(answer.body), known_revision)


def test_answer_contains_new_updates_or_the_complete_list():
    history = UpdateHistory()
    view = RegionView(history)
    entries = [EndpointEntry(f"e{n}", EntryState.SERVING, "z0", "k") for n in range(3)]
    history.add(entries, 0.0, complete=True)
    history.add([EndpointEntry("e1", EntryState.DELETED, "z0", "k")], 0.0)
    view.advance(1)
    first = view.answer(0)
    assert first.complete
    assert [len(event.entries) for event in read(first, 0)] == [3]
    view.advance(2)
    second = view.answer(1)
    (event,) = read(second, 1)
    assert not second.complete
    assert event.revision == 2
    assert event.entries[0].state is EndpointState.REMOVED
    (complete_list,) = read(view.answer(0), 0)
    assert complete_list.complete
    assert complete_list.revision == 2
    assert {entry.engine for entry in complete_list.entries} == {"e0", "e2"}
    assert read(view.answer(2), 2) == []


def test_answer_contains_the_complete_list_when_a_broker_is_too_far_behind():
    history = UpdateHistory()
    view = RegionView(history)
    for number in range(9_000):
        history.add([EndpointEntry("e", EntryState.SERVING, "z0", "k", weight=number)], 0.0)
    view.advance(9_000)
    assert view.answer(1).complete
    assert not view.answer(8_000).complete
