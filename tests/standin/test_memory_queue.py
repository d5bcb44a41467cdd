"""Guards against a stand-in engine whose queue for memory ignores priorities or arrival order."""

from __future__ import annotations

from umberusher.standin.machine import Admission, Machine, MachineShape, Task


def test_memory_queue_is_ordered_by_priority_and_then_by_arrival():
    machine = Machine(MachineShape(cores=8, memory_mb=100.0), 0.0)
    assert machine.offer(0.0, Task("first", 100.0, 1, 100.0, 9e9)) is Admission.RUNNING
    for name, priority in (("a", 1), ("b", 1), ("c", 3), ("d", 0), ("e", 1)):
        assert (
            machine.offer(0.0, Task(name, 10.0, 1, 100.0, 9e9, priority=priority))
            is Admission.QUEUED
        )
    assert [task.name for task in machine.queue] == ["c", "a", "b", "e", "d"]
    machine.set_priority("e", 2)
    machine.set_priority("c", 0)
    machine.set_priority("nobody", 3)
    assert [task.name for task in machine.queue] == ["e", "a", "b", "d", "c"]
