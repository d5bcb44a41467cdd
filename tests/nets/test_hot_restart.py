"""Tests that a real process sends and reads the hot-restart messages of commit 8ce8042, byte for byte, in both roles.

They guard against a broker that can't take over from an earlier version, or hand over to it. Not compared are the
memory that a process reports and times (``M`` and ``T`` stand for them).
"""

from __future__ import annotations

import base64
import json
import re
import socket

import pytest

from tests.nets.restart_player import (
    ROWS,
    DiscoveryServer,
    Process,
    RestartTestbed,
    Stream,
    connect_as_successor,
    discovery_entry,
    execute_call,
    greet_successor,
    inode,
    interrupt_call,
    listen_as_predecessor,
    open_listener,
    reserve_port,
    restart_testbed,
    wait_until,
)

TIME = re.compile(rb"1[0-9]{12}\.[0-9]+")  # a time of this run, in ms since 1970
ENGINE_ENTRY = (
    b'{"instanceId":"%s","lifecycle":"%s","zone":"room-a","machineType":"std-8","cell":1,"weight":8.0,'
    b'"hostPort":"127.0.0.1:%d"}'
)
ENDPOINT_LIST = b'{"rev":%d,"notices":[{"rev":%d,"pool":{"reset":true,"instances":[%s]}}]}'
HELLO_END = (
    b',"seen": ["e-9"], "banned": {"e-1": T}, "fresh": {"e-2": T}, "teams": {}, "reads": 4}}\n'
)
READS, READY = b'{"reads": 4}\n', b'{"ready": true}\n'


@pytest.fixture
def testbed():
    with restart_testbed() as created:
        yield created


def engine_entries(port: int, **states: str) -> bytes:
    """Return the entries of engines (``e_0`` is ``e-0``) as one process sends them to another."""
    names = {name.replace("_", "-"): state for name, state in states.items()}
    return b",".join(
        ENGINE_ENTRY % (name.encode(), state.encode(), port) for name, state in names.items()
    )


def endpoint_list(rev: int, port: int, **states: str) -> bytes:
    """Return a complete endpoint list."""
    return ENDPOINT_LIST % (rev, rev, engine_entries(port, **states))


SERVING = {"e_0": "SERVING", "e_1": "SERVING", "e_2": "SERVING"}
DRAINED = SERVING | {"e_0": "DRAINING"}


def publish_three_engines(discovery: DiscoveryServer, port: int) -> None:
    """Publish three engines, and one that is removed again."""
    discovery.publish(
        *(discovery_entry(f"e-{number}", port) for number in (0, 1, 2, 9)), reset=True
    )
    discovery.publish(discovery_entry("e-9", port, "DELETED"))


def serve_three_engines(testbed: RestartTestbed, *arguments: str) -> Process:
    """Start a process for which discovery lists three engines."""
    publish_three_engines(testbed.discovery, testbed.port)
    return start_process(testbed, *arguments)


def start_process(testbed: RestartTestbed, *arguments: str) -> Process:
    """Start a process; return it once it is ready."""
    port = testbed.close_at_end(reserve_port()).getsockname()[1]
    process = testbed.serve(port, *arguments)
    wait_until(process.ready)
    return process


def connect_and_read_greeting(
    testbed: RestartTestbed, process: Process
) -> tuple[Stream, list[socket.socket]]:
    """Connect as a successor and read the greeting."""
    link, socks, _ = connect_as_successor(testbed, testbed.path(process.port))
    link.read_until(b"\n")
    return link, socks


# -- The process is the predecessor


def test_predecessor_greets_with_listener_channel_and_endpoint_list(testbed):
    process = serve_three_engines(testbed)
    assert process.call("PUT", "/ops/engines/down/e-1")[0] == 200
    assert process.call("PUT", "/ops/engines/down/e-2")[0] == 200
    assert process.call("PUT", "/ops/engines/up/e-2")[0] == 200
    link, socks, first_byte = connect_as_successor(testbed, testbed.path(process.port))
    assert first_byte == b"L" and [sock.type for sock in socks] == [
        socket.SOCK_STREAM,
        socket.SOCK_SEQPACKET,
    ]
    assert socks[0].getsockname() == ("127.0.0.1", process.port)
    assert socks[0].getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    hello = b'{"hello":{"known":' + endpoint_list(2, testbed.port, **SERVING) + HELLO_END
    assert TIME.sub(b"T", link.read_until(b"\n")) == hello
    assert link.usage_message(0, 0) == b'{"use": [M, 0, 0]}\n'


