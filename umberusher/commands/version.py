"""``version``: print the version."""

from __future__ import annotations

import argparse
from importlib import metadata  # Takes 4 MB, which a broker that imports it would never free.


def run(_arguments: argparse.Namespace) -> int:
    """Print the version."""
    try:
        version = metadata.version("umberusher")
    except metadata.PackageNotFoundError:  # The program runs from a checkout.
        from umberusher import __version__

        version = __version__
    print(f"umberusher {version}")
    return 0
