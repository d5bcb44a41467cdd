"""Guards against stale columns when a slot of the directory is reused or an address changes."""

from __future__ import annotations

from tests.endpoints.harness import (
    endpoint_update,
)
from umberusher.endpoints.directory import STATE_UP, EndpointDirectory


def test_directory_returns_what_was_put_and_reuses_slots():
    directory = EndpointDirectory()
    first = endpoint_update(1, started_ms=5.0, weight=2.0)
    moved = directory.put(first, ("h", 1), 6.0)
    slot = directory.slots["e00001"]
    directory.set_state(slot, STATE_UP)
    assert (
        not moved
        and directory["e00001"].last_update == first
        and directory["e00001"].address == ("h", 1)
    )
    assert directory.put(first, ("h", 2), 6.0) is True and directory.slots["e00001"] == slot
    assert directory.put(first, None, 6.0) is False and directory.slots["e00001"] == slot
    assert (
        directory.remove("e00001") == slot
        and directory.remove("e00001") is None
        and not directory.up_count_by_group
    )
    directory.put(endpoint_update(2), None, 0.0)
    assert (
        directory.slots["e00002"] == slot
        and directory.started_ms[slot] == 0.0
        and len(directory) == 1
    )
