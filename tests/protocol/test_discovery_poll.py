"""Guards against unusable answers that are accepted, and against a list held in memory twice."""

from __future__ import annotations

import sys
import tracemalloc

import pytest

from tests.protocol.discovery_answers import answer_body, endpoint_item, http_answer
from umberusher.protocol import discovery as codec
from umberusher.protocol.discovery_poll import PollClient


def test_poll_client_reads_answers_in_pieces_over_one_connection():
    client = PollClient("h:1")
    for rev in (3, 4):
        assert client.poll(rev, 2000).startswith(
            b"GET /board/poll?watch=%d&linger=2000 HTTP/1.1\r\n" % rev
        )
        answer = b'{"rev":%d,"notices":[]}' % rev
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer)
        assert client.feed(head + answer[:5]) is None
        assert client.feed(answer[5:]) == {"rev": rev, "notices": []} and client.reusable


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"nonsense\r\n\r\n",
        b"HTTP/1.1 503 no\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{",
    ],
)
def test_poll_client_raises_protocol_error_when_answer_is_unusable(data):
    client = PollClient("h:1")
    client.poll(1, 1000)
    with pytest.raises(codec.DiscoveryProtocolError):
        client.feed(data)


def test_poll_client_holds_a_list_once_while_it_is_read():
    """A list was held twice as bytes, once as text and as a dict per entry, beside its result."""
    data, client = (
        http_answer(answer_body(1, [endpoint_item(n) for n in range(4_000)])),
        PollClient("h:1"),
    )
    client.poll(0, 20)
    # Interned beforehand: the table of interned strings can double, by megabytes, on any addition.
    shared = [sys.intern(endpoint_item(n)["instanceId"]) for n in range(4_000)]
    tracemalloc.start()
    try:
        for position in range(0, len(data), 1 << 16):
            document = client.feed(data[position : position + (1 << 16)])
        (event,) = codec.watch_events(document, 0)
        peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert len(event.entries) == len(shared) == 4_000 and peak < 3 * len(data)
