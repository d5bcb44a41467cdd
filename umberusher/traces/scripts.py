"""Loads and calls Starlark scripts with settings; errors name file, line and column.

A script has no I/O and no imports; its call depth and its steps per call are limited. The
interpreter counts the steps, and no clock is used, so that a script is stopped at the same step on
any machine.
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import starlark

from umberusher.errors import UsageError

MAX_CALL_DEPTH = 64
MAX_LOAD_TICKS = 20_000  # A tick is about 1,000 steps of the interpreter.
MAX_CALL_TICKS = 1_000
_LOCATION = re.compile(r"--> (.*?):(\d+):(\d+)")
_ERROR_PREFIX = "error:"


class ScriptError(UsageError):
    """A script failed; the text is one line that gives the location and the reason."""


def _describe(error: starlark.StarlarkError, name: str) -> str:
    """Return the location of an error in the script ``name`` and its reason, as one line."""
    text = str(error)
    locations = [match for match in _LOCATION.finditer(text) if match[1] == name]
    location = f"{name}:{locations[-1][2]}:{locations[-1][3]}" if locations else name
    stripped = [line.strip() for line in text.splitlines()]
    reasons = [line for line in stripped if line.startswith(_ERROR_PREFIX)]
    reason = reasons[0] if reasons else text.strip().splitlines()[0]
    return f"{location}: {reason.removeprefix(_ERROR_PREFIX).strip()}"


class _TickLimit:
    """Stops an evaluation after a number of ticks, since nested loops could run without end."""

    def __init__(self, ticks: int) -> None:
        self.remaining = ticks

    def __call__(self) -> bool:
        self.remaining -= 1
        return self.remaining < 0


class Script:
    """One loaded script."""

    def __init__(
        self,
        name: str,
        text: str,
        *,
        epilogue: str = "",
        values: tuple[str, ...] = (),
        prelude: str = "",
    ) -> None:
        """Load a script.

        Args:
            name: The name of the script in errors.
            text: The source of the script.
            epilogue: Source that is evaluated after the text.
            values: Names of the values that ``get`` can return.
            prelude: Source that is evaluated before the text; it does not change the line numbers.

        Raises:
            ScriptError: The script fails.
        """
        self.name = name
        self.text = text
        self._tick_limit = _TickLimit(MAX_LOAD_TICKS)
        self._options = starlark.EvalOptions(
            check_cancelled=self._tick_limit, max_callstack_size=MAX_CALL_DEPTH
        )
        module = starlark.Module()
        try:
            if prelude:
                self._evaluate(module, "prelude", prelude)
            self._evaluate(module, name, text + "\n" + epilogue)
        except starlark.StarlarkError as error:
            raise ScriptError(_describe(error, name)) from None
        self._values = {key: module[key] for key in values}
        self._frozen = module.freeze()

    def _evaluate(self, module: starlark.Module, name: str, text: str) -> None:
        tree = starlark.parse(name, text)
        starlark.eval_with(self._options, module, tree, starlark.Globals.standard())

    @classmethod
    def load(
        cls,
        path: str,
        *,
        epilogue: str = "",
        values: tuple[str, ...] = (),
        prelude: str = "",
    ) -> Script:
        """Load a file.

        Raises:
            ScriptError: The file can't be read, or the script fails.
        """
        try:
            text = Path(path).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise ScriptError(f"{path}: {getattr(error, 'strerror', None) or 'not text'}") from None
        return cls(Path(path).name, text, epilogue=epilogue, values=values, prelude=prelude)

    def has(self, name: str) -> bool:
        """Return whether the script defines a function of that name."""
        return re.search(rf"^def {re.escape(name)}\(", self.text, re.MULTILINE) is not None

    def get(self, name: str) -> Any:
        """Return a value that the script has set; None if it has not set it."""
        return self._values.get(name)

    def call(self, name: str, *values: Any) -> Any:
        """Call one of the script's functions.

        Raises:
            ScriptError: The function fails or takes too many steps.
        """
        self._tick_limit.remaining = MAX_CALL_TICKS
        try:
            return self._frozen.call_with(self._options, name, *values).value
        except starlark.StarlarkError as error:
            if self._tick_limit.remaining < 0:
                raise ScriptError(f"{self.name}: {name} takes too many steps") from None
            raise ScriptError(_describe(error, self.name)) from None
