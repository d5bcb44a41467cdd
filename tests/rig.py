"""A broker on loopback sockets; a test plays its discovery service, engines and clients."""

from __future__ import annotations

import json
import socket
import threading
import time
from collections.abc import Callable

from tests.test_config import CONF
from tests.thrift_messages import execute
from umberusher import config
from umberusher.broker.broker import Broker
from umberusher.net.loop import Loop
from umberusher.net.ring import RingBuffer
from umberusher.protocol import discovery as discovery_protocol
from umberusher.protocol import thrift

MEMORY_MB = 20.0

UNTIL_STEPS = 200
UNTIL_S = 3.0
"""How long a condition is waited for at least: a thread or another process may lack a core."""


class Peer:
    """A socket of the test's, read without waiting."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.received = b""
        self.ended = False
        sock.setblocking(False)

    def read(self) -> bytes:
        """Return all that has arrived and was not taken yet."""
        try:
            data = self.sock.recv(1 << 16)
            self.ended = self.ended or not data
            self.received += data
        except BlockingIOError:
            pass
        except OSError:
            self.ended = True
        return self.received


class Rig:
    """One broker with its peers, all played by the test.

    Attributes:
        now: The time of both clocks, in seconds.
        memory_mb: What each broker reports to hold: this process holds what all tests before left.
        rev: The revision of the endpoint list that was sent last.
        brokers: The broker and its successors.
    """

    def __init__(
        self,
        engines: int = 1,
        handover_path: str | None = None,
        cancel: bool = False,
        make_contracts=None,
        receipts: bool = False,
        health_checks: bool = True,
    ) -> None:
        self.now = 1_700_000_000.0
        self.listeners = {
            name: self._listen() for name in ["board", *(f"s-{n}" for n in range(engines))]
        }
        self.rev = 0
        self.peers: list[Peer] = []
        self.memory_mb = MEMORY_MB
        conf = CONF | {
            "listen": "127.0.0.1:1",
            "board": self.address("board"),
            "known": self.discovery_answer(
                *[(f"s-{n}", f"s-{n}", "SERVING") for n in range(engines)], reset=True
            ),
        }
        parsed = config.parse(conf)
        parsed.listen = ("127.0.0.1", 0)
        parsed.settings.limits.cancellation = cancel
        parsed.settings.limits.health_checks = health_checks
        self.broker = Broker(
            parsed,
            Loop(lambda: self.now),
            lambda: self.now,
            handover_path=handover_path,
            memory_mb=lambda: self.memory_mb,
            make_contracts=make_contracts,
            receipts=receipts,
        )
        # No health check is answered unless a test does it: no request waits for one.
        self.broker.balancer.health_checks.answered_fraction = 0.0
        self.make_contracts = make_contracts
        self.brokers = [self.broker]
        self.broker.start()
        self.discovery_peer = self.accept("board")
        # As if the first poll had been answered.
        self.broker.discovery.has_answered = True
        self.seqid = 0

    def prefer_engine(self, engine: str) -> None:
        """Let the decisions hold the others for a little fuller: equals go by lot."""
        for other in self.broker.balancer.engines.values():
            other.threads_in_flight += 0.01 * (other.id != engine)

    def _listen(self) -> socket.socket:
        sock = socket.create_server(("127.0.0.1", 0))
        sock.setblocking(False)
        return sock

    def address(self, name: str) -> str:
        """Return ``host:port`` of the engine or discovery service of that name."""
        return f"127.0.0.1:{self.listeners[name].getsockname()[1]}"

    def discovery_answer(self, *entries, reset=False) -> dict:
        self.rev += 1
        made = [
            {
                "instanceId": name,
                "hostPort": self.address(place),
                "zone": "room-a",
                "machineType": "std-8",
                "cell": 1,
                "lifecycle": state,
                "weight": 1,
                "startedAtMs": 0,
            }
            for name, place, state in entries
        ]
        return {
            "rev": self.rev,
            "notices": [{"rev": self.rev, "pool": {"reset": reset, "instances": made}}],
        }

    def publish_endpoints(self, *entries) -> None:
        body = json.dumps(self.discovery_answer(*entries)).encode()
        self.discovery_peer.sock.send(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )
        self.until(lambda: self.broker.endpoints.revision == self.rev)

    def step(self, ms: float) -> None:
        """Run each broker's loop once; it waits for events no longer than that."""
        for broker in self.brokers:
            broker.loop.step(ms / len(self.brokers))

    def successor(self) -> Broker:
        """Start a successor; its start waits for the greeting, so the old loop runs meanwhile."""
        new = Broker(
            self.broker.config,
            Loop(lambda: self.now),
            lambda: self.now,
            handover_path=self.broker.hot_restart.listener.path,
            memory_mb=lambda: self.memory_mb,
            make_contracts=self.make_contracts,
        )
        new.balancer.health_checks.answered_fraction = 0.0
        begun = threading.Thread(target=new.start)
        begun.start()
        self.until(lambda: not begun.is_alive())
        begun.join()
        self.brokers.append(new)
        return new

    def until(self, condition: Callable[[], object], steps: int = UNTIL_STEPS) -> None:
        """Step until the condition holds, for so many steps and ``UNTIL_S`` at least."""
        limit = time.monotonic() + UNTIL_S
        while steps > 0 or time.monotonic() < limit:
            if condition():
                return
            self.step(5)
            steps -= 1
        raise AssertionError("it did not come to that")

    def advance_ms(self, ms: float, step: float = 20.0) -> None:
        """Let time pass."""
        for _ in range(int(ms // step)):
            self.now += step / 1000
            self.step(0)

    def accept(self, name: str) -> Peer:
        """Return the next connection to the engine or discovery service of that name."""
        found = []

        def come() -> bool:
            try:
                found.append(self.listeners[name].accept()[0])
            except BlockingIOError:
                return False
            return True

        self.until(come)
        return self.register_peer(Peer(found[0]))

    def register_peer(self, peer: Peer) -> Peer:
        """Close the peer after the test."""
        self.peers.append(peer)
        return peer

    def client(self) -> Peer:
        """Return a new connection of a client."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # small writes wait for nothing
        sock.connect(self.broker.frontend.listener.sock.getsockname())
        return self.register_peer(Peer(sock))

    def send_request(self, client: Peer, method: str = "lookup", rid: str = "", **more) -> str:
        self.seqid += 1
        rid = rid or f"{self.seqid:016x}"
        fields = {"method": method, "rid": rid, "budget": "2000"} | more
        client.sock.send(execute(self.seqid, fields, b"select * from park_1.sites"))
        self.until(lambda: rid in self.broker.registry.requests)
        return rid

    def expect(self, peer: Peer, text: bytes) -> None:
        """Wait until the peer has received the text."""
        self.until(lambda: text in peer.read())

    def start_request(self) -> tuple[Peer, str, Peer]:
        """A client, the id of its request, and the engine that has it."""
        client = self.client()
        rid = self.send_request(client)
        engine = self.accept("s-0")
        self.expect(engine, b"REQ")
        return client, rid, engine

    def read_answer(self, client: Peer) -> bytes:
        """The next frame."""
        found = []

        def come() -> bool:
            ring = RingBuffer(1 << 20)
            ring.write(client.read())
            frame = thrift.next_frame(ring)
            if frame is None:
                return False
            client.received = ring.take(len(ring))
            found.append(frame)
            return True

        self.until(come)
        return found[0]

    def close(self) -> None:
        """Close all sockets."""
        for broker in self.brokers:
            broker.close()
        for sock in [*self.listeners.values(), *(peer.sock for peer in self.peers)]:
            sock.close()

    def notice(self, *entries, reset: bool = False) -> discovery_protocol.WatchEvent:
        """The next notice, as a value."""
        return discovery_protocol.watch_events(self.discovery_answer(*entries, reset=reset), 0)[0]
