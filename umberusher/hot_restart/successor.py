"""The start of a successor: connect to the process that serves now, and read its handover."""

from __future__ import annotations

import os
import socket
import time
from collections.abc import Callable
from typing import Any, NamedTuple

from umberusher.hot_restart.channel import READ_BUFFER_BYTES
from umberusher.hot_restart.messages import Greeting
from umberusher.protocol.discovery import (
    DEFAULT_MAX_ANSWER_BYTES,
    WatchEvent,
    read_document,
    watch_events,
)

GREETING_TIMEOUT_S = 1.5
"""The start waits this long for a short greeting; one with 32,000 endpoints takes 0.4 s."""

MIN_GREETING_BYTES_PER_S = 2e6
"""Extends the timeout of a long greeting on a slow machine, but hardly that of a slow trickle."""

MIN_RECEIVE_TIMEOUT_S = 0.001
"""A socket's timeout of 0 would not wait at all."""

MESSAGE_TO_LIST_RATIO = 2
"""Longest message relative to the longest list that fits in memory: ids and budgets need room."""

EXPECTED_DESCRIPTORS = 2
"""The clients' listener, and the channel that carries connections."""


class HandoverRefused(Exception):  # noqa: N818
    """A predecessor is running, but its handover can't be used.

    Attributes:
        reason: Why the handover can't be used.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class HandoverState(NamedTuple):
    """The listener, the links and the state that a successor receives.

    Attributes:
        listener: The clients' listening socket.
        channel: The channel that carries connections; an older predecessor passes none.
        link: The link to the predecessor.
        data_after_greeting: Bytes that were read from the link after the greeting.
        watch_events: The endpoint list.
        greeting: The other fields of the greeting.
    """

    listener: socket.socket
    channel: socket.socket | None
    link: socket.socket
    data_after_greeting: bytes
    watch_events: list[WatchEvent]
    greeting: Greeting


def request_handover(
    path: str,
    clock: Callable[[], float] = time.monotonic,
    max_list_bytes: int = DEFAULT_MAX_ANSWER_BYTES,
) -> HandoverState | None:
    """Connect to the process that serves now, and return its handover.

    It blocks for a bounded time: the loop does not run yet, and the start must not wait for a
    predecessor that hangs.

    Args:
        path: The path of the predecessor's socket.
        clock: Monotonic time in seconds.
        max_list_bytes: The longest endpoint list that memory allows.

    Returns:
        The handover, or None if no process serves.

    Raises:
        HandoverRefused: A process is running, but its handover can't be used.
    """
    try:
        link = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    except OSError:  # Without Unix sockets there is no predecessor; listening logs why.
        return None
    try:
        return _receive_handover(link, path, clock, MESSAGE_TO_LIST_RATIO * max_list_bytes)
    except (
        FileNotFoundError,
        ConnectionRefusedError,
    ):  # No process listens; the file may be stale.
        link.close()
        return None
    except (OSError, ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
        link.close()
        raise HandoverRefused(f"{type(error).__name__} {error}") from error


def _receive_handover(
    link: socket.socket, path: str, clock: Callable[[], float], max_bytes: int
) -> HandoverState:
    """Connect, and return the handover; no error leaves a descriptor open."""
    started_at = clock()
    link.settimeout(GREETING_TIMEOUT_S)
    link.connect(path)
    _, descriptors, _, _ = socket.recv_fds(link, 1, EXPECTED_DESCRIPTORS)
    if not descriptors:
        raise ValueError("the predecessor passed no listener")
    try:
        text, data_after_greeting = _receive_greeting(link, clock, started_at, max_bytes)
        return _handover_state(link, descriptors, text, data_after_greeting)
    except Exception:
        for descriptor in descriptors:
            os.close(descriptor)
        raise


def _receive_greeting(
    link: socket.socket, clock: Callable[[], float], started_at: float, max_bytes: int
) -> tuple[str, bytes]:
    """Return the greeting's line, and the bytes after it.

    Raises:
        OSError: The link failed, or was silent for too long.
        ValueError: The greeting was incomplete, too long, or not text.
    """
    received = bytearray()
    end = -1
    while end < 0:
        deadline = started_at + GREETING_TIMEOUT_S + len(received) / MIN_GREETING_BYTES_PER_S
        link.settimeout(max(deadline - clock(), MIN_RECEIVE_TIMEOUT_S))
        data = link.recv(READ_BUFFER_BYTES)
        if not data or clock() > deadline:
            raise ValueError("the greeting was cut off or took too long")
        end_in_data = data.find(b"\n")
        if end_in_data >= 0:
            end = len(received) + end_in_data
        received += data
        if len(received) > max_bytes:
            raise ValueError(f"the greeting exceeds {max_bytes:,} bytes")
    data_after_greeting = bytes(received[end + 1 :])
    del received[end:]
    return received.decode(), data_after_greeting


def _handover_state(
    link: socket.socket, descriptors: list[int], text: str, data_after_greeting: bytes
) -> HandoverState:
    """Return the handover; its sockets are created last, so that no error leaves one open."""
    fields: dict[str, Any] = read_document(text)["hello"]
    events = watch_events(fields["known"], 0)
    greeting = Greeting.from_json(fields)
    listener = socket.socket(fileno=descriptors[0])
    channel = socket.socket(fileno=descriptors[1]) if len(descriptors) > 1 else None
    return HandoverState(listener, channel, link, data_after_greeting, events, greeting)
