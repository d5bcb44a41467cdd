"""A discovery service that answers late: changes still have to be heard in time."""

from __future__ import annotations

import itertools
import json
import re
import socket

import pytest

from tests.discovery.scripted_discovery import ScriptedDiscovery
from umberusher.discovery.client import (
    FIRST_POLL_LINGER_MS,
    MAX_WATCHES,
    OVERDUE_AFTER_MS,
    POLL_LINGER_MS,
)

STEP_S = 0.01
# A change counts as announced after this time, whether it was heard or not.
ANNOUNCED_AFTER_S = 7.0
# The news of a watch that stops counts as announced this long after the end of its wait; another
# poll has to be answered by then.
ANNOUNCED_AFTER_WAIT_S = 2.0
MARGIN_S = 0.5
SILENCE_S = 10.0
# Polls of late answers, as a multiple of those that a quick service gets in the same time.
MAX_POLL_RATIO_WHEN_LATE = 1.5
POLL = re.compile(rb"GET /board/poll\?watch=(\d+)&linger=(\d+) ")


class SlowDiscovery(ScriptedDiscovery):
    """A service that answers each poll correctly, ``delay_s`` late.

    Attributes:
        delay_s: How late; None to answer nothing at all.
        board_revision: The newest revision, which counts from ``changed_at_s``.
    """

    def __init__(self, delay_s: float | None) -> None:
        super().__init__(b"")
        self.delay_s = delay_s
        self.board_revision = 0
        self.changed_at_s = 0.0
        self.held: list[tuple[float, float, socket.socket, int]] = []

    def change(self) -> None:
        self.board_revision += 1
        self.changed_at_s = self.now

    def _serve(self) -> None:
        try:
            while True:
                sock, _ = self.listener.accept()
                sock.setblocking(False)
                self.unsent[sock] = b""
        except OSError:
            pass
        for sock in list(self.unsent):
            try:
                for known, linger_ms in POLL.findall(sock.recv(1 << 16)):
                    self.polled_at_s.append(self.now)
                    lingers_until_s = self.now + int(linger_ms) / 1000
                    self.held.append((self.now, lingers_until_s, sock, int(known)))
            except OSError:
                pass
        for item in list(self.held):
            self._answer_if_due(*item)

    def _answer_if_due(
        self, polled_at_s: float, lingers_until_s: float, sock: socket.socket, known: int
    ) -> None:
        is_new = self.board_revision > known
        decided_at_s = max(polled_at_s, self.changed_at_s) if is_new else lingers_until_s
        if self.delay_s is None or self.now < decided_at_s + self.delay_s:
            return
        self.held.remove((polled_at_s, lingers_until_s, sock, known))
        notice = {"rev": self.board_revision, "pool": {"reset": False, "instances": []}}
        body = json.dumps({"rev": self.board_revision, "notices": [notice] if is_new else []})
        answer = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}"
        try:
            sock.send(answer.encode())
        except OSError:
            pass

    def run(self, seconds: float) -> None:
        end_s = self.now + seconds
        while self.now < end_s:
            self.now += STEP_S
            for _ in range(4):
                self._serve()
                self.loop.step(0)

    def close(self) -> None:
        super().close()
        for sock in [self.listener, *self.unsent]:
            sock.close()


@pytest.fixture
def slow():
    made = []

    def make(delay_s: float | None) -> SlowDiscovery:
        made.append(SlowDiscovery(delay_s))
        made[-1].client.start()
        return made[-1]

    yield make
    for each in made:
        each.close()


@pytest.mark.parametrize("delay_s", [0.0, 0.6, 0.8, 1.0, 2.0, 3.0])
@pytest.mark.parametrize("change_after_s", [8.0, 9.3, 10.7])
def test_client_hears_a_change_in_time_when_discovery_is_slow(slow, delay_s, change_after_s):
    """Case 3 of the review: each poll was given up after 0.7 s, and none of the answers awaited."""
    service = slow(0.0)
    service.run(3.0)
    service.delay_s = delay_s
    service.run(change_after_s - 3.0)
    service.change()
    service.run(ANNOUNCED_AFTER_S)
    assert service.revision == 1


@pytest.mark.parametrize("delay_s", [1.0, 1.5, 2.0])
@pytest.mark.parametrize("change_after_s", [3.0, 3.7, 4.4, 5.1])
def test_client_hears_a_change_in_time_when_discovery_becomes_slow_with_it(
    slow, delay_s, change_after_s
):
    service = slow(0.0)
    service.run(change_after_s)
    service.delay_s = delay_s
    service.change()
    service.run(ANNOUNCED_AFTER_S)
    assert service.revision == 1


def test_client_detects_silent_connection_soon_after_a_slow_time(slow):
    service = slow(2.0)
    service.run(12.0)
    service.delay_s = 0.0
    service.run(10.0)
    service.delay_s = None
    service.run(SILENCE_S)
    assert_polls_again_soon(service, service.now - SILENCE_S, POLL_LINGER_MS)


def test_client_detects_silent_connection_soon_in_a_slow_time(slow):
    """The time after which an answer is overdue doesn't follow the answers."""
    service = slow(2.0)
    service.run(12.0)
    service.delay_s = None
    service.run(SILENCE_S)
    assert_polls_again_soon(service, service.now - SILENCE_S, POLL_LINGER_MS)


def test_client_hears_a_change_in_time_when_discovery_was_silent_for_long(slow):
    """However long the service was silent, it is polled again soon."""
    service = slow(None)
    service.run(30.0)
    assert_polls_again_soon(service, 1000.0, FIRST_POLL_LINGER_MS)
    service.delay_s = 0.0
    service.change()
    service.run(ANNOUNCED_AFTER_S)
    assert service.revision == 1


def test_client_that_moves_to_another_service_waits_no_longer_than_at_first(slow):
    service = slow(None)
    service.run(10.0)
    with socket.create_server(("127.0.0.1", 0)) as other:
        other.setblocking(False)
        service.client.move(other.getsockname())
        service.run((FIRST_POLL_LINGER_MS + OVERDUE_AFTER_MS) / 1000 + 0.1)
        for _ in range(2):
            other.accept()[0].close()


def test_client_holds_a_bounded_number_of_watches_when_none_answers(slow):
    service = slow(None)
    counts = set()
    for _ in range(200):
        service.run(0.1)
        counts.add(len(service.client.watches))
    assert max(counts) <= MAX_WATCHES
    service.delay_s = 0.0
    service.run(10.0)
    assert len(service.client.watches) == 1


def test_client_sends_no_more_polls_than_a_quick_service_gets_when_answers_are_late(slow):
    """A crowded service must not be flooded by the polls that its lateness causes."""
    counts = {}
    for delay_s in (0.0, 1.0, 2.0, 4.0):
        service = slow(delay_s)
        service.run(60.0)
        counts[delay_s] = len(service.polled_at_s)
    assert max(counts.values()) <= MAX_POLL_RATIO_WHEN_LATE * counts[0.0], counts


def assert_polls_again_soon(service: SlowDiscovery, since_s: float, linger_ms: float) -> None:
    """Assert that no two polls since a time lie further apart than the terms allow."""
    before_s = [polled_at_s for polled_at_s in service.polled_at_s if polled_at_s <= since_s]
    polled_at_s = before_s[-1:] + [each for each in service.polled_at_s if each > since_s]
    gaps_s = [after - before for before, after in itertools.pairwise([*polled_at_s, service.now])]
    assert max(gaps_s) <= linger_ms / 1000 + ANNOUNCED_AFTER_WAIT_S - MARGIN_S, gaps_s
