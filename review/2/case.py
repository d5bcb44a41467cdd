"""Case 2: while the broker reads large statements, two loads of one key change places."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

import rig  # noqa: E402  (the folder of the stand-ins is known only here)

LOAD_S = 0.3
LOAD_BUDGET_S = 20.0
LOOKUP_BUDGET_S = 2.4
REPORT_BUDGET_S = 12.0
# A round each: how long after the large requests the usual ones follow. By then the broker has them
# whole and is reading the statements; on a slow machine that takes longer.
WAITS_S = (0.03, 0.05, 0.08, 0.05, 0.03)
ROUNDS = len(WAITS_S)
ROUND_S = 4.0
# Clients write requests of one key at least 60 ms apart, and 250 ms after a new connection.
KEY_GAP_S = 0.07
# Clients that send much at once and go.
LARGE_CLIENTS = 3
# Bytes of a large statement; this broker reads frames of up to 750 KB.
LARGE_BYTES = 700_000
LOOKUP = b"select slot from sales_17.orders where site = 4"
ROW = b"(17, 'beachfront', '2026-12-04'), "


def staging_load() -> bytes:
    """Return a large load into the schema of staging tables, which belongs to no group."""
    rows = ROW * (LARGE_BYTES // len(ROW))
    return b"insert into staging.orders values " + rows + b"(0, '', '')"


def keyed_load(number: int) -> bytes:
    """Return a load that sets the price of one site."""
    return b"update sales_17.prices set price = %d where site = 4" % number


async def send_much_and_go(record: rig.Record, port: int, name: str) -> None:
    """Send one large request on a connection of its own, and close it."""
    client = rig.Client(record, name)
    await client.connect(port)
    await client.execute("report", REPORT_BUDGET_S, staging_load())
    client.close()


async def one_round(
    record: rig.Record, port: int, clients: list[rig.Client], number: int, with_trouble: bool
) -> tuple[rig.Call, rig.Call]:
    """Send two loads of one key, the second one 70 ms after the first; return both."""
    record.write(f"round {number}")
    if with_trouble:
        large = [send_much_and_go(record, port, f"large-{n}") for n in range(LARGE_CLIENTS)]
        await asyncio.gather(*large)
    await asyncio.sleep(WAITS_S[number - 1])
    # Usual traffic of the connection on which the second load will come.
    await clients[0].execute("lookup", LOOKUP_BUDGET_S, LOOKUP)
    await asyncio.sleep(0.01)
    key = f"{number:016x}"
    first = await clients[1].execute("load", LOAD_BUDGET_S, keyed_load(1), key)
    await asyncio.sleep(KEY_GAP_S)
    second = await clients[0].execute("load", LOAD_BUDGET_S, keyed_load(2), key)
    await asyncio.sleep(ROUND_S)
    return first, second


def order_break(engines: list[rig.Engine], first: rig.Call, second: rig.Call) -> str | None:
    """Return how the order of two loads was broken; empty if it was kept, None if one never ran."""
    started = {run.request_id: run.at for engine in engines for run in engine.runs}
    if second.request_id not in started or first.request_id not in started:
        return None
    ahead_s = started[first.request_id] - started[second.request_id]
    if ahead_s <= 0:
        return ""
    gap_s = second.sent_at - first.sent_at
    return (
        f"{second.request_id} was sent {gap_s:.3f} s after {first.request_id} and begun "
        f"{ahead_s:.3f} s before it"
    )


async def case(record: rig.Record, with_trouble: bool) -> list[str]:
    """Play the case; return the pairs of loads that changed places."""
    engines = [rig.Engine(record, f"s-{n}", lambda _: LOAD_S) for n in range(4)]
    board = rig.Board(record)
    for engine in engines:
        await engine.start()
    await board.start()
    board.tell([rig.serving(engine) for engine in engines], reset=True)
    broker = rig.Broker(record, board)
    broker.start()
    broken: list[str] = []
    judged = 0
    try:
        await broker.ready()
        for number in range(1, ROUNDS + 1):
            clients = [rig.Client(record, f"key-{n}") for n in range(2)]
            for client in clients:
                await client.connect(broker.port)
                await client.execute("lookup", LOOKUP_BUDGET_S, LOOKUP)
            await asyncio.sleep(1.0)
            first, second = await one_round(record, broker.port, clients, number, with_trouble)
            why = order_break(engines, first, second)
            judged += why is not None
            if why:
                broken.append(why)
            for client in clients:
                client.close()
        if broker.status is not None:
            record.write(f"the broker has ended with {broker.status}")
    finally:
        broker.stop()
    if not judged:
        raise rig.CouldNotRunError("no pair of loads ran")
    for line in broken:
        record.write(f"broken: {line}")
    record.write(f"verdict: {len(broken)} of {judged} pairs of loads changed places")
    return broken


if __name__ == "__main__":
    sys.exit(rig.play(FOLDER, case, 90.0))
