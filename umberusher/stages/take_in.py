"""Take in: clients' connections, and their calls as tickets. The one stage that knows the front's protocol."""

from __future__ import annotations

import errno
import logging
import re
import socket
from collections.abc import Callable

from umberusher import interface as api
from umberusher.net import connection
from umberusher.net.connection import Connection, Raw, State
from umberusher.net.loop import READ, Coroutine, Loop, Wait
from umberusher.protocol import statement, thrift
from umberusher.stages.admit import Admit
from umberusher.ticket import Ticket

log = logging.getLogger(__name__)
INBOUND = thrift.MAX_FRAME + 4  # one frame of the largest size fits
OUTBOUND = 1 << 20  # an answer is 48,000 bytes of rows at the most
OPEN_MOST = 64  # open calls of one connection; clients promise 32
ACCEPTS = 64  # connections accepted in one go, so that open ones get their turn
PAUSE_MS = 20.0  # rest of the listener when descriptors have run out
RID = re.compile(r"[0-9a-fA-F]{16}")


class Written(Raw):
    """An answer that tells its client when it is with the kernel."""

    __slots__ = ("then",)

    def __init__(self, data: bytes, then: Callable[[], None]) -> None:
        super().__init__(data)
        self.then = then

    def written(self) -> None:
        """Tell."""
        self.then()


class ThriftCaller:
    """A call that waits for its answer."""

    __slots__ = ("client", "seqid")

    def __init__(self, client: Client, seqid: int) -> None:
        self.client, self.seqid = client, seqid

    def served(self, rows: bytes) -> None:
        """Answer."""
        self.client.reply(self.seqid, thrift.answer("execute", self.seqid, rows, {}, True))

    def refused(self, backoff_ms: float | None) -> None:
        """Trylater."""
        fields = {} if backoff_ms is None else {"backoff": str(round(backoff_ms))}
        self.client.reply(self.seqid, thrift.trylater(self.seqid, fields))

    def failed(self, why: str) -> None:
        """Aborted."""
        self.client.reply(self.seqid, thrift.aborted(self.seqid, {"reason": why}))


def ticket(call: thrift.Execute, caller: ThriftCaller, now_ms: float) -> Ticket | str:
    """A call as a ticket; a text that tells what is wrong with it."""
    fields = call.fields
    rid, method = fields.get("rid", ""), fields.get("method", "")
    if not RID.fullmatch(rid):
        return "field rid must be 16 hex digits"
    if not re.fullmatch(r"[\w.-]{1,64}", method):
        return "field method must name a class"
    numbers: dict[str, float | None] = {}
    for name, low, high in (("budget", 1.0, 3.6e6), ("est", 0.0, 1e12), ("ram", 0.0, 1e12)):
        try:
            numbers[name] = float(fields[name]) if name in fields else None
        except ValueError:
            return f"field {name} must be a number"
        if numbers[name] is not None and not low <= numbers[name] <= high:  # also what is not a number
            return f"field {name} is out of range"
    if numbers["budget"] is None:
        return "field budget is missing"
    if fields.get("again", "0") not in ("0", "1"):
        return "field again must be 1 or absent"
    group = statement.table_group(call.body)
    if isinstance(group, statement.BadStatement):
        return f"statement: {group.why}"
    arrival = api.Arrival(rid, method, now_ms + numbers["budget"], work_ms=numbers["est"], memory_mb=numbers["ram"],
                          group=group, key=fields.get("obj") or None, retried=fields.get("again") == "1")
    return Ticket(arrival, call.body, caller)


