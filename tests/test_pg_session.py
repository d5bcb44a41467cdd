"""The session of a PostgreSQL client: start-up, groups, pipelines, errors, limits and random streams.

Guards against a client that waits forever or misreads a response: each group must end in one ReadyForQuery, in the
order of the groups, and only one request may be open at a time.
"""

from __future__ import annotations

import struct

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from umberusher.pg import messages, session
from umberusher.pg.codec import Decoder, message
from umberusher.pg.messages import Side
from umberusher.pg.session import (
    MAX_GROUPS,
    Answered,
    Ask,
    AuthenticationResponse,
    Cancel,
    Encrypt,
    End,
    FrontSession,
    Login,
    More,
    State,
    Write,
)


def front(name: str, /, **values) -> bytes:
    return message(Side.FRONT, name, **values)


def parse(text: str = "select 1", name: str = "") -> bytes:
    return front("Parse", name=name, text=text, types=[])


def bind(statement: str = "") -> bytes:
    return front("Bind", portal="", statement=statement, formats=[], values=[], results=[])


EXECUTE, SYNC, FLUSH = front("Execute", portal="", rows=0), front("Sync"), front("Flush")
START = front("StartupMessage", version=196_608, options={"user": "kim", "database": "parks"})


def events(found: FrontSession) -> list:
    made = list(found.events)
    found.events.clear()
    return made


def written(made: list) -> list[tuple[str, str]]:
    """Decode what the client receives: message names with an error's SQLSTATE or the transaction status."""
    decoder, seen = Decoder(Side.BACK), []
    decoder.feed(b"".join(each.data for each in made if isinstance(each, Write)))
    while (each := decoder.next()) is not None:
        seen.append(
            (each.name, each.fields.get("fields", {}).get("C") or each.fields.get("state", ""))
        )
    return seen


def ready() -> FrontSession:
    found = FrontSession(7, b"secret")
    found.feed(START)
    assert events(found) == [Login({"user": "kim", "database": "parks"})]
    found.admit({"server_version": "15"})
    assert [name for name, _ in written(events(found))] == [
        "Authentication",
        "ParameterStatus",
        "BackendKeyData",
        "ReadyForQuery",
    ]
    return found


def served(found: FrontSession, *names: str, state: str = "I") -> None:
    """Record that the server's messages for the open request were forwarded to the client."""
    values = {"CommandComplete": {"tag": "SELECT 1"}, "ErrorResponse": {"fields": {"C": "42601"}}}
    decoder = Decoder(Side.BACK)
    for name in names:
        decoder.feed(message(Side.BACK, name, **values.get(name, {})))
        found.record_forwarded(decoder.next())
    decoder.feed(message(Side.BACK, "ReadyForQuery", state=state))
    found.record_forwarded(decoder.next())


# -- Start-up


def test_encryption_is_requested_before_startup_and_unencrypted_bytes_after_it_end_the_session():
    ssl = struct.pack(">iI", 8, messages.SSL_REQUEST)
    found = FrontSession(1, b"s")
    found.feed(ssl)
    assert events(found) == [Encrypt(False)] and found.waits
    found.encrypted()
    found.feed(struct.pack(">iI", 8, messages.GSS_REQUEST))
    assert events(found) == [Encrypt(True)]
    found.encrypted()
    found.feed(START)
    assert isinstance(events(found)[0], Login)
    found = FrontSession(1, b"s")
    found.feed(ssl + START)
    assert isinstance(events(found)[-1], End) and found.state is State.OVER
    found = FrontSession(1, b"s")
    for _ in range(3):
        found.feed(ssl)
        found.encrypted()
    assert isinstance(events(found)[-1], End)


@pytest.mark.parametrize(
    "version, response",
    [
        (3 << 16 | 2, "NegotiateProtocolVersion"),
        (2 << 16, "ErrorResponse"),
        (4 << 16, "ErrorResponse"),
    ],
)
def test_other_versions_are_negotiated_or_rejected(version, response):
    found = FrontSession(1, b"s")
    found.feed(front("StartupMessage", version=version, options={"user": "kim", "_pq_.x": "1"}))
    made = events(found)
    assert written(made)[0][0] == response and isinstance(
        made[-1], Login if response[0] == "N" else End
    )


@pytest.mark.parametrize("options", [{"database": "x"}, {"user": "kim", "replication": "true"}])
def test_startup_without_a_user_or_for_replication_is_rejected(options):
    found = FrontSession(1, b"s")
    found.feed(front("StartupMessage", version=196_608, options=options))
    made = events(found)
    assert written(made)[0][0] == "ErrorResponse" and isinstance(made[-1], End)


