"""A broker on loopback sockets; a test simulates its discovery service, engines and clients."""

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

MIN_WAIT_STEPS = 200
MIN_WAIT_S = 3.0  # a thread or another process that a condition depends on may wait for a core


class Peer:
    """A socket of the test, read without blocking.

    Attributes:
        received: The bytes that have arrived, without those that the test has removed.
        ended: Whether the connection has ended.
    """

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.received = b""
        self.ended = False
        sock.setblocking(False)

    def read(self) -> bytes:
        """Read what has arrived; return all bytes that the test has not removed yet."""
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
    """One broker and its peers, which the test simulates.

    Attributes:
        now: The time of both clocks, in seconds.
        listeners: The listening sockets of the discovery service ("board") and the engines, by name.
        discovery_peer: The broker's connection to the discovery service.
        memory_mb: The memory use that each broker reports. The real use of this process would
            include what earlier tests have left allocated.
        rev: The revision of the endpoint list that was sent last.
        seqid: The sequence number of the last call.
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
        # The engines answer no health checks unless a test does it. With this fraction the decisions
        # expect no answer in time, so no request waits for one.
        self.broker.balancer.health_checks.answered_fraction = 0.0
        self.make_contracts = make_contracts
        self.brokers = [self.broker]
        self.broker.start()
        self.discovery_peer = self.accept("board")
        # Counts the first poll as answered, so that the broker accepts clients at once.
        self.broker.discovery.has_answered = True
        self.seqid = 0

    def prefer_engine(self, engine: str) -> None:
        """Make the other engines appear a little more loaded: equal ones are chosen at random."""
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
        """Return the body of the next answer of the discovery service, with one watch event.

        Args:
            entries: For each engine its name, the name of its listener, and its lifecycle state.
            reset: Whether the event replaces the whole list.
        """
        self.rev += 1
        instances = [
            {
                "instanceId": name,
                "hostPort": self.address(listener_name),
                "zone": "room-a",
                "machineType": "std-8",
                "cell": 1,
                "lifecycle": state,
                "weight": 1,
                "startedAtMs": 0,
            }
            for name, listener_name, state in entries
        ]
        return {
            "rev": self.rev,
            "notices": [{"rev": self.rev, "pool": {"reset": reset, "instances": instances}}],
        }

    def publish_endpoints(self, *entries) -> None:
        """Send a watch event to the broker, and wait until it is applied."""
        body = json.dumps(self.discovery_answer(*entries)).encode()
        self.discovery_peer.sock.send(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
        )
        self.until(lambda: self.broker.endpoints.revision == self.rev)

    def step(self, ms: float) -> None:
        """Run one iteration of each broker's event loop; together they wait at most ``ms``."""
        for broker in self.brokers:
            broker.loop.step(ms / len(self.brokers))

    def successor(self) -> Broker:
        """Start a successor in a thread, since its start blocks until the predecessor greets it."""
        successor = Broker(
            self.broker.config,
            Loop(lambda: self.now),
            lambda: self.now,
            handover_path=self.broker.hot_restart.listener.path,
            memory_mb=lambda: self.memory_mb,
            make_contracts=self.make_contracts,
        )
        successor.balancer.health_checks.answered_fraction = 0.0
        start_thread = threading.Thread(target=successor.start)
        start_thread.start()
        self.until(lambda: not start_thread.is_alive())
        start_thread.join()
        self.brokers.append(successor)
        return successor

    def until(self, condition: Callable[[], object], steps: int = MIN_WAIT_STEPS) -> None:
        """Step until the condition holds; fail only after ``steps`` steps and ``MIN_WAIT_S``."""
        deadline_s = time.monotonic() + MIN_WAIT_S
        while steps > 0 or time.monotonic() < deadline_s:
            if condition():
                return
            self.step(5)
            steps -= 1
        raise AssertionError("the condition did not become true in time")

    def advance_ms(self, ms: float, step_ms: float = 20.0) -> None:
        """Advance both clocks in steps, with one iteration of the event loops after each."""
        for _ in range(int(ms // step_ms)):
            self.now += step_ms / 1000
            self.step(0)

    def accept(self, name: str) -> Peer:
        """Return the next connection to the engine or discovery service of that name."""
        accepted = []

        def accept_connection() -> bool:
            try:
                accepted.append(self.listeners[name].accept()[0])
            except BlockingIOError:
                return False
            return True

        self.until(accept_connection)
        return self.register_peer(Peer(accepted[0]))

    def register_peer(self, peer: Peer) -> Peer:
        """Register a peer, whose socket is closed after the test; return it."""
        self.peers.append(peer)
        return peer

    def client(self) -> Peer:
        """Return a new connection of a client."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 16)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # small writes are sent at once
        sock.connect(self.broker.frontend.listener.sock.getsockname())
        return self.register_peer(Peer(sock))

    def send_request(self, client: Peer, method: str = "lookup", rid: str = "", **more) -> str:
        """Send a request, and wait until the broker has admitted it; return its id."""
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
        """Return a client, the id of its request, and the engine that has received the request."""
        client = self.client()
        rid = self.send_request(client)
        engine = self.accept("s-0")
        self.expect(engine, b"REQ")
        return client, rid, engine

    def read_answer(self, client: Peer) -> bytes:
        """Return the next frame that the client receives."""
        frames = []

        def read_frame() -> bool:
            ring = RingBuffer(1 << 20)
            ring.write(client.read())
            frame = thrift.next_frame(ring)
            if frame is None:
                return False
            client.received = ring.take(len(ring))
            frames.append(frame)
            return True

        self.until(read_frame)
        return frames[0]

    def close(self) -> None:
        """Close all sockets."""
        for broker in self.brokers:
            broker.close()
        for sock in [*self.listeners.values(), *(peer.sock for peer in self.peers)]:
            sock.close()

    def notice(self, *entries, reset: bool = False) -> discovery_protocol.WatchEvent:
        """Return the next watch event, decoded."""
        return discovery_protocol.watch_events(self.discovery_answer(*entries, reset=reset), 0)[0]
