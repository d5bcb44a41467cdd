"""``check-config``: read the configuration and print a summary."""

from __future__ import annotations

import argparse
import os

from umberusher.config import load


def run(_arguments: argparse.Namespace) -> int:
    """Read the configuration and print a summary."""
    config = load(os.environ)
    engines = {entry.engine for event in config.initial_endpoints for entry in event.entries}
    listen = f"{config.listen[0]}:{config.listen[1]}"
    admin = f"admin at {config.admin[0]}:{config.admin[1]}" if config.admin else "no admin"
    print(
        f"{config.name}: listens on {listen}, {len(engines)} engines known, {admin}, "
        f"{len(config.settings.classes)} classes, {config.memory_mb:g} MB, "
        f"{config.max_descriptors} descriptors"
    )
    return 0