def test_authentication_is_an_exchange_of_messages_that_a_rejection_ends_with_an_error():
    found = FrontSession(1, b"s")
    found.feed(START)
    events(found)
    found.challenge(10, b"SCRAM-SHA-256\0\0")
    found.feed(front("Password", data=b"proof"))
    made = events(found)
    assert written(made) == [("Authentication", "")] and made[-1] == AuthenticationResponse(
        b"proof"
    )
    found.reject()
    made = events(found)
    assert written(made) == [("ErrorResponse", "28P01")] and isinstance(made[-1], End)
    found = FrontSession(1, b"s")
    found.feed(START)
    events(found)
    found.challenge(3, b"")
    found.feed(front("Query", text="select 1"))
    assert isinstance(events(found)[-1], End)


def test_cancel_request_opens_no_session_and_its_secret_is_compared():
    found = FrontSession(1, b"s")
    found.feed(front("CancelRequest", number=messages.CANCEL_REQUEST, pid=7, secret=b"secret"))
    assert events(found)[0] == Cancel(7, b"secret") and found.state is State.OVER
    assert ready().matches(b"secret") and not ready().matches(b"secreT")


# -- Groups


def test_group_becomes_a_request_at_its_sync_and_is_returned_once():
    found = ready()
    found.feed(parse() + bind() + EXECUTE)
    assert not events(found) and not found.more()
    found.feed(SYNC)
    (request,) = events(found)
    assert (
        isinstance(request, Ask)
        and request.group.texts({}) == ["select 1"]
        and not request.group.simple
    )
    assert [part.name for part in found.more()] == [
        "Parse",
        "Bind",
        "Execute",
        "Sync",
    ] and not found.more()
    served(found, "ParseComplete", "BindComplete", "CommandComplete")
    assert found.state is State.IDLE and not found.groups


def test_flush_begins_the_request_early_and_later_messages_belong_to_it():
    found = ready()
    found.feed(parse(name="s1") + front("Describe", what="S", name="s1") + FLUSH)
    assert isinstance(events(found)[0], Ask) and len(found.more()) == 3
    found.feed(bind("s1") + EXECUTE)
    assert not events(found)
    found.feed(SYNC)
    assert [type(each) for each in events(found)] == [More] and len(found.more()) == 3
    served(found, "ParseComplete", "BindComplete", "CommandComplete")
    assert set(found.statements) == {"s1"}


def test_groups_of_a_pipeline_become_requests_one_at_a_time_in_order():
    found = ready()
    found.feed(b"".join(front("Query", text=f"select {n}") for n in range(5)))
    order = []
    for _ in range(5):
        (request,) = events(found)
        order.append(request.group.texts({})[0])
        found.more()
        served(found, "CommandComplete")
    assert order == [f"select {n}" for n in range(5)] and not events(found)


def test_flush_in_a_queued_group_begins_its_request_once_the_group_is_first():
    found = ready()
    found.feed(front("Query", text="select 1") + parse() + FLUSH)
    events(found)
    served(found, "CommandComplete")
    (request,) = events(found)
    assert request.group.texts({}) == ["select 1"] and not request.group.whole


def test_reading_pauses_while_too_many_groups_are_pending():
    found = ready()
    found.feed(front("Query", text="select 1") * (MAX_GROUPS + 9))
    assert found.paused and len(found.groups) == MAX_GROUPS and found.decoder.unread_bytes
    for _ in range(MAX_GROUPS + 9):
        served(found, "CommandComplete")
    assert not found.paused and not found.groups and not found.decoder.unread_bytes


def test_sync_alone_is_answered_locally_with_the_transaction_status():
    found = ready()
    found.feed(front("Query", text="begin"))
    events(found)
    served(found, "CommandComplete", state="T")
    found.feed(SYNC)
    assert written(events(found)) == [("ReadyForQuery", "T")]


@pytest.mark.parametrize(
    "answered, code, hint",
    [
        (Answered.REFUSED, "53300", "never ran; retry after 250 ms"),
        (Answered.FAILED_MAY_HAVE_RUN, "08007", "may have run"),
        (Answered.EXPIRED, "57014", "never ran"),
        (Answered.EXPIRED_MAY_HAVE_RUN, "57014", "may have run"),
    ],
)
def test_error_of_the_broker_says_whether_the_request_may_have_run(answered, code, hint):
    found = ready()
    found.feed(parse() + bind() + EXECUTE + SYNC)
    events(found)
    found.fail(answered, retry_ms=250 if answered is Answered.REFUSED else None)
    made = events(found)
    assert written(made) == [("ErrorResponse", code), ("ReadyForQuery", "I")]
    assert f"H{hint}\0".encode() in made[0].data and found.state is State.IDLE


def test_failure_before_the_sync_skips_the_group_and_the_next_group_is_served():
    found = ready()
    found.feed(parse() + FLUSH)
    events(found)
    found.fail(Answered.FAILED)
    assert written(events(found)) == [("ErrorResponse", "08006")]
    found.feed(bind() + EXECUTE + parse() * 50)
    assert not events(found)
    found.feed(SYNC + front("Query", text="select 2"))
    made = events(found)
    assert written(made) == [("ReadyForQuery", "I")] and isinstance(made[-1], Ask)


