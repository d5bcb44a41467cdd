"""Encodes calls as a client does, without the broker's codec, which would otherwise test itself."""

from __future__ import annotations

import struct


def text(value: str) -> bytes:
    raw = value.encode()
    return struct.pack(">i", len(raw)) + raw


def execute(seqid: int, fields: dict[str, str], body: bytes, name: str = "execute") -> bytes:
    """Return a call as a client encodes it, with its frame."""
    pairs = b"".join(text(key) + text(value) for key, value in fields.items())
    call = (
        struct.pack(">I", 0x80010001)
        + text(name)
        + struct.pack(">i", seqid)
        + struct.pack(">bhbbi", 13, 1, 11, 11, len(fields))
        + pairs
        + struct.pack(">bhi", 11, 2, len(body))
        + body
        + b"\0"
    )
    return struct.pack(">i", len(call)) + call
