"""Guards against misread calls and against answers that differ from the Thrift binary protocol."""

from __future__ import annotations

import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.thrift_messages import execute, text
from umberusher.net.ring import RingBuffer
from umberusher.protocol import thrift

REPRODUCIBLE = settings(deadline=None, derandomize=True, database=None, max_examples=150)


@REPRODUCIBLE
@given(
    st.dictionaries(st.text(max_size=8), st.text(max_size=8), max_size=4),
    st.binary(max_size=200),
    st.integers(1, 9),
)
def test_decoder_reads_call_when_it_arrives_in_pieces(fields, body, size):
    ring, sent, got = RingBuffer(10_000), execute(7, fields, body), []
    for at in range(0, len(sent), size):
        ring.write(sent[at : at + size])
        frame = thrift.next_frame(ring)
        if frame is not None:
            got.append(thrift.decode_call(frame))
    assert got == [thrift.Execute(7, fields, body)] and not len(ring)


def test_decoder_keeps_sequence_id_when_method_is_unknown():
    found = thrift.decode_call(execute(9, {}, b"", name="run")[4:])
    assert (found.seqid, found.kind) == (9, thrift.UNKNOWN_METHOD)


@pytest.mark.parametrize("size", [0, -1, thrift.MAX_FRAME_BYTES + 1])
def test_next_frame_is_malformed_when_size_is_impossible(size):
    ring = RingBuffer(100)
    ring.write(struct.pack(">i", size))
    assert isinstance(thrift.next_frame(ring), thrift.Malformed)


def test_decoder_rejects_map_when_it_claims_more_than_its_bytes():
    call = (
        struct.pack(">I", 0x80010001)
        + text("execute")
        + struct.pack(">ibhbbi", 1, 13, 1, 11, 11, 1 << 30)
    )
    assert thrift.decode_call(call).reason == "more elements than bytes"


def test_encoder_writes_rejection_and_answer_to_the_byte():
    head = struct.pack(">I", 0x80010002) + text("execute") + struct.pack(">i", 5)
    rejection = (
        head
        + struct.pack(">bhbhbbi", 12, 1, 13, 1, 11, 11, 1)
        + text("backoff")
        + text("500")
        + b"\0\0"
    )
    assert (
        thrift.encode_trylater(5, {"backoff": "500"})
        == struct.pack(">i", len(rejection)) + rejection
    )
    answer = (
        head
        + struct.pack(">bhbhi", 12, 0, 11, 1, 2)
        + b"a\n"
        + struct.pack(">bhbbibhbbb", 13, 2, 11, 11, 0, 2, 3, 1, 0, 0)
    )
    assert (
        thrift.encode_answer("execute", 5, b"a\n", {}, True)
        == struct.pack(">i", len(answer)) + answer
    )


def call_with_unknown_field(kind: int, value: bytes) -> bytes:
    head = struct.pack(">I", 0x80010001) + text("execute") + struct.pack(">i", 5)
    return head + struct.pack(">bh", kind, 9) + value + b"\0"


@pytest.mark.parametrize(
    ("kind", "element"),
    [
        (thrift.BOOL, b"\1"),
        (thrift.STRING, b"\0\0\0\0"),
        (thrift.STRUCT, b"\0"),
        (thrift.LIST, struct.pack(">bi", thrift.BOOL, 0)),
    ],
)
def test_decode_call_rejects_unknown_field_of_too_many_values(kind, element):
    """Each value is skipped in Python: a list of a million of them held the loop for 0.3 s."""
    count = thrift.MAX_SKIPPED_VALUES
    value = struct.pack(">bi", kind, count) + element * count
    found = thrift.decode_call(call_with_unknown_field(thrift.LIST, value))
    assert (found.seqid, found.reason) == (5, "too many unknown values")


def test_decode_call_skips_unknown_list_within_the_limit():
    count = thrift.MAX_SKIPPED_VALUES - 1
    value = struct.pack(">bi", thrift.BOOL, count) + b"\1" * count
    found = thrift.decode_call(call_with_unknown_field(thrift.LIST, value))
    assert found.reason == "execute lacks an argument"


def test_decode_call_rejects_map_of_too_many_entries():
    within = {f"{n}": "" for n in range(thrift.MAX_MAP_ENTRIES)}
    assert thrift.decode_call(execute(5, within, b"")[4:]) == thrift.Execute(5, within, b"")
    found = thrift.decode_call(execute(5, within | {"more": ""}, b"")[4:])
    assert (found.seqid, found.reason) == (5, "too many entries")
