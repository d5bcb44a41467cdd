"""Case 1: a statement with unclosed dollar quotes stops the broker; usual requests are lost."""

from __future__ import annotations

import asyncio
import struct
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import rig  # noqa: E402  (the folder of the stand-ins is known only here)

LOOKUP_S = 0.1
BUDGET_S = 2.5
# The page on the standing service: later than half a second after its time, an answer is lost. The
# protocol's slack of 50 ms comes on top.
GRACE_S = 0.55
CLIENTS = 4
GAP_S = 0.1
PLAY_S = 8.0
BAD_AFTER_S = 2.0
STATEMENT = b"select slot from sales_17.orders where site = 4"
# Bytes of the bad client's statement: a fifth of the frame that this broker reads.
BAD_BYTES = 150_000


def unreadable_statement() -> bytes:
    """Return a text with thousands of dollar quotes of which none is closed."""
    parts = []
    size = 0
    number = 0
    while size < BAD_BYTES:
        parts.append(b"$a%d$ " % number)
        size += len(parts[-1])
        number += 1
    return b"select " + b"".join(parts)


async def bad_client(record: rig.Record, port: int) -> None:
    """Send one unreadable statement, and read what comes."""
    reader, writer = await asyncio.open_connection(rig.HOST, port)
    fields = {"method": "lookup", "rid": "00000000000000ff", "budget": "2500"}
    frame = rig.execute_frame(1, fields, unreadable_statement())
    writer.write(frame)
    await writer.drain()
    record.write(f"bad client sent an unreadable statement, frame of {len(frame)} bytes")
    try:
        size = struct.unpack(">i", await reader.readexactly(4))[0]
        answer = rig.decode_answer(await reader.readexactly(size))
        record.write(f"bad client got {answer.kind}")
    except (OSError, asyncio.IncompleteReadError):
        record.write("bad client's connection ended")
    writer.close()


async def usual_traffic(client: rig.Client, calls: list[rig.Call]) -> None:
    """Send 10 lookups a second, as long as the connection carries less than 32 open ones."""
    waits = []
    for _ in range(round(PLAY_S / GAP_S)):
        if client.open_count < rig.MAX_OPEN:
            call = await client.execute("lookup", BUDGET_S, STATEMENT)
            calls.append(call)
            waits.append(asyncio.create_task(client.wait(call, GRACE_S)))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*waits)


async def case(record: rig.Record, with_trouble: bool) -> list[str]:
    """Play the case; return the usual requests that were lost."""
    engines = [rig.Engine(record, f"s-{n}", lambda _: LOOKUP_S) for n in range(4)]
    board = rig.Board(record)
    for engine in engines:
        await engine.start()
    await board.start()
    board.tell([rig.serving(engine) for engine in engines], reset=True)
    broker = rig.Broker(record, board)
    broker.start()
    calls: list[rig.Call] = []
    bad = None
    try:
        await broker.ready()
        clients = [rig.Client(record, f"c{n}") for n in range(CLIENTS)]
        for client in clients:
            await client.connect(broker.port)
        traffic = [asyncio.create_task(usual_traffic(client, calls)) for client in clients]
        await asyncio.sleep(BAD_AFTER_S)
        if with_trouble:
            bad = asyncio.create_task(bad_client(record, broker.port))
        await asyncio.gather(*traffic)
        if broker.status is not None:
            record.write(f"the broker has ended with {broker.status}")
    finally:
        broker.stop()
        if bad is not None:
            bad.cancel()
    if not any(call.answers for call in calls):
        raise rig.CouldNotRunError("no request was answered at all")
    broken = [f"{call.request_id}: {why}" for call in calls if (why := call.lost(GRACE_S))]
    for line in broken:
        record.write(f"broken: {line}")
    record.write(f"verdict: {len(broken)} of {len(calls)} usual requests lost")
    return broken


if __name__ == "__main__":
    sys.exit(rig.play(FOLDER, case, 60.0))
