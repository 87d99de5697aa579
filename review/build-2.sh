#!/bin/sh
# Build the stand-ins of the scripts of the second review. Run after the build of the deploy file,
# whose libraries in target/deps they use. Case 6 uses those of the first review.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
cp review/lib-2/*.py target/review-2/
PYTHONPATH=target/deps python3 -m compileall -q target/review-2 review/lib
