"""The exception that ends a command with one line on standard error and exit code 2."""

from __future__ import annotations

from typing import ClassVar


class UsageError(Exception):
    """Input can't be used; the text is one line that names file, line and field.

    Attributes:
        message_prefix: Names the kind of input; it is printed before the text.
    """

    message_prefix: ClassVar[str] = ""
