"""Statements that contain their own work, and the results that stand-in engines make for them.

The work is in an SQL comment, which brokers forward without reading it, so an engine gets it from
the wire alone. No I/O.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

import xxhash

MAX_PAGE_BYTES = 6_000
LONG_RESULT_ONE_IN = 20  # statements with a long result, which may take several pages
_WORK = re.compile(rb"/\* work=([0-9.]+) memory=([0-9.]+) threads=([0-9]+) holds=(-?[0-9]+) \*/")


@dataclass(slots=True, frozen=True)
class StatementWork:
    """The work of a statement: ms of one thread, memory, threads, and the group that it locks."""

    work_ms: float
    memory_mb: float
    threads: int
    locked_group: int | None


def encode_statement(
    group: int, work_ms: float, memory_mb: float, threads: int, load: bool, mark: str
) -> bytes:
    """Encode a statement that reads, or loads, one group of tables and carries its work."""
    locked_group = group if load else -1
    comment = (
        f"/* work={work_ms:.3f} memory={memory_mb:.1f} threads={threads} holds={locked_group} */"
    )
    if load:
        text = f"insert into g_{group}.facts select * from staging.batch where mark = '{mark}'"
    else:
        text = f"select site, day, state from g_{group}.facts where mark = '{mark}'"
    return f"{text} {comment}".encode()


def parse_work(statement: bytes) -> StatementWork | None:
    """Return the work that a statement carries; None where it carries none."""
    found = _WORK.search(statement)
    if found is None:
        return None
    locked_group = int(found[4])
    return StatementWork(
        work_ms=float(found[1]),
        memory_mb=float(found[2]),
        threads=max(int(found[3]), 1),
        locked_group=None if locked_group < 0 else locked_group,
    )


def make_pages(request_id: str, statement: bytes) -> list[bytes]:
    """Make the result of a request: pages of complete rows, mostly one, the same on each call."""
    seed = xxhash.xxh3_64_intdigest(request_id.encode() + statement)
    is_long = seed % LONG_RESULT_ONE_IN == 0
    row_count = 150 + seed % 400 if is_long else 1 + seed % 12
    pages: list[bytes] = []
    page = bytearray()
    for number in range(row_count):
        value = (seed >> (number % 32)) & 0xFFFFFFFF
        row = f"{request_id}\t{number}\t{value:08x}\n".encode()
        if len(page) + len(row) > MAX_PAGE_BYTES:
            pages.append(bytes(page))
            page.clear()
        page += row
    return [*pages, bytes(page)]
