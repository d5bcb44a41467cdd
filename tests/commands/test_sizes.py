"""The limits on node, broker and descriptor counts, and the errors beyond them."""

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
    "count, message",
    [("1024", "none: "), ("1025", "expected 1 to 1,024, got 1,025"), ("0", "got 0")],
)
def test_commands_accept_up_to_1024_instances_and_report_the_limit(command, count, message, capsys):
    assert (
        cli.main([*command, count, *(["--team", "a=none"] if command[0] == "contract" else [])])
        == 2
    )
    assert message in capsys.readouterr().err


def test_replay_reports_the_required_descriptors_when_the_limit_is_too_low(monkeypatch):
    monkeypatch.setattr(tools.resource, "getrlimit", lambda _: (256, 256))
    with pytest.raises(
        UsageError, match="1,000 descriptors are needed at the least, .* allows this process 256"
    ):
        tools.ensure_descriptor_limit(1000)
