"""The endpoint list that is handed over."""

from __future__ import annotations

import json

from umberusher.decisions.events import EndpointState, EndpointUpdate
from umberusher.protocol import discovery as discovery_protocol


def test_endpoint_list_is_read_back_as_complete_watch_event():
    entry = EndpointUpdate("s-0", EndpointState.DRAINING, "std-8", "room-a", 1, 4.0, 7.0)
    (event,) = discovery_protocol.watch_events(
        json.loads(
            "".join(discovery_protocol.encode_endpoint_list(9, [(entry, ("127.0.0.1", 80))]))
        ),
        0,
    )
    assert event.complete and event.revision == 9 and event.entries == (entry,)
    assert event.addresses == {"s-0": ("127.0.0.1", 80)}
