"""Measure time and peak memory of each decoder for the worst inputs that a peer can send.

Each input is decoded at a quarter of its full length and at its full length: time and memory that
are linear grow by a factor of four. ``--checkout DIR`` measures the decoders of another checkout.

    .ci-venv/bin/python scripts/measure_decoders.py
    .ci-venv/bin/python scripts/measure_decoders.py --checkout ../before --most-ms 2000
"""

from __future__ import annotations

import argparse
import json
import struct
import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent

# The largest frame that any broker reads; one with 192 MB of memory reads 750 KB.
FRAME_BYTES = 1 << 20
# The longest answer of the discovery service that is read with 192 MB of memory, rounded.
DISCOVERY_ANSWER_BYTES = 8_000_000
# The longest line and the longest page of an engine, and the longest call to the admin listener.
ENGINE_LINE_BYTES = 4_000
ENGINE_PAGE_BYTES = 6_000
ADMIN_CALL_BYTES = 16_000
DISCOVERY_READ_BYTES = 1 << 16
ROUNDS = 3
THRIFT_CALL = 0x80010001


@dataclass(frozen=True)
class Case:
    """One kind of input.

    Attributes:
        name: What the input is.
        full_bytes: Its full length.
        make: Returns the input of about a given length.
        decode: Decodes the input.
    """

    name: str
    full_bytes: int
    make: Callable[[int], bytes]
    decode: Callable[[bytes], object]


