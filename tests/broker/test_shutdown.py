"""The phases of a graceful shutdown."""

from __future__ import annotations

from umberusher.broker import shutdown
from umberusher.broker.shutdown import ShutdownPhase, ShutdownRequest


def test_request_keeps_the_time_of_its_first_call():
    now = [5.0]
    request = ShutdownRequest(lambda: now[0])
    assert not request.is_made
    assert request.elapsed_s() == 0.0
    assert request.make() == 5.0
    now[0] = 6.0
    assert request.make() == 5.0
    assert request.elapsed_s() == 1.0


def test_shutdown_passes_grace_and_draining_when_there_is_no_successor(rig):
    rig = rig()
    phases = [rig.broker.shutdown.phase]
    rig.broker.loop.running = True
    rig.broker.request_shutdown()
    rig.advance_ms(200)
    phases.append(rig.broker.shutdown.phase)
    assert rig.broker.frontend.listener is not None
    rig.advance_ms(1000 * shutdown.LISTENER_GRACE_S)
    phases.append(rig.broker.shutdown.phase)
    assert rig.broker.frontend.listener is None
    assert not rig.broker.loop.running
    assert phases == [ShutdownPhase.RUNNING, ShutdownPhase.GRACE, ShutdownPhase.DRAINING]
