"""The queue of calls in the order of their arrival."""

from __future__ import annotations

from umberusher.frontend.call_queue import MAX_RUN_S, Arrival, CallQueue, PendingCall
from umberusher.protocol.thrift import Execute


class Client:
    """Begins calls, each of which takes ``cost_s`` of the clock ``now``."""

    def __init__(self, cost_s: float = 0.0) -> None:
        self.cost_s = cost_s
        self.now = 0.0
        self.begun: list[int] = []
        self.dropped_count = 0
        self.has_failed = False

    def begin_call(self, pending: PendingCall) -> None:
        self.now += self.cost_s
        self.begun.append(pending.call.seqid)

    def usage_level(self) -> int:
        return 0

    def drop_call(self) -> None:
        self.dropped_count += 1

    def close_after_fault(self) -> None:
        self.has_failed = True

    def call(self, number: int, by_s: float) -> PendingCall:
        return PendingCall(self, Execute(number, {}, b""), Arrival(0.0, 0.0, by_s))


def test_call_queue_begins_calls_in_the_order_of_arrival():
    client = Client()
    queue = CallQueue(lambda: client.now)
    for number, by_s in ((1, 3.0), (2, 1.0), (3, 2.0)):
        queue.add(client.call(number, by_s))
    queue.run()
    assert client.begun == [2, 3, 1] and not queue.is_pending


def test_call_queue_lets_the_loop_read_again_after_a_short_time():
    client = Client(cost_s=MAX_RUN_S / 4)
    queue = CallQueue(lambda: client.now)
    for number in range(10):
        queue.add(client.call(number, float(number)))
    queue.run()
    assert client.begun == [0, 1, 2, 3] and queue.is_pending
    queue.add(client.call(10, 5.5))  # read later, though it had arrived before
    while queue.is_pending:
        queue.run()
    assert client.begun == [0, 1, 2, 3, 4, 5, 10, 6, 7, 8, 9]


def test_call_queue_keeps_a_call_that_is_read_while_it_runs_for_the_next_time():
    """Calls of other connections, which are not read yet, may have arrived earlier."""
    client = Client()
    queue = CallQueue(lambda: client.now)
    late = client.call(2, 2.0)
    begin = client.begin_call
    client.begin_call = lambda pending: (begin(pending), queue.add(late))
    queue.add(client.call(1, 1.0))
    queue.run()
    assert client.begun == [1] and queue.is_pending
    client.begin_call = begin
    queue.run()
    assert client.begun == [1, 2] and not queue.is_pending


def test_call_queue_begins_no_withdrawn_call():
    client = Client()
    queue = CallQueue(lambda: client.now)
    withdrawn = client.call(1, 1.0)
    withdrawn.is_withdrawn = True
    queue.add(withdrawn)
    queue.add(client.call(2, 2.0))
    queue.run()
    assert client.begun == [2] and client.dropped_count == 1


def test_call_queue_continues_when_a_call_raises():
    """An exception must end the connection of its call, and no other call."""
    failing = Client()
    other = Client()
    queue = CallQueue(lambda: 0.0)

    def raise_error(_pending):
        raise ValueError("fault")

    failing.begin_call = raise_error
    queue.add(failing.call(1, 1.0))
    queue.add(other.call(2, 2.0))
    while queue.is_pending:
        queue.run()
    assert failing.has_failed and not other.has_failed
    assert other.begun == [2] and not queue.is_pending
