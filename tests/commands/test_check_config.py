"""``check-config`` prints a summary of the configuration, and ``version`` the version."""

from __future__ import annotations

import json

from tests.test_config import CONF
from umberusher import cli


def test_check_config_prints_a_summary_and_version_prints_the_version(
    tmp_path, monkeypatch, capsys
):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(CONF))
    monkeypatch.setenv("LB_CONFIG", str(file))
    assert cli.main(["check-config"]) == 0 and cli.main(["version"]) == 0
    output = capsys.readouterr().out
    assert "n0: listens on" in output and "umberusher 0.1.0" in output
