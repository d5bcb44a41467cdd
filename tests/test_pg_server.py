"""A PostgreSQL client behind the session, the pool and a server link sees the same responses as directly at a server.

The broker renames and reuses prepared statements, so a response could be missing, extra or out of order, or a statement
could reach a server that doesn't know it.
"""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.test_pg_session import EXECUTE, FLUSH, START, SYNC, bind, front, parse
from umberusher.pg import pool
from umberusher.pg.codec import Decoder, message
from umberusher.pg.messages import Side
from umberusher.pg.pool import Cleaning, Pool
from umberusher.pg.server import Broken, ClientData, GroupProgress, Ready, ServerLink
from umberusher.pg.session import Ask, End, FrontSession, Login, More, Write
from umberusher.standin.pg_server import ModelServer

CLOSE_A = front("Close", what="S", name="a")


class Path:
    """One client that uses model servers through a pool; responses are collected in ``got``."""

    def __init__(
        self, pool_: Pool, ran: Counter, servers: dict, links: dict, choose=lambda idle: None
    ) -> None:
        self.front, self.pool, self.ran = FrontSession(1, b"s"), pool_, ran
        self.servers, self.links, self.choose = servers, links, choose
        self.got, self.link, self.disconnected = b"", None, False
        self.feed(START)

    def session(self):
        """Return a session for the open group; start one if the pool has none to assign."""
        found = self.pool.take(self, tuple(self.front.statements))
        if found is None:
            found = self.pool.open()
            server, link = ModelServer(self.ran), ServerLink(found, {"user": "u"})
            assert link.feed(server.feed(link.startup_message)) == [Ready("I")]
            self.servers[found], self.links[found] = server, link
            self.pool.up(found)
            return self.session()
        return found

    def feed(self, data: bytes) -> None:
        self.front.feed(data)
        while self.front.events:
            event = self.front.events.popleft()
            if isinstance(event, Login):
                self.front.admit({})
            elif isinstance(event, Write):
                self.got += event.data
            elif isinstance(event, End):
                self.disconnected = True
            elif isinstance(event, (Ask, More)):
                if isinstance(event, Ask):
                    self.link = self.links[self.session()]
                self.forward()

    def forward(self) -> None:
        link, parts = self.link, self.front.more()
        if not parts:
            return
        sent = link.send(parts, self.front.statements)
        link.mark_written(parts[-1].name in ("Sync", "Query"))
        for each in link.feed(self.servers[link.session].feed(sent)):
            if isinstance(each, ClientData):
                self.got += each.data
                if each.message and each.message.name != "ReadyForQuery":
                    self.front.record_forwarded(each.message)
            elif isinstance(each, Ready):
                assert self.pool.ready(link.session, each.state, not self.disconnected) in (
                    Cleaning.NOTHING,
                    Cleaning.ROLLBACK,
                )
                self.front.record_forwarded(message_of("ReadyForQuery", state=each.state))
            else:
                raise AssertionError(each)

    def left(self) -> None:
        """Disconnect; sessions are cleaned as the pool requests."""
        self.disconnected = True
        for session, what in self.pool.left(self):
            assert what is Cleaning.ROLLBACK
            server = self.servers[session]
            server.state, server.portals = "I", {}
            server.statements.clear()
            self.pool.cleaned(session, "I")


def message_of(name: str, /, **values):
    decoder = Decoder(Side.BACK)
    decoder.feed(message(Side.BACK, name, **values))
    return decoder.next()


def names(data: bytes) -> list:
    decoder, found = Decoder(Side.BACK), []
    decoder.feed(data)
    while (each := decoder.next()) is not None:
        if each.name not in ("Authentication", "BackendKeyData", "ParameterStatus"):
            found.append((each.name, each.fields.get("fields", {}).get("C") or each.raw))
    return found


TEXTS = st.sampled_from(["rows 3", "rows 0", "begin", "commit", "rollback", "fail", "", "set x"])
NAMES = st.sampled_from(["", "a", "b"])
PARTS = st.one_of(
    st.builds(parse, TEXTS, NAMES),
    st.builds(bind, NAMES),
    st.sampled_from([EXECUTE, SYNC, SYNC, FLUSH]),
    st.just(front("Execute", portal="", rows=2)),
    st.builds(lambda n: front("Describe", what="S", name=n), NAMES),
    st.just(front("Describe", what="P", name="")),
    st.builds(lambda n: front("Close", what="S", name=n), NAMES),
)
GROUPS = st.lists(
    st.one_of(
        st.builds(lambda text: front("Query", text=text), TEXTS),
        st.builds(lambda parts: b"".join(parts) + SYNC, st.lists(PARTS, max_size=8)),
    ),
    max_size=10,
)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(GROUPS)
def test_a_client_sees_what_it_would_see_of_a_server_directly(groups):
    direct, ran = ModelServer(), Counter()
    path = Path(Pool(4), ran, {}, {})
    seen = direct.feed(START)
    for group in groups:
        path.feed(group)
        seen += direct.feed(group)
        assert names(path.got) == names(seen)
    assert ran == direct.ran


