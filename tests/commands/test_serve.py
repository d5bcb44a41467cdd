"""``serve`` as a process: signals after its start, and the modules that it imports."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys

from tests.test_config import CONF


def test_serve_reloads_on_sighup_right_after_start_and_exits_with_0_on_sigterm(tmp_path):
    """Guards against a SIGHUP that ends the process because no handler is installed yet."""
    file = tmp_path / "config.json"
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    file.write_text(json.dumps(CONF | {"listen": f"127.0.0.1:{port}", "board": "127.0.0.1:1"}))
    env = {k: v for k, v in os.environ.items() if not k.startswith("LB_")} | {
        "LB_CONFIG": str(file)
    }
    with subprocess.Popen(
        [sys.executable, "-m", "umberusher", "serve"], env=env, stderr=subprocess.PIPE, text=True
    ) as broker:
        log_line = ""
        while "broker_listening" not in log_line:
            log_line = broker.stderr.readline()
            assert log_line
        broker.send_signal(signal.SIGHUP)
        while "config_reloaded" not in log_line:
            log_line = broker.stderr.readline()
            assert log_line
        broker.send_signal(signal.SIGTERM)
        broker.stderr.read()
    assert broker.returncode == 0


def test_serve_does_not_import_modules_of_the_tools():
    """Two brokers must fit into 32 MB, so that ``serve`` can't afford the modules of the tools."""
    code = (
        "import sys, umberusher.cli, umberusher.commands.serve; "
        "print([m for m in sys.modules if m.split('.')[0] in "
        "('structlog', 'rich', 'starlark', 'zstandard', 'xxhash', 'matplotlib', 'numpy') or m.startswith("
        "('umberusher.traces', 'umberusher.replay', 'umberusher.standin'))])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert result.stdout.strip() == "[]"
