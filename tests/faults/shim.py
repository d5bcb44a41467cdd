"""Runs ``umberusher`` in a process whose system calls fail as the environment variable FAULTS says.

The shim stands between the program and Python's wrappers of the system calls. The failures are those
that the manual pages name; each lasts for a moment, at times drawn from a seed. The wall clock can
be stepped, and the kernel's receive timestamps step with it.
"""

from __future__ import annotations

import errno
import io
import json
import os
import random
import runpy
import socket
import struct
import sys
import time
from typing import Any

FAULTS_VARIABLE = "FAULTS"
SCM_TIMESTAMPNS = 35
TIMESPEC = struct.Struct("@ll")
# Errors of each call, by the manual page of the call.
ACCEPT_ERRORS = (
    errno.ECONNABORTED,
    errno.ENFILE,
    errno.ENOBUFS,
    errno.ENOMEM,
    errno.EPROTO,
    errno.ENETUNREACH,
    errno.EHOSTUNREACH,
)
SOCKET_ERRORS = (errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
CONNECT_ERRORS = (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ETIMEDOUT)
# Of writes to a folder and to the log, and of open and rename there.
FOLDER_ERRORS = (errno.ENOSPC, errno.EIO)
BROKEN_ERRORS = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET)
# Failures come in moments: this part of each period, and only then.
PERIOD_S = 1.0
MOMENT_S = 0.15
# No failure before the broker is up.
QUIET_START_S = 3.0

FAULTS: dict[str, float] = json.loads(os.environ.get(FAULTS_VARIABLE, "{}"))
RANDOM = random.Random(FAULTS.get("seed", 0))
STARTED_S = time.monotonic()
REAL_TIME = time.time
REAL_RENAME = os.rename


def fails(name: str) -> bool:
    """Return whether a call of this kind fails now."""
    probability = FAULTS.get(name, 0.0)
    running_s = time.monotonic() - STARTED_S
    if not probability or running_s < QUIET_START_S or running_s % PERIOD_S > MOMENT_S:
        return False
    return RANDOM.random() < probability


def folder_fails() -> bool:
    """Return whether a write to a folder fails: for a while of the run, and from its start."""
    return RANDOM.random() < FAULTS.get("folder", 0.0)


def clock_step_s() -> float:
    """Return by how much the wall clock has been stepped: another step each two seconds."""
    size_s = FAULTS.get("clock", 0.0)
    running_s = time.monotonic() - STARTED_S
    if not size_s or running_s < QUIET_START_S:
        return 0.0
    steps = (1.0, 0.0, -1.0, 0.5, -0.001)
    return size_s * steps[int((running_s - QUIET_START_S) / 2.0) % len(steps)]


def stepped_time() -> float:
    """Return the wall clock's time."""
    return REAL_TIME() + clock_step_s()


class FaultySocket(socket.socket):
    """A socket whose calls fail for a moment, and whose reads and writes are short."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        is_new = kwargs.get("fileno") is None and len(args) < 4
        if is_new and fails("socket"):
            raise OSError(RANDOM.choice(SOCKET_ERRORS), "shim")
        super().__init__(*args, **kwargs)

    def bind(self, address: Any) -> None:
        """Bind; a path in a folder may fail from the start."""
        if self.family == socket.AF_UNIX and folder_fails():
            raise OSError(RANDOM.choice(FOLDER_ERRORS), "shim")
        super().bind(address)

    def accept(self) -> Any:
        """Accept, or fail."""
        if fails("accept"):
            raise OSError(RANDOM.choice(ACCEPT_ERRORS), "shim")
        return super().accept()

    def connect_ex(self, address: Any) -> int:
        """Connect, or return an error."""
        if fails("connect"):
            return RANDOM.choice(CONNECT_ERRORS)
        return super().connect_ex(address)

    def send(self, data: Any, *flags: int) -> int:
        """Send a part, or fail."""
        self._break()
        if fails("short"):
            data = bytes(data)[: RANDOM.randint(1, 40)]
        return super().send(data, *flags)

    def recv_into(self, buffer: Any, *args: int) -> int:
        """Read a part, or fail."""
        self._break()
        if fails("short"):
            buffer = memoryview(buffer)[: RANDOM.randint(1, 40)]
        return super().recv_into(buffer, *args)

    def recvmsg_into(self, buffers: Any, *args: int) -> Any:
        """Read a part with its timestamp."""
        if fails("short"):
            buffers = [memoryview(buffers[0])[: RANDOM.randint(1, 40)]]
        count, ancillary, flags, address = super().recvmsg_into(buffers, *args)
        return count, [_stepped(item) for item in ancillary], flags, address

    def _break(self) -> None:
        """Fail like a connection that the network has broken; never a client's."""
        if not fails("broken"):
            return
        try:
            is_client = self.getsockname()[1] == LISTEN_PORT
        except OSError:
            return
        if not is_client:
            raise OSError(RANDOM.choice(BROKEN_ERRORS), "shim")


class FailingLog(io.TextIOWrapper):
    """A log on a full or broken disk: writes fail, and one may leave a line half done."""

    def write(self, text: str) -> int:
        """Write the text, or a part of it and fail."""
        if not folder_fails():
            return super().write(text)
        super().write(text[: len(text) // 2])
        raise OSError(RANDOM.choice(FOLDER_ERRORS), "shim")


def failing_rename(source: Any, target: Any, **options: Any) -> None:
    """Rename, or fail."""
    if folder_fails():
        raise OSError(RANDOM.choice(FOLDER_ERRORS), "shim")
    REAL_RENAME(source, target, **options)


def _stepped(item: tuple[int, int, bytes]) -> tuple[int, int, bytes]:
    """Return a control message whose timestamp follows the stepped clock."""
    level, kind, data = item
    if kind != SCM_TIMESTAMPNS or len(data) < TIMESPEC.size:
        return item
    seconds, nanoseconds = TIMESPEC.unpack_from(data)
    at_ns = int(seconds * 1_000_000_000 + nanoseconds + clock_step_s() * 1_000_000_000)
    return level, kind, TIMESPEC.pack(*divmod(at_ns, 1_000_000_000))


LISTEN_PORT = int(os.environ.get("LB_LISTEN", ":0").rpartition(":")[2])


def main() -> None:
    """Install the shim, and run the program with the arguments of this process."""
    if FAULTS.get("clock"):
        time.time = stepped_time
    socket.socket = FaultySocket  # type: ignore[misc]
    if FAULTS.get("folder"):
        os.rename = failing_rename
        sys.stderr = FailingLog(sys.stderr.buffer, line_buffering=True)
    sys.argv = ["umberusher", *sys.argv[1:]]
    runpy.run_module("umberusher", run_name="__main__")


if __name__ == "__main__":
    main()
