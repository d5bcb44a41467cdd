"""Explore the model of one request to its full depth, and replay its traces against the real stages.

python scripts/explore_life.py [DEPTH]      # 5 by default: about 4,000 traces in half a minute; 6: about five minutes
"""

from __future__ import annotations

import logging
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from tests.upstream.life_player import play_all
from umberusher.checker.request_model import explore, traces


def main() -> int:
    """Print the results; return 1 on any violation or difference."""
    logging.disable(logging.CRITICAL)
    depth, started_s = int(sys.argv[1]) if sys.argv[1:] else 5, time.monotonic()
    result = explore()
    print(
        f"model: {result.state_count} states, {result.step_count} steps, depth {result.depth}, "
        f"{len(result.violations)} wrong"
    )
    failures = list(result.violations)
    for unsafe, cancel in ((False, False), (True, False), (False, True), (True, True)):
        count, events, mismatches = play_all(
            depth, unsafe, traces, lambda text: print(text, flush=True), cancel
        )
        kind = ("load" if unsafe else "safe") + (", cancels allowed" if cancel else "")
        print(f"{kind}: {count} traces of depth {depth}, {events} events, {len(mismatches)} differ")
        print(*mismatches[:20], sep="\n")
        failures += mismatches
    print(f"{time.monotonic() - started_s:.0f} s")
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
