"""The list's news at rare moments: what makes no sense in an entry must not cost the news of a drain."""

from __future__ import annotations

import json

import pytest

from umberusher.interface import EngineState


def tell(rig, entry: dict) -> None:
    """One entry of a notice, just as it is."""
    rig.rev += 1
    body = json.dumps({"rev": rig.rev, "notices": [{"rev": rig.rev, "pool": {"reset": False, "instances": [entry]}}]})
    rig.board.sock.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body.encode()))
    rig.until(lambda: rig.broker.route.rev == rig.rev)


@pytest.mark.parametrize("more", [
    {"zone": ["room-a"]}, {"machineType": {}}, {"cell": 1.5}, {"weight": "much"}, {"startedAtMs": "soon"},
    {"startedAtMs": -1}, {"weight": 1e999}, {"hostPort": "nowhere"}, {"hostPort": None}, {"hostPort": 7}])
@pytest.mark.parametrize("state", ["DRAINING", "DELETED"])
def test_a_drain_is_heard_though_its_entry_makes_no_sense_elsewhere(rig, more, state):
    """A field of a wrong type had the decisions miss the whole notice, or had the entry left out: the engine went on
    being used."""
    rig = rig(2)
    good = {"instanceId": "s-0", "hostPort": rig.address("s-0"), "zone": "room-a", "machineType": "std-8", "cell": 1,
            "lifecycle": state, "weight": 1, "startedAtMs": 0}
    tell(rig, good | more)
    assert {each.id for each in rig.broker.gateway.up} == {"s-1"}
    assert rig.broker.route.find("s-0") is None


def test_an_engine_that_drains_without_an_address_is_passed_on_and_may_come_back(rig):
    rig = rig()
    tell(rig, {"instanceId": "s-9", "lifecycle": "DRAINING"})
    assert rig.broker._known()["notices"][0]["pool"]["instances"][1]["lifecycle"] == "DRAINING"
    tell(rig, {"instanceId": "s-9", "lifecycle": "SERVING", "hostPort": rig.address("s-0")})
    assert rig.broker.route.find("s-9").address[1] and rig.broker.gateway.engines["s-9"].up


def test_an_engine_that_serves_without_an_address_is_left_out(rig):
    rig = rig()
    tell(rig, {"instanceId": "s-9", "lifecycle": "SERVING"})
    assert "s-9" not in rig.broker.route.members and rig.broker.route.members["s-0"].state is EngineState.UP
