"""Plans: the requests of a replay, compiled from a trace's files and a mapping.

A plan is stored as one columnar file.

The same files, mapping, options and seed give the same bytes:

    magic "UMBPLAN1" | u32 header size | header (canonical JSON) | one zstd frame per column |
    xxh3-128 of all preceding bytes

Columns are arrays of fixed-width elements, little-endian; ``keys`` and ``machines`` are JSON. The
zstd frames are reproducible only with the same version of zstandard, so its version is pinned.
"""

from __future__ import annotations

import json
import struct
import sys
from array import array
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

import xxhash
import zstandard

from umberusher.errors import UsageError

MAGIC = b"UMBPLAN1"
VERSION = 1
COMPRESSION_LEVEL = 9
DIGEST_BYTES = 16
HEADER_SIZE_BYTES = 4
US_PER_SECOND = 1e6
MAX_COLUMN_BYTES = 1 << 31
"""Limits the memory that a header with a wrong column size can make the reader allocate."""

COLUMNS = {
    "at_us": "Q",
    "query_class": "B",
    "work_ms": "f",
    "memory_mb": "f",
    "group": "H",
    "key": "I",
    "job": "Q",
}
"""The columns, with their type codes of :mod:`array`."""
KEYS_BLOCK = "keys"
MACHINES_BLOCK = "machines"
_FILE_FIELDS = ("version", "classes", "requests")  # header fields that ``dump`` writes itself


class PlanError(UsageError):
    """A file is not a plan, or is malformed."""


@dataclass(slots=True, frozen=True)
class MachineEvent:
    """ADD, REMOVE or UPDATE of a machine of the fleet; ``at_us`` counts from the plan's start."""

    at_us: int
    machine: str
    event: str
    kind: str | None


class PlanRow(NamedTuple):
    """One request: ``query_class`` is an index, ``job`` a hash; an empty ``key`` means no key."""

    at_us: int
    query_class: int
    work_ms: float
    memory_mb: float
    group: int
    key: str
    job: int


@dataclass(slots=True, frozen=True)
class _Block:
    """A compressed block of the file; ``size`` is that of the decompressed content."""

    name: str
    compressed: bytes
    size: int


def _empty_columns() -> dict[str, array[Any]]:
    return {name: array(code) for name, code in COLUMNS.items()}


