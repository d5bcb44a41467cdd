"""The PostgreSQL codec decodes what it encoded, in pieces of any size, and enforces every length limit.

A decoder that depends on how the bytes are split would fail at random with the packets of the network; one without
limits would let a peer claim a length and take the memory for it.
"""

from __future__ import annotations

import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from umberusher.pg import messages
from umberusher.pg.codec import MAX_CONSUMED_BYTES, Decoder, Message, Piece, Unreadable, message
from umberusher.pg.messages import BACK, FRONT, Side

TEXT = st.text(st.characters(codec="utf-8", exclude_characters="\0"), max_size=12)
VALUES = {
    "i8": st.integers(-128, 127),
    "i16": st.integers(-(2**15), 2**15 - 1),
    "i32": st.integers(-(2**31), 2**31 - 1),
    "u32": st.integers(0, 2**32 - 1),
    "str": TEXT,
    "byte": st.sampled_from("SPIET"),
    "rest": st.binary(max_size=30),
    "bytes32": st.one_of(st.none(), st.binary(max_size=30)),
    "strs": st.dictionaries(TEXT.filter(bool), TEXT, max_size=4),
    "fields": st.dictionaries(st.sampled_from("SVCMHDW"), TEXT, max_size=5),
    "columns": st.lists(
        st.tuples(
            TEXT,
            st.integers(0, 2**32 - 1),
            st.integers(-9, 99),
            st.integers(0, 2**32 - 1),
            st.integers(-1, 999),
            st.integers(-1, 999),
            st.integers(0, 1),
        ),
        max_size=4,
    ),
}


def value(kind: str) -> st.SearchStrategy:
    head, _, inner = kind.partition(":")
    return st.lists(VALUES[inner], max_size=5) if inner else VALUES[head]


def any_of(kinds: tuple) -> st.SearchStrategy:
    return st.one_of(
        *(
            st.tuples(
                st.just(kind.name),
                st.fixed_dictionaries({name: value(each) for name, each in kind.fields}),
            )
            for kind in kinds
        )
    )


def pieces(data: bytes, cuts: list[int]) -> list[bytes]:
    marks = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    return [data[first:last] for first, last in zip(marks, marks[1:], strict=False)]


def drain(decoder: Decoder, parts: list[bytes], stream: bool = False) -> list:
    found = []
    for part in parts:
        decoder.feed(part)
        while (each := decoder.next(stream)) is not None:
            found.append(each)
            if isinstance(each, Unreadable):
                return found
    return found


@pytest.mark.parametrize("side, kinds", [(Side.FRONT, FRONT), (Side.BACK, BACK)])
def test_every_message_comes_back_as_it_was_however_it_is_cut(side, kinds):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(st.lists(any_of(kinds), max_size=8), st.lists(st.integers(0, 10_000), max_size=12))
    def check(wanted, cuts):
        data = b"".join(message(side, name, **values) for name, values in wanted)
        found = drain(Decoder(side), pieces(data, cuts))
        assert [(each.name, each.fields) for each in found] == wanted
        assert b"".join(each.raw for each in found) == data

    check()


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(any_of(BACK), max_size=8), st.lists(st.integers(0, 10_000), max_size=12))
def test_rows_pass_through_in_pieces_as_they_are(wanted, cuts):
    data = b"".join(message(Side.BACK, name, **values) for name, values in wanted)
    found = drain(Decoder(Side.BACK), pieces(data, cuts), stream=True)
    assert b"".join(each.raw for each in found) == data
    rows = [each for each in found if isinstance(each, Piece)]
    assert sum(each.last for each in rows) == sum(
        name in ("DataRow", "CopyData") for name, _ in wanted
    )
    assert [each.name for each in found if isinstance(each, Message)] == [
        name for name, _ in wanted if name not in ("DataRow", "CopyData")
    ]


@settings(max_examples=300, deadline=None, derandomize=True)
@given(
    st.binary(max_size=200),
    st.booleans(),
    st.sampled_from(Side),
    st.lists(st.integers(0, 300), max_size=5),
)
def test_whatever_comes_ends_as_messages_or_as_one_unreadable(data, starting, side, cuts):
    whole = drain(Decoder(side, starting and side is Side.FRONT), [data])
    cut = drain(Decoder(side, starting and side is Side.FRONT), pieces(data, cuts))
    assert whole == cut and sum(isinstance(each, Unreadable) for each in whole) <= 1


