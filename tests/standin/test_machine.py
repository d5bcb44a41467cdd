"""Guards against a stand-in engine whose query times, queue or limits differ from its model."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from umberusher.standin.machine import Admission, Machine, MachineShape, Task


def work(
    name: str,
    ms: float = 100.0,
    threads: int = 1,
    memory: float = 10.0,
    until: float = 1e9,
    holds=None,
) -> Task:
    return Task(name, ms, threads, memory, until, holds)


def ends(machine: Machine, limit: float = 1e6) -> dict[str, float]:
    found = {}
    while (due := machine.next_review_ms()) is not None and due < limit:
        found |= {each.name: round(machine.now_ms, 3) for each in machine.advance(due).ended}
    return found


def test_machine_slows_down_when_threads_exceed_the_knee():
    machine = Machine(MachineShape(2, 1000, knee=1.5, thrash=0.5), 0.0)
    for name in "abc":
        assert machine.offer(0.0, work(name)) is Admission.RUNNING
    assert ends(machine) == {"a": 100, "b": 100, "c": 100}
    machine = Machine(MachineShape(2, 1000, knee=1.5, thrash=0.5), 0.0)
    for name in "abcdef":  # twice the knee: half the rate, divided by 1.5 for thrashing
        machine.offer(0.0, work(name))
    assert ends(machine) == dict.fromkeys("abcdef", 300.0)


def test_machine_is_slower_while_warming_up():
    warming_machine, warm_machine = (
        Machine(MachineShape(1, 1000, knee=1.0, warm_up_ms=1000.0), 0.0, warming_up=warming_up)
        for warming_up in (True, False)
    )
    for machine in (warming_machine, warm_machine):
        machine.offer(0.0, work("a", 500.0))
    assert ends(warm_machine)["a"] == 500.0 and 550 < ends(warming_machine)["a"] < 1500


def test_machine_queues_for_memory_in_order_and_for_a_group_alone():
    machine = Machine(MachineShape(8, 100), 0.0)
    assert machine.offer(0.0, work("a", memory=80)) is Admission.RUNNING
    assert machine.offer(0.0, work("b", memory=50)) is Admission.QUEUED
    assert machine.offer(0.0, work("c", memory=1)) is Admission.QUEUED  # behind b
    assert machine.offer(0.0, work("d", memory=1, until=50.0)) is Admission.QUEUED
    progress = machine.advance(100.0)
    assert [each.name for each in progress.ended + progress.started + progress.expired] == [
        "a",
        "b",
        "c",
        "d",
    ]
    machine = Machine(MachineShape(8, 100), 0.0)
    assert machine.offer(0.0, work("l1", holds=3)) is Admission.RUNNING
    assert machine.offer(0.0, work("l2", holds=3)) is Admission.QUEUED
    machine.advance(100.0)
    assert list(machine.running) == ["l2"]


def test_machine_rejects_task_when_expired_or_full():
    machine = Machine(MachineShape(1, 100, max_sessions_per_core=2), 10.0)
    assert machine.offer(10.0, work("a", until=10.0)) is Admission.EXPIRED
    assert [machine.offer(10.0, work(name)) for name in "bcd"] == [
        Admission.RUNNING,
        Admission.RUNNING,
        Admission.REJECTED_FULL,
    ]
    assert machine.cancel("b").name == "b" and machine.threads == 1
    assert ends(machine) == {"c": 110.0}


@settings(max_examples=60, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(st.floats(0, 500), st.floats(1, 400), st.integers(1, 3)), min_size=1, max_size=25
    )
)
def test_machine_loses_no_work_and_stays_within_its_cores(jobs):
    machine, clock, taken = (
        Machine(MachineShape(2, 1e6, knee=1.0, thrash=0.0, max_sessions_per_core=100), 0.0),
        0.0,
        0.0,
    )
    for number, (gap, ms, threads) in enumerate(jobs):
        clock += gap
        machine.advance(clock)
        machine.offer(clock, work(str(number), ms, threads))
        taken += ms
    ends(machine)
    assert not machine.running and machine.threads == 0
    assert machine.completed_work_ms == pytest.approx(taken)
    assert machine.now_ms * 2 >= taken - 0.1
