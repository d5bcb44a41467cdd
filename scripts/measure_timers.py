"""Compare two timer structures: the loop's heap with lazy deletion, and a hierarchical timing wheel.

    python scripts/measure_timers.py [COUNT ...]      # 1000 100000 1000000 by default

The wheel (Varghese and Lauck, 1987) has four levels of 256 slots of 1 ms, 256 ms, 65.5 s and 4.7 h; a slot is a dict,
so that cancelling frees a timer at once; timers of one slot are sorted, so that both structures give the same order,
which is checked. Each result is the median of five runs (three for the largest count), in which the structures alternate
in one process.
"""

from __future__ import annotations

import gc
import heapq
import random
import statistics
import sys
import time
import tracemalloc

BITS, LEVELS = 8, 4
SLOTS, MASK = 1 << BITS, (1 << BITS) - 1


class Timer:
    """A call scheduled for a time."""

    __slots__ = ("call", "number", "slot", "when")

    def __init__(self, when, call, number):
        self.when, self.call, self.number, self.slot = when, call, number, None


class Heap:
    """The heap with lazy deletion, as in the loop."""

    def __init__(self, now):
        self.items, self.cancelled_count, self.count = [], 0, 0

    def set(self, when, call):
        """Schedule a call."""
        self.count += 1
        timer = Timer(when, call, self.count)
        heapq.heappush(self.items, (when, self.count, timer))
        return timer

    def cancel(self, timer):
        """Cancel a timer; the heap is rebuilt when more than half of its entries are cancelled."""
        if timer.call is not None:
            timer.call = None
            self.cancelled_count += 1
            if self.cancelled_count > 64 and 2 * self.cancelled_count > len(self.items):
                self.items = [item for item in self.items if item[2].call is not None]
                heapq.heapify(self.items)
                self.cancelled_count = 0

    def fire(self, now):
        """Run the calls that are due."""
        items = self.items
        while items and items[0][0] <= now:
            call = heapq.heappop(items)[2].call
            if call is None:
                self.cancelled_count -= 1
            else:
                call()


