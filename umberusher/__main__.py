"""``python -m umberusher``."""

import sys

from umberusher.cli import main

sys.exit(main())
