"""Finds the line of a value in a contract's script."""

from __future__ import annotations

import re

# Number of lines of a team's or window's entry that are searched for a word.
MAX_ENTRY_LINES = 40

_ENTRY = re.compile(r"\b(team|window)\s*\(")


class ScriptLocations:
    """Finds the line of a team's or window's name, and of a field after it."""

    def __init__(self, file: str, text: str) -> None:
        self._file = file
        self._lines = text.splitlines()

    def find(self, name: str, *words: str) -> str:
        """Return ``file:line`` of a name's first mention.

        Args:
            name: The name of a team, a window or a variable.
            words: Words to search for one after the other, within the name's entry; the line is
                that of the last one found.
        """
        mention = re.compile(rf"""["']{re.escape(name)}["']|^{re.escape(name)}\s*=""")
        index = next((n for n, line in enumerate(self._lines) if mention.search(line)), None)
        if index is None:
            return self._file
        for word in words:
            index = self._find_word(word, index)
        return f"{self._file}:{index + 1}"

    def _find_word(self, word: str, start: int) -> int:
        """Return the index of the first line with a word; the start if no line has it."""
        pattern = re.compile(rf"\b{re.escape(word)}\b")
        for index in range(start, min(start + MAX_ENTRY_LINES, len(self._lines))):
            code = self._lines[index].split("#", 1)[0]
            if index > start and _ENTRY.search(code):
                break  # the next entry begins
            if pattern.search(code):
                return index
        return start