def test_predecessor_greets_with_the_budgets_of_a_contract(testbed):
    process = serve_three_engines(testbed, "--contract", str(testbed.contract))
    link, _, _ = connect_as_successor(testbed, testbed.path(process.port))
    hello = json.loads(link.read_until(b"\n"))["hello"]
    assert list(hello) == ["known", "seen", "banned", "fresh", "teams", "reads"]
    assert list(hello["teams"]) == ["teams", "pool", "costs", "ration"]
    assert hello["teams"]["ration"] == {"teams": {}, "lent": []}
    link.sock.sendall(READY)
    assert list(json.loads(link.message())) == ["teams"]


def test_predecessor_sends_changes_and_the_complete_list_on_request(testbed):
    process = serve_three_engines(testbed)
    new, (_, channel) = connect_and_read_greeting(testbed, process)
    older, _ = connect_and_read_greeting(testbed, process)  # doesn't announce its message version
    channel.settimeout(0)
    new.sock.sendall(READS)
    new.sock.sendall(b'{"ask": 2}\n')  # its response shows that the message before has been read
    known = b'{"known":' + endpoint_list(2, testbed.port, **SERVING) + b"}\n"
    assert new.message() == known
    testbed.discovery.publish(discovery_entry("e-0", testbed.port, "DRAINING"))
    change = engine_entries(testbed.port, e_0="DRAINING")
    assert new.message() == (
        b'{"follows":2,"notice":{"rev":3,"pool":{"reset":false,"instances":[' + change + b"]}}}\n"
    )
    assert older.message() == b'{"known":' + endpoint_list(3, testbed.port, **DRAINED) + b"}\n"
    new.sock.sendall(b'{"ask": 2}\n')
    assert new.message() == b'{"known":' + endpoint_list(3, testbed.port, **DRAINED) + b"}\n"
    assert process.excluded_engines() == "0"


def test_predecessor_applies_drains_changes_and_usage_and_forwards_them(testbed):
    process = serve_three_engines(testbed)
    new, _ = connect_and_read_greeting(testbed, process)
    other, _ = connect_and_read_greeting(testbed, process)
    other.sock.sendall(READS + b'{"ask": 2}\n')
    other.message()
    new.sock.sendall(b'{"ban": ["e-2", 123.0]}\n')
    assert other.message() == b'{"ban": ["e-2", 123.0]}\n'
    wait_until(lambda: process.excluded_engines() == "1")
    new.sock.sendall(b'{"ban": ["e-2", null]}\n')
    assert other.message() == b'{"ban": ["e-2", null]}\n'
    assert process.excluded_engines() == "0"
    assert process.call("PUT", "/ops/engines/down/e-1")[0] == 200
    for each in (new, other):
        assert re.fullmatch(rb'\{"ban": \["e-1", T\]\}\n', TIME.sub(b"T", each.message()))
    notice = b'{"rev":3,"pool":{"reset":false,"instances":[%s]}}' % engine_entries(
        testbed.port, e_0="DRAINING"
    )
    new.sock.sendall(b'{"follows":2,"notice":' + notice + b"}\n")
    assert other.message() == b'{"follows":2,"notice":' + notice + b"}\n"
    new.sock.sendall(b'{"follows":98,"notice":' + notice.replace(b":3,", b":99,") + b"}\n")
    assert new.message() == b'{"ask": 3}\n'
    new.sock.sendall(b'{"use": [80.0, 3, 2]}\n')
    assert other.usage_message(3, 2) == b'{"use": [M, 3, 2]}\n'


