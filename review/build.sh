#!/bin/sh
# Prepares the stand-ins: they need nothing but the environment that the deploy file's build makes.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || { echo "review/build.sh: run the deploy file's build first" >&2; exit 1; }
exec .venv/bin/python -m py_compile review/common/rig.py review/[0-9]/case.py
