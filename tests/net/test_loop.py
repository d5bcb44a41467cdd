"""The event loop's timers, and the order of reading and deferred work."""

from __future__ import annotations

import socket

from umberusher.net.loop import MAX_CATCH_UP_S, MAX_EVENTS_PER_STEP, READ, Loop, Wait


def test_loop_clears_cancelled_timers_before_they_are_due():
    loop = Loop(lambda: 0.0)
    fired = []
    timers = [loop.call_later(5000, lambda n=n: fired.append(n)) for n in range(10)]
    for _ in range(5000):
        loop.call_later(25_000, timers.clear).cancel()
    assert len(loop._timers) < 200
    loop.clock = lambda: 6.0
    loop.step(0)
    assert fired == list(range(10))
    loop.close()


class RecordingWork:
    """Deferred work that records how many descriptors were read before each run."""

    def __init__(self, reads: list[int], runs: int) -> None:
        self.reads = reads
        self.remaining = runs
        self.read_counts: list[int] = []

    @property
    def is_pending(self) -> bool:
        return self.remaining > 0

    def run(self) -> None:
        self.remaining -= 1
        self.read_counts.append(len(self.reads))


def test_loop_runs_deferred_work_only_when_all_ready_descriptors_were_read():
    """Calls that were read must wait for calls on other connections that may be older."""
    loop = Loop()
    reads: list[int] = []
    pairs = [socket.socketpair() for _ in range(MAX_EVENTS_PER_STEP + 10)]

    def reader(sock):
        while True:
            yield Wait(sock.fileno(), READ)
            reads.append(len(sock.recv(10)))

    for ours, peer in pairs:
        loop.spawn(reader(ours))
        peer.send(b"x")
    work = RecordingWork(reads, 2)
    loop.add_deferred_work(work)
    loop.step(0)
    assert len(reads) == MAX_EVENTS_PER_STEP and not work.read_counts
    loop.step(0)
    assert work.read_counts == [len(pairs)]
    loop.step(1000)  # does not wait while work is pending
    assert work.read_counts == [len(pairs)] * 2
    loop.remove_deferred_work(work)
    loop.remove_deferred_work(work)
    loop.close()
    for pair in pairs:
        for sock in pair:
            sock.close()


def test_loop_continues_when_deferred_work_fails(caplog):
    class FailingWork:
        is_pending = True

        def run(self):
            self.is_pending = False
            raise ValueError("fault")

    loop = Loop()
    loop.add_deferred_work(FailingWork())
    loop.step(0)
    assert "deferred_work_failed" in caplog.text
    loop.close()


def test_loop_forgets_event_of_descriptor_that_is_unregistered_before_its_turn():
    loop = Loop()
    resumed = []
    pairs = [socket.socketpair() for _ in range(MAX_EVENTS_PER_STEP + 1)]

    def reader(sock):
        while True:
            yield Wait(sock.fileno(), READ)
            resumed.append(sock)
            sock.recv(10)

    for ours, peer in pairs:
        loop.spawn(reader(ours))
        peer.send(b"x")
    loop.step(0)
    (pending,) = [ours for ours, _ in pairs if ours not in resumed]
    loop.unregister(pending.fileno())
    loop.step(0)
    assert pending not in resumed
    loop.close()
    for pair in pairs:
        for sock in pair:
            sock.close()


def test_loop_keeps_the_time_of_a_stall_when_catching_up_takes_long_itself():
    """Calls on connections accepted after a stop counted as arrived when the process went on."""
    now = [100.0]
    loop = Loop(lambda: now[0])
    ours, peer = socket.socketpair()
    read_at_s: list[float] = []

    def reader():
        while True:
            yield Wait(ours.fileno(), READ)
            read_at_s.append(loop.oldest_input_at_s)
            now[0] += 0.06
            if len(read_at_s) > 1:
                ours.recv(10)

    loop.spawn(reader())
    loop.step(0)
    peer.send(b"x")
    now[0] += 1.0
    for _ in range(2):
        loop.step(0)
    assert read_at_s == [100.0, 100.0]
    now[0] += MAX_CATCH_UP_S
    peer.send(b"x")
    loop.step(0)
    assert read_at_s[-1] > 101.0
    for each in (ours, peer, loop):
        each.close()
