"""Reads plain, gzip and zstd files as lines; the first bytes of a file show its format.

The complete lines of a truncated stream are read. Sources: RFC 1952 (gzip, also with several
members), RFC 8878 (zstd, also with several frames).
"""

from __future__ import annotations

import zlib
from collections.abc import Iterator
from typing import BinaryIO

import zstandard

from umberusher.traces.defects import DefectReason

CHUNK_BYTES = 1 << 17
MAX_DECOMPRESSED_CHUNK_BYTES = CHUNK_BYTES * 8
MAX_LINE_BYTES = 1 << 20
"""Bounds the memory for a file without line feeds."""
MAX_ZSTD_WINDOW_BYTES = 1 << 27
GZIP_WINDOW_BITS = 31  # zlib's ``wbits``: the largest window (15), plus 16 for the gzip format
GZIP_MAGIC = b"\x1f\x8b"
ZSTD_MAGIC = b"\x28\xb5\x2f\xfd"
BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class StreamError(Exception):
    """The stream is truncated or corrupt."""

    def __init__(self, reason: DefectReason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason


def _gzip_chunks(source: BinaryIO, first: bytes) -> Iterator[bytes]:
    decompressor = zlib.decompressobj(GZIP_WINDOW_BITS)
    data = first
    while data:
        try:
            chunk = decompressor.decompress(data, MAX_DECOMPRESSED_CHUNK_BYTES)
        except zlib.error as error:
            raise StreamError(DefectReason.STREAM_CORRUPT, str(error)) from None
        if chunk:
            yield chunk
        if decompressor.eof:
            data = decompressor.unused_data.lstrip(b"\0")
            data = data or source.read(CHUNK_BYTES).lstrip(b"\0")
            if data:
                decompressor = zlib.decompressobj(GZIP_WINDOW_BITS)
        else:
            data = decompressor.unconsumed_tail or source.read(CHUNK_BYTES)
    if not decompressor.eof:
        raise StreamError(DefectReason.STREAM_CUT_OFF, "the gzip stream ends inside a member")


def _zstd_chunks(source: BinaryIO, first: bytes) -> Iterator[bytes]:
    context = zstandard.ZstdDecompressor(max_window_size=MAX_ZSTD_WINDOW_BYTES)
    decompressor = context.decompressobj()
    data = first
    while data:
        try:
            chunk = decompressor.decompress(data)
        except zstandard.ZstdError as error:
            raise StreamError(DefectReason.STREAM_CORRUPT, str(error)) from None
        if chunk:
            yield chunk
        if decompressor.eof:
            data = decompressor.unused_data or source.read(CHUNK_BYTES)
            if data:
                decompressor = context.decompressobj()
        else:
            data = source.read(CHUNK_BYTES)
    if not decompressor.eof:
        raise StreamError(DefectReason.STREAM_CUT_OFF, "the zstd stream ends inside a frame")


def _plain_chunks(source: BinaryIO, first: bytes) -> Iterator[bytes]:
    data = first
    while data:
        yield data
        data = source.read(CHUNK_BYTES)


def chunks(source: BinaryIO) -> Iterator[bytes]:
    """Return the bytes of a stream, decompressed.

    Raises:
        StreamError: After the last readable bytes of a truncated or corrupt stream.
    """
    first = source.read(CHUNK_BYTES)
    if first.startswith(GZIP_MAGIC):
        return _gzip_chunks(source, first)
    if first.startswith(ZSTD_MAGIC):
        return _zstd_chunks(source, first)
    return _plain_chunks(source, first)


def lines(source: BinaryIO) -> Iterator[bytes]:
    """Yield lines without line ends (LF or CR LF) and without a byte order mark.

    A line over MAX_LINE_BYTES is truncated, but stays over that limit, so that it is rejected.

    Raises:
        StreamError: After the last complete line of a truncated or corrupt stream. The remainder
            of a truncated line is not yielded, since it could look like a complete line.
    """
    partial_line = b""
    is_first_chunk_read = False
    for chunk in chunks(source):
        data = chunk
        if not is_first_chunk_read:
            is_first_chunk_read = True
            data = data.removeprefix(BYTE_ORDER_MARK)
        complete = (partial_line + data).split(b"\n")
        partial_line = complete.pop()
        for line in complete:
            yield line[:-1] if line.endswith(b"\r") else line
        if len(partial_line) > MAX_LINE_BYTES:
            partial_line = partial_line[: MAX_LINE_BYTES + 1]
    if partial_line:
        yield partial_line.removesuffix(b"\r")
