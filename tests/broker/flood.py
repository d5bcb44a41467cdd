"""Clients of one process that write at full speed and read what they are sent.

Run as ``python -m tests.broker.flood KIND COUNT HOST PORT``; it prints a line once all clients are
connected and goes on until it is killed. A client that the broker closes comes again.
"""

from __future__ import annotations

import contextlib
import itertools
import selectors
import socket
import struct
import sys
from collections.abc import Callable, Iterator

from tests.client_calls import interrupt
from tests.thrift_messages import execute

CALLS_PER_BURST = 40

Bursts = Callable[[int], Iterator[bytes]]


class Template:
    """A request whose sequence id and id are filled in without encoding it again."""

    RID = "f" * 16
    SEQID = 0x7F7F7F7F

    def __init__(self, statement: bytes, **fields: str) -> None:
        base = {"method": "lookup", "rid": self.RID, "budget": "2500"} | fields
        encoded = execute(self.SEQID, base, statement)
        self._head, rest = encoded.split(struct.pack(">i", self.SEQID), 1)
        self._middle, self._tail = rest.split(self.RID.encode(), 1)

    def fill(self, seqid: int, rid: int) -> bytes:
        return b"".join(
            (self._head, struct.pack(">i", seqid), self._middle, b"%016x" % rid, self._tail)
        )


def repeated(template: Template, client: int) -> Iterator[bytes]:
    numbers = itertools.count(1)
    while True:
        burst = list(itertools.islice(numbers, CALLS_PER_BURST))
        yield b"".join(template.fill(n, (client << 32) + n) for n in burst)


def long_statements(client: int) -> Iterator[bytes]:
    """Requests of which each takes long to read."""
    return repeated(Template(b"select " + b"a " * 32_000), client)


def short_fields(client: int) -> Iterator[bytes]:
    """Heads of very many short fields."""
    return repeated(Template(b"select 1", **{f"{n:x}": "" for n in range(1_000)}), client)


def checks(_client: int) -> Iterator[bytes]:
    """Calls that are answered at once."""
    burst = b"".join(
        struct.pack(">iIi5siB", 18, 0x80010001, 5, b"check", n, 0) for n in range(1, 501)
    )
    return itertools.repeat(burst)


def unsound_calls(client: int) -> Iterator[bytes]:
    """Calls without a usable field, of unknown methods and classes, and cancellations of no call."""
    for number in itertools.count():
        yield b"".join(
            execute(n, {"method": f"{client}-{number}-{n}"}, b"x")
            + execute(n + 100, {}, b"x", name=f"m{client}-{number}-{n}")
            + interrupt(n + 200)
            for n in range(1, 21)
        )


def new_names(client: int) -> Iterator[bytes]:
    """Loads of ever new ids, keys, tenants, tables and fields."""
    for burst in itertools.count():
        parts = []
        for n in range(1, CALLS_PER_BURST + 1):
            seqid = burst * CALLS_PER_BURST + n
            name = f"{client:x}-{seqid:x}"
            fields = {"method": "load", "rid": f"{(client << 32) + seqid:016x}", "budget": "2500"}
            more = {"obj": name, "acct": name, "token": name, name: name}
            statement = f"insert into s_{seqid % 10**9}.t values ({n})".encode()
            parts.append(execute(seqid, fields | more, statement))
        yield b"".join(parts)


KINDS: dict[str, Bursts] = {
    each.__name__: each
    for each in (long_statements, short_fields, checks, unsound_calls, new_names)
}


class FloodingClient:
    """One connection."""

    def __init__(self, address: tuple[str, int], bursts: Iterator[bytes]) -> None:
        self._address = address
        self._bursts = bursts
        self._unsent = memoryview(b"")
        self.sock = socket.create_connection(address)
        self.sock.setblocking(False)

    def write(self) -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                if not self._unsent:
                    self._unsent = memoryview(next(self._bursts))
                self._unsent = self._unsent[self.sock.send(self._unsent) :]

    def read(self) -> None:
        """Read what has come; raise ConnectionError at the end."""
        if not self.sock.recv(1 << 16):
            raise ConnectionResetError


def run(kind: str, count: int, address: tuple[str, int]) -> None:
    bursts = KINDS[kind]
    numbers = itertools.count(1)
    with selectors.DefaultSelector() as selector:

        def connect() -> None:
            client = FloodingClient(address, bursts(next(numbers)))
            selector.register(client.sock, selectors.EVENT_READ | selectors.EVENT_WRITE, client)

        for _ in range(count):
            connect()
        print("connected", flush=True)
        while True:
            for key, events in selector.select():
                try:
                    if events & selectors.EVENT_READ:
                        key.data.read()
                    if events & selectors.EVENT_WRITE:
                        key.data.write()
                except OSError:
                    selector.unregister(key.fileobj)
                    key.data.sock.close()
                    with contextlib.suppress(OSError):
                        connect()


if __name__ == "__main__":
    _, chosen, client_count, host, port = sys.argv
    run(chosen, int(client_count), (host, int(port)))
