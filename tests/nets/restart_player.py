"""The peers of a real ``serve`` process in a hot restart: discovery, an engine, a client and the other process.

All of them are simulated over sockets with literal bytes; nothing of the program is imported.
"""

from __future__ import annotations

import contextlib
import http.client
import json
import os
import re
import select
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Iterator
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

from tests.nets.commands import FIXTURES, ROOT, environment

TIMEOUT_S = 20.0  # bounds every wait
POLL_INTERVAL_S = 0.01  # between two checks of a condition
HOST = "127.0.0.1"
USAGE_MESSAGE = re.compile(rb'\{"use": \[[0-9.]+, (\d+), (\d+)\]\}\n')
ROWS = b"a\t1\t2\n"


def wait_until(condition: Callable[[], Any]) -> Any:
    """Poll a condition until it is true; return its value."""
    deadline_s = time.monotonic() + TIMEOUT_S
    while not (value := condition()):
        if time.monotonic() > deadline_s:
            raise AssertionError(f"the condition did not become true within {TIMEOUT_S:g} s")
        select.select([], [], [], POLL_INTERVAL_S)
    return value


def discovery_entry(
    name: str, port: int, state: str = "SERVING", **overrides: Any
) -> dict[str, Any]:
    """Return the entry of one engine as discovery sends it."""
    fields = {"instanceId": name, "hostPort": f"{HOST}:{port}", "zone": "room-a", "weight": 8}
    return (
        fields
        | {"machineType": "std-8", "cell": 1, "lifecycle": state, "startedAtMs": 0}
        | overrides
    )


class DiscoveryServer:
    """A discovery service that answers long polls."""

    def __init__(self, port: int) -> None:
        self.notices: list[dict[str, Any]] = []
        self.polled_revisions: list[int] = []  # the revision after which each poll asked for events
        self.changed = threading.Condition()
        discovery = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:  # noqa: N802  (the name that http.server calls)
                query = parse_qs(urlsplit(self.path).query)
                body = discovery.answer(int(query["watch"][0]), int(query["linger"][0]) / 1000)
                self.send_response(200)
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_: Any) -> None:
                """Suppress the log of requests."""

        class Server(ThreadingHTTPServer):
            daemon_threads = True

            def handle_error(self, *_: Any) -> None:
                """Ignore errors: a process may end while its poll is open."""

        self.server = Server((HOST, port), Handler)
        self.port = port
        threading.Thread(
            target=self.server.serve_forever, args=(POLL_INTERVAL_S,), daemon=True
        ).start()

    def answer(self, watch: int, linger_s: float) -> bytes:
        """Return the body of a response, once there are new events or the poll times out."""
        with self.changed:
            self.polled_revisions.append(watch)
            self.changed.wait_for(lambda: len(self.notices) > watch, linger_s)
            return json.dumps({"rev": len(self.notices), "notices": self.notices[watch:]}).encode()

    def publish(self, *entries: dict[str, Any], reset: bool = False) -> None:
        """Add a watch event."""
        with self.changed:
            pool = {"reset": reset, "instances": list(entries)}
            self.notices.append({"rev": len(self.notices) + 1, "pool": pool})
            self.changed.notify_all()

    def close(self) -> None:
        """Stop the service."""
        self.server.shutdown()
        self.server.server_close()


