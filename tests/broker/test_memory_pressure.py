"""Admission of requests under memory pressure."""

from __future__ import annotations

import errno

import pytest

from tests.thrift_messages import execute
from umberusher.broker.memory_pressure import MemoryPressure


def test_requests_are_rejected_under_memory_pressure(rig):
    rig = rig()
    client = rig.client()
    rig.broker.admission.memory_pressure = True
    client.sock.send(
        execute(1, {"method": "lookup", "rid": "0" * 16, "budget": "900"}, b"select 1")
    )
    assert b"backoff" in rig.read_answer(client)


def test_pressure_ends_when_half_of_the_peak_has_ended():
    pressure = MemoryPressure()
    assert not pressure.update(0.7, 50)
    assert pressure.update(0.8, 100) and pressure.update(0.8, 60)
    assert not pressure.update(0.8, 50)  # freed memory is reused
    assert pressure.update(0.95, 1)
    assert not pressure.update(0.7, 500) and pressure.peak_open_requests is None


@pytest.mark.parametrize("error_number", [errno.ENFILE, errno.EMFILE, errno.EIO])
def test_broker_ends_after_a_shutdown_request_while_its_memory_cannot_be_read(rig, error_number):
    """Each sweep ended there, and so did the shutdown that it advances."""
    rig = rig()

    def fail() -> float:
        raise OSError(error_number, "no descriptor")

    rig.broker._process_memory._memory_mb = fail
    rig.broker.loop.running = True
    rig.broker.request_shutdown()
    rig.advance_ms(4000)
    assert not rig.broker.loop.running
