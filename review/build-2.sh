#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the broker: their stand-ins, which are
# plain Python of this folder. Needs .venv, which the build of the deploy file makes.
set -eu
cd "$(dirname "$0")"
../.venv/bin/python -m compileall -q common-2
for case in 6 7 8 9 10; do
    if [ -d "$case" ]; then ../.venv/bin/python -m compileall -q "$case"; fi
done
