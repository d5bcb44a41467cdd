"""The kernel's receive timestamps of stream sockets.

Source: Linux, Documentation/networking/timestamping.rst, SO_TIMESTAMPNS; socket(7). A read of a
stream returns the time of the newest segment of which it has read a byte. Segments that wait to be
read are merged, and a merged one keeps the newest time. So a timestamp is the latest time at which
any of the bytes read has arrived; it is the exact time of the last byte only if the kernel holds no
byte after it.
"""

from __future__ import annotations

import socket
import struct
from collections.abc import Callable
from typing import NamedTuple

# Python 3.11 has no names for these two; the values are those of Linux's generic socket header.
SO_TIMESTAMPNS = getattr(socket, "SO_TIMESTAMPNS", 35)
SCM_TIMESTAMPNS = SO_TIMESTAMPNS
# struct timespec: seconds and nanoseconds.
_TIMESPEC = struct.Struct("@ll")
_ANCILLARY_BYTES = socket.CMSG_SPACE(_TIMESPEC.size)
_NANOSECOND = 1e-9
# A larger change of the difference between the two clocks is a step of the Unix clock.
MAX_CLOCK_STEP_S = 0.002
# Timestamps are taken to be on the loop's clock within this error.
MAX_CLOCK_ERROR_S = 0.001


class Received(NamedTuple):
    """What one read has received.

    Attributes:
        byte_count: The number of bytes; 0 at the end of input.
        arrived_by_s: The loop's time by which all of them had arrived; None if it is not known.
    """

    byte_count: int
    arrived_by_s: float | None


class ReceiveTimestamps:
    """Reads from sockets with timestamps, and converts these to the loop's clock.

    Attributes:
        offset_s: The Unix clock less the loop's clock, when they were compared last.
    """

    __slots__ = ("_clock", "_unix_clock", "offset_s")

    def __init__(self, clock: Callable[[], float], unix_clock: Callable[[], float]) -> None:
        """Create the converter.

        Args:
            clock: The loop's clock, in seconds.
            unix_clock: Unix time in seconds, by which the kernel's timestamps go.
        """
        self._clock = clock
        self._unix_clock = unix_clock
        self.offset_s = 0.0
        self.compare_clocks()

    def compare_clocks(self) -> None:
        """Compare the clocks; call it regularly, since timestamps across a step are dropped."""
        self.offset_s = self._unix_clock() - self._clock()

    def enable(self, sock: socket.socket) -> bool:
        """Switch the timestamps of a socket on; return whether it has them."""
        try:
            sock.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
            return sock.getsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS) != 0
        except OSError:
            return False

    def receive(self, sock: socket.socket, span: memoryview, after_s: float) -> Received:
        """Read from a socket once.

        Args:
            sock: The socket, with timestamps enabled.
            span: Where the bytes are stored.
            after_s: The loop's time after which they have arrived; an earlier timestamp is dropped.

        Raises:
            OSError: The read failed; BlockingIOError if nothing has arrived.
        """
        byte_count, ancillary, _, _ = sock.recvmsg_into([span], _ANCILLARY_BYTES)
        for level, kind, data in ancillary:
            if level == socket.SOL_SOCKET and kind == SCM_TIMESTAMPNS:
                return Received(byte_count, self._loop_time_s(data, after_s))
        return Received(byte_count, None)

    def _loop_time_s(self, timespec: bytes, after_s: float) -> float | None:
        """Return a timestamp on the loop's clock; None if it can't be right."""
        if len(timespec) < _TIMESPEC.size:
            return None
        now_s = self._clock()
        offset_s = self._unix_clock() - now_s
        if abs(offset_s - self.offset_s) > MAX_CLOCK_STEP_S:
            return None
        seconds: int
        nanoseconds: int
        seconds, nanoseconds = _TIMESPEC.unpack_from(timespec)
        loop_s = seconds - offset_s + nanoseconds * _NANOSECOND
        if not after_s - MAX_CLOCK_ERROR_S <= loop_s <= now_s + MAX_CLOCK_ERROR_S:
            return None
        return min(max(loop_s, after_s), now_s)