class Stream:
    """A socket with blocking reads up to a mark, a frame or a message."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock, self.got = sock, b""
        sock.settimeout(TIMEOUT_S)

    def _receive(self) -> None:
        data = self.sock.recv(1 << 16)
        if not data:
            raise AssertionError(f"the other side has closed; unread: {self.got[:200]!r}")
        self.got += data

    def read_until(self, mark: bytes) -> bytes:
        """Return the data up to a mark, including the mark."""
        while mark not in self.got:
            self._receive()
        data, mark, self.got = self.got.partition(mark)
        return data + mark

    def frame(self) -> bytes:
        """Return one Thrift frame without its size."""
        while len(self.got) < 4 or len(self.got) < 4 + struct.unpack(">i", self.got[:4])[0]:
            self._receive()
        size = struct.unpack(">i", self.got[:4])[0]
        data, self.got = self.got[4 : 4 + size], self.got[4 + size :]
        return data

    def message(self) -> bytes:
        """Return the next message other than a usage message, which is sent whenever the memory changes."""
        while USAGE_MESSAGE.fullmatch(line := self.read_until(b"\n")):
            pass
        return line

    def usage_message(self, clients: int, engines: int) -> bytes:
        """Return the next usage message with these numbers of connections, its memory replaced by ``M``."""
        expected = str(clients).encode(), str(engines).encode()
        while (
            not (match := USAGE_MESSAGE.fullmatch(line := self.read_until(b"\n")))
            or match.groups() != expected
        ):
            assert match, f"expected a usage message, got {line[:200]!r}"
        return re.sub(rb"\[[0-9.]+", b"[M", line)


def _text(value: bytes) -> bytes:
    return struct.pack(">i", len(value)) + value


def execute_call(seqid: int, rid: str) -> bytes:
    """Return a call as a client encodes it, with its frame."""
    fields = {"method": "lookup", "rid": rid, "budget": "2400"}
    pairs = b"".join(_text(key.encode()) + _text(value.encode()) for key, value in fields.items())
    head = struct.pack(">I", 0x80010001) + _text(b"execute") + struct.pack(">i", seqid)
    body = struct.pack(">bhbbi", 13, 1, 11, 11, len(fields)) + pairs
    return _text(head + body + struct.pack(">bh", 11, 2) + _text(b"select 1") + b"\0")


def interrupt_call(seqid: int, target: int) -> bytes:
    """Return a call that cancels another one."""
    head = struct.pack(">I", 0x80010004) + _text(b"interrupt") + struct.pack(">i", seqid)
    return _text(head + struct.pack(">bhi", 8, 1, target) + b"\0")


def open_listener() -> socket.socket:
    """Return a listening socket at a port that the kernel chooses."""
    return socket.create_server((HOST, 0))


def reserve_port() -> socket.socket:
    """Return a socket that reserves a port chosen by the kernel, for a process that will listen there.

    The socket never listens, and the process shares the port by SO_REUSEADDR. Without it another process could get the
    port between its choice and its use.
    """
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, 0))
    return sock


class RestartTestbed:
    """A discovery service, an engine's listener, and ``serve`` processes at one address."""

    def __init__(self, stack: contextlib.ExitStack) -> None:
        self.stack = stack
        # A short path, since that of a Unix socket is limited to 107 bytes.
        self.folder = Path(tempfile.mkdtemp(prefix="net"))
        stack.callback(shutil.rmtree, self.folder)
        self.contract = FIXTURES / "teams.star"
        # The port stays reserved after discovery has stopped: a later poll must not reach another process.
        self.discovery = DiscoveryServer(self.close_at_end(reserve_port()).getsockname()[1])
        stack.callback(self.discovery.close)
        self.engine = self.close_at_end(open_listener())
        self.engine.settimeout(TIMEOUT_S)
        self.port = self.engine.getsockname()[1]

    def close_at_end(self, sock: socket.socket) -> socket.socket:
        """Close a socket when the test ends."""
        self.stack.callback(sock.close)
        return sock

    def path(self, port: int) -> str:
        """Return the path of the hot-restart socket of a broker at a port."""
        return str(self.folder / f"umberusher-{HOST}-{port}.sock")

    def serve(self, port: int, *arguments: str) -> Process:
        """Start a ``serve`` process that listens at a port."""
        configuration = json.loads((FIXTURES / "configuration.json").read_text())
        configuration |= {"listen": f"{HOST}:{port}", "board": f"{HOST}:{self.discovery.port}"}
        configuration |= {"known": {"rev": 0, "notices": []}}
        configuration["settings"]["limits"]["probes"] = False
        configuration["settings"]["limits"]["cancel"] = True
        configuration["admin"] = f"{HOST}:{self.close_at_end(reserve_port()).getsockname()[1]}"
        (self.folder / "configuration.json").write_text(json.dumps(configuration))
        process = Process(self.folder, port, configuration["admin"], arguments)
        self.stack.callback(process.kill)
        return process


