"""Ids of requests that may have run, remembered for a time."""

from __future__ import annotations

from umberusher.net.memory_account import MemoryAccount, SharedMemory
from umberusher.pipeline.finished_ids import BYTES_PER_ID, FinishedIds


def test_ids_are_remembered_for_their_time_and_cost_nothing_after_it():
    now_ms = 0.0
    account = MemoryAccount(lambda: 1e6)
    ids = FinishedIds(lambda: now_ms, 1_000.0, SharedMemory(account))
    for number in range(100):
        now_ms = float(number)
        ids.add(f"{number:016x}")
        ids.add(f"{number:016x}")
    assert len(ids) == 100 and account.used_bytes == 100 * BYTES_PER_ID
    now_ms = 1_049.0
    ids.forget_old()
    assert f"{49:016x}" not in ids and f"{50:016x}" in ids
    now_ms = 2_000.0
    ids.forget_old()
    assert not len(ids) and not account.used_bytes
