"""Plays a trace of the model of one request against a real broker, on sockets and a fake clock.

Used by tests/upstream/test_request_life.py up to a small depth, and by scripts/explore_life.py
beyond it.
"""

from __future__ import annotations

import socket
import struct

from tests.client_calls import interrupt
from tests.rig import Peer, Rig
from umberusher.checker.events import Outcome
from umberusher.checker.request_model import Event, Phase, RequestState, step
from umberusher.net.ring import RingBuffer
from umberusher.protocol import thrift

ROWS = b"a\tb\tc\n"
# Of several allowed states that match the observation, the first in this order is chosen.
PHASE_ORDER = (
    Phase.AWAITING_RETRY,
    Phase.ENDED,
    Phase.RECEIVING_PAGES,
    Phase.QUEUED,
    Phase.SENT,
)


class DeviationError(Exception):
    """The broker did something that the model does not allow."""


class Player:
    """Plays events on one request, on a rig with two engines."""

    def __init__(self, rig: Rig, unsafe: bool) -> None:
        self.rig, self.state = rig, RequestState(unsafe)
        self.client = rig.client()
        self.rid = rig.send_request(
            self.client,
            "load" if unsafe else "lookup",
            budget="3400",
            **({"obj": "k"} if unsafe else {}),
        )
        self.engines: list[Peer] = []
        self.send_count = 0
        self.holder: Peer | None = None  # the engine connection that holds the attempt in flight
        self.last: Peer | None = None
        self.answers: list[Outcome] = []
        self.time_has_passed = False

    def poll(self) -> None:
        """Step the broker, and read what has arrived."""
        for _ in range(4):
            self.rig.step(0)
            for name in ("s-0", "s-1"):
                try:
                    self.engines.append(
                        self.rig.register_peer(Peer(self.rig.listeners[name].accept()[0]))
                    )
                    self.engines[-1].name = name
                except BlockingIOError:
                    pass
        for peer in self.engines:
            count = peer.read().count(b"REQ " + self.rid.encode())
            if count > getattr(peer, "reqs", 0):
                self.send_count += count - getattr(peer, "reqs", 0)
                peer.reqs, self.holder = count, peer
        ring = RingBuffer(1 << 20)
        ring.write(self.client.read())
        self.client.received = b""
        while (frame := thrift.next_frame(ring)) is not None:
            if b"backoff" in frame:
                self.answers.append(Outcome.REJECTED)
            elif b"reason" in frame:
                self.answers.append(Outcome.FAILED)
            else:
                self.answers.append(Outcome.SERVED)
        self.client.received = ring.take(len(ring))

    def settle(self) -> None:
        """Poll several times: held requests are retried on the ticks of the decisions."""
        for _ in range(8):
            self.poll()

    def apply(self, event: Event) -> bool:
        """Apply an event; return False where it can't happen in the present state of the broker."""
        rid, holder = self.rid.encode(), self.holder
        if event is Event.FULLY_SENT:
            for _ in range(40):
                self.poll()
                if self.send_count > self.state.attempt_count or self.answers:
                    break
                self.rig.now += 0.005
            return self.send_count > self.state.attempt_count
        if event in (Event.CLIENT_DISCONNECTED, Event.CLIENT_INTERRUPTED):
            if event is Event.CLIENT_DISCONNECTED:
                self.client.sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
                )
                self.client.sock.close()
                self.client.read = lambda: b""
            else:
                self.client.sock.send(interrupt(self.rig.seqid))
        elif event is Event.DEADLINE:
            self.rig.advance_ms(3_500, 10.0)
            self.time_has_passed = True
        elif event is Event.PAGES_STOPPED:
            self.rig.advance_ms(1_700, 10.0)
            self.time_has_passed = True
        elif event is Event.STALL:
            self.rig.now += 0.1
        elif event is Event.ENGINE_DRAINING:
            if holder is None or holder.ended or self.time_has_passed:
                # After a deadline the discovery connection was silent for long and was replaced.
                return False
            self.rig.publish_endpoints((holder.name, holder.name, "DRAINING"))
        elif event is Event.CONNECTION_RESET:
            if holder is None or holder.ended:
                return False
            holder.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            holder.sock.close()
            holder.ended, holder.read = True, lambda: b""
        else:
            words = {
                Event.RESULT: b" HIT count=1 6\r\n" + ROWS + b"\r\n",
                Event.FIRST_PAGE: b" HIT count=2 6\r\n" + ROWS + b"\r\n",
                Event.LAST_PAGE: b" PART pos=1 6\r\n" + ROWS + b"\r\n",
                Event.SHED: b" SHED -\r\n",
                Event.EXPIRED_AT_ENGINE: b" LATE -\r\n",
                Event.ENGINE_FAULT: b" FAULT -\r\n",
                Event.SECOND_ANSWER: b" HIT count=1 6\r\n" + ROWS + b"\r\n",
            }
            peer = holder if holder is not None and not holder.ended else None
            if peer is None:
                return False
            try:
                peer.sock.send(rid + words[event])
            except OSError:
                return False
        self.settle()
        return True

    def play(self, trace: tuple[Event, ...]) -> int:
        """Play a trace as far as it can happen; return how many events did.

        Raises:
            DeviationError: The broker did something that the model does not allow.
        """
        for number, event in enumerate(trace):
            allowed = step(self.state, event)
            if not allowed:
                return number  # the broker has taken another path of the model
            if self.state.phase is Phase.AWAITING_RETRY and event is not Event.FULLY_SENT:
                self.settle()
                if self.send_count > self.state.attempt_count:
                    return number  # it was sent again before the event could happen
            if not self.apply(event):
                if event is Event.FULLY_SENT and self.answers:
                    self._check_end(event)
                return number
            self.state = self._observed_state(event, allowed)
        return len(trace)

    def _observed_state(self, event: Event, allowed: set[RequestState]) -> RequestState:
        """Return the allowed state that matches the observation."""
        disconnected = self.state.outcome is Outcome.DISCONNECTED or event in (
            Event.CLIENT_DISCONNECTED,
            Event.CLIENT_INTERRUPTED,
        )
        final = Outcome.DISCONNECTED if disconnected else self.answers[0] if self.answers else None
        if len(self.answers) > 1 or disconnected and self.answers:
            raise DeviationError(f"{event}: answers {self.answers}")
        # The broker may send the request before or after the event; in the model that is a separate
        # step.
        held = [each for each in allowed if each.waiting]
        allowed = allowed | {after for each in held for after in step(each, Event.FULLY_SENT)}
        if self.state.waiting:
            allowed |= {
                after for each in step(self.state, Event.FULLY_SENT) for after in step(each, event)
            }
        fitting = [
            each
            for each in allowed
            if each.outcome == final and each.attempt_count == self.send_count
        ]
        fitting.sort(key=lambda each: PHASE_ORDER.index(each.phase))
        if not fitting:
            raise DeviationError(
                f"{event} at {self.state}: seen final {final!r}, {self.send_count} sent; allowed {allowed}"
            )
        return fitting[0]

    def _check_end(self, event: Event) -> None:
        if len(self.answers) > 1:
            raise DeviationError(f"{event}: answers {self.answers}")
        if (
            self.answers == [Outcome.REJECTED]
            and self.state.non_idempotent
            and self.state.may_have_run
        ):
            raise DeviationError(f"{event}: refused what may have run")


def play_all(
    depth: int, unsafe: bool, traces, report=lambda text: None, cancel: bool = False
) -> tuple[int, int, list[str]]:
    """Play traces; return the number of traces, of events that happened, and the deviations."""
    count = events = 0
    deviations = []
    for trace in traces(depth, unsafe):
        rig = Rig(2, cancel=cancel)
        try:
            player = Player(rig, unsafe)
            events += player.play(trace)
        except (DeviationError, AssertionError) as error:
            deviations.append(f"{' '.join(trace)}: {error}")
        finally:
            rig.close()
        count += 1
        if not count % 500:
            report(f"{count} traces, {events} events, {len(deviations)} differ")
    return count, events, deviations
