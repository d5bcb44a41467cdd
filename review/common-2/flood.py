"""Bad clients that send hundreds of requests at once, each in a thread of its own."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading
from collections import Counter

import rig


class FloodingClient:
    """One connection that writes many requests at full speed and reads what it is sent.

    Attributes:
        answers: The answers so far, by kind.
    """

    def __init__(self, address: tuple[str, int], requests: bytes) -> None:
        """Connect; nothing is sent yet."""
        self.answers: Counter[str] = Counter()
        self._requests = requests
        self._sock = socket.create_connection(address, timeout=60)
        jobs = (self._write, self._read)
        self._threads = [threading.Thread(target=each, daemon=True) for each in jobs]

    def start(self) -> None:
        """Begin to write and to read."""
        for thread in self._threads:
            thread.start()

    def _write(self) -> None:
        with contextlib.suppress(OSError):
            self._sock.sendall(self._requests)

    def _read(self) -> None:
        with contextlib.suppress(OSError, ValueError), self._sock.makefile("rb") as source:
            while head := source.read(4):
                frame = source.read(struct.unpack(">i", head)[0])
                self.answers[rig.decode_answer(frame)[1].kind] += 1

    def close(self) -> None:
        """Leave."""
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_RDWR)
        for thread in self._threads:
            if thread.is_alive():
                thread.join(5)
        self._sock.close()


def requests(count: int, lane: str, budget_ms: int, statement: bytes, first: int = 0) -> bytes:
    """Return the bytes of many requests, each with an id of its own."""
    frames = []
    for number in range(1, count + 1):
        fields = {"method": lane, "rid": f"{first + number:016x}", "budget": str(budget_ms)}
        frames.append(rig.execute_frame(number, fields, statement))
    return b"".join(frames)
