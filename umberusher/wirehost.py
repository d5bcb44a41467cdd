"""Runs the simulator's host on the standard streams: ``python -m umberusher.wirehost``."""

from __future__ import annotations

import gc
import io
import sys

from umberusher.simulator.fields import WireError
from umberusher.simulator.host import serve

EXIT_SINK_CLOSED = 1
EXIT_MALFORMED_INPUT = 2


def main() -> int:
    """Answer batches until the input ends; return the exit code."""
    for stream in (sys.stdin, sys.stdout):
        if isinstance(stream, io.TextIOWrapper):
            stream.reconfigure(encoding="utf-8", newline="\n")
    gc.freeze()
    try:
        serve(sys.stdin, sys.stdout)
    except (WireError, UnicodeDecodeError) as error:
        print(f"umberusher: malformed input: {error}", file=sys.stderr)
        return EXIT_MALFORMED_INPUT
    except BrokenPipeError:
        return EXIT_SINK_CLOSED
    return 0


if __name__ == "__main__":
    sys.exit(main())
