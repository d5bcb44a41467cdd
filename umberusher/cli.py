"""The command line: parse it, then import and run the module of the command."""

from __future__ import annotations

import argparse
import importlib
import sys
from collections.abc import Sequence
from typing import TYPE_CHECKING

from umberusher.command_table import TOP_LEVEL_COMMANDS, Command
from umberusher.errors import UsageError

if TYPE_CHECKING:
    CommandParsers = argparse._SubParsersAction[argparse.ArgumentParser]

EXIT_USAGE = 2
"""The command line or the input can't be used."""


def main(arguments: Sequence[str] | None = None) -> int:
    """Run the program.

    Args:
        arguments: The command line without the program's name; None for ``sys.argv``.

    Returns:
        The exit code: 2 where the command line or an input can't be used.
    """
    words = sys.argv[1:] if arguments is None else list(arguments)
    parsed = _parser(words).parse_args(words)
    try:
        module = importlib.import_module(f"umberusher.commands.{parsed.module}")
    except ModuleNotFoundError as error:
        missing = error.name or ""
        if missing.startswith("umberusher"):
            raise
        _print_error(f"{error.name} is not installed: this command needs umberusher[tools]")
        return EXIT_USAGE
    try:
        exit_code: int = module.run(parsed)
    except UsageError as error:
        _print_error(f"{error.message_prefix}{error}")
        return EXIT_USAGE
    return exit_code


def _print_error(text: str) -> None:
    print(f"umberusher: {text}", file=sys.stderr)


def _parser(words: Sequence[str]) -> argparse.ArgumentParser:
    """Return the parser for a command line.

    Where the first words name a command, the parser has no other command: the options of all
    others would stay in the memory of ``serve``.
    """
    parser = argparse.ArgumentParser(
        prog="umberusher", description="A broker for queries on a fleet of engines."
    )
    parsers = parser.add_subparsers(dest="command", required=True)
    first = words[0] if words else ""
    second = words[1] if len(words) > 1 else ""
    _add_commands(parsers, TOP_LEVEL_COMMANDS, first)
    if first not in TOP_LEVEL_COMMANDS:
        from umberusher.command_groups import COMMAND_GROUPS

        for name, group in COMMAND_GROUPS.items():
            help_text = group.help_text
            group_parser = parsers.add_parser(name, help=help_text, description=help_text)
            group_parsers = group_parser.add_subparsers(dest="sub", required=True)
            _add_commands(group_parsers, group.commands, second)
    return parser


def _add_commands(parsers: CommandParsers, commands: dict[str, Command], requested: str) -> None:
    """Add the requested command, or all commands if none has that name."""
    selected = {requested: commands[requested]} if requested in commands else commands
    for name, command in selected.items():
        help_text = command.help_text
        parser = parsers.add_parser(name, help=help_text, description=help_text)
        for option in command.options:
            parser.add_argument(*option.names, **option.keywords)  # type: ignore[arg-type]
        parser.set_defaults(module=command.module)
