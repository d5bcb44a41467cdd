"""The path at which a successor connects to the broker's process."""

from __future__ import annotations

import errno
import os
import socket

from umberusher.hot_restart import predecessor


def test_path_is_removed_when_process_ends_without_successor(rig, tmp_path):
    made = rig(1, str(tmp_path / "s"))
    assert os.stat(tmp_path / "s").st_mode & 0o777 == 0o600
    made.broker.hot_restart.close()
    assert not os.listdir(tmp_path)


def test_broker_serves_when_path_is_too_long_for_a_socket(rig, tmp_path, caplog):
    made = rig(1, str(tmp_path / ("d" * 120) / "s"))
    assert (
        made.broker.readiness.is_ready()
        and len([r for r in caplog.records if "hot_restart" in r.message]) <= 2
    )
    made.start_request()
    assert predecessor.socket_path({}, ("127.0.0.1", 1)) is None


def test_nothing_is_left_behind_when_path_cannot_be_replaced(rig, tmp_path):
    (tmp_path / "s" / "in").mkdir(parents=True)  # a directory is at the path of the socket
    made = rig(1, str(tmp_path / "s"))
    assert (
        made.broker.readiness.is_ready()
        and not made.broker.hot_restart.listener.is_open
        and os.listdir(tmp_path) == ["s"]
    )


def test_broker_serves_and_warns_once_when_unix_sockets_are_refused(
    rig, tmp_path, monkeypatch, caplog
):
    real_socket = socket.socket

    def refuse_unix(family=socket.AF_INET, *args, **kwargs):
        if family == socket.AF_UNIX:
            raise OSError(errno.EAFNOSUPPORT, os.strerror(errno.EAFNOSUPPORT))
        return real_socket(family, *args, **kwargs)

    monkeypatch.setattr(predecessor.socket, "socket", refuse_unix)
    rig = rig(1, str(tmp_path / "s"))
    client, rid, engine = rig.start_request()
    engine.sock.send(f"{rid} HIT count=1 6\r\na\t1\t2\n\r\n".encode())
    assert b"a\t1\t2\n" in rig.read_answer(client)
    assert [
        record.getMessage().startswith("hot_restart_unavailable path=")
        for record in caplog.records
        if "hot_restart" in record.getMessage()
    ] == [True]
