"""Runs a list of command lines in one process, each as ``python -m umberusher``, to start Python only once.

Reads a JSON list of ``{"arguments": [...], "environment": {...}}`` from standard input, and writes a JSON list of
``{"exit": ..., "stdout": ..., "stderr": ...}`` to the file that the first argument names.
"""

from __future__ import annotations

import contextlib
import io
import json
import os
import runpy
import sys
from pathlib import Path
from typing import Any


def run(arguments: list[str], environment: dict[str, str]) -> dict[str, Any]:
    """Run one command line; return its exit code and its output."""
    output, errors = io.StringIO(), io.StringIO()
    previous_environment = dict(os.environ)
    os.environ.update(environment)
    sys.argv = ["umberusher", *arguments]
    try:
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(errors):
            runpy.run_module("umberusher", run_name="__main__")
        code: Any = None
    except SystemExit as exit_request:
        code = exit_request.code
    except (
        Exception
    ) as error:  # would be a traceback and exit code 1; the other commands must still run
        code = f"{type(error).__name__}: {error}"
    finally:
        os.environ.clear()
        os.environ.update(previous_environment)
    return {"exit": code, "stdout": output.getvalue(), "stderr": errors.getvalue()}


if __name__ == "__main__":
    # Read before the commands run, since each of them replaces sys.argv.
    results_file = Path(sys.argv[1])
    results = [run(each["arguments"], each["environment"]) for each in json.load(sys.stdin)]
    results_file.write_text(json.dumps(results))
