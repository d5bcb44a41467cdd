"""The framing of messages between the processes of one broker."""

from __future__ import annotations

import json

from tests.hot_restart.processes import broker_with_successor


def test_message_in_pieces_is_read_and_one_without_end_disconnects(rig, tmp_path):
    made, new = broker_with_successor(rig, tmp_path)
    peer = made.broker.hot_restart.peers[0]
    line = (
        json.dumps({"ban": ["s-0", 1.0]}).encode()
        + b"\n"
        + json.dumps({"ban": ["s-0", None]}).encode()
        + b"\n"
    )
    for at in range(0, len(line), 7):
        peer.link.receive(line[at : at + 7])
    assert (
        "s-0" not in made.broker.endpoints.manual_drains
        and not peer.link._partial_line
        and "s-0" in made.broker.endpoints.directory
    )
    peer.link.max_message_bytes = 2000
    peer.link.receive(b"x" * 2001)
    assert not made.broker.hot_restart.peers
