"""Client side of long polls over one HTTP/1.1 connection, without I/O.

The size of an answer is bounded, since it is buffered completely before it is parsed.
"""

from __future__ import annotations

import h11

from umberusher.protocol import discovery
from umberusher.protocol.discovery import DEFAULT_MAX_ANSWER_BYTES, DiscoveryProtocolError

# Size above which an answer counts as long: a long unusable answer must not be fetched again soon.
LONG_ANSWER_BYTES = 1 << 16
STATUS_OK = 200


class DiscoveryConnectionError(DiscoveryProtocolError):
    """The discovery service closed the connection before its answer was complete."""

    def __init__(self) -> None:
        super().__init__("closed", "closed")


class PollClient:
    """Writes polls and reads their answers, one at a time.

    Args:
        host: Value of the requests' Host header.
        max_answer_bytes: Maximum size of a body.

    Attributes:
        answer_bytes: Number of bytes read so far of the last answer's body.
    """

    def __init__(self, host: str, max_answer_bytes: int = DEFAULT_MAX_ANSWER_BYTES) -> None:
        self.host = host
        self.max_answer_bytes = max_answer_bytes
        self.answer_bytes = 0
        self._http = h11.Connection(h11.CLIENT)
        self._body = bytearray()

    @property
    def reusable(self) -> bool:
        """Whether another poll can be sent over this connection."""
        return self._http.our_state is h11.DONE and self._http.their_state is h11.DONE

    @property
    def answer_is_long(self) -> bool:
        """Whether the last answer's body is longer than ``LONG_ANSWER_BYTES``."""
        return self.answer_bytes > LONG_ANSWER_BYTES

    def poll(self, after_revision: int, linger_ms: int) -> bytes:
        """Return the bytes of a poll for the events after a revision.

        Args:
            after_revision: The newest known revision.
            linger_ms: How long the discovery service may wait for a change before it answers.
        """
        if self._http.our_state is h11.DONE:
            self._http.start_next_cycle()
        self._body = bytearray()
        self.answer_bytes = 0
        request = h11.Request(
            method="GET",
            target=f"/board/poll?watch={after_revision}&linger={linger_ms}",
            headers=[("Host", self.host), ("Accept", "application/json")],
        )
        head = self._http.send(request)
        end = self._http.send(h11.EndOfMessage())
        return (head or b"") + (end or b"")

    def feed(self, data: bytes) -> object:
        """Process received bytes; an empty string means the end of the connection.

        Returns:
            The answer's JSON document with its entries converted; None while the answer is
            incomplete.

        Raises:
            DiscoveryProtocolError: The answer is not HTTP or JSON, is too long, or has a status
                other than 200.
            DiscoveryConnectionError: The connection ended before the answer was complete.
        """
        try:
            return self._read_body() if self._receive(data) else None
        except DiscoveryProtocolError:
            raise
        except h11.ProtocolError as error:
            raise DiscoveryProtocolError(str(error), "no HTTP", self.answer_is_long) from error
        except ValueError as error:  # h11 also raises it for a Content-Length it can't convert
            raise DiscoveryProtocolError(
                f"not JSON: {error}", "not JSON", self.answer_is_long
            ) from error

    def _receive(self, data: bytes) -> bool:
        """Pass bytes through h11; return whether the answer is complete."""
        self._http.receive_data(data)
        while (event := self._http.next_event()) not in (h11.NEED_DATA, h11.PAUSED):
            if isinstance(event, h11.Response):
                self._check_head(event)
            elif isinstance(event, h11.Data):
                self._body += event.data
                self.answer_bytes = len(self._body)
                if self.answer_bytes > self.max_answer_bytes:
                    raise self._too_long(f"over {self.max_answer_bytes:,}")
            elif isinstance(event, h11.ConnectionClosed):
                raise DiscoveryConnectionError
            elif isinstance(event, h11.EndOfMessage):
                return True
        return False

    def _check_head(self, response: h11.Response) -> None:
        if response.status_code != STATUS_OK:
            status = f"status {response.status_code}"
            raise DiscoveryProtocolError(status, status)
        for name, value in response.headers:  # h11 has checked that the length is a number
            if name == b"content-length" and int(value) > self.max_answer_bytes:
                raise self._too_long(f"{int(value):,}")

    def _read_body(self) -> object:
        text = self._body.decode()
        self._body = bytearray()  # bounds memory: the bytes are released before the text is parsed
        return discovery.read_document(text)

    def _too_long(self, size: str) -> DiscoveryProtocolError:
        self._body = bytearray()
        return DiscoveryProtocolError(
            f"an answer of {size} bytes is too long, {self.max_answer_bytes:,} can be held",
            "too long",
            costly=True,
        )
