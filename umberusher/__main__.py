"""Entry point of ``python -m umberusher``."""

import sys

from umberusher.cli import main

if __name__ == "__main__":
    sys.exit(main())