@pytest.mark.parametrize(
    "line", [b"{]\n", b"[]\n", b'{"use":[1]}\n', b'{"ban":3}\n', b'{"answer":[1]}\n']
)
def test_predecessor_closes_a_link_with_malformed_messages_and_keeps_serving(testbed, line):
    process = serve_three_engines(testbed)
    link, _ = connect_and_read_greeting(testbed, process)
    link.sock.sendall(line)
    while link.sock.recv(1 << 16):
        pass
    assert process.ready()


def test_predecessor_transfers_its_clients_and_their_responses_to_the_successor(testbed):
    testbed.discovery.publish(discovery_entry("e-0", testbed.port), reset=True)
    process = start_process(testbed)
    client = process.client()
    testbed.close_at_end(client.sock)
    client.sock.sendall(execute_call(7, "7" * 16) + execute_call(8, "8" * 16))
    engine = Stream(testbed.close_at_end(testbed.engine.accept()[0]))
    engine.read_until(b"REQ 8888888888888888 ")
    link, (_, channel) = connect_and_read_greeting(testbed, process)
    link.sock.sendall(READS)
    socket_inode = inode(testbed.path(process.port))
    link.sock.sendall(READY)
    assert socket_inode
    process.terminate()
    packet, fds, _, _ = socket.recv_fds(channel, 4_096, 1)
    assert packet == b'{"client": 1, "open": [7, 8]}'
    transferred = testbed.close_at_end(socket.socket(fileno=fds[0]))
    assert transferred.getpeername() == client.sock.getsockname()
    link.sock.sendall(b'{"leave": [1, 8]}\n')
    engine.read_until(b"STOP 8888888888888888\r\n")
    engine.sock.sendall(b"7777777777777777 HIT count=1 6\r\n" + ROWS + b"\r\n")
    number, seqid, data = json.loads(answer := link.message())["answer"]
    assert answer == b'{"answer": [1, 7, "%s"]}\n' % data.encode() and (number, seqid) == (1, 7)
    frame = base64.b64decode(data)
    assert frame[:4] == (len(frame) - 4).to_bytes(4, "big") and ROWS in frame
    assert process.child.wait(20) == 0
    # The socket's file belongs to the successor by now and must not be removed.
    assert inode(testbed.path(process.port)) == socket_inode


# -- The process is the successor


def hello_message(testbed: RestartTestbed, reads: bytes = b', "reads": 4') -> bytes:
    """Return the greeting of a process that knows the watch events up to the second one."""
    head = b'{"hello":{"known":' + endpoint_list(2, testbed.port, **SERVING)
    lists = b',"seen": ["e-9"], "banned": {"e-1": 123.5}, "fresh": {"e-2": 1700000000000.5}, "teams": {}'
    return head + lists + reads + b"}}\n"


def start_successor(
    testbed: RestartTestbed, greeting: bytes
) -> tuple[Process, Stream, socket.socket]:
    """Start a process and greet it; return the process, its link and the channel to it."""
    client_listener = testbed.close_at_end(open_listener())
    port = client_listener.getsockname()[1]
    restart_listener = listen_as_predecessor(testbed, port)
    process = testbed.serve(port)
    link, channel = greet_successor(testbed, restart_listener, client_listener, greeting)
    return process, link, channel


def test_successor_announces_its_message_version_and_when_it_is_ready(testbed):
    publish_three_engines(testbed.discovery, testbed.port)
    process, link, _ = start_successor(testbed, hello_message(testbed))
    assert link.read_until(b"\n") == READS
    assert link.message() == READY
    # It knows the list from the greeting, and polls for later events only.
    assert testbed.discovery.polled_revisions[0] == 2
    assert process.ready() and process.excluded_engines() == "1"
    new, _, first_byte = connect_as_successor(testbed, testbed.path(process.port))
    assert first_byte == b"L"
    assert new.read_until(b"\n") == hello_message(testbed)  # it hands over all that it received


def test_successor_waits_for_discovery_before_it_is_ready(testbed):
    testbed.discovery.close()
    process, link, _ = start_successor(testbed, hello_message(testbed))
    assert link.read_until(b"\n") == READS
    link.usage_message(0, 0)
    assert not process.ready()
    assert link.message() == READY  # after its maximum wait for discovery


