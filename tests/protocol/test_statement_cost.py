"""Guards against statements whose scan costs more than a small constant for each byte.

One statement of 150 KB with unclosed dollar quotes once held the loop for 24 s, and the requests of
all other clients were lost (docs/incidents/2026-12-04-statement-scan-stops-broker.md).
"""

from __future__ import annotations

import time
import tracemalloc

import pytest

from umberusher.protocol import statement

SHORT_BYTES = 4_000
FACTOR = 16
# Halfway, by ratio, between linear growth (16) and quadratic growth (256).
MAX_GROWTH = 64
ROUNDS = 3
# The decoded text takes up to four bytes a character, and a name in it is copied once or twice.
MAX_PEAK_BYTES_PER_BYTE = 12

NOT_CLOSED = "a string, comment or name is not closed"


def unclosed_dollar_quotes(size: int) -> bytes:
    parts: list[bytes] = []
    length = 0
    while length < size:
        parts.append(b"$a%d$ " % len(parts))
        length += len(parts[-1])
    return b"".join(parts)


def repeated(unit: bytes, start: bytes = b"", end: bytes = b""):
    return lambda size: start + unit * (size // len(unit)) + end


STATEMENTS = {
    "unclosed dollar quotes": unclosed_dollar_quotes,
    "closed dollar quotes": repeated(b"$a$$a$"),
    "parts of a tag": repeated(b"$aaaaaaa", b"$aaaaaaaa$", b"$aaaaaaaa$"),
    "parameters": repeated(b"$1"),
    "string": repeated(b"x", b"'", b"'"),
    "unclosed string": repeated(b"''", b"'"),
    "escape string": repeated(b"\\'", b"E'", b"'"),
    "unclosed escape strings": repeated(b"e'\\'"),
    "quoted name": repeated(b'""', b'"', b'"'),
    "unclosed quoted name": repeated(b'""', b'"'),
    "unclosed comment": repeated(b"/* "),
    "blanks before no dot": repeated(b" ", b"a", b"b"),
    "blanks after a dot": repeated(b" ", b"a.", b"("),
    "dotted names": repeated(b"a."),
    "numbered word": repeated(b"_1"),
    "words": repeated(b"a "),
    "keywords": repeated(b"from("),
    "list of tables": repeated(b"a,", b"from "),
    "signs in a list": repeated(b"=,", b"from a"),
    "characters of four bytes": repeated("\U0001f600".encode(), b"'", b"'"),
}


def scan(body: bytes) -> None:
    try:
        statement.table_group(body)
    except statement.StatementError as error:
        assert error.reason == NOT_CLOSED


def processor_seconds(body: bytes) -> float:
    times = []
    for _ in range(ROUNDS):
        began = time.thread_time()
        scan(body)
        times.append(time.thread_time() - began)
    return min(times)


def peak_bytes(body: bytes) -> int:
    tracemalloc.start()
    try:
        scan(body)
        return tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()


@pytest.mark.parametrize("make", STATEMENTS.values(), ids=STATEMENTS)
def test_table_group_takes_time_linear_in_the_length_of_any_statement(make):
    """An expression of quadratic time in a statement's scan stopped the whole broker."""
    short = processor_seconds(make(SHORT_BYTES))
    assert processor_seconds(make(FACTOR * SHORT_BYTES)) < MAX_GROWTH * short


@pytest.mark.parametrize("make", STATEMENTS.values(), ids=STATEMENTS)
def test_table_group_takes_memory_linear_in_the_length_of_any_statement(make):
    """A string was matched with a backtracking state for each character, 146 bytes each."""
    body = make(FACTOR * SHORT_BYTES)
    assert peak_bytes(body) < MAX_PEAK_BYTES_PER_BYTE * len(body)


def test_table_group_reads_a_bounded_number_of_tokens_of_a_statement():
    """Each token is read in Python: the tokens of the longest statement would hold the loop."""
    within = b"a " * (statement.MAX_TOKENS - 2)
    assert statement.table_group(within + b"from sales_17.orders") == 17
    assert statement.table_group(within + b"a a from sales_17.orders") is None


def test_table_group_counts_no_constant_or_comment_as_a_token():
    skipped = b"(17, 'x', '2026-12-04'), /* c */ -- d\n" * statement.MAX_TOKENS
    assert statement.table_group(b"values " + skipped + b" from sales_17.orders") == 17
