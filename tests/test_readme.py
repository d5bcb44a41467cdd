"""The example of the README runs unchanged, and all packages are installed."""

from __future__ import annotations

import re
import tomllib
from pathlib import Path


def test_an_installed_copy_has_all_packages():
    root = Path(__file__).parent.parent
    listed = tomllib.loads((root / "pyproject.toml").read_text())["tool"]["setuptools"]["packages"]
    there = {
        ".".join(path.parent.relative_to(root).parts)
        for path in (root / "umberusher").rglob("__init__.py")
    }
    assert set(listed) == there


def test_the_example_runs(capsys):
    text = (Path(__file__).parent.parent / "README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.S).group(1)
    exec(compile(code, "README.md", "exec"), {})
    assert "StartAttempt(request='q1'" in capsys.readouterr().out
