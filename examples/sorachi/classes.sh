#!/usr/bin/env bash
# Create the classes of sorachi.
set -e
here="$(dirname "$0")"
currantbarrow class create fare-check --target-ms 300 --wait "$@" --settings "$here/operator.yaml"
currantbarrow class create route-quote --target-ms 1500 --wait "$@" --settings "$here/operator.yaml"
currantbarrow class create seat-hold --target-ms 500 --wait "$@" --settings "$here/operator.yaml"
