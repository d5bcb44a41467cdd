"""The ring buffer, checked against a model of a bounded queue."""

from __future__ import annotations

import random

import pytest

from umberusher.net.ring import RingBuffer


@pytest.mark.parametrize("seed", range(5))
def test_ring_is_a_bounded_queue_of_bytes(seed):
    rng, ring, model = random.Random(seed), RingBuffer(1000, initial_capacity=16), b""
    for step in range(400):
        data = bytes([step % 256]) * rng.randrange(300)
        fits = len(model) + len(data) <= 1000
        assert ring.write(data) == fits
        model += data if fits else b""
        assert ring.find(b"\x07\x07", 1000) == model.find(b"\x07\x07")
        size = rng.randrange(len(model) + 1)
        assert (ring.take(size), len(ring), ring.free_bytes) == (
            model[:size],
            len(model) - size,
            1000 - len(model) + size,
        )
        model = model[size:]


def test_ring_releases_memory_when_empty():
    ring = RingBuffer(1 << 20)
    ring.write(b"x" * 50_000)
    ring.take(50_000)
    assert ring.allocated_bytes == 4096
    ring.release()
    assert ring.allocated_bytes <= 64 and ring.write(b"y" * 5000) and ring.take(5000) == b"y" * 5000
