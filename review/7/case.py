"""Bad clients send hundreds of large requests at once: the memory limit has to hold."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import flood  # noqa: E402
import rig  # noqa: E402

MEMORY_MB = 64
BYTES_PER_MIB = 1 << 20
BAD_CLIENTS = 12
REQUESTS_EACH = 200
STATEMENT = b"select * from sales_17.orders -- " + b"x" * 200_000
SECONDS = 12.0


async def _watch(case: rig.Case, broker: rig.Broker) -> float:
    """Do as the platform: end a broker that is over its limit; return the most it held, in MB."""
    peak_mb = 0.0
    while broker.private_mb:
        peak_mb = max(peak_mb, broker.private_mb)
        if broker.private_mb * 1e6 > MEMORY_MB * BYTES_PER_MIB:
            case.record.note(f"platform: broker holds {broker.private_mb:.1f} MB, over its limit")
            await broker.kill()
            break
        await asyncio.sleep(0.002)
    return peak_mb


async def _sound_client(case: rig.Case, broker: rig.Broker) -> list[rig.Call]:
    """Send a lookup every 100 ms on one connection; return the calls."""
    client = await case.client(broker, "sound")
    calls = []
    until = case.record.ms() + SECONDS * 1000
    while case.record.ms() < until and not client.closed.is_set():
        calls.append(client.send("lookup", 2500))
        await asyncio.sleep(0.1)
    await asyncio.sleep(3.1)
    return calls


async def _case(case: rig.Case) -> list[str]:
    await case.add_engines(4)
    await case.start_board()
    broker = case.add_broker(rig.settings(), memory_mb=MEMORY_MB)
    await broker.start()
    watch = asyncio.ensure_future(_watch(case, broker))
    sound = asyncio.ensure_future(_sound_client(case, broker))
    await asyncio.sleep(2)
    bad = []
    if rig.has_trouble():
        for number in range(1, BAD_CLIENTS + 1):
            frames = flood.requests(REQUESTS_EACH, "lookup", 2500, STATEMENT, number << 32)
            bad.append(flood.FloodingClient(broker.address, frames))
        case.record.note(f"{len(bad)} bad clients send {REQUESTS_EACH} requests each, at once")
        for client in bad:
            client.start()
    calls = await sound
    await broker.kill()
    peak_mb = await watch
    for client in bad:
        case.record.note(f"a bad client got {dict(client.answers)}")
        client.close()
    unanswered = sum(not call.answers for call in calls)
    case.record.note(
        f"most memory {peak_mb:.1f} MB; sound: {len(calls)} sent, {unanswered} unanswered"
    )
    if peak_mb * 1e6 > MEMORY_MB * BYTES_PER_MIB:
        return [
            f"the broker held {peak_mb:.1f} MB with a limit of {MEMORY_MB} MB and was killed;"
            f" {unanswered} requests of the sound client were lost with it"
        ]
    return []


rig.main(_case, FOLDER)
