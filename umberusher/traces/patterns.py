"""Synthetic traces in the published layout of Google's task events and machine events.

The patterns are loads that this site has never had: steady, flash crowd, heavy tail, diurnal and
node loss. All values are random numbers from the seed; none are taken from published data.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import StrEnum


class Pattern(StrEnum):
    """The patterns; the values are the choices of the command line."""

    STEADY = "steady"
    FLASH_CROWD = "flash-crowd"
    HEAVY_TAIL = "heavy-tail"
    DIURNAL = "diurnal"
    NODE_LOSS = "node-loss"


PATTERNS = tuple(pattern.value for pattern in Pattern)

START_US = 600_000_000
"""The published window begins 600 s after time 0."""
US_PER_SECOND = 1e6

FLASH_CROWD_PEAK = 5.0  # multiple of the rate outside the flash crowd
FLASH_CROWD_START_FRACTION = 0.4  # of the trace's duration
MAX_FLASH_CROWD_S = 30.0
FLASH_CROWD_DIVISOR = 20  # A flash crowd lasts at most 1/20 of the trace's duration.
DIURNAL_AMPLITUDE = 0.6
DIURNAL_PEAK = 1.0 + DIURNAL_AMPLITUDE

SUBMIT = 0
SCHEDULE = 1
FIRST_JOB_ID = 6_000_000_000
MAX_JOB_ID_STEP = 5_000
MAX_TASKS_PER_JOB = 60
TASK_COUNT_PARETO_SHAPE = 1.3
MAX_USERS = 60
MAX_MACHINES = 12_000
SCHEDULE_DELAY_US = (1_000, 400_000)  # shortest and longest time from SUBMIT to SCHEDULE
LOOKUP_FRACTION = 0.81
NON_LOAD_FRACTION = 0.948

DEFAULT_ENGINES = 7
FIRST_MACHINE_ID = 1_000_000
MACHINE_ID_RANGE = 9_000_000
PLATFORM = "HofLGzk1Or/8Ildj2+Lqv0UGGvY82NLoni8+J/Yy0RU="
# When the first machine is removed and added again, as fractions of the trace's duration.
LOSS_START_FRACTION = 0.35
RECOVERY_START_FRACTION = 0.6
# Between the events of two machines.
LOSS_STEP_US = 200_000
RECOVERY_STEP_US = 1_500_000


def intensity(pattern: str, duration_s: float) -> Callable[[float], float]:
    """Return a function from a time in seconds to the rate then, as a multiple of the set rate."""
    if pattern == Pattern.FLASH_CROWD:
        start_s = FLASH_CROWD_START_FRACTION * duration_s
        length_s = min(MAX_FLASH_CROWD_S, duration_s / FLASH_CROWD_DIVISOR)
        end_s = start_s + length_s
        return lambda at_s: FLASH_CROWD_PEAK if start_s <= at_s < end_s else 1.0
    if pattern == Pattern.DIURNAL:
        return lambda at_s: 1.0 + DIURNAL_AMPLITUDE * math.sin(2 * math.pi * at_s / duration_s)
    return lambda _at_s: 1.0


@dataclass(slots=True, frozen=True)
class _Job:
    """The values that all tasks of a job share.

    Mappings derive the query class from scheduling class and priority.
    """

    job_id: int
    task_count: int
    scheduling_class: int
    priority: int
    user: str
    cpu: float


class _JobSource:
    """Creates random jobs; a seed gives the same trace only while the order of the draws stays."""

    def __init__(self, pattern: str, rng: random.Random) -> None:
        self._is_heavy_tail = pattern == Pattern.HEAVY_TAIL
        self._rng = rng
        self._job_id = FIRST_JOB_ID

    def next_job(self) -> _Job:
        """Return the next random job."""
        rng = self._rng
        self._job_id += rng.randint(1, MAX_JOB_ID_STEP)
        if self._is_heavy_tail:
            task_count = min(int(rng.paretovariate(TASK_COUNT_PARETO_SHAPE)), MAX_TASKS_PER_JOB)
        else:
            task_count = rng.randint(1, 4)
        scheduling_class, priority = self._draw_kind()
        user = f"u{rng.randint(1, MAX_USERS)}"
        return _Job(
            self._job_id,
            task_count,
            scheduling_class,
            priority,
            user,
            self._draw_cpu(scheduling_class),
        )

    def _draw_kind(self) -> tuple[int, int]:
        kind = self._rng.random()
        if kind < LOOKUP_FRACTION:
            return 2, 0
        if kind < NON_LOAD_FRACTION:
            return 0, 2
        return 0, 9

    def _draw_cpu(self, scheduling_class: int) -> float:
        rng = self._rng
        if scheduling_class:
            cpu = min(rng.lognormvariate(-4.2, 0.5), 0.5)
        else:
            cpu = min(0.05 + rng.lognormvariate(-2.2, 0.5), 0.9)
        if self._is_heavy_tail:
            cpu = min(cpu * rng.paretovariate(1.1) ** 0.8, 1.0)
        return cpu


def task_events(
    pattern: str, duration_s: float, rate: float, seed: int, max_rows: int = 0
) -> Iterator[str]:
    """Yield lines of task_events, by time: the SUBMIT of each task and its later SCHEDULE.

    Args:
        pattern: One of PATTERNS.
        duration_s: Length of the trace.
        rate: Mean tasks per second.
        seed: Seed of all random numbers.
        max_rows: Maximum number of lines up to the last arrival; 0 for no limit. SCHEDULE lines
            after the last arrival are not limited.
    """
    rng = random.Random(f"{pattern}/{seed}")
    jobs = _JobSource(pattern, rng)
    pending: list[tuple[int, int, str]] = []
    sequence_number = 0
    yielded_count = 0
    job: _Job | None = None
    task_index = 0
    for now_us in _arrivals(pattern, duration_s, rate, rng):
        if job is None or task_index == job.task_count:
            job = jobs.next_job()
            task_index = 0
        memory = min(rng.lognormvariate(-3.6, 0.7), 0.9)
        disk = rng.random() / 1000
        template = (
            f"%d,,{job.job_id},{task_index},%s,%d,{job.user},{job.scheduling_class},"
            f"{job.priority},{job.cpu:.5f},{memory:.5f},{disk:.6f},0"
        )
        scheduled_us = now_us + rng.randint(*SCHEDULE_DELAY_US)
        machine = rng.randint(1, MAX_MACHINES)
        sequence_number += 2
        heapq.heappush(pending, (now_us, sequence_number, template % (now_us, "", SUBMIT)))
        scheduled_row = template % (scheduled_us, machine, SCHEDULE)
        heapq.heappush(pending, (scheduled_us, sequence_number + 1, scheduled_row))
        task_index += 1
        while pending and pending[0][0] <= now_us:
            yield heapq.heappop(pending)[2]
            yielded_count += 1
            if yielded_count == max_rows:
                return
    while pending:
        yield heapq.heappop(pending)[2]


def _arrivals(pattern: str, duration_s: float, rate: float, rng: random.Random) -> Iterator[int]:
    """Yield arrival times, us, by thinning a Poisson process (Lewis and Shedler 1979)."""
    relative_rate = intensity(pattern, duration_s)
    peak = FLASH_CROWD_PEAK if pattern == Pattern.FLASH_CROWD else DIURNAL_PEAK
    at_s = 0.0
    while at_s < duration_s:
        at_s += rng.expovariate(rate * peak)
        if rng.random() > relative_rate(at_s) / peak or at_s >= duration_s:
            continue
        yield START_US + int(at_s * US_PER_SECOND)


@dataclass(slots=True, frozen=True)
class _Machine:
    """A machine of the fleet; its capacity is a fraction of the largest machine's."""

    machine_id: int
    cpus: float

    def added_line(self, at_us: int) -> str:
        """Return the ADD line of the machine."""
        return f"{at_us},{self.machine_id},0,{PLATFORM},{self.cpus},{self.cpus / 2}"

    def removed_line(self, at_us: int) -> str:
        """Return the REMOVE line of the machine."""
        return f"{at_us},{self.machine_id},1,{PLATFORM},,"


def machine_events(
    pattern: str, duration_s: float, seed: int, engine_count: int = DEFAULT_ENGINES
) -> Iterator[str]:
    """Yield lines of machine_events: a fleet that exists from the start.

    The pattern node loss removes most of the machines at once and adds them again later.
    """
    rng = random.Random(f"machines/{pattern}/{seed}")
    machines = [
        _Machine(
            FIRST_MACHINE_ID + rng.randint(1, MACHINE_ID_RANGE), 1.0 if number % 3 == 2 else 0.5
        )
        for number in range(engine_count)
    ]
    for machine in machines:
        yield machine.added_line(0)
    if pattern != Pattern.NODE_LOSS:
        return
    lost_machines = machines[: max(engine_count * 4 // 7, 1)]
    lost_us = START_US + int(LOSS_START_FRACTION * duration_s * US_PER_SECOND)
    for number, machine in enumerate(lost_machines):
        yield machine.removed_line(lost_us + number * LOSS_STEP_US)
    recovered_us = START_US + int(RECOVERY_START_FRACTION * duration_s * US_PER_SECOND)
    for number, machine in enumerate(lost_machines):
        yield machine.added_line(recovered_us + number * RECOVERY_STEP_US)
