"""The top-level commands, such as ``serve``, and their options, as plain data."""

from __future__ import annotations

from typing import NamedTuple


class Option(NamedTuple):
    """One option or positional argument: the arguments of ``ArgumentParser.add_argument``."""

    names: tuple[str, ...]
    keywords: dict[str, object]


class Command(NamedTuple):
    """One command.

    Attributes:
        module: The module in ``umberusher.commands`` whose ``run`` executes it.
        help_text: The description of the command in the help.
        options: Its options, in the order in which the help lists them.
    """

    module: str
    help_text: str
    options: tuple[Option, ...]


def option(*names: str, **keywords: object) -> Option:
    """Return an option with the arguments of ``add_argument``."""
    return Option(names, keywords)


LOG_FORMAT_OPTION = option(
    "--log-format",
    default="text",
    choices=["text", "json"],
    help="format of the log on standard error",
)
TOP_LEVEL_COMMANDS: dict[str, Command] = {
    "serve": Command(
        "serve",
        "run one broker until SIGTERM",
        (
            option("--log-level", default="info", choices=["debug", "info", "warning", "error"]),
            option(
                "--receipts",
                action="store_true",
                help="request a receipt of each request from engines, so that none starts late "
                "at an engine that reads slowly; costs one more line per request",
            ),
            option(
                "--contract",
                metavar="TEAMS.star",
                help="contract with the teams to enforce; needs umberusher[tools]",
            ),
            option(
                "--log-format",
                choices=["text", "json"],
                help="structured log, with an event for each request that ends "
                "late, expired or abandoned by its client; needs structlog",
            ),
        ),
    ),
    "version": Command("version", "print the version", ()),
    "check-config": Command("check_config", "read the configuration and print a summary", ()),
    "demo": Command(
        "demo",
        "a short example replay; needs no configuration",
        (option("--report", default="umberusher-demo", metavar="DIR"), LOG_FORMAT_OPTION),
    ),
}
