"""Seeded hashes of texts."""

from __future__ import annotations

import xxhash

SEED_MASK = (1 << 64) - 1


def hash_text(text: str, seed: int) -> int:
    """Return the 64-bit hash of a text."""
    return xxhash.xxh3_64_intdigest(text.encode(), seed=seed & SEED_MASK)
