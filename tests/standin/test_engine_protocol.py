"""Guards against stand-in engines that misread commands, or the work that a statement contains.

Commands arrive in pieces of any size, and malformed ones must be recognized.
"""

from __future__ import annotations

from umberusher.net.ring import RingBuffer
from umberusher.standin.engine_protocol import MalformedCommand, next_command
from umberusher.standin.statements import StatementWork, encode_statement, make_pages, parse_work


def test_next_command_reads_commands_that_arrive_byte_by_byte():
    body = encode_statement(17, 812.5, 96.0, 2, True, "m")
    assert (
        parse_work(body) == StatementWork(812.5, 96.0, 2, 17)
        and b"g_17." in body
        and parse_work(b"select 1") is None
    )
    data = b"REQ ab lane=load,ttl=900 %d\r\n%b\r\nSTOP ab\r\nFETCH ab 2\r\n" % (len(body), body)
    buffer, commands = RingBuffer(1 << 20), []
    for byte in data:
        buffer.write(bytes([byte]))
        command = next_command(buffer)
        if command:
            commands.append((command.word, command.request_id, command.fields))
    assert commands == [
        ("REQ", "ab", {"lane": "load", "ttl": "900"}),
        ("STOP", "ab", {}),
        ("FETCH", "ab", {"page": "2"}),
    ]
    for malformed in (b"NOPE\r\n", b"REQ a b c\r\n", b"x" * 5000, b"\xff\r\n"):
        buffer = RingBuffer(1 << 20)
        buffer.write(malformed)
        assert isinstance(next_command(buffer), MalformedCommand)
    pages = [make_pages(f"{number:016x}", body) for number in range(60)]
    assert max(map(len, pages)) > 1 and all(len(page) <= 6000 for each in pages for page in each)
