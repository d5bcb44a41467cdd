"""Draws by hash: the same in whichever worker, and in whichever order, they are made."""

from __future__ import annotations

import xxhash

HASH_RANGE = 2.0**64


def hash_label(seed: int, label: str) -> int:
    """Return a whole number of 64 bits for a label."""
    return xxhash.xxh3_64_intdigest(f"{seed}/{label}".encode())


def draw(seed: int, label: str) -> float:
    """Return a number from 0 to 1 for a label."""
    return hash_label(seed, label) / HASH_RANGE
