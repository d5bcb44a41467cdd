"""Bad clients send hundreds of requests at once: sound clients' requests have to be answered."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import flood  # noqa: E402
import rig  # noqa: E402

BAD_CLIENTS = 20
REQUESTS_EACH = 40
# 64 KB of words, none of which names a schema.
STATEMENT = b"select " + b"a " * 32_768
BUDGET_MS = 2500
# "Up to half a second after its time it only earns nothing", and 50 ms for each time limit.
GRACE_MS = 550


def _bad_clients(broker: rig.Broker) -> list[flood.FloodingClient]:
    """Return connected bad clients that have sent nothing yet."""
    return [
        flood.FloodingClient(
            broker.address,
            flood.requests(REQUESTS_EACH, "lookup", BUDGET_MS, STATEMENT, number << 32),
        )
        for number in range(1, BAD_CLIENTS + 1)
    ]


def _breaches(calls: list[rig.Call], now_ms: float) -> list[str]:
    """Return the sound requests that have no answer, or one after their time."""
    breaches = []
    for call in calls:
        if not call.answers:
            breaches.append(f"{call.rid}: no answer {now_ms - call.sent_ms:.0f} ms later")
            continue
        after_ms = call.answers[0][0] - call.sent_ms
        if after_ms > BUDGET_MS + GRACE_MS:
            breaches.append(f"{call.rid}: answered {after_ms:.0f} ms after it was sent")
    return breaches


async def _case(case: rig.Case) -> list[str]:
    await case.add_engines(4)
    await case.start_board()
    broker = case.add_broker(rig.settings(), memory_mb=192)
    await broker.start()
    client = await case.client(broker, "sound")
    bad = _bad_clients(broker) if rig.has_trouble() else []
    calls = []
    for turn in range(30):
        if turn == 10:
            case.record.note(f"{len(bad)} bad clients send {REQUESTS_EACH} requests each, at once")
            for each in bad:
                each.start()
        calls.append(client.send("lookup", BUDGET_MS))
        await asyncio.sleep(0.1)
    await asyncio.sleep((BUDGET_MS + GRACE_MS + 500) / 1000)
    case.record.note(f"the broker holds {broker.private_mb:.1f} MB of 192")
    breaches = _breaches(calls, case.record.ms())
    case.record.note(f"sound: {len(calls)} sent, {len(breaches)} lost")
    await broker.kill()
    for each in bad:
        case.record.note(f"a bad client got {dict(each.answers)}")
        each.close()
    return breaches


rig.main(_case, FOLDER)
