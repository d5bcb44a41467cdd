"""A broker as a real process, an engine that answers at once, and clients that block."""

from __future__ import annotations

import contextlib
import copy
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import BinaryIO

from tests.test_config import CONF
from tests.thrift_messages import execute

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SAMPLE_INTERVAL_S = 0.002
START_TIMEOUT_S = 10.0


def free_address() -> tuple[str, int]:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()


class LoopbackServer:
    """A server that serves each connection in a thread."""

    def __init__(self) -> None:
        self.server = socket.create_server(("127.0.0.1", 0), backlog=256)
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.server.accept()
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        with contextlib.suppress(OSError, ValueError), sock, sock.makefile("rb") as source:
            self.answer_all(sock, source)

    def answer_all(self, sock: socket.socket, source: BinaryIO) -> None:
        """Read and answer until the connection ends."""
        raise NotImplementedError

    def close(self) -> None:
        self.server.close()


class AnsweringEngine(LoopbackServer):
    """An engine that answers each request with one row."""

    def answer_all(self, sock: socket.socket, source: BinaryIO) -> None:
        while line := source.readline():
            words = line.split()
            if words[0] == b"REQ":
                source.read(int(words[3]) + 2)
                sock.sendall(words[1] + b" HIT count=1 6\r\na\tb\tc\n\r\n")
            elif words[0] in (b"HELO", b"STAT"):
                sock.sendall(words[1] + b" PONG -\r\n")


class SilentDiscovery(LoopbackServer):
    """A discovery service that answers each poll after its linger time: nothing has changed."""

    ANSWER = b'{"rev":1,"notices":[]}'

    def answer_all(self, sock: socket.socket, source: BinaryIO) -> None:
        while line := source.readline():
            if line.startswith(b"GET"):
                linger_ms = int(line.split(b"linger=")[1].split()[0])
            elif line == b"\r\n":
                time.sleep(linger_ms / 1000)
                head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.ANSWER)
                sock.sendall(head + self.ANSWER)


def list_of_one_engine(address: tuple[str, int]) -> dict:
    """Return the endpoint list of a configuration whose only engine is at an address."""
    entry = {
        "instanceId": "s-0",
        "hostPort": f"{address[0]}:{address[1]}",
        "zone": "a",
        "cell": 1,
        "machineType": "std-8",
        "lifecycle": "SERVING",
        "weight": 1,
        "startedAtMs": 0,
    }
    return {
        "rev": 1,
        "notices": [{"rev": 1, "pool": {"reset": True, "instances": [entry]}}],
    }


class BrokerProcess:
    """One broker process, whose private memory is sampled all the time.

    Attributes:
        peak_mb: The most private memory that was seen, in MB of 10^6 bytes.
    """

    def __init__(self, folder: Path, memory_mb: int, descriptors: int = 1024) -> None:
        self.memory_mb = memory_mb
        self.engine = AnsweringEngine()
        self.discovery = SilentDiscovery()
        # Last, so that neither of the others is given the port that is only looked up here.
        self.address = free_address()
        self._log = folder / "broker.log"
        board = self.discovery.server.getsockname()
        conf = copy.deepcopy(CONF) | {
            "listen": f"{self.address[0]}:{self.address[1]}",
            "board": f"{board[0]}:{board[1]}",
        }
        conf["limits"] = {"cores": 1.0, "memory_mb": memory_mb, "sockets": descriptors}
        conf["known"] = list_of_one_engine(self.engine.server.getsockname())
        path = folder / "config.json"
        path.write_text(json.dumps(conf))
        env = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "umberusher", "serve"],
            env=env | {"LB_CONFIG": str(path), "TMPDIR": str(folder)},
            stderr=self._log.open("w"),
        )
        self.peak_mb = 0.0
        self._stopped = threading.Event()
        self._watcher = threading.Thread(target=self._watch, daemon=True)
        self._watcher.start()
        self._await_ready()

    def private_mb(self) -> float:
        _, resident, shared, *_ = map(
            int, Path(f"/proc/{self.process.pid}/statm").read_text().split()
        )
        return (resident - shared) * PAGE_BYTES / 1e6

    def _watch(self) -> None:
        with contextlib.suppress(OSError, ValueError):
            while not self._stopped.wait(SAMPLE_INTERVAL_S):
                self.peak_mb = max(self.peak_mb, self.private_mb())

    def _await_ready(self) -> None:
        """Wait until the process serves."""
        give_up_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < give_up_s:
            with contextlib.suppress(OSError), SoundClient(self) as client:
                if client.lookup() == "served":
                    return
            time.sleep(0.05)
        status = self.process.poll()
        last_lines = self._log.read_text()[-2_000:]
        raise AssertionError(f"the broker does not serve; exit status {status}; log: {last_lines}")

    def connect(self) -> socket.socket:
        return socket.create_connection(self.address, timeout=5)

    def close(self) -> None:
        self._stopped.set()
        self._watcher.join()
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.engine.close()
        self.discovery.close()


class SoundClient:
    """A client that sends one request after the other and waits for each answer."""

    def __init__(self, broker: BrokerProcess) -> None:
        self._sock = broker.connect()
        self._source = self._sock.makefile("rb")
        self._number = 0

    def __enter__(self) -> SoundClient:
        return self

    def __exit__(self, *_: object) -> None:
        self._source.close()
        self._sock.close()

    def lookup(self, statement: bytes = b"select 1") -> str:
        """Return how a lookup was answered: served, refused or failed."""
        self._number += 1
        rid = f"{id(self) & 0xFFFFFFFF:08x}{self._number:08x}"
        fields = {"method": "lookup", "rid": rid, "budget": "2500"}
        self._sock.sendall(execute(self._number, fields, statement))
        (size,) = struct.unpack(">i", self._source.read(4))
        frame = self._source.read(size)
        if b"a\tb\tc\n" in frame:
            return "served"
        return "refused" if b"\x0c\x00\x01" in frame else "failed"
