#!/bin/sh
# Build the stand-ins of the cases 11 to 15; they use the standard library only.
set -e
cd "$(dirname "$0")"
python3 -m compileall -q lib-3
