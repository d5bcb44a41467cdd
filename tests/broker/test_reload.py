"""Reload of the configuration: which changes apply at once, and which need a restart."""

from __future__ import annotations

import copy


def test_reload_logs_that_a_restart_is_needed_when_more_than_discovery_has_changed(rig, caplog):
    caplog.set_level("INFO", logger="umberusher.broker.reload")
    rig = rig()
    changed = copy.deepcopy(rig.broker.config)
    changed.listen = ("127.0.0.1", 1)
    rig.broker.reloader.load_config = lambda: changed
    rig.broker.request_reload()
    rig.advance_ms(120)
    host, port = changed.discovery
    assert [record.getMessage() for record in caplog.records] == [
        f"config_reloaded discovery={host}:{port}",
        "config_restart_required applied=discovery_address",
    ]