@pytest.mark.parametrize("reads", [b', "reads": 4', b', "reads": 3', b""])
def test_successor_sends_changes_in_the_form_that_the_predecessor_reads(testbed, reads):
    publish_three_engines(testbed.discovery, testbed.port)
    process, link, _ = start_successor(testbed, hello_message(testbed, reads))
    assert [link.message(), link.message()] == [READS, READY]
    testbed.discovery.publish(discovery_entry("e-0", testbed.port, "DRAINING"))
    change = (
        b'{"follows":2,"notice":{"rev":3,"pool":{"reset":false,"instances":[%s]}}}\n'
        % engine_entries(testbed.port, e_0="DRAINING")
    )
    known = b'{"known":' + endpoint_list(3, testbed.port, **DRAINED) + b"}\n"
    assert link.message() == (change if reads else known)
    link.sock.sendall(b'{"ban": ["e-2", 9.0]}\n')
    wait_until(lambda: process.excluded_engines() == "2")
    link.sock.sendall(b'{"ban": ["e-1", null]}\n')
    wait_until(lambda: process.excluded_engines() == "1")
    assert process.call("PUT", "/ops/engines/up/e-2")[0] == 200
    assert link.message() == b'{"ban": ["e-2", null]}\n'
    removed = engine_entries(testbed.port, e_1="DELETED")
    notice = b'{"follows":3,"notice":{"rev":4,"pool":{"reset":false,"instances":[%s]}}}\n' % removed
    link.sock.sendall(notice)
    link.sock.sendall(b'{"ask": 4}\n')
    remaining = {name: state for name, state in DRAINED.items() if name != "e_1"}
    assert link.message() == b'{"known":' + endpoint_list(4, testbed.port, **remaining) + b"}\n"
    link.sock.sendall(b'{"known":' + endpoint_list(5, testbed.port, **SERVING) + b"}\n")
    link.sock.sendall(b'{"ask": 5}\n')
    # The engine that was removed and listed again is the last one.
    restored = {
        "e_0": "SERVING",
        "e_2": "SERVING",
        "e_1": "SERVING",
    }
    assert link.message() == b'{"known":' + endpoint_list(5, testbed.port, **restored) + b"}\n"


def test_successor_receives_connections_and_writes_the_predecessors_responses(testbed):
    publish_three_engines(testbed.discovery, testbed.port)
    process, link, channel = start_successor(testbed, hello_message(testbed))
    assert [link.message(), link.message()] == [READS, READY]
    with open_listener() as client_listener:
        client = Stream(
            testbed.close_at_end(socket.create_connection(client_listener.getsockname()))
        )
        connection = client_listener.accept()[0]
    with connection:
        socket.send_fds(channel, [b'{"client": 1, "open": [5, 6]}'], [connection.fileno()])
    link.usage_message(1, 0)
    client.sock.sendall(interrupt_call(9, 6))
    assert link.message() == b'{"leave": [1, 6]}\n'
    frame = b"\x00\x00\x00\x04rows"
    link.sock.sendall(b'{"answer": [1, 5, "%s"]}\n' % base64.b64encode(frame))
    assert client.frame() == b"rows"
    client.sock.sendall(execute_call(10, "a" * 16))  # the connection is now the successor's
    engine = Stream(testbed.close_at_end(testbed.engine.accept()[0]))
    engine.read_until(b"REQ aaaaaaaaaaaaaaaa ")
    engine.sock.sendall(b"aaaaaaaaaaaaaaaa HIT count=1 6\r\n" + ROWS + b"\r\n")
    assert ROWS in client.frame()
    assert process.ready()


@pytest.mark.parametrize("greeting", [b"{]\n", b"[1]\n", b'{"hello":{"known":{}}}\n'])
def test_successor_starts_on_its_own_after_a_malformed_greeting(testbed, greeting):
    publish_three_engines(testbed.discovery, testbed.port)
    process, link, _ = start_successor(testbed, greeting)
    wait_until(process.ready)
    assert link.sock.recv(1) == b""
    testbed.close_at_end(process.client().sock)
