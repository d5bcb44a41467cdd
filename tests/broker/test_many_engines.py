"""Long endpoint lists through a whole broker."""

from __future__ import annotations

import json

import pytest

from tests.test_config import CONF
from umberusher import config
from umberusher.endpoints import manual_drains


def engines_event(rig, count: int, state: str = "SERVING", reset: bool = False):
    """Return a watch event with ``count`` engines, all at one address."""
    return rig.notice(*[(f"e-{number:05d}", "s-0", state) for number in range(count)], reset=reset)


@pytest.mark.parametrize("count", [1024, 5000])
def test_long_list_loads_and_changes_without_an_engine_left_out(rig, count):
    rig = rig()
    broker = rig.broker
    broker.endpoints.apply(engines_event(rig, count, reset=True))
    assert len(broker.endpoints.directory) == len(broker.balancer.up) == count
    broker.endpoints.apply(engines_event(rig, count // 2, "DRAINING"))
    assert len(broker.balancer.up) == count - count // 2
    broker.endpoints.apply(engines_event(rig, count // 2, "DELETED"))
    assert len(broker.endpoints.directory) == len(broker.balancer.engines) == count - count // 2
    broker.endpoints.apply(engines_event(rig, count, reset=True))
    assert len(broker.balancer.up) == count
    known = config.parse(
        CONF | {"known": json.loads("".join(broker.restart_host.endpoint_list()))}
    ).initial_endpoints
    assert len(known[0].entries) == count and not known[0].skipped


def test_successor_receives_a_long_list_complete(rig, tmp_path):
    old = rig(1, handover_path=str(tmp_path / "b.sock"))
    old.broker.endpoints.apply(engines_event(old, 5000))
    new = old.successor()
    assert (
        new.endpoints.directory.keys() == old.broker.endpoints.directory.keys()
        and len(new.balancer.up) == 5001
    )


def test_warning_is_logged_when_manual_drains_exceed_their_limit(rig, caplog):
    broker = rig().broker
    caplog.set_level("WARNING", logger="umberusher")
    names = [f"gone-{number}" for number in range(manual_drains.MAX_MANUAL_DRAINS + 1)]
    for name in names:
        broker.endpoints.remember_removed(name)
        broker.endpoints.start_manual_drain(name)
    assert (
        len(broker.endpoints.manual_drains) == manual_drains.MAX_MANUAL_DRAINS
        and names[0] not in broker.endpoints.manual_drains
    )
    assert "manual_drain_dropped engine=gone-0 reason='not listed' max_drains=1024" in caplog.text
