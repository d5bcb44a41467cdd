"""Ids of loads that come again after their client has left, or after they were served.

Guards against a load that runs twice
(docs/incidents/2026-12-05-load-runs-twice-when-its-id-comes-again.md).
"""

from __future__ import annotations

import pytest

from tests.client_calls import execute_call, interrupt
from tests.rig import Peer, Rig


def load(number: int, **more: str) -> bytes:
    return execute_call(number, **({"method": "load", "obj": "k", "budget": "20000"} | more))


def running_load(rig: Rig) -> tuple[Peer, Peer]:
    """Return the client of a load, and the engine at which it runs."""
    client = rig.client()
    client.sock.send(load(1))
    engine = rig.accept("s-0")
    rig.expect(engine, b"REQ")
    return client, engine


@pytest.mark.parametrize("cancel", [False, True])
@pytest.mark.parametrize(
    "leave",
    [lambda client: client.sock.close(), lambda client: client.sock.send(interrupt(1))],
    ids=["close", "interrupt"],
)
def test_load_does_not_run_again_when_its_id_comes_after_its_client_has_left(rig, leave, cancel):
    """A cancellation does not stop the work everywhere: the load ran twice at once."""
    rig = rig(cancel=cancel)
    client, engine = running_load(rig)
    leave(client)
    rig.until(lambda: not any(each.is_open for each in rig.broker.registry.requests.values()))
    rig.advance_ms(600)
    again = rig.client()
    again.sock.send(load(1))
    rig.until(lambda: b"may have run" in again.read() or b"open already" in again.received)
    rig.advance_ms(600)
    assert engine.read().count(b"REQ") == 1


def test_load_that_was_served_does_not_run_again_when_its_id_comes_again(rig):
    rig = rig()
    client, engine = running_load(rig)
    engine.sock.send(f"{1:016x} HIT count=1 6\r\na\tb\tc\n\r\n".encode())
    rig.read_answer(client)
    again = rig.client()
    again.sock.send(load(1))
    rig.until(lambda: b"may have run" in again.read())
    assert engine.read().count(b"REQ") == 1


def test_load_that_never_ran_may_come_again(rig):
    rig = rig()
    client, engine = running_load(rig)
    engine.sock.send(f"{1:016x} LATE - \r\n".encode())
    client.sock.close()
    rig.until(lambda: not rig.broker.registry.requests)
    again = rig.client()
    again.sock.send(load(1))
    rig.until(lambda: f"{1:016x}" in rig.broker.registry.requests)
