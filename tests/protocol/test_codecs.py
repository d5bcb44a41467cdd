"""Guards against arbitrary bytes that raise unexpected errors in the client and engine codecs."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from tests.thrift_messages import execute
from umberusher.net.ring import RingBuffer
from umberusher.protocol import engine, thrift

REPRODUCIBLE = settings(deadline=None, derandomize=True, database=None, max_examples=150)


@REPRODUCIBLE
@given(st.binary(max_size=120), st.integers(0, 60))
def test_decoders_give_value_or_error_when_bytes_are_arbitrary(noise, cut):
    whole = execute(3, {"rid": "a"}, b"select")[4:]
    for frame in (noise, whole[:cut] + noise, whole[:cut]):
        assert isinstance(
            thrift.decode_call(frame),
            (thrift.Execute, thrift.Interrupt, thrift.Check, thrift.Malformed),
        )
    ring = RingBuffer(10_000)
    ring.write(noise + b"\r\n")
    try:
        found = engine.next_reply(ring)
    except engine.MalformedReplyError as error:
        found = error
    assert found is None or isinstance(found, (engine.Reply, engine.MalformedReplyError))
