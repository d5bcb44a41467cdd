"""A real process with few descriptors, which idle clients use up while discovery is down."""

from __future__ import annotations

import contextlib
import copy
import json
import os
import resource
import select
import signal
import socket
import subprocess
import sys
import time

from tests.broker.broker_process import list_of_one_engine
from tests.test_config import CONF
from tests.thrift_messages import execute

MAX_SOCKETS = 64  # the smallest limit that a configuration may set


def free_address() -> tuple[str, int]:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()


def cpu_ticks(pid: int) -> int:
    """Return the processor time that a process has used, in hundredths of a second."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as source:
        return sum(map(int, source.read().split()[13:15]))


def read_until(sock: socket.socket, mark: bytes, seconds: float) -> bytes:
    """Return the input up to the mark; empty if the mark does not arrive in time."""
    received, end = b"", time.monotonic() + seconds
    while mark not in received and time.monotonic() < end:
        if select.select([sock], [], [], 0.1)[0]:
            chunk = sock.recv(1 << 16)
            if not chunk:
                break
            received += chunk
    return received if mark in received else b""


def test_process_reaches_discovery_and_engines_when_idle_clients_fill_its_descriptors(
    tmp_path,
):
    listen, discovery_address, admin = free_address(), free_address(), free_address()
    engine = socket.create_server(("127.0.0.1", 0))
    conf = copy.deepcopy(CONF) | {
        "listen": f"{listen[0]}:{listen[1]}",
        "board": f"{discovery_address[0]}:{discovery_address[1]}",
        "admin": f"{admin[0]}:{admin[1]}",
    }
    conf["limits"]["sockets"] = MAX_SOCKETS
    conf["known"] = list_of_one_engine(engine.getsockname())
    path = tmp_path / "config.json"
    path.write_text(json.dumps(conf))
    env = {key: value for key, value in os.environ.items() if not key.startswith("LB_")} | {
        "LB_CONFIG": str(path)
    }
    with contextlib.ExitStack() as stack:
        stack.enter_context(engine)
        process = stack.enter_context(
            subprocess.Popen(
                [sys.executable, "-m", "umberusher", "serve"],
                env=env,
                stderr=subprocess.PIPE,
                preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, (MAX_SOCKETS, MAX_SOCKETS)
                ),
            )
        )
        idle: list[socket.socket] = []
        try:
            assert process.stderr.readline()  # the process listens
            for _ in range(3 * MAX_SOCKETS):
                idle.append(stack.enter_context(socket.create_connection(listen, 5)))
            time.sleep(0.2)
            assert len(os.listdir(f"/proc/{process.pid}/fd")) <= MAX_SOCKETS
            caller = stack.enter_context(socket.create_connection(admin, 5))
            caller.sendall(b"GET /ops/stats HTTP/1.1\r\nHost: x\r\n\r\n")
            assert read_until(caller, b"engines_known", 5)
            discovery_server = stack.enter_context(socket.create_server(discovery_address))
            discovery_server.settimeout(5)
            discovery_connection = stack.enter_context(discovery_server.accept()[0])
            assert read_until(discovery_connection, b"GET /board/poll?watch=1", 5)
            client = stack.enter_context(socket.create_connection(listen, 5))
            client.sendall(
                execute(1, {"method": "lookup", "rid": "1" * 16, "budget": "2000"}, b"select 1")
            )
            engine.settimeout(5)
            engine_connection = stack.enter_context(engine.accept()[0])
            assert read_until(engine_connection, b"REQ 1111111111111111", 5)
            engine_connection.sendall(b"1111111111111111 HIT count=1 6\r\na\t1\t2\n\r\n")
            assert read_until(client, b"a\t1\t2\n", 5)
            before = cpu_ticks(process.pid)
            time.sleep(0.5)
            assert cpu_ticks(process.pid) - before < 25  # no busy loop: less than half of the 0.5 s
        finally:
            process.send_signal(signal.SIGTERM)
            for each in idle:
                each.close()
            assert process.wait(10) == 0
