#!/bin/sh
# Build the stand-ins of the cases; they use Python's standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q lib
for script in */case.py; do
    python3 -m py_compile "$script"
done