def start(body: bytes) -> bytes:
    return struct.pack(">i", len(body) + 4) + body


@pytest.mark.parametrize(
    "data, name, fields",
    [
        (
            start(struct.pack(">I", messages.SSL_REQUEST)),
            "SSLRequest",
            {"number": messages.SSL_REQUEST},
        ),
        (
            start(struct.pack(">I", messages.GSS_REQUEST)),
            "GSSENCRequest",
            {"number": messages.GSS_REQUEST},
        ),
        (
            start(struct.pack(">Ii", messages.CANCEL_REQUEST, 7) + b"abcd"),
            "CancelRequest",
            {"number": messages.CANCEL_REQUEST, "pid": 7, "secret": b"abcd"},
        ),
        (
            start(struct.pack(">I", 196_608) + b"user\0kim\0database\0parks\0\0"),
            "StartupMessage",
            {"version": 196_608, "options": {"user": "kim", "database": "parks"}},
        ),
    ],
)
def test_messages_before_the_end_of_startup_have_no_type_byte(data, name, fields):
    decoder = Decoder(Side.FRONT, starting=True)
    assert drain(decoder, [bytes([each]) for each in data]) == [Message(name, fields, data)]
    decoder.finish_startup()
    assert drain(decoder, [message(Side.FRONT, "Sync")])[0].name == "Sync"
    assert message(Side.FRONT, name, **fields) == data


@pytest.mark.parametrize("size", [0, 4, 7, 10_005, 2**31 - 1, -1])
def test_startup_packet_out_of_bounds_is_rejected_after_four_bytes(size):
    decoder = Decoder(Side.FRONT, starting=True)
    decoder.feed(struct.pack(">i", size))
    assert isinstance(decoder.next(), Unreadable)
    decoder.feed(b"x" * 1000)
    assert isinstance(decoder.next(), Unreadable) and not decoder.buffer


@pytest.mark.parametrize(
    "code, size",
    [
        (b"p", 1 << 30),
        (b"Q", (1 << 20) + 5),
        (b"S", 5),
        (b"Q", 3),
        (b"Q", -1),
        (b"X", 16 * 1024 + 5),
    ],
)
def test_message_out_of_bounds_is_rejected_before_its_body_arrives(code, size):
    decoder = Decoder(Side.FRONT)
    decoder.feed(code + struct.pack(">i", size))
    found = decoder.next()
    if code == b"S":  # a body of a message that has none is rejected once it has arrived
        assert found is None
        decoder.feed(b"x")
        found = decoder.next()
    assert isinstance(found, Unreadable)


@pytest.mark.parametrize(
    "data",
    [
        message(Side.FRONT, "Query", text="select 1")[:-1] + b"x",
        b"Q" + struct.pack(">i", 7) + b"\xff\xfe\0",
        b"B" + struct.pack(">i", 4 + 4) + b"\0\0\xff\xff",
        b"\x00" + struct.pack(">i", 4),
        b"B" + struct.pack(">i", 4 + 12) + b"\0\0\0\0\0\x01" + struct.pack(">i", -2) + b"\0\0",
    ],
)
def test_body_that_does_not_match_its_message_type_ends_the_stream(data):
    assert isinstance(drain(Decoder(Side.FRONT), [data])[-1], Unreadable)


def test_encoder_rejects_a_zero_byte_in_a_text_and_a_body_over_its_limit():
    with pytest.raises(ValueError, match="zero byte"):
        message(Side.FRONT, "Query", text="a\0b")
    with pytest.raises(ValueError, match="at most"):
        message(Side.FRONT, "Query", text="x" * (1 << 20))


def test_large_message_in_pieces_is_decoded_and_consumed_bytes_are_freed():
    decoder = Decoder(Side.FRONT)
    data = message(Side.FRONT, "Query", text="x" * 1_000_000)
    decode_calls = 0
    for at in range(0, len(data), 1_000):
        decoder.feed(data[at : at + 1_000])
        decode_calls += 1
        found = decoder.next()
    assert found.name == "Query" and decode_calls > 1_000 and not decoder.buffer
    small = message(Side.FRONT, "Sync")
    for _ in range(100_000):
        decoder.feed(small)
        assert decoder.next() is not None
    assert len(decoder.buffer) <= MAX_CONSUMED_BYTES
