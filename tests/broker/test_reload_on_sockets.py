"""Reload of the configuration with a discovery service on sockets."""

from __future__ import annotations

import copy

from umberusher import config


def test_reload_moves_the_poll_at_once_and_keeps_the_revision(rig):
    rig = rig()
    rig.listeners["other"] = rig._listen()
    fresh = copy.deepcopy(rig.broker.config)
    fresh.discovery = rig.listeners["other"].getsockname()
    rig.broker.reloader.load_config = lambda: fresh
    rig.broker.request_reload()
    rig.advance_ms(120)
    rig.expect(rig.accept("other"), b"GET /board/poll?watch=1&linger=")
    rig.until(lambda: rig.discovery_peer.read() is not None and rig.discovery_peer.ended)


def test_reload_changes_nothing_when_configuration_is_malformed(rig, caplog):
    rig = rig()

    def broken():
        raise config.ConfigError("lacks 'board'")

    rig.broker.reloader.load_config = broken
    rig.broker.request_reload()
    rig.advance_ms(120)
    assert [r.getMessage() for r in caplog.records if r.levelname == "ERROR"] == [
        "config_reload_failed reason=lacks 'board'"
    ]
    assert (
        not rig.discovery_peer.ended
        and rig.broker.discovery.watches[0].connection.state.value == "open"
    )
