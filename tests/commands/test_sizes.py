"""Bounds of what commands take."""

from __future__ import annotations

import pytest

from umberusher import cli
from umberusher.commands import tools
from umberusher.errors import UsageError


@pytest.mark.parametrize(
    "command",
    [
        ["trace", "replay", "none", "--nodes"],
        ["trace", "replay", "none", "--brokers"],
        ["contract", "simulate", "none", "--brokers"],
    ],
)
@pytest.mark.parametrize(
    "count, told", [("1024", "none: "), ("1025", "expected 1 to 1,024, got 1,025"), ("0", "got 0")]
)
def test_commands_take_1024_of_each_and_name_the_bound(command, count, told, capsys):
    assert (
        cli.main([*command, count, *(["--team", "a=none"] if command[0] == "contract" else [])])
        == 2
    )
    assert told in capsys.readouterr().err


def test_replay_says_how_many_descriptors_it_needs_when_there_are_too_few(monkeypatch):
    monkeypatch.setattr(tools.resource, "getrlimit", lambda _: (256, 256))
    with pytest.raises(
        UsageError, match="1,000 descriptors are needed at the least, .* allows this process 256"
    ):
        tools.ensure_descriptor_limit(1000)
