"""The Unix socket, at the broker's own path, on which the serving process accepts successors."""

from __future__ import annotations

import contextlib
import logging
import os
import socket
from collections.abc import Callable, Mapping

from umberusher.net.listener import Listener
from umberusher.net.loop import Loop

log = logging.getLogger(__name__)

MAX_PEERS = 4
"""Limit of links at once, and of connections that wait to be accepted."""

PRIVATE_UMASK = 0o177
"""Only this user's processes may receive the clients' listener."""


def socket_path(environment: Mapping[str, str], address: tuple[str, int]) -> str | None:
    """Return the socket path for the broker at this address; None without ``TMPDIR``."""
    directory = environment.get("TMPDIR")
    if not directory:
        return None
    host, port = address
    return os.path.join(directory, f"umberusher-{host}-{port}.sock")  # noqa: PTH118  (pathlib costs memory)


class HandoverListener:
    """Accepts successors at the broker's path.

    Attributes:
        path: The path to which successors connect; None if hot restart is off.
    """

    __slots__ = ("_listener", "_loop", "_on_successor", "path")

    def __init__(
        self, loop: Loop, path: str | None, on_successor: Callable[[socket.socket], None]
    ) -> None:
        self._loop = loop
        self._on_successor = on_successor
        self._listener: Listener | None = None
        self.path = path

    @property
    def is_open(self) -> bool:
        """Whether a successor can connect to this process."""
        return self._listener is not None

    def open(self) -> None:
        """Move this process's socket to the path atomically: there is always a socket there."""
        if self.path is None or self._listener is not None:
            return
        own_path = f"{self.path}.{os.getpid()}"
        try:
            sock = _listening_socket(own_path, self.path)
        except OSError as error:  # No Unix sockets here, or the path is too long for one.
            log.warning("hot_restart_unavailable path=%s reason=%s", self.path, error)
            return
        self._loop.prioritize(sock.fileno())
        self._listener = Listener(self._loop, sock, MAX_PEERS, self._on_successor, _no_descriptors)
        self._listener.set_paused(False)

    def close(self) -> None:
        """Stop listening; keep the path, since a successor's socket may be there."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def close_and_remove_path(self) -> None:
        """Stop listening, and remove the path if it is still this process's own."""
        if self._listener is None or self.path is None:
            return
        self.close()
        with contextlib.suppress(OSError):
            os.unlink(self.path)  # noqa: PTH108


def _no_descriptors() -> None:
    """Do nothing: the listener retries by itself."""


def _listening_socket(own_path: str, path: str) -> socket.socket:
    """Return a socket that listens at ``path``, bound at ``own_path`` first.

    Raises:
        OSError: The socket can't be created; no file is left behind.
    """
    sock = None
    umask = os.umask(PRIVATE_UMASK)
    try:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        sock.bind(own_path)
        sock.listen(MAX_PEERS)
        os.rename(own_path, path)  # noqa: PTH104
    except OSError:
        if sock is not None:
            sock.close()
        with contextlib.suppress(OSError):
            os.unlink(own_path)  # noqa: PTH108
        raise
    finally:
        os.umask(umask)
    return sock
