"""Real processes under clients that make them hold memory: the limit holds, sound calls go on.

Guards against the kill of a broker of 64 MB by 12 clients that sent 200 large requests each at once
(docs/incidents/2026-12-05-clients-exhaust-memory.md).
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections.abc import Callable, Iterator

import pytest

from tests.broker.broker_process import BrokerProcess, SoundClient
from tests.thrift_messages import execute

ATTACK_S = 2.5
HALF_BYTES = 31_000


def lookup(number: int, statement: bytes, **more: str) -> bytes:
    fields = {"method": "lookup", "rid": f"{number:016x}", "budget": "2500"} | more
    return execute(number, fields, statement)


def write_until_the_end(sock: socket.socket, data: bytes, end_s: float) -> None:
    """Write and read at full speed."""
    with contextlib.suppress(OSError), sock:
        reader = threading.Thread(target=read_all, args=(sock,), daemon=True)
        reader.start()
        sock.sendall(data)
        while time.monotonic() < end_s and reader.is_alive():
            time.sleep(0.01)


def read_all(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        while sock.recv(1 << 16):
            pass


def bursts(broker: BrokerProcess, end_s: float) -> None:
    """Clients send many of the largest requests at once."""
    statement = b"select * from sales_17.orders -- ".ljust(largest_statement(broker), b"x")
    data = b"".join(lookup(number, statement) for number in range(1, 101))
    run_all(write_until_the_end, broker, data, 24, end_s)


def halves(broker: BrokerProcess, end_s: float) -> None:
    """Hundreds of clients stop half way through a large request."""
    half = lookup(1, b"x" * largest_statement(broker))[:HALF_BYTES]
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(broker.connect()) for _ in range(650)]
        for sock in socks:
            sock.sendall(half)
        while time.monotonic() < end_s:
            time.sleep(0.01)


def slow_writers(broker: BrokerProcess, end_s: float) -> None:
    """Hundreds of clients write large requests slowly."""
    data = lookup(1, b"x" * largest_statement(broker))
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(broker.connect()) for _ in range(300)]
        position = 0
        while time.monotonic() < end_s:
            for sock in socks:
                with contextlib.suppress(OSError):
                    sock.send(data[position : position + 4096], socket.MSG_DONTWAIT)
            position = (position + 4096) % len(data)
            time.sleep(0.01)


def many_short_fields(broker: BrokerProcess, end_s: float) -> None:
    """Clients send heads of very many short fields."""
    fields = {f"{number:x}": "" for number in range(1_000)}
    data = b"".join(lookup(number, b"select 1", **fields) for number in range(1, 201))
    run_all(write_until_the_end, broker, data, 100, end_s)


def unread_answers(broker: BrokerProcess, end_s: float) -> None:
    """Clients read no answer."""
    data = b"".join(lookup(number, b"x" * 2_000) for number in range(1, 2_001))
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(broker.connect()) for _ in range(200)]
        for sock in socks:
            sock.setblocking(False)
        while time.monotonic() < end_s:
            for sock in socks:
                with contextlib.suppress(OSError):
                    sock.send(data)
            time.sleep(0.01)


def largest_statement(broker: BrokerProcess) -> int:
    return int(broker.memory_mb * 1e6 / 256) - 200


def run_all(
    attack: Callable[[socket.socket, bytes, float], None],
    broker: BrokerProcess,
    data: bytes,
    count: int,
    end_s: float,
) -> None:
    threads = [
        threading.Thread(target=attack, args=(broker.connect(), data, end_s), daemon=True)
        for _ in range(count)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@pytest.fixture
def broker_process(tmp_path) -> Iterator[Callable[[int], BrokerProcess]]:
    made = []

    def make(memory_mb: int) -> BrokerProcess:
        made.append(BrokerProcess(tmp_path, memory_mb))
        return made[-1]

    yield make
    for each in made:
        each.close()


@pytest.mark.parametrize("memory_mb", [32, 192])
@pytest.mark.parametrize(
    "attack", [bursts, halves, slow_writers, many_short_fields, unread_answers]
)
def test_process_keeps_its_memory_limit_and_answers_sound_clients(
    broker_process, attack, memory_mb
):
    broker = broker_process(memory_mb)
    with SoundClient(broker) as sound:
        end_s = time.monotonic() + ATTACK_S
        attacker = threading.Thread(target=attack, args=(broker, end_s), daemon=True)
        attacker.start()
        while attacker.is_alive():
            assert sound.lookup() in ("served", "refused")
            time.sleep(0.02)
        assert broker.process.poll() is None
        assert broker.peak_mb < memory_mb
        outcomes = []
        for _ in range(20):  # at the pace of before; the pressure is reviewed each 100 ms
            outcomes.append(sound.lookup())
            time.sleep(0.02)
        assert "served" in outcomes