class Wheel:
    """A hierarchical timing wheel with ticks of 1 ms."""

    def __init__(self, now):
        self.tick, self.count = int(now * 1000), 0
        self.levels = [[{} for _ in range(SLOTS)] for _ in range(LEVELS)]
        self.occupied_slots = [0] * LEVELS  # per level, a bit for each slot that may hold timers

    def set(self, when, call):
        """Schedule a call."""
        self.count += 1
        timer = Timer(when, call, self.count)
        self._place(timer)
        return timer

    def _place(self, timer):
        tick = max(int(timer.when * 1000), self.tick)
        delta = tick ^ self.tick
        level = min(max(delta.bit_length() - 1, 0) // BITS, LEVELS - 1)
        slot = (tick >> (BITS * level)) & MASK
        timer.slot = self.levels[level][slot]
        timer.slot[timer] = None
        self.occupied_slots[level] |= 1 << slot

    def cancel(self, timer):
        """Cancel a timer and remove it at once."""
        if timer.call is not None:
            timer.call = None
            timer.slot.pop(timer, None)

    def fire(self, now):
        """Run the calls that are due, slot by slot; ``occupied_slots`` lets it skip empty slots."""
        last = int(now * 1000)
        while True:
            slot_index = self.tick & MASK
            ahead = self.occupied_slots[0] >> slot_index
            if ahead:
                tick = self.tick + ((ahead & -ahead).bit_length() - 1)
            else:
                tick = (self.tick | MASK) + 1
            if tick > last:
                self.tick = max(self.tick, last) if ahead or last <= self.tick | MASK else self.tick
                if tick <= last + 1 and not ahead and (last & MASK) == MASK:
                    self.tick = last
                return
            if not ahead:
                self.tick = tick
                self._cascade()
                continue
            self.tick, slot = tick, tick & MASK
            slot_timers = self.levels[0][slot]
            due = sorted(
                (t for t in slot_timers if t.when <= now), key=lambda t: (t.when, t.number)
            )
            for timer in due:
                slot_timers.pop(timer, None)
                if timer.call is not None:
                    timer.call()
            if slot_timers:
                return  # the remaining timers are due later in this millisecond
            self.occupied_slots[0] &= ~(1 << slot)

    def _cascade(self):
        for level in range(1, LEVELS):
            slot = (self.tick >> (BITS * level)) & MASK
            slot_timers, self.levels[level][slot] = self.levels[level][slot], {}
            self.occupied_slots[level] &= ~(1 << slot)
            for timer in slot_timers:
                self._place(timer)
            if slot:
                return


def check_same_order():
    """Check that both structures run calls in the same order, with cancelled timers too."""
    for seed in range(20):
        rng, orders = random.Random(seed), []
        for structure_class in (Heap, Wheel):
            rng.seed(seed)
            now, order, timers = 1_000_000.0, [], []
            structure = structure_class(now)
            for n in range(2_000):
                timers.append(
                    structure.set(
                        now + rng.choice([0, 0.001, rng.random() * 3, 70 * rng.random()]),
                        lambda n=n, order=order: order.append(n),
                    )
                )
                if rng.random() < 0.7:
                    structure.cancel(rng.choice(timers))
                if rng.random() < 0.2:
                    now += rng.random() / 2
                    structure.fire(now)
            structure.fire(now + 100)
            orders.append(order)
        assert orders[0] == orders[1], f"orders differ, seed {seed}"


def measure_phases(structure_class, count):
    """Return the seconds to set, to cancel 95%, to fire the rest in steps of 5 ms over 30 s, and for 100,000 in one tick."""
    rng, now, fired_count = random.Random(1), 1_000_000.0, [0]
    delays = [rng.random() * 25 for _ in range(count)]

    def call():
        fired_count[0] += 1

    structure = structure_class(now)
    started_s = time.perf_counter()
    timers = [structure.set(now + delay, call) for delay in delays]
    set_s = time.perf_counter()
    for number, timer in enumerate(timers):
        if number % 20:
            structure.cancel(timer)
    cancelled_s = time.perf_counter()
    for step in range(1, 6_000):
        structure.fire(now + step * 0.005)
    fired_s = time.perf_counter()
    del timers
    for _ in range(100_000):
        structure.set(now + 40.0, call)
    refilled_s = time.perf_counter()
    structure.fire(now + 41.0)
    ended_s = time.perf_counter()
    assert fired_count[0] == (count + 19) // 20 + 100_000
    return (
        set_s - started_s,
        cancelled_s - set_s,
        fired_s - cancelled_s,
        refilled_s - fired_s,
        ended_s - refilled_s,
    )


def measure_churn(structure_class, open_at_once, total=300_000):
    """Return the seconds for the pattern of a broker: set a timer, cancel the one set ``open_at_once`` timers ago."""
    rng, now, structure, timers = random.Random(2), 1_000_000.0, structure_class(1_000_000.0), []
    delays = [rng.random() * 25 for _ in range(1_000)]
    started_s = time.perf_counter()
    for number in range(total):
        timers.append(structure.set(now + delays[number % 1_000], lambda: None))
        if number >= open_at_once:
            structure.cancel(timers[number - open_at_once])
            timers[number - open_at_once] = None
        if not number % 150:
            now += 0.005
            structure.fire(now)
    return time.perf_counter() - started_s


def measure_memory(structure_class, count):
    """Return the MB held by ``count`` timers, and the MB held after 95% of them are cancelled."""
    tracemalloc.start()
    structure = structure_class(1_000_000.0)
    timers = [structure.set(1_000_000.0 + n % 25_000 / 1000, None.__class__) for n in range(count)]
    full_bytes = tracemalloc.get_traced_memory()[0]
    for number, timer in enumerate(timers):
        if number % 20:
            structure.cancel(timer)
    del timers, timer
    remaining_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return full_bytes / 1e6, remaining_bytes / 1e6


def main():
    """Check the order, then print the results."""
    check_same_order()
    gc.disable()
    print(
        "the same order in 20 random runs of 2,000 timers; then ms: set, cancel 95%, fire the rest, set 100,000 "
        "for one tick, fire them; MB full, MB after"
    )
    for count in map(int, sys.argv[1:] or ("1000", "100000", "1000000")):
        results = {structure_class: [] for structure_class in (Heap, Wheel)}
        for _ in range(5 if count < 1_000_000 else 3):
            for structure_class, rows in results.items():
                rows.append(measure_phases(structure_class, count))
        for structure_class, rows in results.items():
            held_mb = measure_memory(structure_class, min(count, 300_000))
            print(
                f"{count:>8} {structure_class.__name__:6}",
                *(f"{1000 * statistics.median(column):9.2f}" for column in zip(*rows, strict=True)),
                f"{held_mb[0]:8.1f} {held_mb[1]:7.1f}",
            )
    for size in (100, 5_000):
        rows = {
            structure_class: [measure_churn(structure_class, size) for _ in range(5)]
            for structure_class in (Heap, Wheel)
        }
        print(
            f"churn with {size} open, us each:",
            {
                structure_class.__name__: round(statistics.median(values) / 0.3, 2)
                for structure_class, values in rows.items()
            },
        )


if __name__ == "__main__":
    main()
