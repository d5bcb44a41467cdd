"""Bad clients hold half a request each: a sound client's accepted loads have to be answered."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import rig  # noqa: E402

BAD_CLIENTS = 40
HALF_BYTES = 40_000
LOADS = 3
LOAD_MS = 3000.0
# 75 KB, as a load of many rows in one statement has.
ROW = b"(4711, 'site 12, beachfront', 180.00),"
STATEMENT = b"insert into sales_17.bookings values " + ROW * (75_000 // len(ROW))
BUDGET_MS = 20_000


async def _bad_client(case: rig.Case, broker: rig.Broker, number: int) -> None:
    """Send the first part of a request, and read until the broker closes; then leave."""
    fields = {"method": "lookup", "rid": f"{number:016x}", "budget": "2500"}
    half = rig.execute_frame(1, fields, b"select 1 -- " + b"x" * 100_000)[:HALF_BYTES]
    loop = asyncio.get_running_loop()
    with socket.socket() as sock:
        sock.setblocking(False)
        await loop.sock_connect(sock, broker.address)
        with contextlib.suppress(ConnectionError):
            await loop.sock_sendall(sock, half)
            while await loop.sock_recv(sock, 4096):
                pass
    case.record.note(f"bad client {number} was closed by the broker")


async def _case(case: rig.Case) -> list[str]:
    await case.add_engines(4)
    for engine in case.engines:
        engine.work_ms = lambda run: LOAD_MS if run.lane == "load" else 50.0
    await case.start_board()
    broker = case.add_broker(rig.settings())
    await broker.start()
    client = await case.client(broker, "portal")
    statement = b"insert into sales_17.bookings values (1)"
    calls = [
        client.send("load", BUDGET_MS, statement, key=f"{number:016x}") for number in range(LOADS)
    ]
    await asyncio.sleep(0.5)
    bad = []
    if rig.has_trouble():
        case.record.note(f"{BAD_CLIENTS} bad clients send half a request each")
        bad = [
            asyncio.ensure_future(_bad_client(case, broker, number))
            for number in range(1, BAD_CLIENTS + 1)
        ]
    await asyncio.sleep(0.5)
    calls.append(client.send("load", BUDGET_MS, STATEMENT, key=f"{LOADS:016x}"))
    await asyncio.sleep(2 * LOAD_MS / 1000)
    for job in bad:
        job.cancel()
    await asyncio.gather(*bad, return_exceptions=True)
    ran = {run.rid: run.end for engine in case.engines for run in engine.runs}
    return [
        f"load {call.rid}: its connection ended without an answer; at its engine: "
        f"{ran.get(call.rid, 'never sent')}"
        for call in calls
        if not call.answers and client.closed.is_set()
    ]


rig.main(_case, FOLDER)