class Client:
    """One client's connection with its open calls."""

    def __init__(self, front: TakeIn, conn: Connection) -> None:
        self.front, self.conn = front, conn
        self.open: dict[int, Ticket] = {}
        self.used_ms = front.now_ms()
        conn.on_data, conn.on_closed = self._data, self._closed

    def _data(self) -> None:
        self.used_ms = self.front.now_ms()
        while self.conn.state is State.OPEN and not self.conn.paused:
            frame = thrift.next_frame(self.conn.inbound)
            if frame is None:
                return
            if isinstance(frame, thrift.Malformed):
                # Guards against a stream that has lost its frames: nothing after this can be read.
                log.warning("client closed: %s", frame.why)
                self.conn.close("malformed")
                return
            self._call(thrift.decode(frame))

    def _call(self, call: thrift.Execute | thrift.Interrupt | thrift.Check | thrift.Malformed) -> None:
        if isinstance(call, thrift.Execute):
            self._execute(call)
        elif isinstance(call, thrift.Interrupt):
            found = self.open.pop(call.target, None)
            if found:
                self.front.admit.leave(found)
        elif isinstance(call, thrift.Check):
            good = self.front.good()
            self._write(thrift.answer("check", call.seqid, b"", {}, good))
        elif call.seqid is None:
            log.warning("client closed: %s", call.why)
            self.conn.close("malformed")
        else:
            self._complain(call.seqid, call.name, call.kind, call.why)

    def _complain(self, seqid: int, name: str, kind: int, why: str) -> None:
        log.warning("call turned away: %s", why)
        self._write(thrift.application_exception(name, seqid, kind, why))

    def _execute(self, call: thrift.Execute) -> None:
        if call.seqid in self.open:
            # Guards against two answers under one number: the client could not tell them apart.
            log.warning("client closed: sequence number %s is open already", call.seqid)
            self.conn.close("malformed")
            return
        taken = ticket(call, ThriftCaller(self, call.seqid), self.front.now_ms())
        if isinstance(taken, str):
            self._complain(call.seqid, "execute", thrift.PROTOCOL_ERROR, taken)
            return
        self.open[call.seqid] = taken
        self._pace()
        self.front.admit.take(taken)

    def _pace(self) -> None:
        """Read no more while the client has too much open or takes no answers; go on once that is over."""
        paused = len(self.open) >= OPEN_MOST or len(self.conn.outbox) >= OPEN_MOST
        if self.conn.paused and not paused:  # whole calls may lie in the ring, and no event will tell of them
            self.front.loop.call_later(0, self.conn.process)
        self.conn.pause(paused)

    def _write(self, data: bytes) -> None:
        self.conn.send(Written(data, self._pace))
        self._pace()

    def reply(self, seqid: int, data: bytes) -> None:
        """Write the answer of an open call."""
        if self.open.pop(seqid, None) is None:
            return
        self.used_ms = self.front.now_ms()
        self._write(data)

    def _closed(self, why: str) -> None:
        self.front.clients.discard(self)
        left, self.open = list(self.open.values()), {}
        for each in left:
            self.front.admit.leave(each)


class TakeIn:
    """The listener and its clients."""

    def __init__(self, loop: Loop, admit: Admit, now_ms: Callable[[], float], good: Callable[[], bool],
                 most: int) -> None:
        self.loop, self.admit, self.now_ms, self.good, self.most = loop, admit, now_ms, good, most
        self.clients: set[Client] = set()
        self.listener: socket.socket | None = None

    def listen(self, address: tuple[str, int]) -> None:
        """Open the listener; OSError where the address can't be had."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(address)
            sock.listen(1024)
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        self.listener = sock
        self.loop.spawn(self._accept(sock))

    def _accept(self, sock: socket.socket) -> Coroutine:
        events = READ
        while True:
            yield Wait(sock.fileno(), events)
            events = READ
            for _ in range(ACCEPTS):
                try:
                    client, _ = sock.accept()
                except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                    break
                except OSError as error:
                    # Guards against a full table of descriptors: the listener rests instead of spinning or dying.
                    log.warning("accept: %s", errno.errorcode.get(error.errno, error.errno))
                    self._evict()
                    events = 0
                    self.loop.call_later(PAUSE_MS, self._listen_again)
                    break
                self._admit_client(client)

    def _listen_again(self) -> None:
        if self.listener:
            self.loop.watch(self.listener.fileno(), READ)

    def _admit_client(self, sock: socket.socket) -> None:
        if len(self.clients) >= self.most and not self._evict():
            # Guards the descriptors that engines and the notice board need.
            log.warning("client turned away: %d connections are open", len(self.clients))
            sock.close()
            return
        conn = connection.accepted(self.loop, sock, INBOUND, OUTBOUND)
        self.clients.add(Client(self, conn))
        self.loop.spawn(conn.serve())

    def _evict(self) -> bool:
        """Close the connection without open calls that has been quiet for longest."""
        quiet = [c for c in self.clients if not c.open and c.conn.idle and not len(c.conn.inbound)]
        if quiet:
            min(quiet, key=lambda c: c.used_ms).conn.close("evicted")
        return bool(quiet)

    @property
    def idle(self) -> bool:
        """No call is open and all answers are with the kernel."""
        return all(not c.open and c.conn.idle for c in self.clients)

    def close(self) -> None:
        """Close the listener and all clients."""
        if self.listener:
            self.loop.forget(self.listener.fileno())
            self.listener.close()
            self.listener = None
        for client in list(self.clients):
            client.conn.close("the broker ends")