def test_unsupported_message_is_rejected_in_order():
    found = ready()
    found.feed(
        front("Query", text="select 1")
        + front("FunctionCall", data=b"x")
        + front("Query", text="select 3")
    )
    assert [type(each) for each in events(found)] == [Ask]
    served(found, "CommandComplete")
    made = events(found)
    assert written(made) == [("ErrorResponse", "0A000"), ("ReadyForQuery", "I")] and isinstance(
        made[-1], Ask
    )


def test_statements_are_bounded_replaced_and_closed(monkeypatch):
    monkeypatch.setattr(session, "MAX_PREPARED_STATEMENTS", 3)
    found = ready()
    for name in ("a", "b", "c", "a"):
        found.feed(parse(name=name) + SYNC)
        events(found)
        served(found, "ParseComplete")
    assert set(found.statements) == {"a", "b", "c"}
    found.feed(parse(name="d") + SYNC)
    assert written(events(found)) == [("ErrorResponse", "54000"), ("ReadyForQuery", "I")]
    found.feed(front("Close", what="S", name="b") + SYNC)
    events(found)
    served(found, "CloseComplete")
    assert set(found.statements) == {"a", "c"}
    assert found.statement_bytes == sum(len(each.raw) for each in found.statements.values())
    found.feed(parse(name="e") + bind("a") + SYNC)
    (request,) = events(found)
    assert request.group.texts(found.statements) == ["select 1", "select 1"]
    served(found, "ErrorResponse")  # the server rejected the Parse
    assert "e" not in found.statements


def test_a_group_without_a_sync_is_bounded(monkeypatch):
    monkeypatch.setattr(session, "MAX_GROUP_BYTES", 1_000)
    found = ready()
    found.feed(parse("x" * 300) * 4)
    assert written(events(found)) == [("ErrorResponse", "54000")] and not found.groups[0].parts
    found.feed(SYNC)
    assert written(events(found)) == [("ReadyForQuery", "I")]


@pytest.mark.parametrize(
    "data", [front("Password", data=b"x"), b"\x01abcdef", parse() + front("Query", text="x")]
)
def test_a_violation_ends_the_session_with_a_fatal_error(data):
    found = ready()
    found.feed(data)
    made = events(found)
    assert written(made)[-1] == ("ErrorResponse", "08P01") and isinstance(made[-1], End)
    found.feed(front("Query", text="select 1"))
    assert not events(found)


PARTS = st.sampled_from(
    [
        parse(),
        parse(name="a"),
        bind(),
        EXECUTE,
        SYNC,
        SYNC,
        FLUSH,
        front("Query", text="select 1"),
        front("Describe", what="S", name="a"),
        front("Close", what="S", name="a"),
        front("FunctionCall", data=b""),
        front("CopyFail", why="x"),
    ]
)


@settings(max_examples=400, deadline=None, derandomize=True)
@given(st.lists(st.one_of(PARTS, st.sampled_from(["serve", "fail"])), max_size=60))
def test_random_streams_get_one_ready_for_each_group_in_order_and_one_request_is_open_at_a_time(
    steps,
):
    found, groups, seen, asked, inside, started = ready(), 0, 0, 0, False, False
    for step in steps:
        if step in ("serve", "fail"):
            if asked and found.groups and found.groups[0].asked and not found.groups[0].failed:
                if step == "fail":
                    found.fail(Answered.FAILED)
                elif found.groups[0].whole:
                    seen += 1  # the server's own
                    served(found, "CommandComplete")
        elif found.state is not State.OVER:
            if step[:1] in (b"Q", b"F"):
                if (
                    inside
                    and step[:1] == b"Q"
                    and not found.groups[-1].failed
                    and found.groups[-1].parts
                ):
                    found.feed(step)
                    assert found.state is State.OVER
                    return
                skipped = inside and found.groups[-1].failed
                groups += not skipped
                inside = skipped
            elif step[:1] == b"S":
                groups, inside = groups + 1, False
            elif step[:1] != b"f":
                inside = True
            elif not inside:
                inside = True
            found.feed(step)
        made = events(found)
        asked += sum(isinstance(each, Ask) for each in made)
        seen += sum(name == "ReadyForQuery" for name, _ in written(made))
        started = started or bool(asked)
        assert seen <= groups and sum(group.asked for group in found.groups) <= 1
        assert all(not group.asked for group in list(found.groups)[1:])
    while found.groups and found.groups[0].whole:
        assert found.groups[0].asked and not found.groups[0].failed
        served(found, "CommandComplete")
        seen += 1 + sum(name == "ReadyForQuery" for name, _ in written(events(found)))
    assert seen == groups


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.binary(max_size=60), max_size=8), st.booleans())
def test_no_bytes_whatever_break_a_session(parts, started):
    found = ready() if started else FrontSession(1, b"s")
    for part in parts:
        found.feed(part)
        assert sum(isinstance(each, End) for each in found.events) <= 1
        if found.waits:
            found.encrypted()