def repeated(unit: str, start: str = "select ", end: str = "") -> Callable[[int], bytes]:
    """Return a function that repeats a text up to a length."""
    return lambda size: (start + unit * (size // len(unit.encode())) + end).encode()


def numbered(template: str) -> Callable[[int], bytes]:
    """Return a function that repeats a text with a number in it up to a length."""

    def make(size: int) -> bytes:
        parts: list[str] = []
        length = 0
        while length < size:
            parts.append(template % len(parts))
            length += len(parts[-1])
        return ("select " + "".join(parts)).encode()

    return make


def statement_cases() -> list[Case]:
    """Return the statements of clients."""
    from umberusher.protocol.statement import StatementError, table_group

    def decode(body: bytes) -> object:
        try:
            return table_group(body)
        except StatementError as error:
            return error.reason

    inputs = {
        "unclosed dollar quotes": numbered("$a%d$ "),
        "numbered parameters": repeated("$1"),
        "closed dollar quotes": repeated("$a$$a$"),
        "dollar quote with parts of its tag": repeated(
            "$aaaaaaa", "select $aaaaaaaa$", "$aaaaaaaa$"
        ),
        "untagged dollar quotes": repeated("$$$$"),
        "rows of a load": repeated(
            "(17, 'beachfront', '2026-12-04'), ", "insert into staging.orders values "
        ),
        "one long string": repeated("x", "select '", "'"),
        "one long unclosed string": repeated("''", "select '"),
        "one long escape string": repeated("\\'", "select E'", "'"),
        "unclosed escape strings": repeated("e'\\'"),
        "short strings": repeated("'' "),
        "strings and names": repeated("''a"),
        "one long quoted name": repeated('""', 'select "', '"'),
        "quoted names": repeated('"a" '),
        "unclosed comment": repeated("/* "),
        "comments": repeated("/**/"),
        "line comments": repeated("--\n"),
        "blanks between a name and no dot": repeated(" ", "select a", "b"),
        "dotted names": repeated("a."),
        "numbered schemas": repeated("a_1.b "),
        "words": repeated("a "),
        "keywords": repeated("from("),
        "list of tables": repeated("a,", "select 1 from "),
        "commas in a list of tables": repeated(",", "select 1 from a"),
        "signs in a list of tables": repeated("=,", "select 1 from a"),
        "slashes": repeated("/"),
        "parentheses": repeated("("),
        "one long word": repeated("a"),
        "one long numbered word": repeated("_1"),
    }
    return [Case(f"statement: {name}", FRAME_BYTES, make, decode) for name, make in inputs.items()]


def call_cases() -> list[Case]:
    """Return the calls of clients."""
    from umberusher.protocol.thrift import decode_call

    def text(value: bytes) -> bytes:
        return struct.pack(">i", len(value)) + value

    def call(arguments: bytes, name: bytes = b"execute") -> bytes:
        return struct.pack(">I", THRIFT_CALL) + text(name) + struct.pack(">i", 1) + arguments

    def fields(size: int) -> bytes:
        count = size // 14
        pairs = b"".join(text(b"%06d" % n) + text(b"") for n in range(count))
        return call(struct.pack(">bhbbi", 13, 1, 11, 11, count) + pairs + b"\0")

    def unknown_list(kind: int, element: bytes) -> Callable[[int], bytes]:
        def make(size: int) -> bytes:
            count = size // len(element)
            return call(struct.pack(">bhbi", 15, 9, kind, count) + element * count + b"\0")

        return make

    def unknown_fields(size: int) -> bytes:
        return call(struct.pack(">bhb", 2, 9, 1) * (size // 4) + b"\0")

    def nested_structs(size: int) -> bytes:
        return call((struct.pack(">bh", 12, 9) * 7 + b"\0" * 7) * (size // 28) + b"\0")

    inputs = {
        "fields of a call": fields,
        "unknown list of booleans": unknown_list(2, b"\1"),
        "unknown list of empty texts": unknown_list(11, b"\0\0\0\0"),
        "unknown list of empty structs": unknown_list(12, b"\0"),
        "unknown list of empty lists": unknown_list(15, struct.pack(">bi", 2, 0)),
        "unknown fields": unknown_fields,
        "nested unknown structs": nested_structs,
        "long name of a method": lambda size: call(b"\0", b"x" * size),
    }
    return [Case(f"call: {name}", FRAME_BYTES, make, decode_call) for name, make in inputs.items()]


def engine_cases() -> list[Case]:
    """Return replies of engines that arrive one byte at a time."""
    from umberusher.net.ring import RingBuffer
    from umberusher.protocol import engine

    def decode(data: bytes) -> object:
        ring = RingBuffer(1 << 20)
        reply = None
        for value in data:
            ring.write(bytes((value,)))
            try:
                reply = engine.next_reply(ring)
            except engine.MalformedReplyError as error:
                return error.reason
        return reply

    def reply(line_bytes: int) -> Callable[[int], bytes]:
        def make(size: int) -> bytes:
            fields = b",".join([b"a=1"] * max(line_bytes // 4, 1))
            return b"q1 HIT %b %d\r\n%b\r\n" % (fields, size, b"\0" * size)

        return make

    return [
        Case("reply: page behind a short line", ENGINE_PAGE_BYTES, reply(8), decode),
        Case("reply: page behind a long line", ENGINE_PAGE_BYTES, reply(ENGINE_LINE_BYTES), decode),
        Case("reply: line without an end", ENGINE_LINE_BYTES, lambda size: b"x" * size, decode),
        Case(
            "reply: rows that end in a wrong sign",
            ENGINE_PAGE_BYTES,
            lambda size: b"a\tb\tc\n" * (size // 6) + b"\0",
            engine.has_complete_rows,
        ),
    ]


def discovery_cases() -> list[Case]:
    """Return answers of the discovery service."""
    from umberusher.protocol.discovery import DiscoveryProtocolError, read_document, watch_events
    from umberusher.protocol.discovery_poll import PollClient

    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

    def poll(data: bytes) -> object:
        client = PollClient("board")
        client.poll(0, 0)
        try:
            return client.feed(data)
        except DiscoveryProtocolError as error:
            return error.cause

    def document(data: bytes) -> object:
        try:
            return len(watch_events(read_document(data.decode()), 0))
        except ValueError as error:
            return type(error).__name__

    def entries(size: int) -> bytes:
        entry = {
            "instanceId": "s-0000001",
            "hostPort": "127.0.0.1:4000",
            "zone": "room-a",
            "machineType": "std-8",
            "cell": 1,
            "lifecycle": "SERVING",
            "weight": 1,
            "startedAtMs": 0,
        }
        text = json.dumps(entry)
        pool = ",".join([text] * (size // len(text)))
        return f'{{"rev":1,"notices":[{{"rev":1,"pool":{{"instances":[{pool}]}}}}]}}'.encode()

    return [
        Case(
            "discovery: one read of small chunks",
            DISCOVERY_READ_BYTES,
            lambda size: head + b"1\r\nx\r\n" * (size // 6),
            poll,
        ),
        Case(
            "discovery: one read of a head without an end",
            DISCOVERY_READ_BYTES,
            lambda size: b"HTTP/1.1 200 OK\r\n" + b"a:b\r\n" * (size // 5),
            poll,
        ),
        Case("discovery: list of endpoints", DISCOVERY_ANSWER_BYTES, entries, document),
        Case(
            "discovery: empty objects",
            DISCOVERY_ANSWER_BYTES,
            lambda size: b"[" + b"{}," * (size // 3) + b"{}]",
            document,
        ),
    ]


def admin_cases() -> list[Case]:
    """Return calls to the admin listener."""
    from umberusher.protocol.ops import AdminProtocol

    chunked = b"PUT /ops/readiness HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"

    def decode(data: bytes) -> object:
        return AdminProtocol().feed(data)

    return [
        Case(
            "admin: small chunks",
            ADMIN_CALL_BYTES,
            lambda size: chunked + b"1\r\nx\r\n" * (size // 6),
            decode,
        ),
        Case(
            "admin: long path",
            ADMIN_CALL_BYTES // 2,
            lambda size: b"GET /" + b"%41/" * (size // 4) + b" HTTP/1.1\r\nHost: a\r\n\r\n",
            decode,
        ),
    ]


def seconds(case: Case, data: bytes) -> float:
    """Return the shortest of some times to decode an input."""
    times = []
    for _ in range(ROUNDS):
        began = time.perf_counter()
        case.decode(data)
        times.append(time.perf_counter() - began)
        if times[-1] > 1.0:
            break
    return min(times)


def peak_bytes(case: Case, data: bytes) -> int:
    """Return the peak memory of decoding an input, without the input itself."""
    tracemalloc.start()
    case.decode(data)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak


def main() -> None:
    """Print a line for each kind of input."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--checkout", type=Path, default=ROOT)
    parser.add_argument(
        "--most-ms",
        type=float,
        default=20_000.0,
        help="skip the full length where a quarter of it takes more than a sixteenth of this",
    )
    options = parser.parse_args()
    sys.path.insert(0, str(options.checkout.resolve()))
    cases = [
        *statement_cases(),
        *call_cases(),
        *engine_cases(),
        *discovery_cases(),
        *admin_cases(),
    ]
    print("| input | bytes | quarter, ms | whole, ms | peak, bytes for each of the input |")
    print("| --- | --- | --- | --- | --- |")
    for case in cases:
        data = case.make(case.full_bytes)
        quarter_ms = seconds(case, case.make(case.full_bytes // 4)) * 1e3
        if quarter_ms * 16 > options.most_ms:
            print(
                f"| {case.name} | {len(data):,} | {quarter_ms:.1f} | not run | not run |",
                flush=True,
            )
            continue
        whole_ms = seconds(case, data) * 1e3
        peak = peak_bytes(case, data) / len(data)
        print(
            f"| {case.name} | {len(data):,} | {quarter_ms:.1f} | {whole_ms:.1f} | {peak:.1f} |",
            flush=True,
        )


if __name__ == "__main__":
    main()