@dataclass(slots=True)
class Plan:
    """Requests as columns of equal length, sorted by time; ``keys[0]`` means no key."""

    classes: tuple[str, ...]
    header: dict[str, Any] = field(default_factory=dict)
    columns: dict[str, array[Any]] = field(default_factory=_empty_columns)
    keys: list[str] = field(default_factory=lambda: [""])
    machines: list[MachineEvent] = field(default_factory=list)

    def __len__(self) -> int:
        return len(self.columns["at_us"])

    @property
    def seconds(self) -> float:
        """Duration until the last request, or the header's ``seconds`` if that is longer."""
        last_s = self.columns["at_us"][-1] / US_PER_SECOND if len(self) else 0.0
        return max(last_s, float(self.header.get("seconds", 0.0)))

    def append(
        self,
        at_us: int,
        query_class: int,
        work_ms: float,
        memory_mb: float,
        group: int,
        key: int,
        job: int,
    ) -> None:
        """Append a request; ``query_class`` and ``key`` are indices."""
        row = (at_us, query_class, work_ms, memory_mb, group, key, job)
        for name, value in zip(COLUMNS, row, strict=True):
            self.columns[name].append(value)

    def requests(self) -> Iterator[PlanRow]:
        """Yield each request."""
        columns = [self.columns[name] for name in COLUMNS]
        for at_us, query_class, work_ms, memory_mb, group, key, job in zip(*columns, strict=True):
            yield PlanRow(at_us, query_class, work_ms, memory_mb, group, self.keys[key], job)

    # -- File format

    def dump(self) -> bytes:
        """Return the file's bytes."""
        blocks = self._blocks()
        header = self.header | {
            "version": VERSION,
            "classes": list(self.classes),
            "requests": len(self),
            "blocks": [
                {"name": block.name, "packed": len(block.compressed), "size": block.size}
                for block in blocks
            ],
        }
        encoded = _encode_json(header)
        size = struct.pack("<I", len(encoded))
        body = MAGIC + size + encoded + b"".join(block.compressed for block in blocks)
        return body + xxhash.xxh3_128_digest(body)

    @property
    def digest(self) -> str:
        """Hash of the file's bytes, in hexadecimal."""
        return xxhash.xxh3_128_hexdigest(self.dump())

    def save(self, path: str) -> int:
        """Write the file; return its size in bytes."""
        data = self.dump()
        try:
            Path(path).write_bytes(data)
        except OSError as error:
            raise UsageError(f"{path}: {error.strerror}") from None
        return len(data)

    @classmethod
    def load(cls, path: str) -> Plan:
        """Read a file.

        Raises:
            PlanError: The file is not a plan, has another version, is truncated or is malformed.
        """
        try:
            data = Path(path).read_bytes()
        except OSError as error:
            raise PlanError(f"{path}: {error.strerror}") from None
        try:
            return cls.parse(data)
        except PlanError as error:
            raise PlanError(f"{path}: {error}") from None

    @classmethod
    def parse(cls, data: bytes) -> Plan:
        """Read a plan from the bytes of a file.

        Raises:
            PlanError: They are not a plan, have another version, are truncated or are malformed.
        """
        _check_frame(data)
        try:
            return cls._parse_checked(data)
        except (KeyError, ValueError, TypeError, struct.error, zstandard.ZstdError) as error:
            raise PlanError(f"header or columns can't be read: {error}") from None

    @classmethod
    def _parse_checked(cls, data: bytes) -> Plan:
        header_start = len(MAGIC) + HEADER_SIZE_BYTES
        (header_size,) = struct.unpack_from("<I", data, len(MAGIC))
        header = json.loads(data[header_start : header_start + header_size])
        if header["version"] != VERSION:
            raise PlanError(f"version {header['version']}, this program reads {VERSION}")
        plan = cls(tuple(header["classes"]))
        raw = _decompress(header.pop("blocks"), data, header_start + header_size)
        for name, code in COLUMNS.items():
            column = array(code)
            column.frombytes(raw[name])
            if sys.byteorder != "little":
                column.byteswap()
            plan.columns[name] = column
        plan.keys = json.loads(raw[KEYS_BLOCK])
        plan.machines = [MachineEvent(*item) for item in json.loads(raw[MACHINES_BLOCK])]
        plan.header = {key: value for key, value in header.items() if key not in _FILE_FIELDS}
        if {len(column) for column in plan.columns.values()} != {header["requests"]}:
            raise PlanError("the columns have different lengths")
        return plan

    def _blocks(self) -> list[_Block]:
        contents = {}
        for name, column in self.columns.items():
            if sys.byteorder == "little":
                contents[name] = column.tobytes()
            else:
                swapped = array(column.typecode, column)
                swapped.byteswap()
                contents[name] = swapped.tobytes()
        machines = [[each.at_us, each.machine, each.event, each.kind] for each in self.machines]
        contents[KEYS_BLOCK] = _encode_json(self.keys)
        contents[MACHINES_BLOCK] = _encode_json(machines)
        compressor = zstandard.ZstdCompressor(
            level=COMPRESSION_LEVEL, write_checksum=False, write_content_size=True
        )
        return [
            _Block(name, compressor.compress(content), len(content))
            for name, content in contents.items()
        ]


def _check_frame(data: bytes) -> None:
    if not data.startswith(MAGIC):
        raise PlanError("not a plan")
    is_long_enough = len(data) >= len(MAGIC) + HEADER_SIZE_BYTES + DIGEST_BYTES
    body = data[:-DIGEST_BYTES]
    if not is_long_enough or xxhash.xxh3_128_digest(body) != data[-DIGEST_BYTES:]:
        raise PlanError("cut short or spoilt: the checksum does not fit")


def _decompress(blocks: list[dict[str, Any]], data: bytes, offset: int) -> dict[str, bytes]:
    """Return the contents of the blocks, by name."""
    contents = {}
    decompressor = zstandard.ZstdDecompressor()
    for block in blocks:
        size = block["size"]
        if not 0 <= size <= MAX_COLUMN_BYTES:
            raise PlanError(f"block {block['name']} has an invalid size of {size} bytes")
        compressed = data[offset : offset + block["packed"]]
        offset += block["packed"]
        content = b""
        if size:
            content = decompressor.decompress(compressed, max_output_size=max(size, 1))
        contents[block["name"]] = content
    return contents


def _encode_json(value: object) -> bytes:
    return json.dumps(value, sort_keys=True, separators=(",", ":"), ensure_ascii=True).encode()
