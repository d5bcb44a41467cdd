"""Codec of the admin calls: HTTP/1.1 by h11's server side, one call per connection."""

from __future__ import annotations

from http import HTTPStatus
from typing import NamedTuple

import h11

MAX_HEAD_BYTES = 8_192
"""Maximum size of a call's request line and headers."""

MAX_BODY_BYTES = 4_096
"""Maximum size of a call's body, which no call needs."""

PLAIN_TEXT = "text/plain; charset=utf-8"


class AdminCall(NamedTuple):
    """A complete call.

    Attributes:
        method: The HTTP method.
        path: The path's segments, percent-decoded.
    """

    method: str
    path: tuple[str, ...]


class MalformedCall(NamedTuple):
    """A request that can't be read as a call, with the HTTP status of its answer."""

    status: int
    reason: str


class AdminResponse(NamedTuple):
    """The answer to a call.

    Attributes:
        status: The HTTP status.
        text: The body.
        content_type: The body's media type.
        allowed_method: The method that the call needs, in an answer that rejects another method.
    """

    status: int
    text: str
    content_type: str = PLAIN_TEXT
    allowed_method: str = ""


class AdminProtocol:
    """The server side of one connection that carries one call."""

    __slots__ = ("_body_bytes", "_http", "_request")

    def __init__(self) -> None:
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._request: h11.Request | None = None
        self._body_bytes = 0

    def feed(self, data: bytes) -> AdminCall | MalformedCall | None:
        """Process received bytes; return None while the call is incomplete."""
        try:
            self._http.receive_data(data)
            return self._next_call()
        except h11.RemoteProtocolError as error:
            return MalformedCall(error.error_status_hint, str(error))

    def _next_call(self) -> AdminCall | MalformedCall | None:
        while True:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                break
            if isinstance(event, h11.Request):
                self._request = event
            elif isinstance(event, h11.Data):
                self._body_bytes += len(event.data)
                if self._body_bytes > MAX_BODY_BYTES:
                    return MalformedCall(413, "the body is too large")
            elif isinstance(event, h11.EndOfMessage):
                return self._call()
        if self._http.they_are_waiting_for_100_continue:  # no call needs its body
            return self._call()
        return None

    def _call(self) -> AdminCall | MalformedCall:
        # Imported on the first call: it uses 0.3 MB, and many brokers never receive an admin call.
        from urllib.parse import unquote, urlsplit

        assert self._request is not None
        try:
            path = urlsplit(self._request.target.decode("ascii")).path
            # Split before decoding: an id may contain a slash, which is written %2F.
            segments = tuple(unquote(each, errors="strict") for each in path.split("/")[1:])
        except ValueError as error:
            return MalformedCall(400, f"the path can't be read: {type(error).__name__}")
        return AdminCall(self._request.method.decode("ascii"), segments)

    def encode(self, response: AdminResponse) -> bytes:
        """Return the bytes of the only answer; the connection closes after it."""
        if self._http.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return b""
        body = response.text.encode()
        headers = [
            ("Content-Type", response.content_type),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        if response.allowed_method:
            headers.append(("Allow", response.allowed_method))
        phrase = HTTPStatus(response.status).phrase.encode()
        head = h11.Response(status_code=response.status, headers=headers, reason=phrase)
        if self._request is not None and self._request.method == b"HEAD":
            body = b""
        events = (head, h11.Data(data=body), h11.EndOfMessage())
        return b"".join(self._http.send(event) or b"" for event in events)