class Process:
    """One ``serve`` process."""

    def __init__(self, folder: Path, port: int, admin: str, arguments: tuple[str, ...]) -> None:
        self.port, self.admin = port, admin
        with (folder / "log").open("ab") as log:
            self.child = subprocess.Popen(
                [sys.executable, "-m", "umberusher", "serve", *arguments],
                env=environment(ROOT)
                | {"LB_CONFIG": str(folder / "configuration.json"), "TMPDIR": str(folder)},
                stdout=log,
                stderr=log,
            )

    def call(self, method: str, path: str) -> tuple[int, str]:
        """Make a request to the admin listener; the status is 0 if it is not reachable."""
        connection = http.client.HTTPConnection(self.admin, timeout=TIMEOUT_S)
        try:
            connection.request(method, path)
            response = connection.getresponse()
            return response.status, response.read().decode()
        except OSError:
            return 0, ""
        finally:
            connection.close()

    def ready(self) -> bool:
        """Return whether the process is ready to serve."""
        assert self.child.poll() is None, "the process has ended"
        return self.call("GET", "/ops/readiness")[0] == 200

    def excluded_engines(self) -> str:
        """Return the number of engines that the process excludes."""
        text = self.call("GET", "/ops/stats")[1]
        lines = [line.split() for line in text.splitlines() if not line.startswith("#")]
        return next(line[1] for line in lines if line[0].endswith("engines_excluded"))

    def client(self) -> Stream:
        """Return a new client connection."""
        return Stream(socket.create_connection((HOST, self.port)))

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.child.send_signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process if it still runs."""
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()


@contextlib.contextmanager
def restart_testbed() -> Iterator[RestartTestbed]:
    """Yield a testbed; release its resources at the end."""
    with contextlib.ExitStack() as stack:
        yield RestartTestbed(stack)


def connect_as_successor(
    testbed: RestartTestbed, path: str
) -> tuple[Stream, list[socket.socket], bytes]:
    """Connect as a successor; return the link, the listener and channel received, and the byte sent with them."""
    link = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    testbed.close_at_end(link)
    link.settimeout(TIMEOUT_S)
    link.connect(path)
    first_byte, fds, _, _ = socket.recv_fds(link, 1, 2)
    received_sockets = [testbed.close_at_end(socket.socket(fileno=fd)) for fd in fds]
    return Stream(link), received_sockets, first_byte


def listen_as_predecessor(testbed: RestartTestbed, port: int) -> socket.socket:
    """Listen at the hot-restart socket as a process of the broker would."""
    sock = testbed.close_at_end(socket.socket(socket.AF_UNIX, socket.SOCK_STREAM))
    sock.bind(testbed.path(port))
    sock.listen(1)
    sock.settimeout(TIMEOUT_S)
    return sock


def greet_successor(
    testbed: RestartTestbed,
    restart_listener: socket.socket,
    client_listener: socket.socket,
    hello: bytes,
) -> Any:
    """Greet a successor with a listener and a channel; return the link and the local end of the channel."""
    link = testbed.close_at_end(restart_listener.accept()[0])
    channel, remote_channel = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    with (
        remote_channel,
        client_listener,
    ):  # closed before the successor may need the address
        socket.send_fds(link, [b"L"], [client_listener.fileno(), remote_channel.fileno()])
    link.sendall(hello)
    testbed.close_at_end(channel).settimeout(TIMEOUT_S)
    return Stream(link), channel


def inode(path: str) -> int:
    """Return the inode of a file; 0 if there is none."""
    with contextlib.suppress(OSError):
        return os.stat(path).st_ino
    return 0
