"""Selects the engines that a broker uses from its position in the fleet and a hash of each id.

The method is deterministic subsetting ("Site Reliability Engineering", chapter 20) on a ring, so
that the addition or removal of one engine or broker changes few assignments. Brokers are divided
into groups, and each group has a ring of ``SLICES`` slices with its own hash function. Each broker
of a group starts at a different slice and uses the engines of as many consecutive slices as its
width. The start is the broker's position in the group with its bits reversed, which also spaces a
small number of brokers evenly. In a full group each engine is used by exactly as many brokers as
the width, whatever the hash values. See docs/scope.md.
"""

from __future__ import annotations

import math
import zlib

WORD_BITS = 32
WORD = 1 << WORD_BITS
SLICE_BITS = 9
# Slices of a ring, and brokers in a group. A subset grows in steps of one slice: 63 engines of
# 32,000.
SLICES = 1 << SLICE_BITS
# Approximate number of engines that a broker uses, some 30 in each of 8 zones. It bounds the number
# of engines that are compared for a request.
SUBSET_SIZE = 256
# Minimum number of brokers that use an engine: some may be restarting or lost, and one may carry
# far more load than the others.
MIN_BROKERS_PER_ENGINE = 8
# Minimum difference between the wanted and the current width, in slices, for the width to change:
# the number of engines fluctuates around a rounding boundary.
WIDTH_HYSTERESIS_SLICES = 0.75
# The same difference as a fraction of the width. Without it, each added or removed engine would
# change the width if a few hundred engines are listed, and the whole subset would be published
# again.
WIDTH_HYSTERESIS_FRACTION = 0.1
# Standard deviations above the mean that bound the brokers per engine if positions are random.
RANDOM_POSITION_DEVIATIONS = 3.0


def position_in_fleet(position: int | None, name: str) -> int:
    """Return a broker's position in the fleet: as configured, else derived from its name."""
    if position is not None:
        return position
    return hash_bits(name, 0)


def hash_bits(name: str, salt: int) -> int:
    """Return a 32-bit hash that is independent of patterns in names and of the hash by other salts.

    It is a CRC-32 checksum mixed by the final steps of MurmurHash3 (public domain): ``hashlib``
    would load a library of several megabytes into each broker.
    """
    bits = zlib.crc32(name.encode()) ^ salt * 0x9E3779B1 % WORD
    bits = (bits ^ bits >> 16) * 0x85EBCA6B % WORD
    bits = (bits ^ bits >> 13) * 0xC2B2AE35 % WORD
    return bits ^ bits >> 16


def reverse_bits(number: int) -> int:
    """Return a slice's number with its bits in reverse order."""
    return int(f"{number:0{SLICE_BITS}b}"[::-1], 2)


class SubsetRing:
    """One broker's position on the ring of its group.

    Attributes:
        broker_count: Number of brokers in the fleet.
        first_slice: The first slice whose engines this broker uses.
    """

    def __init__(self, broker_count: int, position: int | None, name: str) -> None:
        """Create the ring of a broker.

        Args:
            broker_count: Number of brokers in the fleet.
            position: The broker's position in the fleet; None if it is unknown.
            name: The broker's name, from which an unknown position is derived.
        """
        self.broker_count = broker_count
        group, group_position = divmod(position_in_fleet(position, name), SLICES)
        self.first_slice = reverse_bits(group_position)
        self._position_is_known = position is not None
        self._salt = group + 1

    def distance(self, engine: str) -> int:
        """Return an engine's distance from the first slice; it is used if less than the width."""
        return (hash_bits(engine, self._salt) - self.first_slice) % SLICES

    def width(self, engine_count: int, current_width: int, min_engines: int = SUBSET_SIZE) -> int:
        """Return the number of slices to use.

        Args:
            engine_count: Number of engines that are up.
            current_width: The width in use, which is kept if the wanted width is close to it.
            min_engines: Minimum number of engines to use.
        """
        by_engines = min_engines / max(engine_count, 1)
        by_brokers = MIN_BROKERS_PER_ENGINE / self.broker_count
        wanted = SLICES * max(by_engines, by_brokers)
        if wanted >= SLICES:
            return SLICES
        hysteresis = max(WIDTH_HYSTERESIS_SLICES, WIDTH_HYSTERESIS_FRACTION * current_width)
        if abs(wanted - current_width) <= hysteresis:
            return current_width
        return max(round(wanted), 1)

    def brokers_per_engine(self, width: int) -> float:
        """Return the maximum number of brokers per engine if all brokers have this width."""
        if width >= SLICES:
            return float(self.broker_count)
        if not self._position_is_known:
            mean = self.broker_count * width / SLICES
            return min(
                mean + RANDOM_POSITION_DEVIATIONS * math.sqrt(mean), float(self.broker_count)
            )
        full_groups, last_group = divmod(self.broker_count, SLICES)
        return float(full_groups * width + _max_overlap(last_group, width))


def _max_overlap(broker_count: int, width: int) -> int:
    """Return the maximum number of brokers that share a slice in a group that is not full."""
    first_slices = sorted(reverse_bits(group_position) for group_position in range(broker_count))
    # The ring is repeated once, so that a window can extend past its end.
    unrolled = [*first_slices, *(each + SLICES for each in first_slices)]
    overlap = 0
    window_start = 0
    for window_end, first_slice in enumerate(unrolled):
        while first_slice - unrolled[window_start] >= width:
            window_start += 1
        overlap = max(overlap, window_end - window_start + 1)
    return overlap
