"""Random numbers drawn by hash, which depend neither on the worker nor on the order of draws."""

from __future__ import annotations

import xxhash

HASH_RANGE = 2.0**64


def hash_label(seed: int, label: str) -> int:
    """Return the 64-bit hash of a seed and a label."""
    return xxhash.xxh3_64_intdigest(f"{seed}/{label}".encode())


def draw(seed: int, label: str) -> float:
    """Return a number from 0 to 1 for a seed and a label."""
    return hash_label(seed, label) / HASH_RANGE