@settings(max_examples=150, deadline=None, derandomize=True)
@given(
    st.lists(
        st.tuples(
            st.integers(0, 2), st.sampled_from(["use", "use", "use", "begin", "commit", "leave"])
        ),
        max_size=40,
    )
)
def test_clients_of_one_pool_keep_their_statements_and_their_transactions(steps):
    shared, ran, servers, links = Pool(4), Counter(), {}, {}

    def client(number: int) -> Path:
        made = Path(shared, ran, servers, links)
        made.feed(parse(f"rows {number}", "mine") + SYNC)
        return made

    clients = [client(number) for number in range(3)]
    for number, what in steps:
        path = clients[number]
        path.got = b""
        if what == "leave":
            path.left()
            clients[number] = client(number)
        elif what == "use":
            path.feed(bind("mine") + EXECUTE + SYNC)
            found = names(path.got)
            assert sum(name == "DataRow" for name, _ in found) == number, found
        else:
            path.feed(front("Query", text=what))
        for session, server in servers.items():
            if session.owner is None and session.number in shared.sessions:
                assert server.state == "I"


@pytest.mark.parametrize(
    "groups",
    [
        [parse("rows 1", "a") + SYNC, CLOSE_A + parse("rows 2", "a") + bind("a") + EXECUTE + SYNC],
        [parse("rows 1", "a") + SYNC, CLOSE_A + bind("a") + EXECUTE + SYNC],
        [parse("rows 1", "a") + FLUSH, parse("rows 1", "a") + SYNC],
        [parse("rows 1", "a") + SYNC, parse("x", "a") + SYNC],
        [
            parse("rows 1", "a") + parse("fail") + bind() + EXECUTE + SYNC,
            bind("a") + EXECUTE + SYNC,
        ],
    ],
)
def test_statement_names_behave_as_at_a_server(groups):
    direct, path = ModelServer(), Path(Pool(1), Counter(), {}, {})
    seen = direct.feed(START)
    for group in groups:
        path.feed(group)
        seen += direct.feed(group)
    assert names(path.got) == names(seen)


def test_evicted_statements_are_prepared_again(monkeypatch):
    monkeypatch.setattr(pool, "MAX_PREPARED_STATEMENTS", 4)
    path = Path(Pool(1), Counter(), {}, {})
    for number in range(30):
        path.feed(parse(f"rows {number}", f"s{number}") + SYNC)
    path.got = b""
    for number in (3, 29, 0, 3):
        path.feed(bind(f"s{number}") + EXECUTE + SYNC)
    found = names(path.got)
    assert [name for name, _ in found].count("BindComplete") == 4 and not [
        n for n, _ in found if "Parse" in n
    ]
    assert sum(name == "DataRow" for name, _ in found) == 3 + 29 + 0 + 3
    (server,) = path.servers.values()
    assert len(server.statements) <= 4


def test_group_may_have_run_only_after_its_sync_was_written():
    path = Path(Pool(1), Counter(), {}, {})
    session = path.session()
    link = path.links[session]
    path.front.feed(parse("load") + bind() + EXECUTE + FLUSH)
    link.send(path.front.more(), {})
    link.mark_written(False)
    # Without a Sync the server rolls the group back.
    assert link.progress is GroupProgress.PARTLY_SENT and not link.may_have_run
    path.front.feed(SYNC)
    link.send(path.front.more(), {})
    assert not link.may_have_run
    link.mark_written(True)
    assert link.may_have_run


@pytest.mark.parametrize(
    "data, reason",
    [
        (message(Side.BACK, "CommandComplete", tag="x"), "where Parse is due"),
        (message(Side.BACK, "CopyInResponse", data=b""), "COPY"),
        (message(Side.BACK, "DataRow", values=[]), "DataRow was not expected"),
        (
            message(Side.BACK, "ErrorResponse", fields={"V": "FATAL", "M": "bye"}),
            "the server ended the session: bye",
        ),
        (b"?", None),
        (b"?\0\0\0\4", "unreadable"),
    ],
)
def test_unexpected_server_message_fails_the_session_once(data, reason):
    path = Path(Pool(1), Counter(), {}, {})
    link = path.links[path.session()]
    path.front.feed(parse() + SYNC)
    link.send(path.front.more(), {})
    found = [each for each in link.feed(data) if isinstance(each, Broken)]
    assert [reason in each.reason for each in found] == ([True] if reason else [])
    if reason:
        assert not link.feed(message(Side.BACK, "ParseComplete"))


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.binary(max_size=40), max_size=6))
def test_no_bytes_of_a_server_break_the_link(parts):
    path = Path(Pool(1), Counter(), {}, {})
    link = path.links[path.session()]
    path.front.feed(front("Query", text="rows 3"))
    link.send(path.front.more(), {})
    made = [each for part in parts for each in link.feed(part)]
    assert sum(isinstance(each, Broken) for each in made) <= 1
